"""The register alone under hard faults: a few clients, three voters, one key, and the history of all calls
judged.

Each play is short, so that the checker can try all orders; there are many plays."""

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
from rig.multi_node.checkers import Op, linearizable
from rig.multi_node.environment import Host, World
from rig.multi_node.member import PACKED, UNPACK, Disk, VoterHost, newest

KEY = "key"


class Node:
    """A voter's process and its disk."""

    def __init__(self, play: Register, name: str) -> None:
        self.play, self.name = play, name
        self.host, self.disk = Host(play.world, name, 0.01), Disk()
        self.voter: VoterHost | None = None

    def start(self, trusted: bool) -> None:
        self.host.up, self.host.life = True, self.host.life + 1
        self.voter = VoterHost(
            self.host,
            self.play.founders,
            self.disk,
            trusted,
            lambda to, message: self.play.send(self.name, to, message),
            self.play.flush_ms,
        )

    def die(self) -> None:
        self.host.up, self.host.life = False, self.host.life + 1
        self.disk.die(self.play.world.random.random() < 0.5)

    def heard(self, sender: str, message: Any) -> None:
        if self.voter is not None and isinstance(message, VoterMessage):
            self.voter.ask(sender, message)


class Asker:
    """What one caller asks of the register and how it ended, as the checker wants it: reads, and changes over
    what it last saw."""

    def __init__(
        self, proposer: Proposer, history: list[Op], chance: Callable[[], float], last: Record = EMPTY_RECORD
    ) -> None:
        self.proposer, self.history, self.chance, self.last = proposer, history, chance, last

    def next(self, now: float) -> tuple[Call, Op]:
        if self.chance() < 0.4:
            op = Op(now, float("inf"), "unseen")
            call = self.proposer.read(KEY)
        else:
            writer = f"{self.proposer.proposer_id}:{self.proposer.call_count + 1}"
            op = Op(now, float("inf"), "maybe", over=self.last.writer, wrote=writer)
            call = self.proposer.compare_and_set(KEY, self.last, b"x")
        self.history.append(op)
        return call, op

    def done(self, op: Op, outcome: Outcome, now: float) -> None:
        result = outcome.result
        if result is Result.DONE:
            op.end, op.saw, self.last = now, outcome.record.writer, outcome.record
            op.kind = "read" if op.kind == "unseen" else "change"
        elif result is Result.CONFLICT:
            op.end, op.kind, op.saw, self.last = now, "conflict", outcome.record.writer, outcome.record
        elif result is Result.UNAVAILABLE:
            self.history.remove(op)  # nothing was proposed


def judged(history: list[Op]) -> bool:
    for op in history:
        if op.kind == "unseen":
            op.kind = "maybe"  # a read that nobody heard of says nothing
            op.over = "never"
    return linearizable(history)


class Client:
    """It may die and come back as another."""

    def __init__(self, play: Register, name: str) -> None:
        self.play, self.name, self.host = play, name, Host(play.world, name, 0.01)
        self.asker: Asker | None = None
        self.start()

    def start(self) -> None:
        name = self.name
        self.host.up, self.host.life = True, self.host.life + 1
        self.calls = Calls(30.0, lambda to, request: self.play.send(name, to, request))
        ident, chance = f"{self.name}/{self.host.life}", self.play.world.random.random
        self.proposer = Proposer(
            ident, configured_voter_set(self.play.founders), chance, max_attempts=4, backoff_ms=5.0
        )
        last = self.asker.last if self.asker is not None else EMPTY_RECORD
        self.asker = Asker(self.proposer, self.play.history, chance, last)
        if self.play.plant is not None:
            self.play.plant(self)
        self.host.later(self.play.world.now + self.play.world.random.uniform(0.0, 20.0), self.next)

    def next(self) -> None:
        play, now = self.play, self.play.world.now
        if play.left <= 0 or self.asker is None:
            return
        play.left -= 1
        call, op = self.asker.next(now)
        self.calls.start(call, lambda outcome, _: self.done(op, outcome), now)
        self.tick()

    def done(self, op: Op, outcome: Outcome) -> None:
        now = self.play.world.now
        if self.asker is not None:
            self.asker.done(op, outcome, now)
        self.host.later(now + self.play.world.random.uniform(0.0, 25.0), self.next)

    def heard(self, sender: str, message: Any) -> None:
        if isinstance(message, VoterReply):
            self.calls.receive_vote(sender, message, self.play.world.now)
            self.tick()

    def tick(self) -> None:
        self.calls.tick(self.play.world.now)
        if self.calls.pending:
            self.host.later(max(self.calls.next_due(), self.play.world.now + 0.5), self.tick)


class Changer(Client):
    """Replaces voters again and again, and dies on the way at times."""

    def next(self) -> None:
        play, random = self.play, self.play.world.random
        if play.left <= 0:
            return
        now, there = list(self.proposer.voter_set.names), sorted(play.nodes)
        drop, add = [random.choice(now)], [random.choice(there)]
        if random.random() < 0.2:
            drop, add = [], []  # ends what stands half-way, as any member does after a while
        self.number = getattr(self, "number", 0) + 1
        token = f"{self.proposer.proposer_id}:{self.number}"
        self.calls.start(reconfigure(self.proposer, drop, add, token), self.ended, play.world.now)
        self.tick()

    def ended(self, how: ReconfigurationResult, now: float) -> None:
        self.play.reseated += not how.error
        self.host.later(now + self.play.world.random.uniform(0.0, 20.0), self.next)


@dataclass
class Judged:
    seed: int
    ok: bool
    ops: int
    known: int
    history: list[Op]
    reseated: int = 0
    roster: int = 0  # number of the newest at the end


class Register:
    """`trusted`: a voter that comes up with a whole memory votes at once; then no older disks are played."""

    def __init__(
        self,
        seed: int,
        trusted: bool = False,
        plant: Callable[[Client], None] | None = None,
        forget: bool = False,
        change: bool = False,
    ) -> None:
        self.change, self.reseated = change, 0
        self.world, self.trusted, self.plant, self.forget = World(seed), trusted, plant, forget
        self.world.jitter, self.world.lose = 8.0, 0.05
        self.flush_ms = 1.0
        self.founders = ("v0", "v1", "v2")
        self.names = [f"v{i}" for i in range(5 if change else 3)]
        self.history: list[Op] = []
        self.left = 28 if change else 16
        self.nodes = {name: Node(self, name) for name in self.names}
        for name, node in self.nodes.items():
            if name in self.founders:
                node.disk.image = encode(Memory("", name, 0, {}, {}, founding_voter_set(self.founders)))
            node.start(trusted=True)
        self.clients = {name: Client(self, name) for name in ("a", "b", "c")}
        if change:
            self.clients["d"] = Changer(self, "d")
        self.world.at(10.0, self.fault)

    def send(self, source: str, target: str, message: Message) -> None:
        raw = PACKED.encode(message)
        other: Any = self.nodes.get(target) or self.clients.get(target)
        if other is not None:
            self.world.carry(source, target, len(raw), lambda: self._arrived(other, source, raw))

    def _arrived(self, other: Any, source: str, raw: bytes) -> None:
        if other.host.up:
            other.host.later(self.world.now, lambda: other.heard(source, UNPACK.decode(raw)))

    def fault(self) -> None:
        world, random = self.world, self.world.random
        ms = random.uniform(5.0, 80.0)
        node = self.nodes[random.choice(self.names)]
        kinds = ["restart", "lost", "old", "cut", "slow", "client", "stop"]
        if self.change:
            kinds += ["half"]  # old and new voters on two sides, each with clients of its own
        kind = random.choice(kinds)
        if kind == "half":
            self.half(random.uniform(30.0, 200.0))
        elif kind == "client":
            client = random.choice(list(self.clients.values()))
            client.host.up, client.host.life = False, client.host.life + 1
            world.at(world.now + ms, lambda: client.start() if not client.host.up else None)
        elif kind == "stop":
            node.host.stopped_until = world.now + ms
        elif kind in ("cut", "slow"):
            other = random.choice([*self.clients, *self.names])
            for link in ((node.name, other), (other, node.name)):
                if kind == "cut":
                    world.cut(*link, world.now + ms)
                else:
                    world.slow[link] = (world.now + ms, 60.0)
        elif node.host.up and all(
            one.host.up and one.voter is not None and one.voter.voter.is_voting for one in self.voters()
        ):
            # One memory lost at a time: what two have lost together nobody can know.
            node.die()
            if kind == "lost" or (kind == "old" and not node.disk.copies):
                node.disk.image = None if not self.trusted or kind == "lost" else node.disk.image
            elif kind == "old" and not self.trusted:
                node.disk.image = random.choice(node.disk.copies)
            if self.forget and node.disk.image is None:
                node.disk.image = encode(Memory("", node.name, 0, {}, {}, founding_voter_set(self.founders)))
            world.at(world.now + ms, lambda: node.start(self.trusted or self.forget))
        world.at(world.now + random.expovariate(1.0 / 25.0), self.fault)

    def roster(self) -> VoterSet:
        return newest(one.voter.voter for one in self.nodes.values() if one.voter is not None)

    def voters(self) -> list[Node]:
        return [self.nodes[name] for name in self.roster().names]

    def half(self, ms: float) -> None:
        names = sorted([*self.nodes, *self.clients])
        side = set(self.world.random.sample(names, len(names) // 2))
        for a in names:
            for b in names:
                if (a in side) != (b in side):
                    self.world.cut(a, b, self.world.now + ms)

    def run(self) -> Judged:
        self.world.run(4000.0)
        ok = judged(self.history)
        known = sum(op.end != float("inf") for op in self.history)
        return Judged(0, ok, len(self.history), known, self.history, self.reseated, self.roster().number)


def play(
    seed: int,
    trusted: bool = False,
    plant: Callable[[Client], None] | None = None,
    forget: bool = False,
    change: bool = False,
) -> Judged:
    """`change`: voters are replaced meanwhile."""
    one = Register(seed, trusted, plant, forget, change).run()
    one.seed = seed
    return one


def stale_read(client: Client) -> None:
    """Planted: a read believes what a majority says at once."""
    client.proposer.read = client.proposer.read_unverified  # type: ignore[method-assign]


def ballot_again(client: Client) -> None:
    """Planted: two starts of one process are one to the voters."""
    client.proposer.proposer_id = client.name
