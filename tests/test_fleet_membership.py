"""The membership protocol: probes, suspicion, refutation, loss, leave and return; and up to 50 members on the
virtual clock."""

from __future__ import annotations

from random import Random

import pytest

from myrtlecrank.fleet.membership.messages import (
    Ack,
    MembershipMessage,
    MemberUpdate,
    Ping,
    PingRequest,
    State,
    StateExchange,
)
from myrtlecrank.fleet.membership.swim import (
    MAX_HEALTH_SCORE,
    MAX_UPDATES_PER_MESSAGE,
    Membership,
    MembershipTiming,
    Outgoing,
)
from rig.multi_node.environment import SimulatedEnvironment

TIMING = MembershipTiming(
    probe_interval_ms=500.0,
    probe_reply_ms=150.0,
    helpers=3,
    min_suspicion_ms=1500.0,
    forget_ms=60_000.0,
    exchange_interval_ms=5000.0,
)
ADDRESS = ("127.0.0.1", 1)


def update(
    name: str, incarnation: int = 1, state: State = State.ALIVE, suspected_by: str = ""
) -> MemberUpdate:
    return MemberUpdate(name, ADDRESS, "z", incarnation, state, True, suspected_by)


def membership_of(local: str = "a", *others: str) -> Membership:
    """The membership of one member that knows the others as alive."""
    membership = Membership(update(local), dict.fromkeys(others, ADDRESS), TIMING, Random(1).random, 0.0)
    for name in others:
        membership.handle(name, StateExchange(False, [update(name)]), 0.0)
    membership.state_changes.clear()
    return membership


def receive(membership: Membership, received: MemberUpdate, now: float = 0.0) -> None:
    membership.handle("x", StateExchange(False, [received]), now)


def sent_of(sends: list[Outgoing], kind: type) -> list[tuple[str, MembershipMessage]]:
    """The outgoing messages of one type."""
    return [(to, message) for to, message in sends if isinstance(message, kind)]


def test_a_member_that_knows_no_other_contacts_a_seed() -> None:
    membership = Membership(update("a"), {"a": ADDRESS, "s": ADDRESS}, TIMING, Random(1).random, 0.0)
    assert {to for to, _ in sent_of(membership.tick(0.0), StateExchange)} == {"s"}


def test_an_unanswered_probe_is_repeated_indirectly_and_then_raises_a_suspicion() -> None:
    membership = membership_of("a", "b", "c", "d")
    (target, _), *_ = sent_of(membership.tick(0.0), Ping)
    requests = sent_of(membership.tick(151.0), PingRequest)
    assert len(requests) == 2
    assert all(isinstance(one, PingRequest) and one.target == target for _, one in requests)
    membership.tick(451.0)
    assert membership.state(target) is State.SUSPECT
    assert target in membership.active() and target not in membership.eligible()


def test_an_answer_to_an_indirect_probe_prevents_the_suspicion() -> None:
    membership = membership_of("a", "b", "c")
    (target, ping), *_ = sent_of(membership.tick(0.0), Ping)
    membership.tick(151.0)
    helper = "c" if target == "b" else "b"
    membership.handle(helper, Ack(ping.seq, []), 200.0)  # type: ignore[union-attr]
    membership.tick(451.0)
    assert membership.state(target) is State.ALIVE


def test_a_helper_probes_and_forwards_the_answer() -> None:
    membership = membership_of("h", "a", "b")
    ((to, ping),) = membership.handle("a", PingRequest(7, "b", []), 0.0)
    assert to == "b" and isinstance(ping, Ping)
    ((requester, ack),) = membership.handle("b", Ack(ping.seq, []), 10.0)
    assert requester == "a" and isinstance(ack, Ack) and ack.seq == 7


def test_the_suspicion_timeout_shortens_with_each_confirmation() -> None:
    ends = []
    for suspecting in (["b"], ["b", "c"], ["b", "c", "d", "e"]):
        membership = membership_of("a", "t", "b", "c", "d", "e")
        for one in suspecting:
            receive(membership, update("t", 1, State.SUSPECT, one))
        ends.append(membership._suspicion_end(membership.peers["t"]))
    assert ends[0] == 6.0 * TIMING.min_suspicion_ms
    assert ends[0] > ends[1] > ends[2] == TIMING.min_suspicion_ms


def test_the_same_suspecting_member_counts_once() -> None:
    membership = membership_of("a", "t", "b")
    for _ in range(5):
        receive(membership, update("t", 1, State.SUSPECT, "b"))
    assert membership._suspicion_end(membership.peers["t"]) == 6.0 * TIMING.min_suspicion_ms


@pytest.mark.parametrize("state", [State.SUSPECT, State.LOST, State.LEFT])
def test_a_member_refutes_an_update_on_itself_by_a_higher_incarnation(state: State) -> None:
    membership = membership_of("a", "b")
    receive(membership, update("a", 1, state, "b"))
    assert membership.local.incarnation == 2 and membership.local.state is State.ALIVE
    sent = [one for _, ping in sent_of(membership.tick(0.0), Ping) for one in ping.updates]
    assert update("a", 2) in sent


def test_the_incarnation_rises_above_that_of_an_earlier_start() -> None:
    membership = membership_of("a", "b")
    receive(membership, update("a", 9))
    assert membership.local.incarnation == 10


def test_each_message_to_a_suspect_tells_it_that_it_is_suspected() -> None:
    membership = membership_of("a", "b")
    receive(membership, update("b", 1, State.SUSPECT, "c"))
    for _ in range(60):
        assert update("b", 1, State.SUSPECT, "c") in membership._updates_for("b")


@pytest.mark.parametrize(
    ("old", "new", "is_applied"),
    [
        (update("b", 2), update("b", 1, State.LOST), False),
        (update("b", 2, State.SUSPECT), update("b", 2), False),
        (update("b", 2, State.LOST), update("b", 3), True),
        (update("b", 2, State.LOST), update("b", 2, State.LEFT), True),
        (update("b", 2, State.LEFT), update("b", 2, State.LOST), False),
    ],
)
def test_the_update_with_the_higher_incarnation_wins_then_the_one_with_the_higher_state(
    old: MemberUpdate, new: MemberUpdate, is_applied: bool
) -> None:
    membership = membership_of("a", "b")
    receive(membership, old)
    receive(membership, new)
    assert membership.peers["b"].update == (new if is_applied else old)


def test_an_unknown_member_is_not_added_by_the_report_of_its_loss() -> None:
    membership = membership_of("a", "b")
    receive(membership, update("unknown", 3, State.LOST))
    assert membership.state("unknown") is None


def test_the_number_of_members_is_limited() -> None:
    membership = membership_of("a")
    membership.max_members = 3
    membership.handle("x", StateExchange(False, [update(f"n{i}") for i in range(10)]), 0.0)
    assert len(membership.peers) == 3


def test_the_number_of_updates_in_a_message_is_limited() -> None:
    membership = membership_of("a", *(f"n{i}" for i in range(60)))
    assert len(membership._updates_for("n1")) <= MAX_UPDATES_PER_MESSAGE


def test_poor_local_health_lengthens_the_suspicion_timeout() -> None:
    membership = membership_of("a", "b", "c")
    receive(membership, update("b", 1, State.SUSPECT, "c"))
    before = membership._suspicion_end(membership.peers["b"])
    membership.health_score = 2
    assert membership._suspicion_end(membership.peers["b"]) == 3.0 * before


def test_after_a_pause_of_its_own_a_process_declares_no_member_lost() -> None:
    membership = membership_of("a", "b", "c")
    membership.tick(0.0)
    receive(membership, update("b", 1, State.SUSPECT, "c"), 10.0)
    membership.tick(60_000.0)
    assert membership.state("b") is State.SUSPECT and 0 < membership.health_score <= MAX_HEALTH_SCORE


def test_a_leaving_member_counts_as_left_and_not_as_lost() -> None:
    membership = membership_of("a", "b", "c")
    sends = membership.leave()
    other = membership_of("b", "a")
    other.handle("a", sends[0][1], 5.0)
    assert other.state("a") is State.LEFT and "a" not in other.active()
    assert membership.eligible() == ["b", "c"]


def test_a_member_under_duress_is_active_but_not_eligible() -> None:
    membership, other = membership_of("a", "b"), membership_of("b", "a")
    membership.set_eligible(False)
    other.handle("a", membership._state_exchange(False), 0.0)
    assert other.active() == ["a", "b"] and other.eligible() == ["b"]


def test_a_lost_member_is_contacted_until_it_is_forgotten() -> None:
    membership = membership_of("a", "b")
    receive(membership, update("b", 1, State.LOST), 0.0)
    contacted = {
        to for now in range(0, 60_000, 100) for to, _ in sent_of(membership.tick(float(now)), StateExchange)
    }
    assert contacted == {"b"}
    membership.tick(60_001.0)
    assert membership.state("b") is None


class Cluster:
    """The membership decisions of `count` members on the virtual clock."""

    def __init__(self, count: int, seed: int) -> None:
        self.world = SimulatedEnvironment(seed)
        names = [f"n{i}" for i in range(count)]
        self.running = set(names)
        seeds = {"n0": ADDRESS, "n1": ADDRESS}
        random = self.world.random.random
        self.memberships = {name: Membership(update(name), seeds, TIMING, random, 0.0) for name in names}
        for name in names:
            self.tick(name)

    def tick(self, name: str) -> None:
        membership = self.memberships[name]
        if name in self.running:
            self.send(name, membership.tick(self.world.now))
        self.world.schedule(max(membership.due(), self.world.now + 10.0), lambda: self.tick(name))

    def send(self, source: str, sends: list[Outgoing]) -> None:
        for to, message in sends:
            self.world.transmit(
                source, to, 100, lambda to=to, message=message: self.deliver(source, to, message)
            )

    def deliver(self, source: str, to: str, message: MembershipMessage) -> None:
        if to in self.running:
            self.send(to, self.memberships[to].handle(source, message, self.world.now))

    def is_agreed(self) -> bool:
        """All running members know exactly the running members as active."""
        return all(set(self.memberships[name].active()) == self.running for name in self.running)


def test_fifty_members_agree_on_losses_and_on_returns_within_a_stated_time() -> None:
    """All know all within 15 s of a common start; they agree within 20 s of two losses and within 10 s of the
    return."""
    cluster = Cluster(50, 1)
    cluster.world.run(15_000.0)
    assert cluster.is_agreed()
    cluster.running -= {"n7", "n8"}
    cluster.world.run(35_000.0)
    assert cluster.is_agreed()
    cluster.running |= {"n7", "n8"}
    cluster.world.run(45_000.0)
    assert cluster.is_agreed()


def test_the_message_rate_of_a_member_does_not_grow_with_the_number_of_members() -> None:
    rates = []
    for count in (5, 20, 50):
        cluster = Cluster(count, 2)
        cluster.world.run(20_000.0)
        before = cluster.world.message_count
        cluster.world.run(40_000.0)
        rates.append((cluster.world.message_count - before) / count / 20.0)
    assert max(rates) < 1.3 * min(rates), rates


def test_the_sides_of_a_long_partition_find_each_other_again() -> None:
    cluster = Cluster(10, 3)
    cluster.world.run(10_000.0)
    names = sorted(cluster.running)
    for a in names[:5]:
        for b in names[5:]:
            cluster.world.block_link(a, b, 40_000.0)
            cluster.world.block_link(b, a, 40_000.0)
    cluster.world.run(39_000.0)
    assert cluster.memberships[names[0]].active() == names[:5]
    cluster.world.run(70_000.0)
    assert cluster.is_agreed()
