"""The edge protocol's codec and the ring buffer."""

from __future__ import annotations

import random
from typing import Any

import pytest
from helpers import exchange_frame

from myrtlecrank.frames import codec
from myrtlecrank.frames.ring_buffer import RingBuffer


def decode(*pieces: bytes) -> list[Any]:
    buffer, frames = RingBuffer(16), []
    decoder = codec.Decoder(buffer)
    for piece in pieces:
        buffer.append(piece)
        frames += list(decoder.frames())
        assert buffer.capacity < 4 * codec.MAX_BUFFERED_LENGTH_BYTES + 4 * len(piece)
    return frames


def test_frames_are_the_same_however_their_bytes_are_split() -> None:
    body = bytes(range(256)) * 8
    whole = b"".join(exchange_frame(stream, body=body) for stream in (1, 2, 3))
    whole += codec.encode_frame(codec.HEALTH_CHECK, 9, b"\0")
    rng = random.Random(1)
    for _ in range(50):
        cuts = sorted(rng.sample(range(len(whole)), 20))
        parts = [whole[a:b] for a, b in zip([0, *cuts], [*cuts, len(whole)], strict=True)]
        frames = decode(*parts)
        assert [f.stream for f in frames] == [1, 2, 3, 9]
        assert all(f.body == body and f.wait_ms == 480.0 for f in frames[:3])


def test_value_length_takes_two_bytes() -> None:
    assert decode(exchange_frame(1, o="k" * 700))[0].subject == "k" * 700


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"i": "xyz"}, "'i'"),
        ({"i": None}, "'i'"),
        ({"c": None}, "'c'"),
        ({"s": "soon"}, "'s'"),
        ({"s": "nan"}, "'s'"),
        ({"d": "-1"}, "'d'"),
        ({"m": "inf"}, "'m'"),
        ({"p": "1"}, "'p'"),
        ({"m": "0"}, "memory"),
        ({"m": "1e2"}, "'m'"),
        ({"m": "1_0"}, "'m'"),
        ({"m": " 1"}, "'m'"),
        ({"p": "-0.1"}, "'p'"),
        ({"f": "1.5"}, "'f'"),
        ({"s": "1.5"}, "'s'"),
        ({"d": "1e9"}, "'d'"),
        ({"t": "\udcff"}, "not UTF-8 text"),
        ({"f": None}, "'f'"),
        ({"k": "k" * 257}, "key"),
        ({"body": b"x" * 2049}, "body of 2049"),
        ({"doubled": "t"}, "twice"),
    ],
)
def test_invalid_request_leaves_the_next_frame_readable(changes: dict[str, Any], reason: str) -> None:
    invalid, valid = decode(exchange_frame(7, **changes) + exchange_frame(8))
    assert isinstance(invalid, codec.InvalidRequest) and invalid.stream == 7 and reason in invalid.reason
    assert isinstance(valid, codec.Request)


@pytest.mark.parametrize(
    "raw",
    [
        b"\x04\0\0\0",
        b"\x01\0\x04\0",
        codec.encode_frame(99, 1, b""),
        codec.encode_frame(codec.ANSWER, 1, b"")[:9],
        codec.encode_frame(codec.REQUEST, 0, b"\0"),
        codec.encode_frame(codec.HEALTH_CHECK, 1, b"\x01"),
    ],
)
def test_bytes_that_are_not_a_frame_raise_a_protocol_error(raw: bytes) -> None:
    with pytest.raises(codec.ProtocolError):
        decode(raw)


def test_fields_longer_than_their_frame_do_not_read_the_next_frame() -> None:
    short = codec.encode_frame(codec.REQUEST, 1, b"\x01\x01i\xff\xff")
    invalid, valid = decode(short + exchange_frame(2))
    assert isinstance(invalid, codec.InvalidRequest) and valid.stream == 2


def test_overlong_frame_is_skipped_without_being_buffered() -> None:
    long = exchange_frame(1, body=bytes(200_000))
    invalid, valid = decode(*(long[i : i + 1000] for i in range(0, len(long), 1000)), exchange_frame(2))
    assert isinstance(invalid, codec.InvalidRequest) and invalid.stream == 1 and valid.stream == 2


def test_answers_carry_the_published_value_and_denials_the_wait_and_last_fields() -> None:
    frame = codec.encode_answer(5, codec.DENIED, 2.5, retry_after_ms=120.4, no_other_backend=True)
    assert frame == b"\x1a\0\0\0\x0b\x05\0\0\0\x01\x03\x01v\x03\x002.5\x01w\x03\x00120\x01l\x01\x001"
    result = bytes(range(256)) * 16
    assert codec.encode_answer(5, codec.COMPLETED, None, 9.0, True, result)[9:] == b"\0\0" + result


def test_ring_buffer_keeps_order_when_it_wraps_and_gives_memory_back() -> None:
    buffer, rng, sent, received = RingBuffer(8), random.Random(2), bytearray(), bytearray()
    for _ in range(500):
        piece = rng.randbytes(rng.randrange(40))
        if rng.random() < 0.5:
            buffer.append(piece)
        else:
            for byte in piece:
                buffer.writable_view()[:1] = bytes([byte])
                buffer.mark_written(1)
        sent += piece
        received += buffer.read(rng.randrange(45))
    received += buffer.read(len(buffer))
    assert received == sent
    buffer.append(bytes(5000))
    buffer.discard(5000)
    assert buffer.capacity == 8
