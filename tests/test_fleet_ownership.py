"""Tests of the ownership of duties: leases, epochs, handover, balancing and fences, and the steps of one
member under them."""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import pairwise

import msgspec
import pytest

from myrtlecrank.fleet.member import FleetConfig, FleetMember
from myrtlecrank.fleet.membership.messages import MemberUpdate, State
from myrtlecrank.fleet.membership.swim import MembershipTiming
from myrtlecrank.fleet.messages import VoterReply, VoterRequest
from myrtlecrank.fleet.options import DutyOptions, FleetOptions, apply_reloadable, unapplied_options
from myrtlecrank.fleet.ownership.lease import (
    Duty,
    Fence,
    Lease,
    LeaseTimings,
    ReadRecord,
    WriteRecord,
    decode_lease,
    rebalance,
)
from myrtlecrank.fleet.register.messages import EMPTY_RECORD, Outcome, Record, Result, Vote
from myrtlecrank.fleet.step_scheduler import DutySchedule, Effect, StepScheduler
from rig.multi_node.ownership_model_check import (
    SHORTER_TIMINGS,
    ModelCheck,
    lease_counts_from_answer,
    reuses_attempt_numbers,
    trusts_unverified_reads,
    waits_by_its_own_file,
    writes_a_shorter_lease,
)
from rig.multi_node.ownership_model_check import TIMINGS as TIMINGS_OF_CHECK

TIMINGS = LeaseTimings.derive(1000.0, 0.01, 250.0)


def record(lease: Lease, version: int = 1, writer: str = "") -> Record:
    return Record(
        version, WriteRecord(EMPTY_RECORD, lease).value(), writer or f"{lease.owner}:{lease.attempt}"
    )


def done(current: Record) -> Outcome:
    return Outcome(Result.DONE, current)


def read_unverified(duty: Duty, current: Record, now: float) -> None:
    """The duty reads this record by an unverified read."""
    duty.request_sent(ReadRecord(False), now)
    duty.outcome_received(done(current), now)


def owned_duty(owner_id: str = "a/1", now: float = 0.0) -> Duty:
    """A duty that this owner acquired at `now`."""
    duty = Duty("d", owner_id, TIMINGS)
    read_unverified(duty, EMPTY_RECORD, now)
    duty.due = now
    asked = duty.next_request(now, True, 0)
    assert isinstance(asked, WriteRecord)
    duty.request_sent(asked, now)
    duty.outcome_received(done(record(asked.lease)), now + 10.0)
    return duty


def test_the_lease_counts_from_the_sending_of_the_write_and_expires() -> None:
    duty = owned_duty()
    assert duty.owns(999.9) == 1 and duty.owns(1000.0) is None and duty.owns(10.0) is None


def test_an_owner_that_wakes_from_a_pause_finds_its_lease_expired() -> None:
    duty = owned_duty()
    assert duty.owns(50_000.0) is None and duty.log_lines[-1] == "no longer owned, epoch 1: its lease ran out"


def test_the_others_wait_longer_than_the_lease_by_the_drift_of_both_clocks() -> None:
    assert math.isclose(TIMINGS.takeover_wait_ms, 1000.0 * 1.01 / 0.99)
    duty = Duty("d", "b/1", TIMINGS)
    read_unverified(duty, record(Lease("a/1", 4, 7)), 100.0)
    duty.due = 0.0
    assert duty.next_request(100.0 + TIMINGS.takeover_wait_ms - 0.1, True, 0) == ReadRecord(False)
    asked = duty.next_request(100.0 + TIMINGS.takeover_wait_ms, True, 0)
    assert isinstance(asked, WriteRecord) and (asked.lease.owner, asked.lease.epoch) == ("b/1", 5)


def test_a_renewal_restarts_the_wait_also_under_the_same_version() -> None:
    """Two writes may propose one version, and the one that was read need not be the one that was chosen."""
    duty = Duty("d", "b/1", TIMINGS)
    read_unverified(duty, record(Lease("a/1", 4, 7), 3, "first"), 0.0)
    read_unverified(duty, record(Lease("a/1", 4, 8), 3, "second"), 900.0)
    assert duty.available_at(0) == 900.0 + TIMINGS.takeover_wait_ms


def test_a_drift_out_of_range_is_refused() -> None:
    for drift in (-0.1, 0.5, math.nan):
        with pytest.raises(ValueError, match="drift"):
            LeaseTimings.derive(1000.0, drift, 250.0)


def test_an_ineligible_member_only_reads() -> None:
    duty = Duty("d", "b/1", TIMINGS)
    read_unverified(duty, EMPTY_RECORD, 0.0)
    duty.due = 0.0
    assert duty.next_request(10_000.0, False, 0) == ReadRecord(False)


def test_a_member_with_duties_acquires_another_later() -> None:
    duty = Duty("d", "b/1", TIMINGS)
    read_unverified(duty, EMPTY_RECORD, 0.0)
    assert duty.available_at(0) == 0.0 and duty.available_at(3) == 3.0 * TIMINGS.stagger_ms


def test_a_renewal_of_unknown_outcome_changes_nothing_until_a_verified_read() -> None:
    duty = owned_duty()
    duty.due = 0.0
    asked = duty.next_request(400.0, True, 1)
    assert isinstance(asked, WriteRecord)
    duty.request_sent(asked, 400.0)
    duty.outcome_received(Outcome(Result.UNKNOWN), 700.0)
    assert duty.owns(999.0) == 1
    duty.due = 0.0
    assert duty.next_request(800.0, True, 1) == ReadRecord(True)
    duty.request_sent(ReadRecord(True), 800.0)
    duty.outcome_received(done(record(asked.lease, 2)), 850.0)
    assert duty.lease_end == 1400.0, "it was chosen, so the lease counts from its sending"


def test_an_unverified_read_never_extends_a_lease() -> None:
    duty = owned_duty()
    until = duty.lease_end
    duty.due = 0.0
    asked = duty.next_request(400.0, True, 1)
    assert isinstance(asked, WriteRecord)
    duty.request_sent(asked, 400.0)
    duty.outcome_received(Outcome(Result.UNKNOWN), 500.0)
    read_unverified(duty, record(asked.lease, 2), 550.0)
    assert duty.lease_end == until


def test_an_older_write_that_is_chosen_is_not_taken_for_the_newer() -> None:
    """Each write has its own attempt number; otherwise the lease would count from the sending of the newer
    write, which was lost."""
    duty = owned_duty()
    attempts = []
    for now in (400.0, 500.0):
        duty.due = 0.0
        duty.record_is_known = True
        asked = duty.next_request(now + 400.0, True, 1)
        assert isinstance(asked, WriteRecord)
        attempts.append(asked.lease.attempt)
        duty.request_sent(asked, now)
        duty.outcome_received(Outcome(Result.UNKNOWN), now + 50.0)
    assert attempts[0] != attempts[1]
    duty.request_sent(ReadRecord(True), 560.0)
    duty.outcome_received(done(record(Lease("a/1", 1, attempts[0]), 2)), 580.0)
    assert duty.lease_end == 1000.0


def test_an_owner_stops_when_its_duty_was_taken_by_another() -> None:
    duty = owned_duty()
    duty.request_sent(ReadRecord(True), 500.0)
    duty.outcome_received(done(record(Lease("b/1", 2, 1), 2)), 510.0)
    assert duty.owns(511.0) is None and "taken by b/1" in duty.log_lines[-1]


def test_an_earlier_start_of_the_same_member_is_another_owner() -> None:
    duty = Duty("d", "a/2", TIMINGS)
    read_unverified(duty, record(Lease("a/1", 4, 7)), 0.0)
    assert duty.available_at(0) == TIMINGS.takeover_wait_ms


def test_a_released_duty_is_not_worked_on_and_its_heir_comes_first() -> None:
    duty = owned_duty()
    duty.release("b")
    assert duty.owns(100.0) is None
    asked = duty.next_request(100.0, True, 1)
    assert isinstance(asked, WriteRecord) and (
        asked.lease.owner,
        asked.lease.successor,
        asked.lease.epoch,
    ) == ("", "b", 1)
    duty.request_sent(asked, 100.0)
    duty.outcome_received(done(record(asked.lease, 2)), 110.0)
    released = record(asked.lease, 2)
    successor, other = Duty("d", "b/1", TIMINGS), Duty("d", "c/1", TIMINGS)
    for one in (successor, other):
        read_unverified(one, released, 120.0)
    assert successor.available_at(0) == 120.0 and other.available_at(0) == 120.0 + TIMINGS.successor_wait_ms


def test_a_record_that_holds_no_lease_is_left_unchanged() -> None:
    duty = Duty("d", "a/1", TIMINGS)
    duty.request_sent(ReadRecord(False), 0.0)
    duty.outcome_received(done(Record(1, b"\xff?", "x")), 1.0)
    assert duty.log_lines == ["its record cannot be read"] and duty.next_request(100.0, True, 0) is None


def test_a_completed_step_is_kept_if_its_write_failed() -> None:
    """A step is completed while a renewal is under way, the lease expires, and then the renewal is found to
    be chosen, without the step: it stays completed."""
    duty = owned_duty()
    duty.due = 0.0
    asked = duty.next_request(400.0, True, 1)
    assert isinstance(asked, WriteRecord)
    duty.request_sent(asked, 400.0)
    duty.advance(1)
    duty.owns(1200.0)
    duty.outcome_received(done(record(asked.lease, 2)), 1210.0)
    assert duty.owns(1211.0) == 1 and duty.completed_step == 1 and duty.recorded_step() == 0
    duty.due = 0.0
    again = duty.next_request(1212.0, True, 1)
    assert isinstance(again, WriteRecord) and again.lease.progress == 1


def test_a_lease_is_decoded_as_it_was_encoded() -> None:
    lease = Lease("a/1", 3, 9, "b", 17)
    assert decode_lease(record(lease)) == lease and decode_lease(EMPTY_RECORD) == Lease()


OWNERS = {"d1": "a", "d2": "a", "d3": "a", "d4": "b"}
ZONES = {"a": "z0", "b": "z1", "c": "z1", "d": "z2"}


@pytest.mark.parametrize(
    ("owners", "own_name", "eligible", "expected"),
    [
        (OWNERS, "a", ["a", "b", "c", "d"], ("d3", "d")),  # the zone with the fewest, before the name
        (OWNERS, "a", ["a", "b"], ("d3", "b")),
        (OWNERS, "b", ["a", "b", "c"], None),
        ({"d1": "a"}, "a", ["a", "b"], None),  # a difference of one is balanced
        (OWNERS, "a", ["a"], None),
        (OWNERS, "a", [], None),
    ],
)
def test_duties_are_balanced_one_at_a_time(
    owners: dict[str, str], own_name: str, eligible: list[str], expected: tuple[str, str] | None
) -> None:
    assert rebalance(owners, own_name, eligible, ZONES) == expected


def test_balancing_comes_to_an_end() -> None:
    owners = {f"d{i}": "a" for i in range(20)}
    names = ["a", "b", "c", "d"]
    for _ in range(100):
        moves = [m for name in names if (m := rebalance(owners, name, names, ZONES)) is not None]
        if not moves:
            break
        owners[moves[0][0]] = moves[0][1]
    assert not moves and all(list(owners.values()).count(n) == 5 for n in names)


def test_a_fence_refuses_epochs_older_than_the_newest_it_met() -> None:
    fence = Fence({"d": 3})
    assert [fence.admits("d", epoch) for epoch in (2, 3, 5, 4, 5)] == [False, True, True, False, True]
    assert fence.admits("other", 1)


# -- one member's steps

WORK = DutySchedule("d", 100.0, 400.0, 50.0)
PACE = MembershipTiming(500.0, 150.0, 3, 1500.0, 60_000.0, 5000.0)


def owner() -> FleetMember:
    """A fleet of one member and one voter that owns its duty since 0."""
    plan = FleetConfig(("v",), (WORK,), TIMINGS, PACE, 250.0, 3000.0)
    fleet = FleetMember(
        MemberUpdate("a", ("127.0.0.1", 1), "z", 1, State.ALIVE), "1", {}, plan, lambda: 0.5, 0.0
    )
    fleet.duties["d"] = owned_duty(fleet.owner_id)
    return fleet


def requests_of(start_id: str) -> tuple[FleetMember, list[VoterRequest]]:
    """A start of a member with three voters, and its requests for the duty's record."""
    plan = FleetConfig(("v", "w", "x"), (WORK,), TIMINGS, PACE, 250.0, 3000.0)
    local = MemberUpdate("a", ("127.0.0.1", 1), "z", 1, State.ALIVE)
    fleet = FleetMember(local, start_id, {}, plan, lambda: 0.5, 0.0)
    fleet.tick(5000.0)
    return fleet, [message for _, message in fleet.outgoing if isinstance(message, VoterRequest)]


def test_votes_for_a_call_of_an_earlier_start_count_for_none_of_this_one() -> None:
    """Guards against a record that is read or written on the votes for another request."""
    _, earlier = requests_of("1")
    fleet, own = requests_of("2")
    assert earlier and own and earlier[0].round == own[0].round
    fleet.outgoing.clear()

    def reply(request: VoterRequest, voter: str) -> VoterReply:
        return VoterReply(request.call, request.round, Vote(voter, 0, True))

    for voter in ("v", "w", "x"):
        fleet.handle(voter, reply(earlier[0], voter), 5001.0)
    assert fleet.duties["d"].pending_request is not None and not fleet.outgoing
    for voter in ("v", "w", "x"):
        fleet.handle(voter, reply(own[0], voter), 5002.0)
    assert fleet.duties["d"].pending_request is None


def test_a_step_waits_until_the_one_before_is_recorded() -> None:
    fleet = owner()
    fleet.tick(20.0)
    assert fleet.effects == [Effect("d", 1, 1, 420.0)]
    fleet.finish_effect(fleet.effects.pop(), True, 30.0)
    fleet.tick(200.0)
    assert not fleet.effects
    duty = fleet.duties["d"]
    assert isinstance(duty.pending_request, WriteRecord) and duty.pending_request.lease.progress == 1
    duty.outcome_received(done(record(duty.pending_request.lease, 2)), 210.0)
    fleet.tick(211.0)
    assert [one.step for one in fleet.effects] == [2]


def test_a_failed_step_is_retried_with_a_growing_delay() -> None:
    fleet = owner()
    times = []
    now = 20.0
    while now < 900.0 and len(times) < 4:
        fleet.duties["d"].due = 1e9  # no requests to the register
        fleet.tick(now)
        if fleet.effects:
            times.append(now)
            assert fleet.effects[0].step == 1
            fleet.finish_effect(fleet.effects.pop(), False, now)
        now += 1.0
    assert [round(b - a) for a, b in pairwise(times)] == [50, 100, 200]


def test_a_step_under_an_expired_lease_is_offered_again_if_a_renewal_was_chosen_after_all() -> None:
    """If the step stayed under way, it would wait for a record that nobody writes."""
    fleet = owner()
    duty = fleet.duties["d"]
    fleet.tick(20.0)
    (first,) = fleet.effects
    fleet.effects.clear()
    duty.due = 1e9
    fleet.tick(1500.0)
    assert duty.epoch is None and fleet.scheduler.progress["d"].expires_at is None
    duty.epoch, duty.lease_end = 1, 3000.0  # a renewal was chosen after all
    fleet.tick(1600.0)
    assert [(one.epoch, one.step) for one in fleet.effects] == [(first.epoch, first.step)]


def test_an_effect_ends_at_its_deadline_or_at_the_end_of_the_lease() -> None:
    fleet = owner()
    fleet.scheduler.progress["d"].epoch, fleet.scheduler.progress["d"].due = 1, 0.0
    fleet.duties["d"].due = 1e9
    fleet.tick(900.0)
    assert fleet.effects[0].expires_at == 1000.0


def test_a_member_without_its_lease_begins_no_step() -> None:
    fleet = owner()
    fleet.tick(60_000.0)
    assert not fleet.effects and fleet.owned(60_000.0) == []


def test_a_member_that_drains_releases_its_duties_at_once() -> None:
    fleet = owner()
    fleet.leave(100.0)
    asked = fleet.duties["d"].pending_request
    assert (
        isinstance(asked, WriteRecord)
        and asked.lease.owner == ""
        and fleet.membership.local.state is State.LEFT
    )


# -- limits of the step scheduler


def scheduler(together: int, **works: DutySchedule) -> StepScheduler:
    """Steps of duties that are all owned until 1000."""
    duties = {name: owned_duty() for name in works}
    return StepScheduler(works.values(), duties, together)


def test_the_number_of_steps_under_way_is_bounded_and_no_duty_starves() -> None:
    steps = scheduler(2, **{name: DutySchedule(name, 10.0, 400.0, 50.0) for name in "abcd"})
    begun: list[str] = []
    now = 20.0
    for _ in range(12):
        effects = steps.tick(now)
        assert steps._running_steps() <= 2
        begun += [one.duty for one in effects]
        now += 15.0
        for effect in effects:
            steps.finish(effect, True, now)
            steps.duties[effect.duty].lease = Lease("a/1", 1, 1, "", effect.step)  # recorded
    assert {name: begun.count(name) for name in "abcd"} == dict.fromkeys("abcd", 6)


def test_a_member_at_its_limit_waits_until_a_step_ends() -> None:
    steps = scheduler(1, a=DutySchedule("a", 10.0, 400.0, 50.0), b=DutySchedule("b", 10.0, 300.0, 50.0))
    (first,) = steps.tick(20.0)
    assert first.duty == "a" and steps.due() == 420.0 and not steps.tick(100.0)
    steps.finish(first, False, 120.0)
    assert [one.duty for one in steps.tick(121.0)] == ["b"]


@pytest.mark.parametrize(("share", "next_at"), [(1.0, 130.0), (0.25, 420.0), (0.5, 220.0)])
def test_a_duty_keeps_to_its_share_of_time(share: float, next_at: float) -> None:
    """A step of 100 ms is followed by the interval between steps, or by a longer wait if the share requires
    it."""
    steps = scheduler(1, a=DutySchedule("a", 10.0, 400.0, 50.0, share))
    (first,) = steps.tick(20.0)
    steps.finish(first, True, 120.0)
    steps.duties["a"].lease = Lease("a/1", 1, 1, "", 1)
    assert steps.due() == pytest.approx(next_at)
    assert not steps.tick(next_at - 0.1) and steps.tick(next_at)


def test_failed_steps_count_towards_the_share() -> None:
    steps = scheduler(1, a=DutySchedule("a", 10.0, 400.0, 50.0, 0.1))
    (first,) = steps.tick(20.0)
    steps.tick(first.expires_at)
    assert steps.due() == pytest.approx(first.expires_at + 3600.0)


def test_a_reloaded_file_changes_how_duties_are_worked_on_and_nothing_else() -> None:
    old = FleetOptions(
        name="f",
        voters=("a", "b", "c"),
        lease_ms=2000.0,
        duties={"d": DutyOptions(to="127.0.0.1:1"), "gone": DutyOptions(to="127.0.0.1:2")},
    )
    new = FleetOptions(
        name="f",
        voters=("a", "b", "e"),
        lease_ms=900.0,
        together=2,
        even_ms=500.0,
        duties={"d": DutyOptions(to="127.0.0.1:9", every_ms=50.0, share=0.5), "new": DutyOptions()},
    )
    merged = apply_reloadable(old, new)
    assert (merged.together, merged.even_ms, merged.lease_ms) == (2, 500.0, 2000.0)
    changed = DutyOptions(to="127.0.0.1:1", every_ms=50.0, share=0.5)
    assert merged.duties == {"d": changed, "gone": old.duties["gone"]}
    assert unapplied_options(merged, new) == ["voters", "lease_ms", "duties"]


def test_steps_continue_under_reloaded_options() -> None:
    fleet = owner()
    fleet.tick(20.0)
    fleet.apply_config(
        FleetConfig(
            ("x",),
            (DutySchedule("d", 1000.0, 50.0, 50.0, 0.5),),
            TIMINGS,
            PACE,
            9.0,
            7.0,
            max_concurrent_steps=1,
        )
    )
    (first,) = fleet.effects
    fleet.finish_effect(first, True, 30.0)
    assert (
        fleet.scheduler.progress["d"].due == 1030.0
        and fleet.config.voters == ("v",)
        and fleet.config.register_reply_ms == 250.0
    )


# -- all orders of events


def test_no_order_of_events_gives_an_owned_duty_two_owners() -> None:
    model_check = ModelCheck(12).run(owned=True)
    assert (
        not model_check.violations
        and len(model_check.visited) > 40_000
        and model_check.later_epoch_states > 1000
    )
    assert model_check.owners == {"a/1", "b/1"}


def test_no_order_of_events_gives_a_new_duty_two_owners() -> None:
    model_check = ModelCheck(10).run()
    assert not model_check.violations and model_check.owners == {"a/1", "b/1"}


@pytest.mark.parametrize(
    ("inject_fault", "depth"),
    [(lease_counts_from_answer, 14), (trusts_unverified_reads, 12), (reuses_attempt_numbers, 11)],
)
def test_the_model_check_finds_injected_faults_of_ownership(
    inject_fault: Callable[[Duty], None], depth: int
) -> None:
    assert ModelCheck(depth, inject_fault=inject_fault).run(owned=True).violations


def test_the_model_check_finds_a_wait_shorter_than_the_lease() -> None:
    assert ModelCheck(12, inject_fault=writes_a_shorter_lease).run(owned=True).violations


UNLIKE_FILES = [(TIMINGS_OF_CHECK, SHORTER_TIMINGS), (SHORTER_TIMINGS, TIMINGS_OF_CHECK)]


@pytest.mark.parametrize("timings", UNLIKE_FILES)
def test_no_order_of_events_gives_a_duty_two_owners_while_two_files_are_in_force(
    timings: tuple[LeaseTimings, LeaseTimings],
) -> None:
    """Guards against two owners while members are started again one by one with another lease_ms."""
    model_check = ModelCheck(12, timings).run(owned=True)
    assert not model_check.violations and model_check.owners == {"a/1", "b/1"}


def test_the_model_check_finds_a_member_that_waits_by_its_own_file() -> None:
    assert ModelCheck(12, UNLIKE_FILES[0], waits_by_its_own_file).run(owned=True).violations


def test_others_wait_for_the_lease_and_the_larger_drift_of_both_files() -> None:
    duty = Duty("d", "a/1", LeaseTimings.derive(1000.0, 0.05, 250.0))
    for lease, wait_ms in (
        (Lease("b/1", 1, 1, "", 0, 20_000.0, 0.01), 20_000.0 * 1.05 / 0.95),
        (Lease("b/1", 1, 1, "", 0, 200.0, 0.2), 200.0 * 1.2 / 0.8),
        (Lease("b/1", 1, 1), 1000.0 * 1.05 / 0.95),  # by a version that did not write them
    ):
        duty.lease = lease
        assert math.isclose(duty.takeover_wait(), wait_ms)


@pytest.mark.parametrize(
    "figures",
    [{"lease_ms": -1.0}, {"lease_ms": math.inf}, {"lease_ms": math.nan}, {"drift": 0.5}, {"drift": math.nan}],
)
def test_a_record_with_impossible_figures_is_left_as_it_is(figures: dict[str, float]) -> None:
    value = {"owner": "b/1", "epoch": 3, "turn": 1, "heir": "", "progress": 2} | figures
    duty = Duty("d", "a/1", TIMINGS)
    duty.request_sent(ReadRecord(False), 0.0)
    duty.outcome_received(done(Record(1, msgspec.msgpack.encode(value), "b/1:1")), 1.0)
    assert duty.log_lines == ["its record cannot be read"] and not duty.record_is_known
    assert duty.next_request(duty.due, True, 0) == ReadRecord(False)


def test_a_record_of_the_version_before_is_read_and_its_reader_reads_this_one() -> None:
    class EarlierLease(msgspec.Struct, frozen=True):
        owner: str = ""
        epoch: int = 0
        turn: int = 0
        heir: str = ""
        progress: int = 0

    earlier = EarlierLease("b/1", 3, 9, "c", 17)
    assert decode_lease(Record(1, msgspec.msgpack.encode(earlier), "w")) == Lease("b/1", 3, 9, "c", 17)
    raw = msgspec.msgpack.encode(Lease("b/1", 3, 9, "c", 17, 1000.0, 0.01))
    assert msgspec.msgpack.decode(raw, type=EarlierLease) == earlier
