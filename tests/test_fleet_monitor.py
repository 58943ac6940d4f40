"""The fleet's monitor: what it gathers, the view that it publishes, and what is too old to be used."""

from __future__ import annotations

import math

from myrtlecrank.fleet.monitor.messages import FleetView, Gauges, GaugesReply, MemberGauges
from myrtlecrank.fleet.monitor.monitor import Monitor

LOCAL, OTHER = Gauges(published_value=1.0), Gauges(published_value=2.0, has_retry_storm=True)


def receiving_monitor() -> Monitor:
    """One that sends a view each 1000 ms and uses nothing from an age of 4000 ms."""
    return Monitor(1000.0, 4000.0)


def active_monitor(now: float = 0.0, epoch: int = 1) -> tuple[Monitor, list[tuple[str, FleetView]]]:
    """One that owns the duty, and its first views."""
    monitor = receiving_monitor()
    return monitor, monitor.tick(now, epoch, ["a", "b", "c"], "a", LOCAL)


def test_the_monitor_polls_all_other_members_and_sends_what_it_has() -> None:
    monitor, sends = active_monitor()
    assert [to for to, _ in sends] == ["b", "c"]
    assert sends[0][1] == FleetView(1, 1, [MemberGauges("a", LOCAL, 0.0)])
    assert not monitor.tick(999.0, 1, ["a", "b", "c"], "a", LOCAL)


def test_a_member_that_does_not_own_the_duty_sends_no_view() -> None:
    assert not receiving_monitor().tick(5000.0, None, ["a", "b"], "a", LOCAL)


def test_the_age_of_a_reading_counts_from_its_request() -> None:
    monitor, _ = active_monitor()
    monitor.handle_reply("b", GaugesReply(1, 1, OTHER), 300.0)
    (_, view), *_ = monitor.tick(1000.0, 1, ["a", "b", "c"], "a", LOCAL)
    assert view.members == [MemberGauges("a", LOCAL, 0.0), MemberGauges("b", OTHER, 1000.0)]


def test_a_reply_to_another_epoch_or_to_no_request_is_ignored() -> None:
    monitor, _ = active_monitor()
    monitor.handle_reply("b", GaugesReply(2, 1, OTHER), 10.0)
    monitor.handle_reply("b", GaugesReply(1, 9, OTHER), 10.0)
    assert list(monitor.gathered) == ["a"]


def test_a_late_reply_does_not_replace_a_newer_one() -> None:
    monitor, _ = active_monitor()
    monitor.tick(1000.0, 1, ["a", "b", "c"], "a", LOCAL)
    monitor.handle_reply("b", GaugesReply(1, 2, OTHER), 1100.0)
    monitor.handle_reply("b", GaugesReply(1, 1, LOCAL), 1200.0)
    assert monitor.gathered["b"].gauges == OTHER


def test_a_departed_member_is_removed_from_the_view() -> None:
    monitor, _ = active_monitor()
    monitor.handle_reply("b", GaugesReply(1, 1, OTHER), 10.0)
    ((_, view),) = monitor.tick(1000.0, 1, ["a", "c"], "a", LOCAL)
    assert [one.member for one in view.members] == ["a"]


def test_a_new_monitor_starts_empty() -> None:
    monitor, _ = active_monitor()
    monitor.handle_reply("b", GaugesReply(1, 1, OTHER), 10.0)
    monitor.tick(2000.0, None, ["a", "b"], "a", LOCAL)
    ((_, view),) = monitor.tick(2100.0, 5, ["a", "b"], "a", LOCAL)
    assert view == FleetView(5, 1, [MemberGauges("a", LOCAL, 0.0)])


def test_a_view_is_answered_with_the_local_gauges_and_ages_at_its_receiver() -> None:
    monitor = receiving_monitor()
    view = FleetView(3, 7, [MemberGauges("b", OTHER, 500.0)])
    assert monitor.handle_view(view, LOCAL, 100.0) == GaugesReply(3, 7, LOCAL)
    known = monitor.current_view(300.0)
    assert known is not None and (known[0].member, known[0].age_ms) == ("b", 700.0)


def test_a_view_of_an_older_epoch_or_one_that_was_overtaken_is_refused() -> None:
    monitor = receiving_monitor()
    monitor.handle_view(FleetView(3, 7, []), LOCAL, 0.0)
    assert monitor.handle_view(FleetView(2, 99, [MemberGauges("b", OTHER, 0.0)]), LOCAL, 1.0) is None
    assert monitor.handle_view(FleetView(3, 7, [MemberGauges("b", OTHER, 0.0)]), LOCAL, 2.0) is None
    assert monitor.current_view(3.0) == []
    assert monitor.handle_view(FleetView(4, 1, []), LOCAL, 4.0) is not None


def test_an_old_view_is_unknown_and_an_old_reading_is_left_out_of_one() -> None:
    monitor = receiving_monitor()
    assert monitor.current_view(0.0) is None
    view = FleetView(1, 1, [MemberGauges("b", OTHER, 3000.0), MemberGauges("c", OTHER, 0.0)])
    monitor.handle_view(view, LOCAL, 0.0)
    known = monitor.current_view(1000.0)
    assert known is not None and [one.member for one in known] == ["c"]
    assert monitor.current_view(4000.0) is None


def test_an_invalid_age_is_never_newer_than_now() -> None:
    monitor = receiving_monitor()
    view = FleetView(1, 1, [MemberGauges("b", OTHER, -5000.0), MemberGauges("c", OTHER, math.nan)])
    monitor.handle_view(view, LOCAL, 0.0)
    known = monitor.current_view(10.0)
    assert known is not None and [(one.member, one.age_ms) for one in known] == [("b", 10.0)]
