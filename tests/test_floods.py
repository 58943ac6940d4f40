"""Real backends beside floods of bad clients; what the requests of an edge node may suffer from them."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from rig.processes.flood_play import Backend

SEED = 1
FLOOD_LEAD_S = 0.7
EDGE_NODE_S = 1.5
MAX_MEDIAN_MULTIPLE = 3.0  # of the median without a flood
MAX_LOG_LINES = 60  # five of each place in ten seconds


@pytest.fixture
def backend(tmp_path: Path) -> Iterator[Backend]:
    backend = Backend(tmp_path)
    yield backend
    backend.close()


@pytest.mark.parametrize(
    ("kind", "clients", "connections"),
    [
        ("unknown-group", 10, 1),
        ("unknown-identifiers", 1, 1),
        ("one-identifier", 1, 1),
        ("new-caller", 1, 1),
        ("health-checks", 1, 1),
        ("many-fields", 1, 200),
    ],
)
def test_a_flood_delays_no_request_of_an_edge_node(
    backend: Backend, kind: str, clients: int, connections: int
) -> None:
    """Guards against answers that come late or never while bad clients send at full speed."""
    alone = backend.run_edge_node(EDGE_NODE_S)
    backend.flood(kind, clients, FLOOD_LEAD_S + EDGE_NODE_S + 3.0, SEED, connections)
    gevent.sleep(FLOOD_LEAD_S)
    beside = backend.run_edge_node(EDGE_NODE_S)
    assert beside.late == 0
    assert beside.median_ms <= MAX_MEDIAN_MULTIPLE * alone.median_ms
    assert len(backend.log.read_text().splitlines()) <= MAX_LOG_LINES
