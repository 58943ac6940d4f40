"""Linearizability test of the register under frequent faults: a few clients, three voters and one key.

Each play is short, because the checker searches all orders; there are many plays."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from myrtlecrank.fleet.messages import Message, VoterReply
from myrtlecrank.fleet.register.calls import Calls, VoterMessage
from myrtlecrank.fleet.register.caspaxos import Call, Proposer
from myrtlecrank.fleet.register.disk import encode
from myrtlecrank.fleet.register.messages import EMPTY_RECORD, Memory, Outcome, Record, Result
from myrtlecrank.fleet.register.reconfiguration import ReconfigurationResult, reconfigure
from myrtlecrank.fleet.register.voter_set import VoterSet, configured_voter_set, founding_voter_set
from rig.multi_node.checkers import Operation, linearizable
from rig.multi_node.environment import Host, SimulatedEnvironment
from rig.multi_node.member import DECODER, ENCODER, Disk, VoterHost, newest_voter_set

KEY = "key"


class VoterNode:
    """A voter's process and its disk."""

    def __init__(self, play: RegisterPlay, name: str) -> None:
        self.play, self.name = play, name
        self.host, self.disk = Host(play.environment, name, 0.01), Disk()
        self.voter_host: VoterHost | None = None

    def start(self, trusted: bool) -> None:
        self.host.is_up, self.host.incarnation = True, self.host.incarnation + 1
        self.voter_host = VoterHost(
            self.host,
            self.play.founders,
            self.disk,
            trusted,
            lambda to, message: self.play.send(self.name, to, message),
            self.play.flush_ms,
        )

    def crash(self) -> None:
        self.host.is_up, self.host.incarnation = False, self.host.incarnation + 1
        self.disk.crash(self.play.environment.random.random() < 0.5)

    def heard(self, sender: str, message: Any) -> None:
        if self.voter_host is not None and isinstance(message, VoterMessage):
            self.voter_host.ask(sender, message)


class OperationRecorder:
    """Generates the operations of one caller, reads and changes of the record that it last received, and
    records their outcomes in the history."""

    def __init__(
        self,
        proposer: Proposer,
        history: list[Operation],
        chance: Callable[[], float],
        last: Record = EMPTY_RECORD,
    ) -> None:
        self.proposer, self.history, self.chance, self.last = proposer, history, chance, last

    def next(self, now: float) -> tuple[Call, Operation]:
        if self.chance() < 0.4:
            operation = Operation(now, float("inf"), "unseen")
            call = self.proposer.read(KEY)
        else:
            writer = f"{self.proposer.proposer_id}:{self.proposer.call_count + 1}"
            operation = Operation(now, float("inf"), "maybe", base=self.last.writer, written=writer)
            call = self.proposer.compare_and_set(KEY, self.last, b"x")
        self.history.append(operation)
        return call, operation

    def done(self, operation: Operation, outcome: Outcome, now: float) -> None:
        result = outcome.result
        if result is Result.DONE:
            operation.end, operation.read, self.last = now, outcome.record.writer, outcome.record
            operation.kind = "read" if operation.kind == "unseen" else "change"
        elif result is Result.CONFLICT:
            operation.end, operation.kind, operation.read, self.last = (
                now,
                "conflict",
                outcome.record.writer,
                outcome.record,
            )
        elif result is Result.UNAVAILABLE:
            self.history.remove(operation)  # no voter was reached: nothing was proposed


def is_linearizable(history: list[Operation]) -> bool:
    for operation in history:
        if operation.kind == "unseen":
            operation.kind = "maybe"  # an unanswered read constrains nothing
            operation.base = "never"
    return linearizable(history)


class Client:
    """A client of the register; a restart gives it a new identity."""

    def __init__(self, play: RegisterPlay, name: str) -> None:
        self.play, self.name, self.host = play, name, Host(play.environment, name, 0.01)
        self.recorder: OperationRecorder | None = None
        self.start()

    def start(self) -> None:
        name = self.name
        self.host.is_up, self.host.incarnation = True, self.host.incarnation + 1
        self.calls = Calls(30.0, lambda to, request: self.play.send(name, to, request))
        instance_id, chance = f"{self.name}/{self.host.incarnation}", self.play.environment.random.random
        self.proposer = Proposer(
            instance_id, configured_voter_set(self.play.founders), chance, max_attempts=4, backoff_ms=5.0
        )
        last = self.recorder.last if self.recorder is not None else EMPTY_RECORD
        self.recorder = OperationRecorder(self.proposer, self.play.history, chance, last)
        if self.play.plant is not None:
            self.play.plant(self)
        self.host.run_at(
            self.play.environment.now + self.play.environment.random.uniform(0.0, 20.0), self.next
        )

    def next(self) -> None:
        play, now = self.play, self.play.environment.now
        if play.operations_left <= 0 or self.recorder is None:
            return
        play.operations_left -= 1
        call, operation = self.recorder.next(now)
        self.calls.start(call, lambda outcome, _: self.done(operation, outcome), now)
        self.tick()

    def done(self, operation: Operation, outcome: Outcome) -> None:
        now = self.play.environment.now
        if self.recorder is not None:
            self.recorder.done(operation, outcome, now)
        self.host.run_at(now + self.play.environment.random.uniform(0.0, 25.0), self.next)

    def heard(self, sender: str, message: Any) -> None:
        if isinstance(message, VoterReply):
            self.calls.receive_vote(sender, message, self.play.environment.now)
            self.tick()

    def tick(self) -> None:
        self.calls.tick(self.play.environment.now)
        if self.calls.pending:
            self.host.run_at(max(self.calls.next_due(), self.play.environment.now + 0.5), self.tick)


class ReconfiguringClient(Client):
    """Replaces voters repeatedly, and sometimes crashes in between."""

    def next(self) -> None:
        play, random = self.play, self.play.environment.random
        if play.operations_left <= 0:
            return
        now, there = list(self.proposer.voter_set.names), sorted(play.nodes)
        drop, add = [random.choice(now)], [random.choice(there)]
        if random.random() < 0.2:
            drop, add = [], []  # completes an unfinished change, as any member does after a while
        self.number = getattr(self, "number", 0) + 1
        token = f"{self.proposer.proposer_id}:{self.number}"
        self.calls.start(reconfigure(self.proposer, drop, add, token), self.ended, play.environment.now)
        self.tick()

    def ended(self, how: ReconfigurationResult, now: float) -> None:
        self.play.reseated += not how.error
        self.host.run_at(now + self.play.environment.random.uniform(0.0, 20.0), self.next)


@dataclass
class CheckedHistory:
    seed: int
    ok: bool
    ops: int
    known: int
    history: list[Operation]
    reseated: int = 0
    roster: int = 0  # number of the newest voter set at the end


class RegisterPlay:
    """One play. `trusted`: a voter that starts with complete state votes at once; older disk images are then
    not restored."""

    def __init__(
        self,
        seed: int,
        trusted: bool = False,
        plant: Callable[[Client], None] | None = None,
        forget: bool = False,
        change: bool = False,
    ) -> None:
        self.change, self.reseated = change, 0
        self.environment, self.trusted, self.plant, self.forget = (
            SimulatedEnvironment(seed),
            trusted,
            plant,
            forget,
        )
        self.environment.jitter_ms, self.environment.loss_probability = 8.0, 0.05
        self.flush_ms = 1.0
        self.founders = ("v0", "v1", "v2")
        self.names = [f"v{i}" for i in range(5 if change else 3)]
        self.history: list[Operation] = []
        self.operations_left = 28 if change else 16
        self.nodes = {name: VoterNode(self, name) for name in self.names}
        for name, node in self.nodes.items():
            if name in self.founders:
                node.disk.image = encode(Memory("", name, 0, {}, {}, founding_voter_set(self.founders)))
            node.start(trusted=True)
        self.clients = {name: Client(self, name) for name in ("a", "b", "c")}
        if change:
            self.clients["d"] = ReconfiguringClient(self, "d")
        self.environment.schedule(10.0, self.fault)

    def send(self, source: str, target: str, message: Message) -> None:
        raw = ENCODER.encode(message)
        other: Any = self.nodes.get(target) or self.clients.get(target)
        if other is not None:
            self.environment.transmit(source, target, len(raw), lambda: self._arrived(other, source, raw))

    def _arrived(self, other: Any, source: str, raw: bytes) -> None:
        if other.host.is_up:
            other.host.run_at(self.environment.now, lambda: other.heard(source, DECODER.decode(raw)))

    def fault(self) -> None:
        environment, random = self.environment, self.environment.random
        ms = random.uniform(5.0, 80.0)
        node = self.nodes[random.choice(self.names)]
        kinds = ["restart", "lost", "old", "cut", "slow", "client", "stop"]
        if self.change:
            kinds += ["half"]  # old and new voters in two partitions, each with clients
        kind = random.choice(kinds)
        if kind == "half":
            self.partition(random.uniform(30.0, 200.0))
        elif kind == "client":
            client = random.choice(list(self.clients.values()))
            client.host.is_up, client.host.incarnation = False, client.host.incarnation + 1
            environment.schedule(
                environment.now + ms, lambda: client.start() if not client.host.is_up else None
            )
        elif kind == "stop":
            node.host.paused_until = environment.now + ms
        elif kind in ("cut", "slow"):
            other = random.choice([*self.clients, *self.names])
            for link in ((node.name, other), (other, node.name)):
                if kind == "cut":
                    environment.block_link(*link, environment.now + ms)
                else:
                    environment.slow_links[link] = (environment.now + ms, 60.0)
        elif node.host.is_up and all(
            one.host.is_up and one.voter_host is not None and one.voter_host.voter.is_voting
            for one in self.voters()
        ):
            # One state is lost at a time: what two voters have lost together cannot be recovered.
            node.crash()
            if kind == "lost" or (kind == "old" and not node.disk.older_images):
                node.disk.image = None if not self.trusted or kind == "lost" else node.disk.image
            elif kind == "old" and not self.trusted:
                node.disk.image = random.choice(node.disk.older_images)
            if self.forget and node.disk.image is None:
                node.disk.image = encode(Memory("", node.name, 0, {}, {}, founding_voter_set(self.founders)))
            environment.schedule(environment.now + ms, lambda: node.start(self.trusted or self.forget))
        environment.schedule(environment.now + random.expovariate(1.0 / 25.0), self.fault)

    def roster(self) -> VoterSet:
        return newest_voter_set(
            one.voter_host.voter for one in self.nodes.values() if one.voter_host is not None
        )

    def voters(self) -> list[VoterNode]:
        return [self.nodes[name] for name in self.roster().names]

    def partition(self, ms: float) -> None:
        names = sorted([*self.nodes, *self.clients])
        side = set(self.environment.random.sample(names, len(names) // 2))
        for a in names:
            for b in names:
                if (a in side) != (b in side):
                    self.environment.block_link(a, b, self.environment.now + ms)

    def run(self) -> CheckedHistory:
        self.environment.run(4000.0)
        ok = is_linearizable(self.history)
        known = sum(operation.end != float("inf") for operation in self.history)
        return CheckedHistory(
            0, ok, len(self.history), known, self.history, self.reseated, self.roster().number
        )


def play(
    seed: int,
    trusted: bool = False,
    plant: Callable[[Client], None] | None = None,
    forget: bool = False,
    change: bool = False,
) -> CheckedHistory:
    """Runs one play. `change`: voters are replaced meanwhile."""
    one = RegisterPlay(seed, trusted, plant, forget, change).run()
    one.seed = seed
    return one


def stale_read(client: Client) -> None:
    """Injected fault: a read trusts a majority's first answer."""
    client.proposer.read = client.proposer.read_unverified  # type: ignore[method-assign]


def ballot_again(client: Client) -> None:
    """Injected fault: two incarnations of one process use the same proposer identifier."""
    client.proposer.proposer_id = client.name
