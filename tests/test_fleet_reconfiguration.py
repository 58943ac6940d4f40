"""Tests of the replacement of voters: voter sets, voter identities, the steps of a change, and histories of
the register meanwhile."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import pytest

from myrtlecrank.fleet.messages import VoterReply, VoterRequest
from myrtlecrank.fleet.register import disk as disks
from myrtlecrank.fleet.register.calls import Calls, answer_messages
from myrtlecrank.fleet.register.caspaxos import BOOTS_PER_VOTER_SET, Proposer, Voter
from myrtlecrank.fleet.register.messages import (
    EMPTY_RECORD,
    AddVoter,
    Ballot,
    Memory,
    Outcome,
    Prepare,
    Record,
    Rejoin,
    RejoinAnswer,
    Result,
    VoterSetNotice,
)
from myrtlecrank.fleet.register.reconfiguration import ReconfigurationResult, reconfigure
from myrtlecrank.fleet.register.voter_set import VoterSet, configured_voter_set, founding_voter_set
from rig.multi_node import reconfiguration_fuzz, register_history

ABC = founding_voter_set("abc")
JOINT = ABC.begin_change("c", {"d": "d/1:1"})
ABD = JOINT.complete_change()


class Network:
    """Voters a to e in this process, of which a, b and c vote at first. Runs a proposer's calls by Calls.
    Messages to a voter in `away` are lost."""

    def __init__(self) -> None:
        self.now = 0.0
        self.away = set[str]()
        self.starts = 0
        self.files: dict[str, bytes] = {}
        self.voters: dict[str, Voter] = {}
        for name in "abcde":
            if name in ABC.names:
                self.files[name] = disks.encode(Memory("f", name, 0, {}, {}, ABC))
            self.start(name)

    def start(self, name: str, is_trusted: bool = True) -> Voter:
        self.starts += 1
        raw = self.files.get(name)

        def save(memory: Memory) -> bool:
            self.files[name] = disks.encode(memory)
            return True

        memory = disks.decode(raw) if raw else None
        instance_id = f"{name}/{self.starts}"
        self.voters[name] = Voter(name, ABC.names, memory, save, "f", is_trusted, instance_id)
        return self.voters[name]

    def lose_memory(self, name: str) -> Voter:
        self.files.pop(name, None)
        return self.start(name)

    def proposer(self, proposer_id: str = "p", voter_set: VoterSet | None = None) -> Proposer:
        return Proposer(proposer_id, voter_set or configured_voter_set("abc"), lambda: 0.5, max_attempts=3)

    def run(self, call: Any) -> Any:
        results: list[Any] = []
        sent: list[tuple[str, Any]] = []
        calls = Calls(100.0, lambda receiver, message: sent.append((receiver, message)))
        calls.start(call, lambda result, _: results.append(result), self.now)
        while not results or sent:
            while sent:
                receiver, message = sent.pop(0)
                if receiver in self.away:
                    continue
                for _, answer in answer_messages(self.voters[receiver], [("p", message)]):
                    if isinstance(answer, VoterReply):
                        calls.receive_vote(receiver, answer, self.now)
            self.now += 10.0
            calls.tick(self.now)
        return results[0]

    def rejoin(self, name: str) -> bool:
        """Sends the rejoin request to the others once; the voter's actor repeats it."""
        voter = self.voters[name]
        request = voter.rejoin_request()
        for other in sorted(voter.others - self.away) if request else []:
            for _, message in answer_messages(self.voters[other], [(name, request)]):  # type: ignore[list-item]
                answer_messages(voter, [(other, message)])  # type: ignore[list-item]
        return voter.is_voting

    def reconfigure(
        self, drop: str, add: str, token: str = "t", proposer: Proposer | None = None
    ) -> ReconfigurationResult:
        result: ReconfigurationResult = self.run(
            reconfigure(proposer or self.proposer(token), drop, add, token)
        )
        return result


@pytest.fixture
def net() -> Network:
    return Network()


def written_record(net: Network, key: str = "k") -> Record:
    outcome: Outcome = net.run(net.proposer("w").compare_and_set(key, EMPTY_RECORD, b"x"))
    assert outcome.result is Result.DONE
    return outcome.record


# -- voter sets


def test_a_joint_configuration_needs_a_majority_of_the_old_and_of_the_new_voters() -> None:
    votes = {"a": "", "b": "", "c": "", "d": "d/1:1"}

    def has_majority(names: str, **identities: str) -> bool:
        return JOINT.has_majority((name, (votes | identities)[name]) for name in names)

    assert has_majority("ab") and has_majority("bcd")
    assert not has_majority("ad") and not has_majority("bc") and not has_majority("cd")
    assert not has_majority("ad", d="another identity")
    assert ABD.has_majority([("a", ""), ("d", "d/1:1")]) and not ABD.has_majority([("a", ""), ("d", "")])


def test_the_configured_voters_alone_are_never_a_majority() -> None:
    assert not configured_voter_set("abc").has_majority([("a", ""), ("b", ""), ("c", "")])


def test_fingerprints_differ_for_voter_sets_of_the_same_number() -> None:
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
def test_an_impossible_change_is_refused_with_one_line(drop: str, add: str, message: str) -> None:
    with pytest.raises(ValueError, match=message):
        ABC.begin_change(drop, dict.fromkeys(add, "s"))
    with pytest.raises(ValueError, match="under way"):
        JOINT.begin_change("a", {})


# -- voters and voter sets


def test_a_voter_refuses_a_request_under_another_voter_set_and_returns_its_own(net: Network) -> None:
    a = net.voters["a"]
    assert a.adopt_voter_set(JOINT) and not a.adopt_voter_set(ABC)
    (vote,) = a.answer_batch([(ABC.fingerprint(), Prepare("k", Ballot(9, "p")))])
    assert vote is not None and not vote.granted and vote.voter_set == JOINT and not a.memory.slots
    assert net.start("a").memory.voter_set == JOINT, "it never returns to an older one"


def test_a_voter_set_is_not_used_if_its_write_fails() -> None:
    a = Voter("a", "abc", Memory("f", "a", 0, {}, {}, ABC), lambda _: False, "f")
    assert not a.adopt_voter_set(JOINT) and a.memory.voter_set == ABC


def test_a_dropped_voter_does_not_vote_and_returns_the_voter_set(net: Network) -> None:
    c = net.voters["c"]
    c.adopt_voter_set(ABD)
    assert not c.is_voting and c.rejoin_request() is None
    (vote,) = c.answer_batch([(ABD.fingerprint(), Prepare("k", Ballot(1, "p")))])
    assert vote is None and c.answer_rejoin(Rejoin("a", 1)) == VoterSetNotice(ABD)


def test_a_voter_without_its_memory_writes_no_file_when_it_adopts_a_voter_set(net: Network) -> None:
    """If it restarted before it has rejoined, it would take that file, without its promises, for its
    memory."""
    a = net.lose_memory("a")
    a.adopt_voter_set(JOINT)
    assert not a.is_voting and "a" not in net.files and not net.start("a").is_voting


def test_a_voter_without_its_memory_needs_answers_of_all_voters_of_the_newest_voter_set(net: Network) -> None:
    net.reconfigure("c", "d")
    net.away = {"c"}
    a = net.lose_memory("a")
    assert a.others == {"b", "c"}, "by the operators' file"
    net.rejoin("a")
    assert a.others == {"b", "d"} and not a.is_voting
    net.away.add("d")
    assert not net.rejoin("a")
    net.away.discard("d")
    assert net.rejoin("a")


def test_adding_a_voter_twice_with_one_token_gives_one_identity(net: Network) -> None:
    d = net.voters["d"]
    d.adopt_voter_set(ABC)
    first, again, other = (
        d.answer_batch([(ABC.fingerprint(), AddVoter(token))])[0] for token in ("t", "t", "u")
    )
    assert first is not None and again is not None and other is not None
    assert first.identity == again.identity != other.identity and first.boot == BOOTS_PER_VOTER_SET


def test_a_voter_that_votes_is_not_added_again(net: Network) -> None:
    assert net.voters["a"].answer_batch([(ABC.fingerprint(), AddVoter("t"))]) == [None]


def test_an_added_voter_with_an_older_copy_of_its_file_does_not_vote_at_once(net: Network) -> None:
    d = net.voters["d"]
    d.adopt_voter_set(ABC)
    d.answer_batch([(ABC.fingerprint(), AddVoter("t"))])
    joint = ABC.begin_change("c", {"d": d.memory.identity})
    assert d.adopt_voter_set(joint) and d.is_voting
    d.answer_batch([(joint.fingerprint(), Prepare("k", Ballot(5, "p")))])
    net.files["d"] = disks.encode(Memory("f", "d", 0, {}, {}, ABC, d.memory.identity, "t"))
    old = net.start("d", is_trusted=False)
    assert old.adopt_voter_set(joint) and not old.is_voting and old.rejoin_request() is not None


# -- the change


def test_a_voter_is_replaced_and_chosen_records_stay(net: Network) -> None:
    record = written_record(net)
    result = net.reconfigure("c", "d")
    assert not result.error and result.voter_set.names == ("a", "b", "d") and result.voter_set.number == 2
    net.away = {"a", "c"}
    assert net.run(net.proposer("r").read("k")) == Outcome(Result.DONE, record), "b and d are enough"


def test_an_unreachable_voter_is_replaced_and_may_be_added_again(net: Network) -> None:
    record = written_record(net)
    net.away = {"c"}
    assert not net.reconfigure("c", "d").error
    net.away = {"a"}
    assert net.run(net.proposer("r").read("k")).record == record
    net.away = set()
    assert net.run(net.proposer("old", ABC).compare_and_set("k", record, b"y")).result is Result.DONE
    assert net.reconfigure("a", "c", "back").voter_set.names == ("b", "c", "d")


def test_the_old_voters_alone_choose_nothing_after_a_change(net: Network) -> None:
    net.away = {"c"}
    net.reconfigure("c", "d")
    net.away = {"d"}
    stale = net.proposer("stale", ABC)
    ballot = Prepare("k", Ballot(50, "stale"))
    votes = [net.voters[name].answer_batch([(ABC.fingerprint(), ballot)])[0] for name in "abc"]
    assert [vote is not None and vote.granted for vote in votes] == [False, False, True]
    assert net.run(stale.read("k")).result is Result.DONE and stale.voter_set.names == ("a", "b", "d")


def test_a_voter_that_lost_its_memory_starts_anew_under_another_identity(net: Network) -> None:
    """It cannot rejoin while another voter is unreachable. If it is dropped and added, it needs no
    answers."""
    record = written_record(net)
    net.lose_memory("c")
    net.away = {"b"}
    assert not net.rejoin("c")
    net.away = set()
    old = net.voters["c"].memory.identity
    result = net.reconfigure("c", "c")
    assert not result.error and result.voter_set.identity_of("c") != old
    assert net.voters["c"].is_voting and net.voters["c"].memory.slots["k"].record == record


def test_an_added_voter_that_lost_its_memory_does_not_vote_before_it_rejoins(net: Network) -> None:
    net.reconfigure("c", "d")
    net.lose_memory("d")
    (vote,) = net.voters["d"].answer_batch([(ABD.fingerprint(), Prepare("k", Ballot(1, "p")))])
    assert vote is not None and not vote.granted
    assert net.voters["d"].rejoin_request() is None, "the operators' file does not name it as a voter"
    net.run(net.proposer("r").read("k"))  # this request tells it of the newer voter set, which includes it
    assert net.rejoin("d") and net.voters["d"].memory.identity == net.voters[
        "a"
    ].memory.voter_set.identity_of("d")


def test_a_change_from_three_voters_to_five_and_back(net: Network) -> None:
    record = written_record(net)
    assert net.reconfigure("", "de").voter_set.names == ("a", "b", "c", "d", "e")
    net.away = {"a", "b"}
    assert net.run(net.proposer("r").read("k")).record == record
    assert net.reconfigure("ab", "", "back").voter_set.names == ("c", "d", "e")


def test_an_interrupted_change_is_completed_by_another_proposer(net: Network) -> None:
    """The first proposer stops after each possible number of rounds; the second completes the change, or
    finds that none was begun."""
    for rounds in range(1, 40):
        net = Network()
        record = written_record(net)
        call = reconfigure(net.proposer("first"), "c", "d", "first")
        if not net.run(interrupted(call, rounds)):
            break
        result = net.reconfigure("", "", "second")
        assert not result.error and not result.voter_set.is_joint, rounds
        assert net.run(net.proposer("r").read("k")).record == record
    assert 10 < rounds < 39


def interrupted(call: Any, rounds: int) -> Iterator[Any]:
    """Runs a call for so many steps at most; True if it was interrupted."""
    step = next(call)
    for _ in range(rounds):
        votes = yield step
        try:
            step = call.send(votes)
        except StopIteration:
            return False
    return True


def test_two_concurrent_changes_are_applied_one_after_the_other(net: Network) -> None:
    first = reconfigure(net.proposer("first"), "c", "d", "first")
    net.run(interrupted(first, 6))
    second = net.reconfigure("b", "e", "second")
    assert not second.error and not second.voter_set.is_joint and "e" in second.voter_set.names


@pytest.mark.parametrize(
    ("away", "drop", "add", "message"),
    [("ab", "c", "d", "no majority"), ("d", "c", "d", "takes no seat"), ("", "c", "a", "votes already")],
)
def test_a_failed_change_is_reported_in_one_line_and_leaves_the_voter_set(
    net: Network, away: str, drop: str, add: str, message: str
) -> None:
    net.away = set(away)
    result = net.reconfigure(drop, add)
    assert message in result.error and "\n" not in result.error
    net.away = set()
    assert net.reconfigure("", "", "check").voter_set == ABC


def test_a_file_of_format_version_1_is_read() -> None:
    old = disks.MemoryVersion1("f", "a", 3, {}, {"b": 2}, ["a", "b", "c"])
    body = disks.msgspec.msgpack.encode(old)
    raw = disks.HEADER.pack(disks.MAGIC, 1, len(body), disks.xxhash.xxh3_128_digest(body)) + body
    assert disks.decode(raw) == Memory("f", "a", 3, {}, {"b": 2}, ABC)


def test_a_voter_with_an_older_voter_set_is_sent_the_newer_one_once_a_round() -> None:
    sent: list[tuple[str, Any]] = []
    calls = Calls(100.0, lambda receiver, message: sent.append((receiver, message)))
    calls.start(Proposer("p", JOINT, lambda: 0.5).read("k"), lambda *_: None, 0.0)
    old = Voter("a", "abc", Memory("f", "a", 0, {}, {}, ABC), lambda _: True, "f")
    first = sent[0][1]
    assert isinstance(first, VoterRequest)
    (refusal,) = old.answer_batch([(first.roster_mark, first.ask)])
    assert refusal is not None
    del sent[:]
    for _ in range(3):
        calls.receive_vote("a", VoterReply(first.call, first.round, refusal), 1.0)
    assert sent == [("a", VoterSetNotice(JOINT)), ("a", first)]


def test_a_rejoin_answer_under_a_newer_voter_set_is_not_enough_to_vote(net: Network) -> None:
    a = net.start("a", is_trusted=False)
    assert not a.accept_rejoin_answer(RejoinAnswer("b", 0, a.memory.boot, 0, {}, {}, ABD))
    assert a.memory.voter_set == ABD and set(a.rejoin_answers) == {"b"} and not a.is_voting


def test_voters_with_different_founding_voter_sets_are_detected(net: Network) -> None:
    net.voters["c"] = Voter(
        "c", "abc", Memory("f", "c", 0, {}, {}, founding_voter_set("cde")), lambda _: True, "f"
    )
    net.away = {"b"}
    proposer = net.proposer("p", ABC)
    assert net.run(proposer.read("k")).result is Result.UNAVAILABLE
    assert proposer.conflicting_voter_set == founding_voter_set("cde") and proposer.voter_set == ABC


# -- histories


@pytest.mark.parametrize("trusted", [False, True])
def test_histories_stay_linearizable_while_voters_are_replaced(trusted: bool) -> None:
    histories = [register_history.play(seed, trusted, replaces_voters=True) for seed in range(40)]
    assert [one.seed for one in histories if not one.ok] == []
    assert (
        sum(one.known_outcomes for one in histories) > 400
        and sum(one.reconfigurations for one in histories) > 12
    )


def test_histories_stay_linearizable_under_any_order_of_messages() -> None:
    played = [reconfiguration_fuzz.play(seed, loses_state=seed % 2 == 0) for seed in range(1, 61)]
    assert [seed for seed, one in enumerate(played, 1) if not one.ok] == []
    assert (
        sum(one.known_outcomes for one in played) > 700 and sum(one.reconfigurations for one in played) > 15
    )


@pytest.mark.parametrize(("bug", "seed"), [("no-joint", 16), ("no-rewrite", 16), ("any-roster", 238)])
def test_injected_faults_of_the_replacement_are_found(bug: str, seed: int) -> None:
    assert not reconfiguration_fuzz.play(seed, bug=bug).ok and reconfiguration_fuzz.play(seed).ok


def test_an_injected_fault_is_removed_again() -> None:
    before = (
        reconfiguration_fuzz.VoterSet.begin_change,
        reconfiguration_fuzz.reconfiguration.complete_reconfiguration,
        reconfiguration_fuzz.Voter._answer,
    )
    for bug in reconfiguration_fuzz.INJECTED_FAULTS:
        reconfiguration_fuzz.play(1, bug=bug)
    assert (
        reconfiguration_fuzz.VoterSet.begin_change,
        reconfiguration_fuzz.reconfiguration.complete_reconfiguration,
        reconfiguration_fuzz.Voter._answer,
    ) == before
