"""Frames and messages between daemons: round trips and damaged bytes."""

import pathlib
import tempfile
import unittest

import capnp
import hypothesis
from hypothesis import strategies as st

from jackdawlanding.wire import codec, framing

SETTINGS = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)
CALL = codec.CallMessage(
    id=7,
    service="awards",
    method="GET",
    target="/a",
    headers=b"a: b",
    remaining=1.5,
    allowance=2,
    key="k",
    role=1,
    rank=3,
    protected=True,
)
DECODERS = (
    codec.decode_call,
    codec.decode_answer,
    codec.decode_cancel,
    codec.decode_sync,
)


class FramingTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        frames=st.lists(st.tuples(st.sampled_from(framing.Kind), st.binary())),
        piece_size=st.integers(1, 50),
    )
    def test_frames_are_the_same_for_any_split_of_the_stream(self, frames, piece_size):
        data = b"".join(
            framing.encode_frame(kind=kind, message=message, body=message[::-1])
            for kind, message in frames
        )
        reader, received = framing.FrameReader(), []
        for start in range(0, len(data), piece_size):
            reader.feed(data[start : start + piece_size])
            while frame := reader.read_frame():
                received.append((frame.kind, frame.message))
                self.assertEqual(frame.body, frame.message[::-1])
        self.assertEqual(received, frames)
        self.assertFalse(reader.is_partial)

    @SETTINGS
    @hypothesis.given(data=st.binary(max_size=400))
    def test_any_bytes_give_frames_or_a_frame_error(self, data):
        reader = framing.FrameReader()
        reader.feed(data)
        try:
            while reader.read_frame():
                pass
        except framing.FrameError:
            return

    def test_a_frame_over_the_limit_is_refused_by_its_header(self):
        reader = framing.FrameReader(maximum_body_bytes=10)
        reader.feed(framing.HEADER.pack(framing.Kind.CALL, 8, 11))
        with self.assertRaises(framing.FrameError):
            reader.read_frame()


class CodecTest(unittest.TestCase):
    def test_a_call_survives_a_round_trip(self):
        self.assertEqual(codec.decode_call(codec.encode_call(CALL)), CALL)

    def test_an_answer_survives_a_round_trip(self):
        answer = codec.AnswerMessage(
            id=9, status=200, headers=b"x: y", outcome=1, allowance_left=1, limit=5
        )
        self.assertEqual(codec.decode_answer(codec.encode_answer(answer)), answer)

    def test_a_sync_message_survives_a_round_trip(self):
        sync = codec.SyncMessage(
            id=1,
            instance="i",
            incarnation="x",
            service="s",
            publications=(codec.Digest(service="s", version=4),),
            suspects=(codec.Suspect(fingerprint=b"f" * 16, crashes=1, remaining=3.0),),
            pending=(("a", "b"),),
            uncertain=(
                codec.Uncertainty(
                    views=(("a", "b"),), gone=("a",), remaining=5.0, since=100.0
                ),
            ),
        )
        self.assertEqual(codec.decode_sync(codec.encode_sync(sync)), sync)

    @SETTINGS
    @hypothesis.given(data=st.binary(max_size=300), decode=st.sampled_from(DECODERS))
    def test_any_bytes_give_a_message_or_a_message_error(self, data, decode):
        try:
            decode(data)
        except codec.MessageError:
            return

    @SETTINGS
    @hypothesis.given(offset=st.integers(0, 200), byte=st.integers(0, 255))
    def test_a_damaged_call_gives_a_message_or_a_message_error(self, offset, byte):
        data = bytearray(codec.encode_call(CALL))
        data[offset % len(data)] = byte
        try:
            codec.decode_call(bytes(data))
        except codec.MessageError:
            return

    def test_an_older_and_a_newer_schema_read_each_other(self):
        text = pathlib.Path(codec.__file__).with_name("peer.capnp").read_text()
        newer_text = text.replace(
            "protected @15 :Bool;", "protected @15 :Bool;\n  colour @16 :Text;"
        )
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "newer.capnp"
            path.write_text(
                newer_text.replace("@0xb3c9f1a27d54e608", "@0xb3c9f1a27d54e609")
            )
            newer = capnp.load(str(path))
        message = newer.Call.new_message(id=7, service="awards", colour="red")
        self.assertEqual(codec.decode_call(message.to_bytes()).service, "awards")
        with newer.Call.from_bytes(codec.encode_call(CALL)) as reader:
            self.assertEqual((reader.service, reader.colour), ("awards", ""))
