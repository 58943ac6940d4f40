"""One member on the virtual clock: the program's own decisions, with its voter's disk, between the world's
faults."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import msgspec

from myrtlecrank.fleet.member import FleetConfig, FleetMember
from myrtlecrank.fleet.membership.messages import MemberUpdate, State
from myrtlecrank.fleet.messages import Message
from myrtlecrank.fleet.register.calls import VoterMessage, answer_messages
from myrtlecrank.fleet.register.caspaxos import Voter
from myrtlecrank.fleet.register.disk import decode, encode
from myrtlecrank.fleet.register.messages import Memory, RejoinAnswer, VoterSetNotice
from myrtlecrank.fleet.register.voter_set import VoterSet, founding_voter_set
from myrtlecrank.fleet.step_scheduler import Effect
from rig.multi_node.environment import Host, World

PACKED = msgspec.msgpack.Encoder()
UNPACK = msgspec.msgpack.Decoder(Message)
REJOIN_MS = 200.0


class Disk:
    """What a voter's writes leave behind: the last flushed image, older copies, a write that a death may tear
    off."""

    def __init__(self) -> None:
        self.image: bytes | None = None
        self.writing: bytes | None = None
        self.copies: list[bytes] = []
        self.full_until = 0.0

    def die(self, landed: bool) -> None:
        """The process ends: a rename under way has come about, or has not."""
        if self.writing is not None and landed:
            self.image = self.writing
        self.writing = None


def newest(voters: Iterable[Voter]) -> VoterSet:
    """The newest roster that any of these goes by."""
    return max((one.memory.voter_set for one in voters), key=lambda voter_set: voter_set.number)


class VoterHost:
    """The voter of one member: questions that wait while a flush is under way go together under the next
    one."""

    def __init__(
        self,
        host: Host,
        guess: Sequence[str],
        disk: Disk,
        trusted: bool,
        send: Callable[[str, Message], None],
        flush_ms: float,
    ) -> None:
        self.host, self.disk, self.send, self.flush_ms = host, disk, send, flush_ms
        memory = decode(disk.image) if disk.image is not None else None
        ident = f"{host.name}/{host.life}"
        self.voter = Voter(host.name, guess, memory, self._keep, memory_is_trusted=trusted, instance_id=ident)
        self.waiting: list[tuple[str, VoterMessage]] = []
        self.busy = False
        self._rejoin()

    def _keep(self, memory: Memory) -> bool:
        if self.disk.full_until > self.host.world.now:
            return False
        self.disk.writing = encode(memory)
        return True

    def _rejoin(self) -> None:
        """Now and then, as a voter may be wanted at any time later."""
        asked = self.voter.rejoin_request()
        if asked is not None:
            for other in sorted(self.voter.others):
                self.send(other, asked)
        self.host.later(self.host.world.now + REJOIN_MS, self._rejoin)

    def ask(self, sender: str, request: VoterMessage) -> None:
        self.waiting.append((sender, request))
        if not self.busy:
            self._turn()

    def _turn(self) -> None:
        taken, self.waiting = self.waiting, []
        # A copy of a memory that is told: what is sent must not change with it.
        said: list[tuple[str, Message]] = [
            (to, UNPACK.decode(PACKED.encode(message)) if isinstance(message, RejoinAnswer) else message)
            for to, message in answer_messages(self.voter, taken)
        ]
        self.busy = True
        self.host.later(self.host.world.now + self.flush_ms, lambda: self._flushed(said))

    def _flushed(self, said: list[tuple[str, Message]]) -> None:
        self.busy = False
        if self.disk.writing is not None:
            if self.disk.image is not None and self.host.world.random.random() < 0.02:
                self.disk.copies.append(self.disk.image)
            self.disk.image, self.disk.writing = self.disk.writing, None
        for to, message in said:
            self.send(to, message)
        if self.waiting:
            self._turn()


class Member:
    """`carry_out` gets the effects, with the true time at which the process let go of them."""

    def __init__(
        self,
        world: World,
        name: str,
        zone: str,
        plan: FleetConfig,
        names: list[str],
        drift: float,
        carry_out: Callable[[Member, Effect], None],
        flush_ms: float = 2.0,
    ) -> None:
        self.world, self.name, self.zone, self.plan, self.names = world, name, zone, plan, names
        self.host = Host(world, name, drift)
        self.disk = Disk()
        self.carry_out, self.flush_ms = carry_out, flush_ms
        self.peers: dict[str, Member] = {}
        self.voter: VoterHost | None = None
        self.woken = 0
        if name in plan.voters:
            self.disk.image = encode(Memory("", name, 0, {}, {}, founding_voter_set(plan.voters)))

    def start(self, trusted: bool = False) -> None:
        world, host = self.world, self.host
        host.up, host.life = True, host.life + 1
        now = host.clock()
        me = MemberUpdate(self.name, ("127.0.0.1", 1), self.zone, host.life, State.ALIVE)
        seeds = {one: ("127.0.0.1", 1) for one in self.names}
        self.fleet = FleetMember(me, f"{host.life}", seeds, self.plan, world.random.random, now)
        self.voter = VoterHost(host, self.plan.voters, self.disk, trusted, self.send, self.flush_ms)
        self.tick()

    def die(self) -> None:
        self.host.up, self.host.life = False, self.host.life + 1
        self.disk.die(self.world.random.random() < 0.5)

    def stop_for(self, ms: float) -> None:
        self.host.stopped_until = max(self.host.stopped_until, self.world.now + ms)

    def send(self, to: str, message: Message) -> None:
        raw = PACKED.encode(message)
        peer = self.peers.get(to)
        if peer is not None:
            self.world.carry(self.name, to, len(raw), lambda: peer.arrived(self.name, raw))

    def arrived(self, sender: str, raw: bytes) -> None:
        if self.host.up:
            self.host.later(self.world.now, lambda: self.heard(sender, raw))

    def heard(self, sender: str, raw: bytes) -> None:
        message = UNPACK.decode(raw)
        if isinstance(message, VoterMessage) and self.voter is not None:
            self.voter.ask(sender, message)
            if not isinstance(message, VoterSetNotice):
                return
        self.fleet.handle(sender, message, self.host.clock())
        self.tick()

    def tick(self) -> None:
        fleet = self.fleet
        fleet.tick(self.host.clock())
        out, fleet.outgoing = fleet.outgoing, []
        for to, message in out:
            self.send(to, message)
        effects, fleet.effects = fleet.effects, []
        for effect in effects:
            self.carry_out(self, effect)
        self.woken += 1
        woken = self.woken
        # Never sooner than half a ms: a due time that does not move would else stand the world still.
        when = max(self.host.true(fleet.due()), self.world.now + 0.5)
        self.host.later(when, lambda: self.tick() if self.woken == woken else None)
