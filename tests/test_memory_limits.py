"""What connections and exchanges may hold of the memory: bounded by figures that follow from the limits."""

from __future__ import annotations

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from helpers import CoreHarness, exchange_frame, group
from test_edge import ServerHarness, read_frame

from myrtlecrank.core.messages import RunEnded, StartRun
from myrtlecrank.edge import limits
from myrtlecrank.edge.limits import BufferPool, edge_limits
from myrtlecrank.edge.read_account import ReadPriority
from myrtlecrank.frames import codec
from myrtlecrank.frames.ring_buffer import RingBuffer
from myrtlecrank.policy.interface import EffectKind, Outcome
from rig.processes.flood_play import Backend

SEED = 3
HELD_CONNECTIONS = 300
LEFT_BYTES = 1000  # of a frame that never arrives whole
MAX_STALE_TIMERS = 200


@pytest.mark.parametrize("memory_mb", [96.0, 128.0, 192.0, 1000.0])
@pytest.mark.parametrize("sockets", [128, 384, 512, 1024])
def test_all_that_the_edge_may_hold_fits_into_the_memory(sockets: int, memory_mb: float) -> None:
    derived = edge_limits(sockets, memory_mb)
    others = limits.PROGRAM_BYTES + min(limits.CACHE_MAX_BYTES, limits.CACHE_SHARE * memory_mb * 1e6)
    assert derived.most_bytes + others <= memory_mb * 1e6
    assert derived.max_connections <= sockets - limits.RESERVED_SOCKETS


def test_half_of_the_descriptors_are_there_for_callers_where_memory_is_short() -> None:
    """Edge nodes open connections up to half of the descriptors."""
    assert edge_limits(512, 96.0).max_connections >= 256


@pytest.mark.parametrize("seed", range(5))
def test_what_decoders_hold_of_large_frames_is_bounded(seed: int) -> None:
    """Guards against many connections that each stop half way through a large request, or write it slowly."""
    chance = random.Random(seed)
    pool = BufferPool(10 * codec.MAX_BUFFERED_LENGTH_BYTES)
    rings = [RingBuffer(2048) for _ in range(100)]
    decoders = [codec.Decoder(ring, large_frames=pool) for ring in rings]
    streams = [0] * 100
    pending = [b""] * 100
    for _ in range(4000):
        number = chance.randrange(100)
        if not pending[number]:
            streams[number] += 1
            size = chance.choice([10, 2000, 5000, 12_000, 16_000])
            pending[number] = exchange_frame(streams[number], body=bytes(2), x="v" * size)
        count = chance.choice([1, 500, 2048, 2048])
        rings[number].append(pending[number][:count])
        pending[number] = pending[number][count:]
        for frame in decoders[number].frames():
            assert frame.stream <= streams[number]
        held = sum(max(0, len(ring) - codec.SMALL_FRAME_BYTES - 2048) for ring in rings)
        assert held <= 10 * codec.MAX_BUFFERED_LENGTH_BYTES
        assert pool.free_bytes + sum(each.reserved_bytes for each in decoders) == 10 * 16_384
    for decoder in decoders:
        decoder.release()
    assert pool.free_bytes == 10 * codec.MAX_BUFFERED_LENGTH_BYTES


def test_a_large_frame_without_memory_is_terminated_and_the_next_one_is_read() -> None:
    ring = RingBuffer()
    decoder = codec.Decoder(ring, large_frames=BufferPool(0))
    large = exchange_frame(1, x="v" * 9000)
    ring.append(large[:5000])
    assert [type(frame) for frame in decoder.frames()] == [codec.InvalidRequest]
    ring.append(large[5000:] + exchange_frame(2))
    assert [type(frame) for frame in decoder.frames()] == [codec.Request]


@pytest.mark.parametrize("kind", [EffectKind.REPEATABLE, EffectKind.MUTATING])
def test_an_exchange_beyond_the_limit_is_answered_at_once(kind: EffectKind) -> None:
    with gevent.Timeout(10.0):
        harness = ServerHarness(kind=kind)
        harness.server.max_open_exchanges = 2
        _, sock = harness.open()
        sock.sendall(b"".join(exchange_frame(stream) for stream in (1, 2, 3)))
        kind_of_frame, stream, payload = read_frame(sock)
        denied = payload[0] == codec.DENIED and b"\x01w" in payload
        assert (kind_of_frame, stream) == (codec.ANSWER, 3)
        assert denied if kind is EffectKind.REPEATABLE else payload[0] == codec.TERMINATED
        assert len(harness.requests(2)) == 2
        harness.server.listener.close()


def test_the_background_leaves_room_for_exchanges_of_sound_callers() -> None:
    harness = ServerHarness()
    harness.server.max_open_exchanges = 10
    harness.core.unanswered = 5
    rooms = {priority: harness.server.has_room(priority) for priority in ReadPriority}
    assert rooms == {
        ReadPriority.PROVEN: True,
        ReadPriority.NEW: True,
        ReadPriority.BACKGROUND: False,
    }
    harness.server.listener.close()


@pytest.mark.parametrize("kind", [EffectKind.REPEATABLE, EffectKind.DEDUPLICATED])
def test_timers_of_exchanges_that_are_over_do_not_pile_up(kind: EffectKind) -> None:
    """Guards against memory that grows with each refused request until its caller stops waiting."""
    harness = CoreHarness(group(kind, deduplication_window=20_000.0))
    for number in range(3000):
        now = number * 0.5
        harness.submit(f"{number:x}", now, result_key=f"{number:x}", caller_timeout=8000.0)
        if [command.exchange_id for command in harness.commands(StartRun)[-1:]] == [f"{number:x}"]:
            refused: Any = RunEnded(f"{number:x}", Outcome.NOT_STARTED, 0.0, b"", refused=True)
            harness.process_batch(now, refused)
    assert harness.core.controller is not None
    assert not harness.core.entries_by_id
    assert len(harness.core.controller.timers.heap) <= MAX_STALE_TIMERS
    assert harness.core.controller.used_kb == pytest.approx(0.0, abs=1e-6)


@pytest.fixture
def backend(tmp_path: Path) -> Iterator[Backend]:
    backend = Backend(tmp_path, memory_mb=96)
    yield backend
    backend.close()


@pytest.mark.parametrize("kind", ["half-frame", "slow-frame", "half-large-request", "large-subject"])
def test_hundreds_of_clients_that_hold_large_requests_stay_within_the_memory(
    backend: Backend, kind: str
) -> None:
    """Guards against a process that is killed for memory while hundreds of clients write slowly or stop."""
    backend.flood(kind, 1, 6.0, SEED, HELD_CONNECTIONS)
    gevent.sleep(1.5)
    result = backend.run_edge_node(1.0)
    assert result.late == 0
    assert backend.peak_memory_mb() < 96.0 / 1.048576
