"""Tests of the register: voters and proposers, the file of a voter, both implementations by the same tests,
names on the wire and on disk, and histories under faults on the virtual clock."""

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
    ListKeys,
    Memory,
    Outcome,
    Prepare,
    Record,
    Register,
    Rejoin,
    RejoinAnswer,
    Result,
    Slot,
    UnverifiedRead,
    Vote,
    VoterSetNotice,
)
from myrtlecrank.fleet.register.sqlite import SqliteRegister
from myrtlecrank.fleet.register.voter_set import founding_voter_set
from rig.multi_node import register_history
from rig.multi_node.checkers import Operation, linearizable
from rig.multi_node.register_model_check import ModelCheck

NAMES = ("a", "b", "c")
VOTER_SET = founding_voter_set(NAMES)


def voter(
    name: str = "a", memory: Memory | None = None, is_trusted: bool = True, write_succeeds: bool = True
) -> Voter:
    memory = memory or Memory("f", name, 0, {}, {}, VOTER_SET)
    return Voter(name, NAMES, memory, lambda _: write_succeeds, "f", is_trusted)


def voter_without_memory(name: str) -> Voter:
    return Voter(name, NAMES, None, lambda _: True, "f", instance_id=f"{name}/2")


def answer(voter: Voter, request: Any) -> Vote | None:
    return voter.answer_batch([(VOTER_SET.fingerprint(), request)])[0]


class LocalRegister:
    """A register of three voters in this process, some of them unreachable (`away`)."""

    def __init__(self, folder: Path, proposer_id: str, voters: dict[str, Voter] | None = None) -> None:
        self.disks = {name: disks.VoterFile(str(folder), "f", name) for name in NAMES}
        if voters is None:
            for disk in self.disks.values():
                disk.create(NAMES)
            voters = {n: Voter(n, NAMES, self.disks[n].load(), self.disks[n].save, "f") for n in NAMES}
        self.voters, self.away = voters, set[str]()
        self.proposer = Proposer(proposer_id, VOTER_SET, lambda: 0.5, max_attempts=3)

    def _run(self, call: Any) -> Outcome:
        votes = None
        while True:
            try:
                step = next(call) if votes is None else call.send(votes)
            except StopIteration as end:
                return end.value  # type: ignore[no-any-return]
            votes = []
            if isinstance(step, Round):
                answers = [answer(v, step.request) for n, v in self.voters.items() if n not in self.away]
                votes = [vote for vote in answers if vote is not None]
            else:
                assert isinstance(step, Pause) and 0.0 < step.duration_ms < 1000.0

    def read(self, key: str) -> Outcome:
        return self._run(self.proposer.read(key))

    def read_unverified(self, key: str) -> Outcome:
        return self._run(self.proposer.read_unverified(key))

    def compare_and_set(self, key: str, over: Record, value: bytes) -> Outcome:
        return self._run(self.proposer.compare_and_set(key, over, value))


@pytest.fixture(params=["voters", "sqlite"])
def registers(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[tuple[Register, Register]]:
    """The access of two processes to one register."""
    if request.param == "voters":
        first = LocalRegister(tmp_path, "one")
        yield first, LocalRegister(tmp_path, "two", first.voters)
        return
    file = str(tmp_path / "register.db")
    handles = SqliteRegister(file, "one"), SqliteRegister(file, "two")
    yield handles
    for handle in handles:
        handle.close()


def test_a_key_that_nobody_wrote_has_version_0(registers: tuple[Register, Register]) -> None:
    assert registers[0].read("k") == Outcome(Result.DONE, EMPTY_RECORD)


def test_a_change_is_visible_to_the_other_process_and_versions_grow_by_one(
    registers: tuple[Register, Register],
) -> None:
    first = registers[0].compare_and_set("k", EMPTY_RECORD, b"x")
    assert first.result is Result.DONE and first.record.version == 1
    assert registers[1].read("k").record == first.record == registers[1].read_unverified("k").record
    second = registers[1].compare_and_set("k", first.record, b"y")
    assert (second.record.version, registers[0].read("k").record.value) == (2, b"y")


def test_a_change_over_an_outdated_record_changes_nothing_and_returns_the_current_one(
    registers: tuple[Register, Register],
) -> None:
    first = registers[0].compare_and_set("k", EMPTY_RECORD, b"x")
    assert registers[1].compare_and_set("k", EMPTY_RECORD, b"y") == Outcome(Result.CONFLICT, first.record)
    assert registers[0].read("k").record.value == b"x"


def test_records_are_compared_by_writer_and_not_by_version_alone(
    registers: tuple[Register, Register],
) -> None:
    """Two calls may propose records of one version; a change over the one that was not chosen must fail."""
    registers[0].compare_and_set("k", EMPTY_RECORD, b"x")
    assert registers[1].compare_and_set("k", Record(1, b"x", "somebody else"), b"y").result is Result.CONFLICT


def test_keys_are_independent(registers: tuple[Register, Register]) -> None:
    registers[0].compare_and_set("k", EMPTY_RECORD, b"x")
    assert (
        registers[0].read("other").record is EMPTY_RECORD or registers[0].read("other").record == EMPTY_RECORD
    )


@pytest.mark.parametrize(("key", "value"), [("", b""), ("k" * 201, b""), ("k", b"x" * (MAX_VALUE_BYTES + 1))])
def test_a_key_or_value_of_wrong_length_is_an_error_and_changes_nothing(
    registers: tuple[Register, Register], key: str, value: bytes
) -> None:
    with pytest.raises(ValueError, match="not"):
        registers[0].compare_and_set(key, EMPTY_RECORD, value)
    assert registers[0].read("k").record == EMPTY_RECORD


def test_the_wait_for_the_lock_of_another_process_is_bounded(tmp_path: Path) -> None:
    holder, waiter = (
        SqliteRegister(str(tmp_path / "r.db"), who, lock_timeout_ms=30.0) for who in ("one", "two")
    )
    holder.connection.execute("BEGIN IMMEDIATE")
    assert waiter.compare_and_set("k", EMPTY_RECORD, b"x").result is Result.UNAVAILABLE
    holder.connection.execute("ROLLBACK")
    assert waiter.compare_and_set("k", EMPTY_RECORD, b"x").result is Result.DONE
    holder.close()
    waiter.close()


# -- without a majority


def test_without_a_majority_nothing_is_read_and_nothing_changes(tmp_path: Path) -> None:
    register = LocalRegister(tmp_path, "one")
    register.away = {"a", "b"}
    assert register.read("k").result is register.read_unverified("k").result is Result.UNAVAILABLE
    assert register.compare_and_set("k", EMPTY_RECORD, b"x").result is Result.UNAVAILABLE
    register.away = {"c"}
    assert register.read("k").record == EMPTY_RECORD


def test_a_majority_lost_between_the_rounds_leaves_the_outcome_unknown(tmp_path: Path) -> None:
    register = LocalRegister(tmp_path, "one")
    call = register.proposer.compare_and_set("k", EMPTY_RECORD, b"x")
    step = next(call)
    votes = [answer(v, step.request) for v in register.voters.values()]  # type: ignore[union-attr]
    step = call.send([vote for vote in votes if vote is not None])
    assert isinstance(step, Round) and isinstance(step.request, Accept)
    only = answer(register.voters["a"], step.request)
    assert only is not None
    votes_now: list[Vote] = [only]
    with pytest.raises(StopIteration) as end:
        while True:
            call.send(votes_now)
            votes_now = []
    assert end.value.value.result is Result.UNKNOWN


def test_a_record_that_a_minority_accepted_is_chosen_once_a_read_returns_it(tmp_path: Path) -> None:
    register = LocalRegister(tmp_path, "one")
    ballot, record = Ballot(5, "dead"), Record(1, b"x", "dead:1")
    for name in ("a", "b"):
        answer(register.voters[name], Prepare("k", ballot))
    answer(register.voters["a"], Accept("k", ballot, record))
    register.away = {"c"}
    assert register.read("k").record == record
    register.away = {"a"}
    assert register.read("k").record == record


def test_a_proposer_recognizes_its_own_change_after_lost_replies(tmp_path: Path) -> None:
    """All votes of the first accept round are lost, though the voters accepted: the next attempt finds the
    record and recognizes its writer."""
    register = LocalRegister(tmp_path, "one")
    call = register.proposer.compare_and_set("k", EMPTY_RECORD, b"x")
    step: Any = next(call)
    step = call.send([answer(v, step.request) for v in register.voters.values()])
    for v in register.voters.values():
        answer(v, step.request)
    assert isinstance(call.send([]), Pause)
    outcome = register._run(_resumed(call))
    assert outcome.result is Result.DONE and outcome.record.version == 1
    assert register.read("k").record == outcome.record


def _resumed(call: Any) -> Any:
    """Resumes a call that waits for votes, without any."""
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
    assert answer(v, Prepare("k", Ballot(2, "p"))) is not None
    for late in (Prepare("k", Ballot(1, "q")), Accept("k", Ballot(2, "o"), EMPTY_RECORD)):
        vote = answer(v, late)
        assert vote is not None and not vote.granted and vote.ballot == Ballot(2, "p")


def test_a_voter_whose_write_fails_does_not_answer() -> None:
    v = voter(write_succeeds=False)
    assert answer(v, Prepare("k", Ballot(1, "p"))) is None and v.last_write_failed


def test_several_requests_are_made_durable_by_one_write() -> None:
    kept: list[Memory] = []
    v = Voter("a", NAMES, Memory("f", "a", 0, {}, {}, VOTER_SET), lambda m: kept.append(m) is None)
    votes = v.answer_batch([(VOTER_SET.fingerprint(), Prepare(f"k{i}", Ballot(1, "p"))) for i in range(20)])
    assert len(kept) == 1 and all(vote is not None and vote.granted for vote in votes)


def test_the_number_of_keys_is_bounded() -> None:
    v = voter()
    v.memory.slots = {f"k{i}": Slot() for i in range(MAX_KEYS)}
    assert answer(v, Prepare("one more", Ballot(1, "p"))) is None and answer(v, Prepare("k1", Ballot(1, "p")))


def test_a_voter_without_memory_abstains_until_all_others_have_answered() -> None:
    b, c = voter("b"), voter("c")
    answer(b, Prepare("k", Ballot(7, "p")))
    answer(c, Accept("k", Ballot(3, "q"), Record(1, b"x", "q:1")))
    a = voter_without_memory("a")
    unknowing = answer(a, Prepare("k", Ballot(9, "p")))
    assert unknowing is not None and not unknowing.granted and unknowing.voter_set is not None
    assert a.adopt_voter_set(VOTER_SET) and answer(a, Prepare("k", Ballot(9, "p"))) is None
    asked = a.rejoin_request()
    assert asked == Rejoin("a", 1)
    known = b.answer_rejoin(asked)
    assert known is not None and not a.accept_rejoin_answer(known), "one of the two is not enough"
    other = c.answer_rejoin(asked)
    assert other is not None and a.accept_rejoin_answer(other) and a.rejoin_request() is None
    assert a.memory.slots["k"] == Slot(Ballot(7, "p"), Ballot(3, "q"), Record(1, b"x", "q:1"))


def test_a_voter_without_memory_does_not_answer_a_rejoin_request() -> None:
    assert voter_without_memory("a").answer_rejoin(Rejoin("b", 1)) is None


def test_the_boot_number_of_an_earlier_start_is_not_reused() -> None:
    b = voter("b")
    b.memory.known_boots["a"] = 4
    a = voter_without_memory("a")
    asked = a.rejoin_request()
    assert asked is not None
    known = b.answer_rejoin(asked)
    assert known is not None and not a.accept_rejoin_answer(known)
    assert a.rejoin_request() == Rejoin("a", 5)


def test_votes_of_an_outdated_boot_number_do_not_count() -> None:
    """A promises, loses its memory and rejoins before B hears of the ballot. A's promise is void and makes no
    majority with B's; otherwise the proposer would overwrite a record that was chosen meanwhile."""
    a, b, c = voter("a"), voter("b"), voter("c")
    high = Prepare("k", Ballot(9, "slow"))
    early = answer(a, high)
    a = voter_without_memory("a")
    asked = a.rejoin_request()
    assert asked is not None
    for other in (b, c):
        known = other.answer_rejoin(asked)
        assert known is not None
        a.accept_rejoin_answer(known)
    assert a.is_voting
    for v in (a, c):
        assert answer(v, Accept("k", Ballot(1, "quick"), Record(1, b"x", "quick:1")))
    late = answer(b, high)
    assert early is not None and late is not None and early.granted and late.granted
    assert valid_grants([early, late]) == [late]


def test_an_even_number_of_founding_voters_is_refused() -> None:
    with pytest.raises(ValueError, match="odd"):
        founding_voter_set("abcd")


# -- the file of a voter


def test_a_saved_memory_is_loaded_unchanged(tmp_path: Path) -> None:
    disk = disks.VoterFile(str(tmp_path), "f", "a")
    assert disk.load() is None
    disk.create(NAMES)
    slot = Slot(Ballot(2, "p"), Ballot(1, "q"), Record(1, b"x", "q:1"))
    memory = Memory("f", "a", 3, {"k": slot}, {"b": 2})
    assert disk.save(memory) and disk.load() == memory
    with pytest.raises(FileExistsError):
        disk.create(NAMES)


DAMAGED_FILES: dict[str, tuple[Callable[[bytes], bytes], str]] = {
    "cut": (lambda raw: raw[:-3], "torn"),
    "short": (lambda raw: raw[:5], "shorter than its header"),
    "bit": (lambda raw: raw[:-1] + bytes([raw[-1] ^ 1]), "torn"),
    "other": (lambda _: b"x" * 100, "no voter"),
    "newer": (lambda raw: raw[:4] + b"\x09\x00" + raw[6:], "version 9"),
    "longer": (lambda raw: raw + b"x", "torn"),
}


@pytest.mark.parametrize("case", list(DAMAGED_FILES))
def test_a_damaged_file_is_refused_with_one_line(tmp_path: Path, case: str) -> None:
    disk = disks.VoterFile(str(tmp_path), "f", "a")
    disk.create(NAMES)
    damage, message = DAMAGED_FILES[case]
    Path(disk.path).write_bytes(damage(Path(disk.path).read_bytes()))
    with pytest.raises(disks.UnusableFileError, match=message) as caught:
        disk.load()
    assert "\n" not in str(caught.value)


def test_a_file_of_another_voter_or_fleet_is_refused(tmp_path: Path) -> None:
    disks.VoterFile(str(tmp_path), "f", "a").create(NAMES)
    (tmp_path / "voter-a.state").rename(tmp_path / "voter-b.state")
    with pytest.raises(disks.UnusableFileError, match="belongs to voter 'a' of fleet 'f'"):
        disks.VoterFile(str(tmp_path), "f", "b").load()


def test_a_failed_write_leaves_the_old_memory(tmp_path: Path) -> None:
    disk = disks.VoterFile(str(tmp_path), "f", "a")
    disk.create(NAMES)
    (tmp_path / "voter-a.state.new").mkdir()  # makes the write fail
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
    vote = Vote("a", 1, True, ballot, ballot, record, {"b": 2}, "a/1:1", VOTER_SET, ["k"])
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
        (VoterSetNotice(VOTER_SET), {"type": "Seated", "roster": roster_out}),
        (vote, vote_out),
        (Vote("a", 1, False), {"type": "Vote", "voter": "a", "boot": 1, "granted": False}),
        (RejoinAnswer("a", 1, 2, 3, {"k": slot}, {"b": 2}, VOTER_SET), known_out),
        (
            Memory("f", "a", 1, {"k": slot}, {"b": 2}, VOTER_SET, "a/1:1", "t"),
            memory_out | {"roster": roster_out, "seat": "a/1:1", "token": "t"},
        ),
        (version_1, memory_out | {"voters": ["a"]}),
        (
            Lease("a/1", 1, 2, "b", 3, 4.0, 0.5 / 8),
            {
                "owner": "a/1",
                "epoch": 1,
                "turn": 2,
                "heir": "b",
                "progress": 3,
                "lease_ms": 4.0,
                "drift": 0.0625,
            },
        ),
        (Outcome(Result.UNAVAILABLE, record), {"result": "away", "record": record_out}),
    ]
    for value, expected in written:
        packed = msgspec.msgpack.encode(value)
        sent = msgspec.msgpack.decode(packed)
        assert sent == expected
        assert list(sent) == list(expected), "the order of fields"
        assert msgspec.msgpack.decode(packed, type=type(value)) == value


# -- histories


def test_the_checker_refuses_histories_that_are_not_linearizable() -> None:
    write = Operation(0, 1, "change", written="x")
    assert linearizable([write, Operation(2, 3, "read", read="x")])
    assert not linearizable([write, Operation(2, 3, "read", read="")]), "a stale read"
    assert not linearizable([write, Operation(2, 3, "change", base="", written="y")]), (
        "two changes over one record"
    )
    assert linearizable([Operation(0, float("inf"), "maybe", written="x"), Operation(2, 3, "read", read="")])
    seen_then_not = [Operation(2, 3, "read", read="x"), Operation(4, 5, "read", read="")]
    assert not linearizable([Operation(0, float("inf"), "maybe", written="x"), *seen_then_not])


@pytest.mark.parametrize("trusted", [False, True])
def test_histories_under_faults_are_linearizable(trusted: bool) -> None:
    histories = [register_history.play(seed, trusted) for seed in range(60)]
    assert [one.seed for one in histories if not one.ok] == []
    assert sum(one.known_outcomes for one in histories) > 500, (
        "most calls end, or the checker has too little to check"
    )


def test_a_seed_gives_the_same_history_each_time() -> None:
    assert register_history.play(5).history == register_history.play(5).history


@pytest.mark.parametrize(
    ("bug", "seeds"), [("stale", range(20, 21)), ("ballot", range(299, 300)), ("forget", range(27, 28))]
)
def test_injected_faults_of_the_register_are_found(bug: str, seeds: range) -> None:
    inject_fault = {"stale": register_history.stale_read, "ballot": register_history.ballot_again}.get(bug)
    assert not all(
        register_history.play(seed, inject_fault=inject_fault, starts_empty_after_loss=bug == "forget").ok
        for seed in seeds
    )


def test_the_answer_to_a_first_rejoin_request_says_that_no_boot_was_known() -> None:
    known = voter("b").answer_rejoin(Rejoin("a", 1))
    assert isinstance(known, RejoinAnswer) and known.requested_boot == 1 and known.previous_boot == 0


def test_no_order_of_events_lets_two_proposers_change_one_record() -> None:
    """Eight events are the fewest by which both could succeed: two rounds of two votes for each."""
    model_check = ModelCheck(8, tries=1).run()
    assert not model_check.violations and model_check.state_count > 50_000
    assert (Result.DONE, Result.CONFLICT) in model_check.results and (
        Result.UNKNOWN,
        Result.DONE,
    ) in model_check.results


def test_the_model_check_finds_a_voter_that_breaks_its_promise() -> None:
    assert ModelCheck(8, tries=1, broken=True).run().violations
