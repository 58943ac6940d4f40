"""The experiment fleet-owner on the virtual clock: its figures, its checkers, and the injected faults that
these must detect."""

from __future__ import annotations

from typing import Any

import pytest

from myrtlecrank.fleet.step_scheduler import Effect
from rig.multi_node.checkers import MajorityOutages, Resource
from rig.multi_node.ownership_experiment import ROLL_STEP_INTERVAL_MS, Scenario, play
from rig.multi_node.planted_faults import INJECTED_FAULTS


def test_the_resource_refuses_an_old_epoch_and_recognizes_a_repeated_step() -> None:
    resource = Resource()
    offers = [("a", 1, 1), ("b", 2, 1), ("b", 2, 2), ("a", 1, 2), ("b", 2, 4)]
    answers = [
        resource.offer(float(i), owner, Effect("d", epoch, step, 0.0))
        for i, (owner, epoch, step) in enumerate(offers)
    ]
    assert answers == [True, True, True, False, True]
    assert (resource.late_offered, resource.late_applied, resource.again_offered) == (1, 0, 1)
    assert resource.steps_lost() == 1 and resource.owners_at_once() == 1


def test_owners_whose_effects_interleave_count_as_two() -> None:
    resource = Resource(fence=False)
    for i, (owner, epoch) in enumerate([("a", 1), ("b", 2), ("a", 1), ("b", 2)]):
        resource.offer(float(i), owner, Effect("d", epoch, i + 1, 0.0))
    assert resource.owners_at_once() == 2 and resource.late_applied == 1


Events = dict[str, Any]
ROLLS: Events = {"changes_lease": True, "step_interval_ms": ROLL_STEP_INTERVAL_MS}
MOVES: Events = {"moves_duties": True}
# The first seed with which each injected fault is detected, and the events that it takes.
DETECTING_SEEDS: dict[str, tuple[int, Events]] = {
    "wall-time": (29, {}),
    "epoch-from-memory": (1, {}),
    "no-look-on-waking": (2, {}),
    "wait-by-own-file": (1, ROLLS),
    "shared-connection": (22, MOVES),
}


@pytest.mark.parametrize("seed", [1, 5, 16])
def test_one_owner_at_a_time_through_faults(seed: int) -> None:
    """Seed 16 covers a fault in which a step that was done but not recorded was forgotten, so that its duty
    never advanced again. Seed 5 covers the same result after a lease that had expired during a step proved
    to be valid."""
    played = play(seed, Scenario(length_ms=45_000.0))
    assert not played.violations and played.figures["stuck"] == 0
    assert played.figures["takeover_s"] < 3.0 * 0.6 and played.figures["steps"] > 500


def test_without_faults_no_owner_changes_once_the_duties_are_even() -> None:
    played = play(1, Scenario(length_ms=20_000.0, faults=False))
    assert played.figures["unowned_share"] == 0 and played.figures["owner_changes"] <= 3
    assert played.figures["late_effects_offered"] == 0


def test_the_same_seed_gives_the_same_trace() -> None:
    first, second = (play(9, Scenario(length_ms=20_000.0)) for _ in range(2))
    assert first == second and first.trace != play(10, Scenario(length_ms=20_000.0)).trace


def test_without_the_fence_late_effects_are_taken() -> None:
    played = play(1, Scenario(length_ms=30_000.0, fence=False))
    assert played.figures["late_effects_taken"] > 0 and played.violations


@pytest.mark.parametrize("bug", DETECTING_SEEDS)
def test_injected_faults_of_ownership_are_detected(bug: str) -> None:
    seed, events = DETECTING_SEEDS[bug]
    assert play(seed, Scenario(length_ms=30_000.0, **events), INJECTED_FAULTS[bug]).violations


@pytest.mark.parametrize("seed", [3, 22])
@pytest.mark.parametrize("events", [ROLLS, MOVES])
def test_one_owner_and_no_lost_step_while_duties_move_and_files_change(seed: int, events: Events) -> None:
    """A duty that comes back while its step is under way, at a receiver that is busy at times; members
    restarted one by one with another lease."""
    assert not play(seed, Scenario(length_ms=30_000.0, **events)).violations


def test_one_owner_at_a_time_while_voters_are_replaced() -> None:
    played = play(1, Scenario(length_ms=45_000.0, replaces_voters=True))
    assert not played.violations and played.figures["stuck"] == 0
    assert played.figures["voters_changed"] >= 3


def test_time_outside_lost_majorities_excludes_the_takeover_after_them() -> None:
    away = MajorityOutages(50.0)
    for now in range(0, 1000, 25):
        away.sample(float(now), not (200 <= now <= 300 or 600 <= now <= 625))
    assert away.intervals == [[200.0, 300.0], [600.0, 625.0]] and away.total_ms() == 125.0
    assert away.available_ms(0.0, 1000.0) == 1000.0 - 150.0 - 75.0
    assert away.available_ms(250.0, 340.0) == 0.0 and away.available_ms(325.0, 500.0) == 150.0
    assert MajorityOutages(50.0).available_ms(1.0, 3.0) == 2.0
