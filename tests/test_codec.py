"""Encoding and decoding of messages, compressed or not."""

import random
import tracemalloc
import unittest

import msgpack
from hypothesis import given, settings, strategies

from jackdawlanding.decisions import notices
from jackdawlanding.mesh import codec, messages
from tests import calls


def make_call(number, *, body=b""):
    """Return a call whose headers resemble those of other calls."""
    request_id = f"{random.Random(number).getrandbits(64):016x}"
    headers = [b"Host", b"bank.example", b"User-Agent", b"client/1.9", b"Accept"]
    headers += [b"*/*", b"X-Number", request_id.encode()]
    return calls.make_call(
        number,
        instance="i-7f3a91c2",
        service="bank",
        route="orders",
        method="PUT",
        target=f"/orders/{request_id}",
        headers=headers,
        body=body,
        has_body=bool(body),
        remaining=2.5,
        objective=0.5,
        request_id=request_id,
    )


MESSAGES = strategies.one_of(
    strategies.builds(messages.Ping, number=strategies.integers(0, 1 << 40)),
    strategies.builds(messages.Cancel, number=strategies.integers(0, 1 << 40)),
    strategies.builds(
        make_call, strategies.integers(0, 1 << 40), body=strategies.binary(max_size=99)
    ),
)


class CodecTest(unittest.TestCase):
    def test_a_last_field_without_a_value_is_left_out(self):
        """Daemons of an earlier version do not know the field."""
        call = make_call(1)
        dated = notices.DatedNotice(notice=notices.Notice(rate=2.5), born=7)
        named = call._replace(notice=dated)
        plain, longer = (codec.Encoder().encode(each) for each in (call, named))
        self.assertEqual(len(msgpack.unpackb(plain)), len(call._fields))
        self.assertEqual(codec.Decoder().feed(plain), [call])
        received = codec.Decoder().feed(longer)[0]
        self.assertEqual(notices.make_dated(received.notice), dated)

    @settings(max_examples=80, derandomize=True)
    @given(
        sent=strategies.lists(MESSAGES, max_size=12),
        compressed_from=strategies.integers(0, 12),
        sizes=strategies.lists(strategies.integers(1, 300), max_size=20),
    )
    def test_messages_survive_any_fragmentation(self, sent, compressed_from, sizes):
        encoder, decoder = codec.Encoder(), codec.Decoder()
        data = b""
        for index, message in enumerate(sent):
            encoder.is_compressed = index >= compressed_from
            data += encoder.encode(message)
        received = []
        for size in sizes:
            received += decoder.feed(data[:size])
            data = data[size:]
        received += decoder.feed(data)
        self.assertEqual(received, sent)

    @settings(max_examples=80, derandomize=True)
    @given(strategies.binary(min_size=1, max_size=200))
    def test_malformed_bytes_are_an_error_or_incomplete(self, data):
        decoder = codec.Decoder()
        try:
            decoder.feed(data)
        except codec.MessageError as error:
            self.assertIn("can't be read", str(error))

    def test_a_link_without_an_incomplete_message_has_no_buffer(self):
        """A daemon has hundreds of links, and each kept 9 KB, or 37 KB for good.

        The buffer of an unpacker grows to the longest message and never shrinks.
        """
        decoders = [codec.Decoder() for _ in range(100)]
        data = codec.Encoder().encode(make_call(1, body=b"x" * 40000))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for decoder in decoders:
            self.assertEqual(decoder.feed(data[:30000]), [])
            self.assertEqual(len(decoder.feed(data[30000:])), 1)
        self.assertLess(tracemalloc.get_traced_memory()[0], 100 * 500)

    def test_a_large_message_leaves_no_buffer_behind_it(self):
        """The buffer stayed while messages followed each other without a gap."""
        decoders = [codec.Decoder() for _ in range(10)]
        data = codec.Encoder().encode(make_call(1, body=bytes(1 << 20)))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for decoder in decoders:
            for start in range(0, len(data), 65536):
                decoder.feed(data[start : start + 65536] if start else data[:65536])
            self.assertEqual(decoder.feed(data[:10]), [])
            decoder.feed(data[10:65536])
        # Now each message ends in bytes that begin the next one.
        stream = data[65536:] + data[:10]
        for decoder in decoders:
            received = decoder.feed(stream)
            self.assertEqual([message.number for message in received], [1])
            self.assertEqual(decoder.pending_bytes, 10)
        del received, stream
        self.assertLess(tracemalloc.get_traced_memory()[0], 10 * 65536)

    def test_a_message_without_end_is_an_error(self):
        decoder = codec.Decoder()
        decoder.feed(b"\x92\x02\xc6\xff\xff\xff\xff")
        with self.assertRaises(codec.MessageError):
            for _ in range(1 + (codec.MAXIMUM_MESSAGE_BYTES >> 20)):
                decoder.feed(bytes(1 << 20))

    def test_compressed_calls_take_less_than_half(self):
        plain, compressed = codec.Encoder(), codec.Encoder()
        compressed.is_compressed = True
        sample = [make_call(number) for number in range(100)]
        plain_size = sum(len(plain.encode(message)) for message in sample)
        compressed_size = sum(len(compressed.encode(message)) for message in sample)
        self.assertLess(compressed_size, plain_size / 2)

    def test_a_body_is_not_compressed(self):
        encoder, decoder = codec.Encoder(), codec.Decoder()
        encoder.is_compressed = True
        body = random.Random(1).randbytes(70000)
        data = encoder.encode(make_call(1, body=body))
        self.assertIn(body, data)
        self.assertEqual(decoder.feed(data)[0].body, body)

    def test_a_large_body_is_not_copied_and_reads_as_any_other(self):
        body = random.Random(2).randbytes(300_000)
        for is_compressed in (False, True):
            encoder, decoder = codec.Encoder(), codec.Decoder()
            encoder.is_compressed = is_compressed
            call = make_call(1, body=body)
            parts = encoder.encode_parts(call)
            self.assertTrue(any(getattr(part, "obj", None) is body for part in parts))
            self.assertEqual(decoder.feed(b"".join(parts)), [call])


if __name__ == "__main__":
    unittest.main()
