"""Messages come whole out of any pieces, packed or not, and packed ones small."""

import random
import unittest

from hypothesis import given, settings, strategies

from jackdawlanding.mesh import codec, messages
from tests import calls


def make_call(number, *, body=b""):
    """Return a call whose headers are like those of its neighbours."""
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


ONES = strategies.one_of(
    strategies.builds(messages.Ping, number=strategies.integers(0, 1 << 40)),
    strategies.builds(messages.Cancel, number=strategies.integers(0, 1 << 40)),
    strategies.builds(
        make_call, strategies.integers(0, 1 << 40), body=strategies.binary(max_size=99)
    ),
)


class CodecTest(unittest.TestCase):
    @settings(max_examples=80, derandomize=True)
    @given(
        ones=strategies.lists(ONES, max_size=12),
        packed_from=strategies.integers(0, 12),
        sizes=strategies.lists(strategies.integers(1, 300), max_size=20),
    )
    def test_what_goes_in_comes_out(self, ones, packed_from, sizes):
        encoder, decoder = codec.Encoder(), codec.Decoder()
        data = b""
        for place, one in enumerate(ones):
            encoder.is_compressed = place >= packed_from
            data += encoder.encode(one)
        found = []
        for size in sizes:
            found += decoder.feed(data[:size])
            data = data[size:]
        found += decoder.feed(data)
        self.assertEqual(found, ones)

    @settings(max_examples=80, derandomize=True)
    @given(strategies.binary(min_size=1, max_size=200))
    def test_garbage_is_an_error_or_waits_for_more(self, data):
        decoder = codec.Decoder()
        try:
            decoder.feed(data)
        except codec.MessageError as error:
            self.assertIn("can't be read", str(error))

    def test_packed_calls_take_less_than_half(self):
        plain, packed = codec.Encoder(), codec.Encoder()
        packed.is_compressed = True
        calls = [make_call(number) for number in range(100)]
        most = sum(len(plain.encode(one)) for one in calls)
        least = sum(len(packed.encode(one)) for one in calls)
        self.assertLess(least, most / 2)

    def test_the_body_is_passed_on_as_it_is(self):
        encoder, decoder = codec.Encoder(), codec.Decoder()
        encoder.is_compressed = True
        body = random.Random(1).randbytes(70000)
        data = encoder.encode(make_call(1, body=body))
        self.assertIn(body, data)
        self.assertEqual(decoder.feed(data)[0].body, body)


if __name__ == "__main__":
    unittest.main()
