"""Membership decisions: probes, suspicion, refutation, loss, leave, return; and 50 members on the virtual
clock."""

from __future__ import annotations

from random import Random

import pytest

from myrtlecrank.fleet.membership.messages import Ack, Ping, PingFor, Rumour, State, Swap, Word
from myrtlecrank.fleet.membership.swim import MOST_RUMOURS, WORST_HEALTH, Members, Pace, Send
from rig.multi_node.environment import World

PACE = Pace(probe=500.0, reply=150.0, helpers=3, suspect=1500.0, forget=60_000.0, swap=5000.0)
HERE = ("127.0.0.1", 1)


def rumour(name: str, incarnation: int = 1, state: State = State.ALIVE, by: str = "") -> Rumour:
    return Rumour(name, HERE, "z", incarnation, state, True, by)


def members(me: str = "a", *others: str) -> Members:
    view = Members(rumour(me), dict.fromkeys(others, HERE), PACE, Random(1).random, 0.0)
    for name in others:
        view.heard(name, Swap(False, [rumour(name)]), 0.0)
    view.changes.clear()
    return view


def say(view: Members, told: Rumour, now: float = 0.0) -> None:
    view.heard("x", Swap(False, [told]), now)


def words(sends: list[Send], kind: type) -> list[tuple[str, Word]]:
    return [(to, word) for to, word in sends if isinstance(word, kind)]


def test_who_knows_nobody_asks_a_seed() -> None:
    view = Members(rumour("a"), {"a": HERE, "s": HERE}, PACE, Random(1).random, 0.0)
    assert {to for to, _ in words(view.tick(0.0), Swap)} == {"s"}


def test_a_probe_without_an_answer_goes_by_others_and_then_makes_a_suspect() -> None:
    view = members("a", "b", "c", "d")
    (target, _), *_ = words(view.tick(0.0), Ping)
    asked = words(view.tick(151.0), PingFor)
    assert len(asked) == 2 and all(isinstance(w, PingFor) and w.target == target for _, w in asked)
    view.tick(451.0)
    assert view.state(target) is State.SUSPECT and target in view.there() and target not in view.fit()


def test_an_answer_through_a_helper_saves_the_probed() -> None:
    view = members("a", "b", "c")
    (target, ping), *_ = words(view.tick(0.0), Ping)
    view.tick(151.0)
    helper = "c" if target == "b" else "b"
    view.heard(helper, Ack(ping.seq, []), 200.0)  # type: ignore[union-attr]
    view.tick(451.0)
    assert view.state(target) is State.ALIVE


def test_a_helper_probes_and_passes_the_answer_on() -> None:
    view = members("h", "a", "b")
    ((to, ping),) = view.heard("a", PingFor(7, "b", []), 0.0)
    assert to == "b" and isinstance(ping, Ping)
    ((back, ack),) = view.heard("b", Ack(ping.seq, []), 10.0)
    assert back == "a" and isinstance(ack, Ack) and ack.seq == 7


def test_suspicion_ends_in_loss_sooner_the_more_confirm_it() -> None:
    ends = []
    for doubters in (["b"], ["b", "c"], ["b", "c", "d", "e"]):
        view = members("a", "t", "b", "c", "d", "e")
        for one in doubters:
            say(view, rumour("t", 1, State.SUSPECT, one))
        ends.append(view._ends(view.members["t"]))
    assert ends[0] == 6.0 * PACE.suspect and ends[0] > ends[1] > ends[2] == PACE.suspect


def test_the_same_doubter_counts_once() -> None:
    view = members("a", "t", "b")
    for _ in range(5):
        say(view, rumour("t", 1, State.SUSPECT, "b"))
    assert view._ends(view.members["t"]) == 6.0 * PACE.suspect


@pytest.mark.parametrize("state", [State.SUSPECT, State.LOST, State.LEFT])
def test_a_rumour_of_ones_own_end_is_refuted_by_a_higher_incarnation(state: State) -> None:
    view = members("a", "b")
    say(view, rumour("a", 1, state, "b"))
    assert view.me.incarnation == 2 and view.me.state is State.ALIVE
    told = [r for _, ping in words(view.tick(0.0), Ping) for r in ping.rumours]
    assert rumour("a", 2) in told


def test_an_earlier_start_that_got_further_is_stood_above() -> None:
    view = members("a", "b")
    say(view, rumour("a", 9))
    assert view.me.incarnation == 10


def test_a_suspect_hears_of_it_with_the_next_probe() -> None:
    view = members("a", "b")
    say(view, rumour("b", 1, State.SUSPECT, "c"))
    for _ in range(60):
        assert rumour("b", 1, State.SUSPECT, "c") in view._rumours("b")


@pytest.mark.parametrize(
    ("old", "new", "stands"),
    [
        (rumour("b", 2), rumour("b", 1, State.LOST), False),
        (rumour("b", 2, State.SUSPECT), rumour("b", 2), False),
        (rumour("b", 2, State.LOST), rumour("b", 3), True),
        (rumour("b", 2, State.LOST), rumour("b", 2, State.LEFT), True),
        (rumour("b", 2, State.LEFT), rumour("b", 2, State.LOST), False),
    ],
)
def test_of_two_rumours_the_higher_incarnation_stands_then_the_worse_state(
    old: Rumour, new: Rumour, stands: bool
) -> None:
    view = members("a", "b")
    say(view, old)
    say(view, new)
    assert view.members["b"].told == (new if stands else old)


def test_nobody_is_made_known_by_news_of_its_death() -> None:
    view = members("a", "b")
    say(view, rumour("ghost", 3, State.LOST))
    assert view.state("ghost") is None


def test_members_are_bounded() -> None:
    view = members("a")
    view.most = 3
    view.heard("x", Swap(False, [rumour(f"n{i}") for i in range(10)]), 0.0)
    assert len(view.members) == 3


def test_a_message_holds_a_bounded_number_of_rumours() -> None:
    view = members("a", *(f"n{i}" for i in range(60)))
    assert len(view._rumours("n1")) <= MOST_RUMOURS


def test_an_ill_process_suspects_later() -> None:
    view = members("a", "b", "c")
    say(view, rumour("b", 1, State.SUSPECT, "c"))
    before = view._ends(view.members["b"])
    view.health = 2
    assert view._ends(view.members["b"]) == 3.0 * before


def test_after_a_pause_of_its_own_it_holds_nobody_for_lost() -> None:
    view = members("a", "b", "c")
    view.tick(0.0)
    say(view, rumour("b", 1, State.SUSPECT, "c"), 10.0)
    view.tick(60_000.0)
    assert view.state("b") is State.SUSPECT and 0 < view.health <= WORST_HEALTH


def test_who_leaves_is_not_held_for_lost_and_takes_nothing() -> None:
    view = members("a", "b", "c")
    sends = view.leave()
    other = members("b", "a")
    other.heard("a", sends[0][1], 5.0)
    assert other.state("a") is State.LEFT and "a" not in other.there() and view.fit() == ["b", "c"]


def test_one_under_duress_is_there_but_not_fit() -> None:
    view, other = members("a", "b"), members("b", "a")
    view.feel(False)
    other.heard("a", view._swap(False), 0.0)
    assert other.there() == ["a", "b"] and other.fit() == ["b"]


def test_the_lost_are_forgotten_in_time_and_tried_until_then() -> None:
    view = members("a", "b")
    say(view, rumour("b", 1, State.LOST), 0.0)
    tried = {to for now in range(0, 60_000, 100) for to, _ in words(view.tick(float(now)), Swap)}
    assert tried == {"b"}
    view.tick(60_001.0)
    assert view.state("b") is None


class Crowd:
    """So many members' decisions on the virtual clock."""

    def __init__(self, count: int, seed: int) -> None:
        self.world = World(seed)
        names = [f"n{i}" for i in range(count)]
        self.up = set(names)
        self.views = {
            name: Members(rumour(name), {"n0": HERE, "n1": HERE}, PACE, self.world.random.random, 0.0)
            for name in names
        }
        for name in names:
            self.wake(name)

    def wake(self, name: str) -> None:
        view = self.views[name]
        if name in self.up:
            self.send(name, view.tick(self.world.now))
        self.world.at(max(view.due(), self.world.now + 10.0), lambda: self.wake(name))

    def send(self, source: str, sends: list[Send]) -> None:
        for to, word in sends:
            self.world.carry(source, to, 100, lambda to=to, word=word: self.arrive(source, to, word))

    def arrive(self, source: str, to: str, word: Word) -> None:
        if to in self.up:
            self.send(to, self.views[to].heard(source, word, self.world.now))

    def agree(self) -> bool:
        return all(set(self.views[name].there()) == self.up for name in self.up)


def test_fifty_members_agree_on_a_loss_and_on_a_return_within_a_stated_time() -> None:
    """All know all within 15 s of a common start; a death within 20 s, the return within 10 s."""
    crowd = Crowd(50, 1)
    crowd.world.run(15_000.0)
    assert crowd.agree()
    crowd.up -= {"n7", "n8"}
    crowd.world.run(35_000.0)
    assert crowd.agree()
    crowd.up |= {"n7", "n8"}
    crowd.world.run(45_000.0)
    assert crowd.agree()


def test_messages_a_member_are_flat_in_the_number_of_members() -> None:
    rates = []
    for count in (5, 20, 50):
        crowd = Crowd(count, 2)
        crowd.world.run(20_000.0)
        before = crowd.world.messages
        crowd.world.run(40_000.0)
        rates.append((crowd.world.messages - before) / count / 20.0)
    assert max(rates) < 1.3 * min(rates), rates


def test_the_halves_of_a_long_partition_find_each_other_again() -> None:
    crowd = Crowd(10, 3)
    crowd.world.run(10_000.0)
    names = sorted(crowd.up)
    for a in names[:5]:
        for b in names[5:]:
            crowd.world.cut(a, b, 40_000.0)
            crowd.world.cut(b, a, 40_000.0)
    crowd.world.run(39_000.0)
    assert crowd.views[names[0]].there() == names[:5]
    crowd.world.run(70_000.0)
    assert crowd.agree()
