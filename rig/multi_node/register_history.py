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
from rig.multi_node.member import (
    DECODER,
    ENCODER,
    RENAME_DONE_SHARE,
    Disk,
    VoterHost,
    newest_voter_set,
)

KEY = "key"
FOUNDERS = ("v0", "v1", "v2")
CLIENTS = ("a", "b", "c")
RECONFIGURING_CLIENT = "d"
VOTERS = 3
VOTERS_WITH_REPLACEMENTS = 5
OPERATIONS = 16
OPERATIONS_WITH_REPLACEMENTS = 28
PLAY_LENGTH_MS = 4000.0
CLOCK_DRIFT = 0.01
JITTER_MS = 8.0
LOSS_PROBABILITY = 0.05
FLUSH_MS = 1.0

READ_SHARE = 0.4  # share of operations that read; the others change the record
COMPLETE_CHANGE_SHARE = 0.2  # share of reconfigurations that only complete an unfinished one
MAX_ATTEMPTS = 4
BACKOFF_MS = 5.0
REPLY_TIMEOUT_MS = 30.0
MIN_TICK_INTERVAL_MS = 0.5
MAX_START_DELAY_MS = 20.0
MAX_OPERATION_DELAY_MS = 25.0  # between an outcome and the next operation
MAX_RECONFIGURATION_DELAY_MS = 20.0

FIRST_FAULT_MS = 10.0
MEAN_FAULT_INTERVAL_MS = 25.0
MIN_FAULT_MS = 5.0
MAX_FAULT_MS = 80.0
MIN_PARTITION_MS = 30.0
MAX_PARTITION_MS = 200.0
SLOW_LINK_DELAY_MS = 60.0


class VoterNode:
    """A voter's process and its disk."""

    def __init__(self, play: RegisterPlay, name: str) -> None:
        self.play = play
        self.name = name
        self.host = Host(play.environment, name, CLOCK_DRIFT)
        self.disk = Disk()
        self.voter_host: VoterHost | None = None

    def start(self, trusted: bool) -> None:
        """Starts a new incarnation of the process. `trusted`: complete state on the disk votes at once."""
        self.host.is_up = True
        self.host.incarnation += 1
        self.voter_host = VoterHost(
            self.host,
            FOUNDERS,
            self.disk,
            trusted,
            lambda to, message: self.play.send(self.name, to, message),
            FLUSH_MS,
        )

    def crash(self) -> None:
        """Ends the process at once; a write in progress may be lost."""
        self.host.is_up = False
        self.host.incarnation += 1
        self.disk.crash(self.play.environment.random.random() < RENAME_DONE_SHARE)

    def is_voting(self) -> bool:
        """Returns whether the process runs and its voter takes part in votes."""
        return self.host.is_up and self.voter_host is not None and self.voter_host.voter.is_voting

    def receive(self, sender: str, message: Any) -> None:
        """Passes a request to the voter; other messages are dropped."""
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
        self.proposer = proposer
        self.history = history
        self.chance = chance
        self.last = last

    def begin_operation(self, now: float) -> tuple[Call, Operation]:
        """Returns the call of the next operation, and the operation as it stands in the history."""
        if self.chance() < READ_SHARE:
            operation = Operation(now, float("inf"), "unseen")
            call = self.proposer.read(KEY)
        else:
            writer = f"{self.proposer.proposer_id}:{self.proposer.call_count + 1}"
            operation = Operation(now, float("inf"), "maybe", base=self.last.writer, written=writer)
            call = self.proposer.compare_and_set(KEY, self.last, b"x")
        self.history.append(operation)
        return call, operation

    def record_outcome(self, operation: Operation, outcome: Outcome, now: float) -> None:
        """Completes the operation in the history; one with an unknown outcome stays open."""
        result = outcome.result
        if result is Result.DONE:
            operation.end = now
            operation.read = outcome.record.writer
            operation.kind = "read" if operation.kind == "unseen" else "change"
            self.last = outcome.record
        elif result is Result.CONFLICT:
            operation.end = now
            operation.kind = "conflict"
            operation.read = outcome.record.writer
            self.last = outcome.record
        elif result is Result.UNAVAILABLE:
            self.history.remove(operation)  # no voter was reached: nothing was proposed


def is_linearizable(history: list[Operation]) -> bool:
    """Returns whether the history is linearizable. Marks its unanswered reads as operations without
    effect."""
    for operation in history:
        if operation.kind == "unseen":
            operation.kind = "maybe"  # an unanswered read constrains nothing
            operation.base = "never"
    return linearizable(history)


class Client:
    """A client of the register; a restart gives it a new identity."""

    def __init__(self, play: RegisterPlay, name: str) -> None:
        self.play = play
        self.name = name
        self.host = Host(play.environment, name, CLOCK_DRIFT)
        self.recorder: OperationRecorder | None = None
        self.start()

    def start(self) -> None:
        """Starts a new incarnation of the process, which keeps only the record that it last received."""
        name, environment = self.name, self.play.environment
        self.host.is_up = True
        self.host.incarnation += 1
        self.calls = Calls(REPLY_TIMEOUT_MS, lambda to, request: self.play.send(name, to, request))
        chance = environment.random.random
        self.proposer = Proposer(
            f"{name}/{self.host.incarnation}",
            configured_voter_set(FOUNDERS),
            chance,
            max_attempts=MAX_ATTEMPTS,
            backoff_ms=BACKOFF_MS,
        )
        last = self.recorder.last if self.recorder is not None else EMPTY_RECORD
        self.recorder = OperationRecorder(self.proposer, self.play.history, chance, last)
        if self.play.inject_fault is not None:
            self.play.inject_fault(self)
        self.run_after_delay(MAX_START_DELAY_MS, self.start_next_call)

    def run_after_delay(self, max_delay_ms: float, action: Callable[[], None]) -> None:
        """Runs the action after a random delay, unless the process has ended by then."""
        environment = self.play.environment
        self.host.run_at(environment.now + environment.random.uniform(0.0, max_delay_ms), action)

    def start_next_call(self) -> None:
        """Starts the next operation while the play has any left."""
        play, now = self.play, self.play.environment.now
        if play.operations_left <= 0 or self.recorder is None:
            return
        play.operations_left -= 1
        call, operation = self.recorder.begin_operation(now)
        self.calls.start(call, lambda outcome, _: self.finish_operation(operation, outcome), now)
        self.tick()

    def finish_operation(self, operation: Operation, outcome: Outcome) -> None:
        """Records the outcome of an operation and schedules the next one."""
        if self.recorder is not None:
            self.recorder.record_outcome(operation, outcome, self.play.environment.now)
        self.run_after_delay(MAX_OPERATION_DELAY_MS, self.start_next_call)

    def receive(self, sender: str, message: Any) -> None:
        """Passes a vote to its call; other messages are dropped."""
        if isinstance(message, VoterReply):
            self.calls.receive_vote(sender, message, self.play.environment.now)
            self.tick()

    def tick(self) -> None:
        """Runs the timeouts that are due, and schedules the next tick while calls are pending."""
        now = self.play.environment.now
        self.calls.tick(now)
        if self.calls.pending:
            self.host.run_at(max(self.calls.next_due(), now + MIN_TICK_INTERVAL_MS), self.tick)


class ReconfiguringClient(Client):
    """Replaces voters repeatedly, and sometimes crashes in between."""

    reconfiguration_count = 0

    def start_next_call(self) -> None:
        """Starts the next reconfiguration while the play has operations left."""
        play, random = self.play, self.play.environment.random
        if play.operations_left <= 0:
            return
        drop = [random.choice(list(self.proposer.voter_set.names))]
        add = [random.choice(sorted(play.nodes))]
        if random.random() < COMPLETE_CHANGE_SHARE:
            drop, add = [], []  # completes an unfinished change, as any member does after a while
        self.reconfiguration_count += 1
        token = f"{self.proposer.proposer_id}:{self.reconfiguration_count}"
        call = reconfigure(self.proposer, drop, add, token)
        self.calls.start(call, self.finish_reconfiguration, play.environment.now)
        self.tick()

    def finish_reconfiguration(self, result: ReconfigurationResult, _: float) -> None:
        """Counts a completed reconfiguration and schedules the next one."""
        self.play.reconfigurations += not result.error
        self.run_after_delay(MAX_RECONFIGURATION_DELAY_MS, self.start_next_call)


@dataclass
class CheckedHistory:
    """The history of one play, and whether it is linearizable."""

    seed: int
    ok: bool
    known_outcomes: int  # operations whose outcome was received
    history: list[Operation]
    reconfigurations: int  # completed ones
    voter_set_number: int  # of the newest voter set at the end


class RegisterPlay:
    """One play. `trusted`: a voter that starts with complete state votes at once; older disk images are then
    not restored. `inject_fault` changes each client at its start. `starts_empty_after_loss` injects another
    fault: a voter that lost its state votes with an empty one. `replaces_voters`: voters are replaced
    meanwhile."""

    def __init__(
        self,
        seed: int,
        trusted: bool = False,
        inject_fault: Callable[[Client], None] | None = None,
        starts_empty_after_loss: bool = False,
        replaces_voters: bool = False,
    ) -> None:
        self.seed = seed
        self.trusted = trusted
        self.inject_fault = inject_fault
        self.starts_empty_after_loss = starts_empty_after_loss
        self.replaces_voters = replaces_voters
        self.reconfigurations = 0
        self.environment = SimulatedEnvironment(seed)
        self.environment.jitter_ms = JITTER_MS
        self.environment.loss_probability = LOSS_PROBABILITY
        voter_count = VOTERS_WITH_REPLACEMENTS if replaces_voters else VOTERS
        self.names = [f"v{i}" for i in range(voter_count)]
        self.history: list[Operation] = []
        self.operations_left = OPERATIONS_WITH_REPLACEMENTS if replaces_voters else OPERATIONS
        self.nodes = {name: VoterNode(self, name) for name in self.names}
        for name, node in self.nodes.items():
            if name in FOUNDERS:
                node.disk.image = founding_image(name)
            node.start(trusted=True)
        self.clients = {name: Client(self, name) for name in CLIENTS}
        if replaces_voters:
            self.clients[RECONFIGURING_CLIENT] = ReconfiguringClient(self, RECONFIGURING_CLIENT)
        self.environment.schedule(FIRST_FAULT_MS, self.inject_next_fault)

    def send(self, source: str, target: str, message: Message) -> None:
        """Sends a message to a voter or a client, if one has the target's name."""
        raw = ENCODER.encode(message)
        receiver: Any = self.nodes.get(target) or self.clients.get(target)
        if receiver is not None:
            self.environment.transmit(source, target, len(raw), lambda: self._deliver(receiver, source, raw))

    def _deliver(self, receiver: Any, source: str, raw: bytes) -> None:
        if receiver.host.is_up:
            receiver.host.run_at(self.environment.now, lambda: receiver.receive(source, DECODER.decode(raw)))

    def inject_next_fault(self) -> None:
        """Injects one random fault and schedules the next."""
        environment, random = self.environment, self.environment.random
        duration_ms = random.uniform(MIN_FAULT_MS, MAX_FAULT_MS)
        node = self.nodes[random.choice(self.names)]
        kinds = ["restart", "lost", "old", "cut", "slow", "client", "stop"]
        if self.replaces_voters:
            kinds += ["half"]  # old and new voters in two partitions, each with clients
        kind = random.choice(kinds)
        if kind == "half":
            self.partition(random.uniform(MIN_PARTITION_MS, MAX_PARTITION_MS))
        elif kind == "client":
            self._restart_client(duration_ms)
        elif kind == "stop":
            node.host.paused_until = environment.now + duration_ms
        elif kind in ("cut", "slow"):
            self._impair_links(node, kind, duration_ms)
        elif node.host.is_up and all(voter.is_voting() for voter in self.voters()):
            # One state is lost at a time: what two voters have lost together cannot be recovered.
            self._restart_voter(node, kind, duration_ms)
        next_fault_at = environment.now + random.expovariate(1.0 / MEAN_FAULT_INTERVAL_MS)
        environment.schedule(next_fault_at, self.inject_next_fault)

    def _restart_client(self, down_ms: float) -> None:
        client = self.environment.random.choice(list(self.clients.values()))
        client.host.is_up = False
        client.host.incarnation += 1
        self.environment.schedule(
            self.environment.now + down_ms, lambda: client.start() if not client.host.is_up else None
        )

    def _impair_links(self, node: VoterNode, kind: str, duration_ms: float) -> None:
        """Blocks ("cut") or slows both directions between a voter and a random node, possibly itself."""
        environment = self.environment
        other = environment.random.choice([*self.clients, *self.names])
        until = environment.now + duration_ms
        for link in ((node.name, other), (other, node.name)):
            if kind == "cut":
                environment.block_link(*link, until)
            else:
                environment.slow_links[link] = (until, SLOW_LINK_DELAY_MS)

    def _restart_voter(self, node: VoterNode, kind: str, down_ms: float) -> None:
        """Restarts a voter, with its disk as it is ("restart"), without it ("lost") or with an older image
        ("old")."""
        disk, environment = node.disk, self.environment
        node.crash()
        if kind == "lost" or (kind == "old" and not disk.older_images):
            if not self.trusted or kind == "lost":
                disk.image = None
        elif kind == "old" and not self.trusted:
            disk.image = environment.random.choice(disk.older_images)
        if self.starts_empty_after_loss and disk.image is None:
            disk.image = founding_image(node.name)
        trusted = self.trusted or self.starts_empty_after_loss
        environment.schedule(environment.now + down_ms, lambda: node.start(trusted))

    def newest_voter_set(self) -> VoterSet:
        """Returns the newest voter set that any voter uses."""
        return newest_voter_set(
            node.voter_host.voter for node in self.nodes.values() if node.voter_host is not None
        )

    def voters(self) -> list[VoterNode]:
        """Returns the nodes of the newest voter set."""
        return [self.nodes[name] for name in self.newest_voter_set().names]

    def partition(self, duration_ms: float) -> None:
        """Blocks all links between a random half of the voters and clients and the other half."""
        names = sorted([*self.nodes, *self.clients])
        first_half = set(self.environment.random.sample(names, len(names) // 2))
        for source in names:
            for target in names:
                if (source in first_half) != (target in first_half):
                    self.environment.block_link(source, target, self.environment.now + duration_ms)

    def run(self) -> CheckedHistory:
        """Runs the whole play and checks its history."""
        self.environment.run(PLAY_LENGTH_MS)
        ok = is_linearizable(self.history)
        return CheckedHistory(
            self.seed,
            ok,
            count_known_outcomes(self.history),
            self.history,
            self.reconfigurations,
            self.newest_voter_set().number,
        )


def founding_image(name: str) -> bytes:
    """Returns the disk image of a founding voter that has not voted yet."""
    return encode(Memory("", name, 0, {}, {}, founding_voter_set(FOUNDERS)))


def count_known_outcomes(history: list[Operation]) -> int:
    """Returns how many operations of a history received their outcome."""
    return sum(operation.end != float("inf") for operation in history)


def play(
    seed: int,
    trusted: bool = False,
    inject_fault: Callable[[Client], None] | None = None,
    starts_empty_after_loss: bool = False,
    replaces_voters: bool = False,
) -> CheckedHistory:
    """Runs one play; the options are those of RegisterPlay."""
    return RegisterPlay(seed, trusted, inject_fault, starts_empty_after_loss, replaces_voters).run()


def stale_read(client: Client) -> None:
    """Injected fault: a read trusts a majority's first answer."""
    client.proposer.read = client.proposer.read_unverified  # type: ignore[method-assign]


def ballot_again(client: Client) -> None:
    """Injected fault: two incarnations of one process use the same proposer identifier."""
    client.proposer.proposer_id = client.name
