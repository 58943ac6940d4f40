"""The register: decisions of voters and proposers, memory on disk, both backings by one set of tests, and
histories under faults on the virtual clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from myrtlecrank.fleet.ownership.lease import Lease
from myrtlecrank.fleet.register import disk as disks
from myrtlecrank.fleet.register.caspaxos import MAX_KEYS, Pause, Proposer, Round, Voter, valid_grants
from myrtlecrank.fleet.register.messages import (
    EMPTY_RECORD,
    MAX_VALUE_BYTES,
    Accept,
    AddVoter,
    Ballot,
    Known,
    ListKeys,
    Memory,
    Outcome,
    Prepare,
    Record,
    Register,
    Rejoin,
    Result,
    Seated,
    Slot,
    UnverifiedRead,
    Vote,
)
from myrtlecrank.fleet.register.sqlite import SqliteRegister
from myrtlecrank.fleet.register.voter_set import founding_voter_set
from rig.multi_node import register_history
from rig.multi_node.checkers import Op, linearizable
from rig.multi_node.register_model_check import Walk

NAMES = ("a", "b", "c")
ROSTER = founding_voter_set(NAMES)


def voter(name: str = "a", memory: Memory | None = None, whole: bool = True, keeps: bool = True) -> Voter:
    memory = memory or Memory("f", name, 0, {}, {}, ROSTER)
    return Voter(name, NAMES, memory, lambda _: keeps, "f", whole)


def lost(name: str) -> Voter:
    return Voter(name, NAMES, None, lambda _: True, "f", instance_id=f"{name}/2")


def one(vote: Voter, asked: Any) -> Vote | None:
    return vote.answer_batch([(ROSTER.fingerprint(), asked)])[0]


class Quorum:
    """The proposer's calls against three voters in this process, some of them away. Backs the tests that both
    backings pass."""

    def __init__(self, folder: Path, ident: str, voters: dict[str, Voter] | None = None) -> None:
        self.disks = {name: disks.Disk(str(folder), "f", name) for name in NAMES}
        if voters is None:
            for disk in self.disks.values():
                disk.found(NAMES)
            voters = {n: Voter(n, NAMES, self.disks[n].load(), self.disks[n].save, "f") for n in NAMES}
        self.voters, self.away = voters, set[str]()
        self.proposer = Proposer(ident, ROSTER, lambda: 0.5, max_attempts=3)

    def _run(self, call: Any) -> Outcome:
        votes = None
        while True:
            try:
                step = next(call) if votes is None else call.send(votes)
            except StopIteration as end:
                return end.value  # type: ignore[no-any-return]
            votes = []
            if isinstance(step, Round):
                answers = [one(v, step.request) for n, v in self.voters.items() if n not in self.away]
                votes = [vote for vote in answers if vote is not None]
            else:
                assert isinstance(step, Pause) and 0.0 < step.duration_ms < 1000.0

    def read(self, key: str) -> Outcome:
        return self._run(self.proposer.read(key))

    def glance(self, key: str) -> Outcome:
        return self._run(self.proposer.glance(key))

    def change(self, key: str, over: Record, value: bytes) -> Outcome:
        return self._run(self.proposer.change(key, over, value))


@pytest.fixture(params=["voters", "sqlite"])
def pair(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[tuple[Register, Register]]:
    """Two processes' handles on one register."""
    if request.param == "voters":
        first = Quorum(tmp_path, "one")
        yield first, Quorum(tmp_path, "two", first.voters)
        return
    file = str(tmp_path / "register.db")
    bases = SqliteRegister(file, "one"), SqliteRegister(file, "two")
    yield bases
    for base in bases:
        base.close()


def test_a_key_nobody_wrote_stands_at_version_0(pair: tuple[Register, Register]) -> None:
    assert pair[0].read("k") == Outcome(Result.DONE, EMPTY_RECORD)


def test_a_change_is_seen_by_the_other_and_versions_rise_by_one(pair: tuple[Register, Register]) -> None:
    first = pair[0].change("k", EMPTY_RECORD, b"x")
    assert first.result is Result.DONE and first.record.version == 1
    assert pair[1].read("k").record == first.record == pair[1].glance("k").record
    second = pair[1].change("k", first.record, b"y")
    assert (second.record.version, pair[0].read("k").record.value) == (2, b"y")


def test_a_change_over_what_no_longer_stands_changes_nothing_and_tells_what_does(
    pair: tuple[Register, Register],
) -> None:
    first = pair[0].change("k", EMPTY_RECORD, b"x")
    assert pair[1].change("k", EMPTY_RECORD, b"y") == Outcome(Result.CONFLICT, first.record)
    assert pair[0].read("k").record.value == b"x"


def test_a_record_is_known_by_its_writer_and_not_by_its_version_alone(
    pair: tuple[Register, Register],
) -> None:
    """Two calls may have tried for one version; a change over the one that lost must not pass for the
    other."""
    pair[0].change("k", EMPTY_RECORD, b"x")
    assert pair[1].change("k", Record(1, b"x", "somebody else"), b"y").result is Result.CONFLICT


def test_keys_are_apart(pair: tuple[Register, Register]) -> None:
    pair[0].change("k", EMPTY_RECORD, b"x")
    assert pair[0].read("other").record is EMPTY_RECORD or pair[0].read("other").record == EMPTY_RECORD


@pytest.mark.parametrize(("key", "value"), [("", b""), ("k" * 201, b""), ("k", b"x" * (MAX_VALUE_BYTES + 1))])
def test_what_is_too_long_is_an_error_and_leaves_nothing(
    pair: tuple[Register, Register], key: str, value: bytes
) -> None:
    with pytest.raises(ValueError, match="not"):
        pair[0].change(key, EMPTY_RECORD, value)
    assert pair[0].read("k").record == EMPTY_RECORD


def test_another_processs_lock_is_waited_for_no_longer_than_told(tmp_path: Path) -> None:
    holder, waiter = (
        SqliteRegister(str(tmp_path / "r.db"), who, lock_timeout_ms=30.0) for who in ("one", "two")
    )
    holder.connection.execute("BEGIN IMMEDIATE")
    assert waiter.change("k", EMPTY_RECORD, b"x").result is Result.AWAY
    holder.connection.execute("ROLLBACK")
    assert waiter.change("k", EMPTY_RECORD, b"x").result is Result.DONE
    holder.close()
    waiter.close()


# -- with a majority away


def test_without_a_majority_nothing_is_read_and_nothing_changes(tmp_path: Path) -> None:
    register = Quorum(tmp_path, "one")
    register.away = {"a", "b"}
    assert register.read("k").result is register.glance("k").result is Result.AWAY
    assert register.change("k", EMPTY_RECORD, b"x").result is Result.AWAY
    register.away = {"c"}
    assert register.read("k").record == EMPTY_RECORD


def test_a_majority_that_goes_between_the_rounds_leaves_the_outcome_unknown(tmp_path: Path) -> None:
    register = Quorum(tmp_path, "one")
    call = register.proposer.change("k", EMPTY_RECORD, b"x")
    step = next(call)
    votes = [one(v, step.request) for v in register.voters.values()]  # type: ignore[union-attr]
    step = call.send([vote for vote in votes if vote is not None])
    assert isinstance(step, Round) and isinstance(step.request, Accept)
    only = one(register.voters["a"], step.request)
    assert only is not None
    votes_now: list[Vote] = [only]
    with pytest.raises(StopIteration) as end:
        while True:
            call.send(votes_now)
            votes_now = []
    assert end.value.value.result is Result.UNKNOWN


def test_what_a_minority_accepted_stands_once_a_read_has_seen_it(tmp_path: Path) -> None:
    register = Quorum(tmp_path, "one")
    ballot, record = Ballot(5, "dead"), Record(1, b"x", "dead:1")
    for name in ("a", "b"):
        one(register.voters[name], Prepare("k", ballot))
    one(register.voters["a"], Accept("k", ballot, record))
    register.away = {"c"}
    assert register.read("k").record == record
    register.away = {"a"}
    assert register.read("k").record == record


def test_a_change_of_ours_that_came_through_after_all_is_known_again(tmp_path: Path) -> None:
    """Its first accept round is answered by nobody, yet one voter took it: the next try finds it as ours."""
    register = Quorum(tmp_path, "one")
    call = register.proposer.change("k", EMPTY_RECORD, b"x")
    step: Any = next(call)
    step = call.send([one(v, step.request) for v in register.voters.values()])
    for v in register.voters.values():
        one(v, step.request)
    assert isinstance(call.send([]), Pause)
    outcome = register._run(_rest(call))
    assert outcome.result is Result.DONE and outcome.record.version == 1
    assert register.read("k").record == outcome.record


def _rest(call: Any) -> Any:
    """A call that goes on where it waits."""
    step = call.send([])
    while True:
        votes = yield step
        try:
            step = call.send(votes)
        except StopIteration as end:
            return end.value


# -- voters


def test_a_voter_keeps_its_promise() -> None:
    v = voter()
    assert one(v, Prepare("k", Ballot(2, "p"))) is not None
    for late in (Prepare("k", Ballot(1, "q")), Accept("k", Ballot(2, "o"), EMPTY_RECORD)):
        vote = one(v, late)
        assert vote is not None and not vote.granted and vote.ballot == Ballot(2, "p")


def test_a_voter_whose_disk_fails_says_nothing() -> None:
    v = voter(keeps=False)
    assert one(v, Prepare("k", Ballot(1, "p"))) is None and v.failed


def test_several_questions_go_under_one_flush() -> None:
    kept: list[Memory] = []
    v = Voter("a", NAMES, Memory("f", "a", 0, {}, {}, ROSTER), lambda m: kept.append(m) is None)
    votes = v.answer_batch([(ROSTER.fingerprint(), Prepare(f"k{i}", Ballot(1, "p"))) for i in range(20)])
    assert len(kept) == 1 and all(vote is not None and vote.granted for vote in votes)


def test_keys_are_bounded() -> None:
    v = voter()
    v.memory.slots = {f"k{i}": Slot() for i in range(MAX_KEYS)}
    assert one(v, Prepare("one more", Ballot(1, "p"))) is None and one(v, Prepare("k1", Ballot(1, "p")))


def test_a_voter_without_memory_abstains_until_all_others_have_told() -> None:
    b, c = voter("b"), voter("c")
    one(b, Prepare("k", Ballot(7, "p")))
    one(c, Accept("k", Ballot(3, "q"), Record(1, b"x", "q:1")))
    a = lost("a")
    unknowing = one(a, Prepare("k", Ballot(9, "p")))
    assert unknowing is not None and not unknowing.granted and unknowing.roster is not None
    assert a.adopt_voter_set(ROSTER) and one(a, Prepare("k", Ballot(9, "p"))) is None
    asked = a.rejoin()
    assert asked == Rejoin("a", 1)
    known = b.answer_rejoin(asked)
    assert known is not None and not a.accept_rejoin_answer(known), "one of the two is not enough"
    other = c.answer_rejoin(asked)
    assert other is not None and a.accept_rejoin_answer(other) and a.rejoin() is None
    assert a.memory.slots["k"] == Slot(Ballot(7, "p"), Ballot(3, "q"), Record(1, b"x", "q:1"))


def test_one_that_has_lost_its_own_memory_tells_another_nothing() -> None:
    assert lost("a").answer_rejoin(Rejoin("b", 1)) is None


def test_a_boot_number_that_an_older_start_used_is_not_used_again() -> None:
    b = voter("b")
    b.memory.known_boots["a"] = 4
    a = lost("a")
    asked = a.rejoin()
    assert asked is not None
    known = b.answer_rejoin(asked)
    assert known is not None and not a.accept_rejoin_answer(known)
    assert a.rejoin() == Rejoin("a", 5)


def test_votes_of_a_boot_that_another_vote_knows_to_be_over_do_not_count() -> None:
    """A promises, loses its memory and comes back before B hears of the ballot: A's promise is void, and with
    B's it makes no majority. Else the proposer would write over what was chosen meanwhile."""
    a, b, c = voter("a"), voter("b"), voter("c")
    high = Prepare("k", Ballot(9, "slow"))
    early = one(a, high)
    a = lost("a")
    asked = a.rejoin()
    assert asked is not None
    for other in (b, c):
        known = other.answer_rejoin(asked)
        assert known is not None
        a.accept_rejoin_answer(known)
    assert a.voting
    for v in (a, c):
        assert one(v, Accept("k", Ballot(1, "quick"), Record(1, b"x", "quick:1")))
    late = one(b, high)
    assert early is not None and late is not None and early.granted and late.granted
    assert valid_grants([early, late]) == [late]


def test_a_roster_of_an_even_number_is_none() -> None:
    with pytest.raises(ValueError, match="odd"):
        founding_voter_set("abcd")


# -- disk


def test_memory_comes_back_as_it_was(tmp_path: Path) -> None:
    disk = disks.Disk(str(tmp_path), "f", "a")
    assert disk.load() is None
    disk.found(NAMES)
    slot = Slot(Ballot(2, "p"), Ballot(1, "q"), Record(1, b"x", "q:1"))
    memory = Memory("f", "a", 3, {"k": slot}, {"b": 2})
    assert disk.save(memory) and disk.load() == memory
    with pytest.raises(FileExistsError):
        disk.found(NAMES)


CASES: dict[str, tuple[Callable[[bytes], bytes], str]] = {
    "cut": (lambda raw: raw[:-3], "torn"),
    "short": (lambda raw: raw[:5], "shorter than its header"),
    "bit": (lambda raw: raw[:-1] + bytes([raw[-1] ^ 1]), "torn"),
    "other": (lambda _: b"x" * 100, "no voter"),
    "newer": (lambda raw: raw[:4] + b"\x09\x00" + raw[6:], "version 9"),
    "longer": (lambda raw: raw + b"x", "torn"),
}


@pytest.mark.parametrize("case", list(CASES))
def test_a_torn_file_is_told_in_one_line_and_never_believed(tmp_path: Path, case: str) -> None:
    disk = disks.Disk(str(tmp_path), "f", "a")
    disk.found(NAMES)
    spoil, message = CASES[case]
    Path(disk.path).write_bytes(spoil(Path(disk.path).read_bytes()))
    with pytest.raises(disks.TornError, match=message) as caught:
        disk.load()
    assert "\n" not in str(caught.value)


def test_a_file_of_another_voter_or_fleet_is_refused(tmp_path: Path) -> None:
    disks.Disk(str(tmp_path), "f", "a").found(NAMES)
    (tmp_path / "voter-a.state").rename(tmp_path / "voter-b.state")
    with pytest.raises(disks.TornError, match="belongs to voter 'a' of fleet 'f'"):
        disks.Disk(str(tmp_path), "f", "b").load()


def test_a_disk_that_takes_nothing_leaves_the_old_memory(tmp_path: Path) -> None:
    disk = disks.Disk(str(tmp_path), "f", "a")
    disk.found(NAMES)
    (tmp_path / "voter-a.state.new").mkdir()  # stands in the way of the write
    assert not disk.save(Memory("f", "a", 9, {}, {}))
    memory = disk.load()
    assert memory is not None and memory.boot == 0


# -- names on the wire and on disk


def test_structs_keep_their_names_on_the_wire_and_on_disk() -> None:
    """Members of another build and memory files find each struct by its tag and each field by its name."""
    ballot, record = Ballot(2, "p"), Record(1, b"x", "p:1")
    ballot_out = {"number": 2, "by": "p"}
    record_out = {"version": 1, "value": b"x", "writer": "p:1"}
    roster_out = {"number": 0, "sets": [{"a": "", "b": "", "c": ""}]}
    slot = Slot(ballot, ballot, record)
    slot_out = {"promised": ballot_out, "accepted": ballot_out, "record": record_out}
    vote = Vote("a", 1, True, ballot, ballot, record, {"b": 2}, "a/1:1", ROSTER, ["k"])
    vote_out = {"type": "Vote", "voter": "a", "boot": 1, "granted": True, "ballot": ballot_out}
    vote_out |= {"accepted": ballot_out, "record": record_out, "boots": {"b": 2}, "seat": "a/1:1"}
    vote_out |= {"roster": roster_out, "keys": ["k"]}
    known_out = {"type": "Known", "voter": "a", "boot": 1, "asked": 2, "before": 3, "slots": {"k": slot_out}}
    known_out |= {"boots": {"b": 2}, "roster": roster_out}
    memory_out = {"fleet": "f", "voter": "a", "boot": 1, "slots": {"k": slot_out}, "boots": {"b": 2}}
    version_1 = disks.MemoryVersion1("f", "a", 1, {"k": slot}, {"b": 2}, ["a"])
    written: list[tuple[Any, dict[str, Any]]] = [
        (Prepare("k", ballot), {"type": "Prepare", "key": "k", "ballot": ballot_out}),
        (
            Accept("k", ballot, record),
            {"type": "Accept", "key": "k", "ballot": ballot_out, "record": record_out},
        ),
        (UnverifiedRead("k"), {"type": "Glance", "key": "k"}),
        (ListKeys(), {"type": "Keys"}),
        (AddVoter("t"), {"type": "Enlist", "token": "t"}),
        (Rejoin("a", 1), {"type": "Rejoin", "voter": "a", "boot": 1}),
        (Seated(ROSTER), {"type": "Seated", "roster": roster_out}),
        (vote, vote_out),
        (Vote("a", 1, False), {"type": "Vote", "voter": "a", "boot": 1, "granted": False}),
        (Known("a", 1, 2, 3, {"k": slot}, {"b": 2}, ROSTER), known_out),
        (
            Memory("f", "a", 1, {"k": slot}, {"b": 2}, ROSTER, "a/1:1", "t"),
            memory_out | {"roster": roster_out, "seat": "a/1:1", "token": "t"},
        ),
        (version_1, memory_out | {"voters": ["a"]}),
        (Lease("a/1", 1, 2, "b", 3), {"owner": "a/1", "epoch": 1, "turn": 2, "heir": "b", "progress": 3}),
        (Outcome(Result.AWAY, record), {"result": "away", "record": record_out}),
    ]
    for value, expected in written:
        packed = msgspec.msgpack.encode(value)
        sent = msgspec.msgpack.decode(packed)
        assert sent == expected
        assert list(sent) == list(expected), "the order of fields"
        assert msgspec.msgpack.decode(packed, type=type(value)) == value


# -- histories


def test_the_checker_knows_what_no_register_does() -> None:
    write = Op(0, 1, "change", wrote="x")
    assert linearizable([write, Op(2, 3, "read", saw="x")])
    assert not linearizable([write, Op(2, 3, "read", saw="")]), "a stale read"
    assert not linearizable([write, Op(2, 3, "change", over="", wrote="y")]), "two over one"
    assert linearizable([Op(0, float("inf"), "maybe", wrote="x"), Op(2, 3, "read", saw="")])
    seen_then_not = [Op(2, 3, "read", saw="x"), Op(4, 5, "read", saw="")]
    assert not linearizable([Op(0, float("inf"), "maybe", wrote="x"), *seen_then_not])


@pytest.mark.parametrize("trusted", [False, True])
def test_histories_under_faults_are_linearizable(trusted: bool) -> None:
    judged = [register_history.play(seed, trusted) for seed in range(60)]
    assert [one.seed for one in judged if not one.ok] == []
    assert sum(one.known for one in judged) > 500, "most calls end, or the judge sees nothing"


def test_a_seed_gives_the_same_history_each_time() -> None:
    assert register_history.play(5).history == register_history.play(5).history


@pytest.mark.parametrize(
    ("bug", "seeds"), [("stale", range(20, 21)), ("ballot", range(299, 300)), ("forget", range(27, 28))]
)
def test_planted_bugs_of_the_register_are_found(bug: str, seeds: range) -> None:
    plant = {"stale": register_history.stale_read, "ballot": register_history.ballot_again}.get(bug)
    assert not all(register_history.play(seed, plant=plant, forget=bug == "forget").ok for seed in seeds)


def test_a_first_question_tells_that_no_boot_was_known() -> None:
    known = voter("b").answer_rejoin(Rejoin("a", 1))
    assert isinstance(known, Known) and known.requested_boot == 1 and known.previous_boot == 0


def test_no_order_of_events_lets_two_change_one_record() -> None:
    """Eight events are the fewest by which both could: two rounds of two votes each."""
    walk = Walk(8, tries=1).run()
    assert not walk.wrong and walk.states > 50_000
    assert (Result.DONE, Result.CONFLICT) in walk.ends and (Result.UNKNOWN, Result.DONE) in walk.ends


def test_the_walk_finds_a_voter_that_breaks_its_promise() -> None:
    assert Walk(8, tries=1, broken=True).run().wrong
