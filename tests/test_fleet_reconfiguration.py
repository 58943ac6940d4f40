"""Voters replaced while the register runs: rosters, seats, the steps of a change, histories meanwhile."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from myrtlecrank.fleet.messages import Asked, Voted
from myrtlecrank.fleet.register import disk as disks
from myrtlecrank.fleet.register.calls import Calls, replies
from myrtlecrank.fleet.register.caspaxos import BOOTS_PER_VOTER_SET, Proposer, Voter
from myrtlecrank.fleet.register.messages import (
    EMPTY_RECORD,
    AddVoter,
    Ballot,
    Known,
    Memory,
    Outcome,
    Prepare,
    Record,
    Rejoin,
    Result,
    Seated,
)
from myrtlecrank.fleet.register.reconfiguration import Reseated, reseat
from myrtlecrank.fleet.register.voter_set import Roster, founding_voter_set, guessed
from rig.multi_node import reconfiguration_fuzz, register_history

ABC = founding_voter_set("abc")
JOINT = ABC.begin_change("c", {"d": "d/1:1"})
ABD = JOINT.complete_change()


class Net:
    """Voters a to e in this process, of which a, b and c begin; carries a proposer's calls through the
    program's own Calls. Who is in `away` hears nothing."""

    def __init__(self) -> None:
        self.now, self.away, self.starts = 0.0, set[str](), 0
        self.kept: dict[str, bytes] = {}
        self.voters: dict[str, Voter] = {}
        for name in "abcde":
            if name in ABC.names:
                self.kept[name] = disks.encode(Memory("f", name, 0, {}, {}, ABC))
            self.start(name)

    def start(self, name: str, whole: bool = True) -> Voter:
        self.starts += 1
        raw = self.kept.get(name)

        def keep(memory: Memory) -> bool:
            self.kept[name] = disks.encode(memory)
            return True

        memory = disks.decode(raw) if raw else None
        ident = f"{name}/{self.starts}"
        self.voters[name] = Voter(name, ABC.names, memory, keep, "f", whole, ident)
        return self.voters[name]

    def lose(self, name: str) -> Voter:
        self.kept.pop(name, None)
        return self.start(name)

    def proposer(self, ident: str = "p", roster: Roster | None = None) -> Proposer:
        return Proposer(ident, roster or guessed("abc"), lambda: 0.5, max_attempts=3)

    def run(self, call: Any) -> Any:
        ended: list[Any] = []
        waiting: list[tuple[str, Any]] = []
        calls = Calls(100.0, lambda to, letter: waiting.append((to, letter)))
        calls.start(call, lambda how, _: ended.append(how), self.now)
        while not ended or waiting:
            while waiting:
                to, letter = waiting.pop(0)
                if to in self.away:
                    continue
                for _, message in replies(self.voters[to], [("p", letter)]):
                    if isinstance(message, Voted):
                        calls.heard(to, message, self.now)
            self.now += 10.0
            calls.tick(self.now)
        return ended[0]

    def rejoin(self, name: str) -> bool:
        """Asks the others once, as the voter's actor does again and again."""
        voter = self.voters[name]
        asked = voter.rejoin()
        for other in sorted(voter.others - self.away) if asked else []:
            for _, message in replies(self.voters[other], [(name, asked)]):  # type: ignore[list-item]
                replies(voter, [(other, message)])  # type: ignore[list-item]
        return voter.voting

    def reseat(self, drop: str, add: str, token: str = "t", proposer: Proposer | None = None) -> Reseated:
        how: Reseated = self.run(reseat(proposer or self.proposer(token), drop, add, token))
        return how


@pytest.fixture
def net() -> Net:
    return Net()


def written(net: Net, key: str = "k") -> Record:
    outcome: Outcome = net.run(net.proposer("w").change(key, EMPTY_RECORD, b"x"))
    assert outcome.result is Result.DONE
    return outcome.record


# -- rosters


def test_a_joint_roster_wants_a_majority_of_the_old_and_one_of_the_new() -> None:
    votes = {"a": "", "b": "", "c": "", "d": "d/1:1"}

    def stands(names: str, **seats: str) -> bool:
        return JOINT.has_majority((name, (votes | seats)[name]) for name in names)

    assert stands("ab") and stands("bcd") and not stands("ad") and not stands("bc") and not stands("cd")
    assert not stands("ad", d="another seat")
    assert ABD.has_majority([("a", ""), ("d", "d/1:1")]) and not ABD.has_majority([("a", ""), ("d", "")])


def test_under_a_guess_nothing_stands() -> None:
    assert not guessed("abc").has_majority([("a", ""), ("b", ""), ("c", "")])


def test_marks_tell_rosters_apart_that_have_one_number() -> None:
    assert (
        founding_voter_set("abc").fingerprint()
        == founding_voter_set("cba").fingerprint()
        != founding_voter_set("abd").fingerprint()
    )


@pytest.mark.parametrize(
    ("drop", "add", "message"),
    [
        ("x", "", "'x' is no voter"),
        ("", "ab", "'a' votes already"),
        ("c", "", "2 voters"),
        ("", "d", "4 voters"),
    ],
)
def test_a_roster_that_cannot_be_is_told_in_one_line(drop: str, add: str, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        ABC.begin_change(drop, dict.fromkeys(add, "s"))
    with pytest.raises(ValueError, match="under way"):
        JOINT.begin_change("a", {})


# -- voters and rosters


def test_a_voter_refuses_what_was_asked_under_another_roster_and_names_its_own(net: Net) -> None:
    a = net.voters["a"]
    assert a.adopt_voter_set(JOINT) and not a.adopt_voter_set(ABC)
    (vote,) = a.answer_batch([(ABC.fingerprint(), Prepare("k", Ballot(9, "p")))])
    assert vote is not None and not vote.granted and vote.roster == JOINT and not a.memory.slots
    assert net.start("a").memory.roster == JOINT, "it never goes back to an older one"


def test_a_roster_that_cannot_be_kept_is_not_gone_by() -> None:
    a = Voter("a", "abc", Memory("f", "a", 0, {}, {}, ABC), lambda _: False, "f")
    assert not a.adopt_voter_set(JOINT) and a.memory.roster == ABC


def test_a_voter_that_is_dropped_says_nothing_more_and_tells_who_votes(net: Net) -> None:
    c = net.voters["c"]
    c.adopt_voter_set(ABD)
    assert not c.voting and c.rejoin() is None
    (vote,) = c.answer_batch([(ABD.fingerprint(), Prepare("k", Ballot(1, "p")))])
    assert vote is None and c.answer_rejoin(Rejoin("a", 1)) == Seated(ABD)


def test_what_was_forgotten_is_not_written_down_as_a_memory(net: Net) -> None:
    """A voter without its memory hears of a roster and restarts before it has rejoined: with a file of that
    it would pass for one that forgot nothing."""
    a = net.lose("a")
    a.adopt_voter_set(JOINT)
    assert not a.voting and "a" not in net.kept and not net.start("a").voting


def test_one_without_its_memory_waits_for_all_that_vote_by_the_newest_roster_it_hears(net: Net) -> None:
    net.reseat("c", "d")
    net.away = {"c"}
    a = net.lose("a")
    assert a.others == {"b", "c"}, "by the operators' file"
    net.rejoin("a")
    assert a.others == {"b", "d"} and not a.voting
    net.away.add("d")
    assert not net.rejoin("a")
    net.away.discard("d")
    assert net.rejoin("a")


def test_enlisting_twice_with_one_token_seats_once(net: Net) -> None:
    d = net.voters["d"]
    d.adopt_voter_set(ABC)
    first, again, other = (
        d.answer_batch([(ABC.fingerprint(), AddVoter(token))])[0] for token in ("t", "t", "u")
    )
    assert first is not None and again is not None and other is not None
    assert first.identity == again.identity != other.identity and first.boot == BOOTS_PER_VOTER_SET


def test_a_voter_with_a_whole_memory_is_not_enlisted_over_it(net: Net) -> None:
    assert net.voters["a"].answer_batch([(ABC.fingerprint(), AddVoter("t"))]) == [None]


def test_an_older_copy_of_an_enlisted_voters_disk_does_not_vote_at_once(net: Net) -> None:
    d = net.voters["d"]
    d.adopt_voter_set(ABC)
    d.answer_batch([(ABC.fingerprint(), AddVoter("t"))])
    joint = ABC.begin_change("c", {"d": d.memory.seat})
    assert d.adopt_voter_set(joint) and d.voting
    d.answer_batch([(joint.fingerprint(), Prepare("k", Ballot(5, "p")))])
    net.kept["d"] = disks.encode(Memory("f", "d", 0, {}, {}, ABC, d.memory.seat, "t"))
    old = net.start("d", whole=False)
    assert old.adopt_voter_set(joint) and not old.voting and old.rejoin() is not None


# -- the change


def test_a_voter_is_replaced_and_what_was_chosen_stands(net: Net) -> None:
    record = written(net)
    how = net.reseat("c", "d")
    assert not how.wrong and how.voter_set.names == ("a", "b", "d") and how.voter_set.number == 2
    net.away = {"a", "c"}
    assert net.run(net.proposer("r").read("k")) == Outcome(Result.DONE, record), "b and d are enough"


def test_a_dead_voter_is_replaced_and_may_come_back(net: Net) -> None:
    record = written(net)
    net.away = {"c"}
    assert not net.reseat("c", "d").wrong
    net.away = {"a"}
    assert net.run(net.proposer("r").read("k")).record == record
    net.away = set()
    assert net.run(net.proposer("old", ABC).change("k", record, b"y")).result is Result.DONE
    assert net.reseat("a", "c", "back").voter_set.names == ("b", "c", "d")


def test_the_old_voters_alone_choose_nothing_more(net: Net) -> None:
    net.away = {"c"}
    net.reseat("c", "d")
    net.away = {"d"}
    stale = net.proposer("stale", ABC)
    ballot = Prepare("k", Ballot(50, "stale"))
    votes = [net.voters[name].answer_batch([(ABC.fingerprint(), ballot)])[0] for name in "abc"]
    assert [vote is not None and vote.granted for vote in votes] == [False, False, True]
    assert net.run(stale.read("k")).result is Result.DONE and stale.roster.names == ("a", "b", "d")


def test_a_voter_whose_memory_is_gone_begins_anew_under_another_seat(net: Net) -> None:
    """It can't rejoin, as another is away: dropped and added, it needs no one to tell it anything."""
    record = written(net)
    net.lose("c")
    net.away = {"b"}
    assert not net.rejoin("c")
    net.away = set()
    old = net.voters["c"].memory.seat
    how = net.reseat("c", "c")
    assert not how.wrong and how.voter_set.seat("c") != old
    assert net.voters["c"].voting and net.voters["c"].memory.slots["k"].record == record


def test_one_that_lost_its_new_seat_too_does_not_vote_under_it(net: Net) -> None:
    net.reseat("c", "d")
    net.lose("d")
    (vote,) = net.voters["d"].answer_batch([(ABD.fingerprint(), Prepare("k", Ballot(1, "p")))])
    assert vote is not None and not vote.granted
    assert net.voters["d"].rejoin() is None, "by the operators' file it never voted"
    net.run(net.proposer("r").read("k"))  # asked under the newer roster, it hears that it does
    assert net.rejoin("d") and net.voters["d"].memory.seat == net.voters["a"].memory.roster.seat("d")


def test_from_three_to_five_and_back(net: Net) -> None:
    record = written(net)
    assert net.reseat("", "de").voter_set.names == ("a", "b", "c", "d", "e")
    net.away = {"a", "b"}
    assert net.run(net.proposer("r").read("k")).record == record
    assert net.reseat("ab", "", "back").voter_set.names == ("c", "d", "e")


def test_a_change_that_stands_half_way_is_ended_by_another(net: Net) -> None:
    """Whoever does it dies after each of its rounds, one after the other; another ends it, or nothing was
    begun."""
    for rounds in range(1, 40):
        net = Net()
        record = written(net)
        call = reseat(net.proposer("first"), "c", "d", "first")
        if not net.run(cut(call, rounds)):
            break
        how = net.reseat("", "", "second")
        assert not how.wrong and not how.voter_set.joint, rounds
        assert net.run(net.proposer("r").read("k")).record == record
    assert 10 < rounds < 39


def cut(call: Any, rounds: int) -> Iterator[Any]:
    """A call that ends after so many steps; True where it was cut."""
    step = next(call)
    for _ in range(rounds):
        votes = yield step
        try:
            step = call.send(votes)
        except StopIteration:
            return False
    return True


def test_two_changes_at_once_end_in_one_roster_after_the_other(net: Net) -> None:
    first = reseat(net.proposer("first"), "c", "d", "first")
    net.run(cut(first, 6))
    second = net.reseat("b", "e", "second")
    assert not second.wrong and not second.voter_set.joint and "e" in second.voter_set.names


@pytest.mark.parametrize(
    ("away", "drop", "add", "message"),
    [("ab", "c", "d", "no majority"), ("d", "c", "d", "takes no seat"), ("", "c", "a", "votes already")],
)
def test_what_can_not_be_changed_is_told_in_one_line_and_leaves_the_roster(
    net: Net, away: str, drop: str, add: str, message: str
) -> None:
    net.away = set(away)
    how = net.reseat(drop, add)
    assert message in how.wrong and "\n" not in how.wrong
    net.away = set()
    assert net.reseat("", "", "look").voter_set == ABC


def test_a_memory_of_the_version_before_is_read() -> None:
    old = disks.MemoryVersion1("f", "a", 3, {}, {"b": 2}, ["a", "b", "c"])
    body = disks.msgspec.msgpack.encode(old)
    raw = disks.HEADER.pack(disks.MAGIC, 1, len(body), disks.xxhash.xxh3_128_digest(body)) + body
    assert disks.decode(raw) == Memory("f", "a", 3, {}, {"b": 2}, ABC)


def test_a_voter_that_goes_by_an_older_roster_is_told_once_in_a_round() -> None:
    sent: list[tuple[str, Any]] = []
    calls = Calls(100.0, lambda to, letter: sent.append((to, letter)))
    calls.start(Proposer("p", JOINT, lambda: 0.5).read("k"), lambda *_: None, 0.0)
    old = Voter("a", "abc", Memory("f", "a", 0, {}, {}, ABC), lambda _: True, "f")
    first = sent[0][1]
    assert isinstance(first, Asked)
    (refusal,) = old.answer_batch([(first.mark, first.ask)])
    assert refusal is not None
    del sent[:]
    for _ in range(3):
        calls.heard("a", Voted(first.call, first.round, refusal), 1.0)
    assert sent == [("a", Seated(JOINT)), ("a", first)]


def test_an_answer_from_one_that_knows_a_newer_roster_is_no_memory_to_go_on_from(net: Net) -> None:
    a = net.start("a", whole=False)
    assert not a.accept_rejoin_answer(Known("b", 0, a.memory.boot, 0, {}, {}, ABD))
    assert a.memory.roster == ABD and set(a.heard) == {"b"} and not a.voting


def test_voters_that_were_founded_apart_are_told(net: Net) -> None:
    net.voters["c"] = Voter(
        "c", "abc", Memory("f", "c", 0, {}, {}, founding_voter_set("cde")), lambda _: True, "f"
    )
    net.away = {"b"}
    proposer = net.proposer("p", ABC)
    assert net.run(proposer.read("k")).result is Result.AWAY
    assert proposer.unlike == founding_voter_set("cde") and proposer.roster == ABC


# -- histories


@pytest.mark.parametrize("trusted", [False, True])
def test_histories_stay_linearizable_while_voters_are_replaced(trusted: bool) -> None:
    judged = [register_history.play(seed, trusted, change=True) for seed in range(40)]
    assert [one.seed for one in judged if not one.ok] == []
    assert sum(one.known for one in judged) > 400 and sum(one.reseated for one in judged) > 12


def test_any_order_of_messages_keeps_one_truth_while_voters_are_replaced() -> None:
    played = [reconfiguration_fuzz.play(seed, loses=seed % 2 == 0) for seed in range(1, 61)]
    assert [seed for seed, one in enumerate(played, 1) if not one.ok] == []
    assert sum(one.known for one in played) > 700 and sum(one.reseated for one in played) > 15


@pytest.mark.parametrize(("bug", "seed"), [("no-joint", 16), ("no-rewrite", 16), ("any-roster", 238)])
def test_planted_bugs_of_the_replacing_are_found(bug: str, seed: int) -> None:
    assert not reconfiguration_fuzz.play(seed, bug=bug).ok and reconfiguration_fuzz.play(seed).ok


def test_a_planted_bug_is_taken_away_again() -> None:
    before = (
        reconfiguration_fuzz.Roster.begin_change,
        reconfiguration_fuzz.reseating.complete_reconfiguration,
        reconfiguration_fuzz.Voter._answer,
    )
    for bug in reconfiguration_fuzz.BUGS:
        reconfiguration_fuzz.play(1, bug=bug)
    assert (
        reconfiguration_fuzz.Roster.begin_change,
        reconfiguration_fuzz.reseating.complete_reconfiguration,
        reconfiguration_fuzz.Voter._answer,
    ) == before
