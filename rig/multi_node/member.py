"""One simulated member of a fleet: the program's own FleetMember and Voter on a virtual clock, with a
simulated network and disk."""

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
from rig.multi_node.environment import Host, SimulatedEnvironment

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Message)
REJOIN_INTERVAL_MS = 200.0
MIN_TICK_INTERVAL_MS = 0.5
OLDER_IMAGE_SHARE = 0.02  # share of flushes whose previous image is kept for the old-disk fault
RENAME_DONE_SHARE = 0.5  # share of crashes during a write that leave the new image
ADDRESS = ("127.0.0.1", 1)  # not used: messages are addressed by name


class Disk:
    """A voter's state file: the last flushed image, older images that a fault may restore, and a write in
    progress that a crash may lose."""

    def __init__(self) -> None:
        self.image: bytes | None = None
        self.pending_image: bytes | None = None
        self.older_images: list[bytes] = []
        self.full_until = 0.0

    def crash(self, rename_done: bool) -> None:
        """Ends the process. A write in progress survives only if its rename was done."""
        if self.pending_image is not None and rename_done:
            self.image = self.pending_image
        self.pending_image = None


def newest_voter_set(voters: Iterable[Voter]) -> VoterSet:
    """Returns the newest voter set that any of these voters uses."""
    return max((voter.memory.voter_set for voter in voters), key=lambda voter_set: voter_set.number)


class VoterHost:
    """The voter of one member. Requests that arrive during a flush are answered as one batch under the next
    flush."""

    def __init__(
        self,
        host: Host,
        initial_voters: Sequence[str],
        disk: Disk,
        disk_is_trusted: bool,
        send: Callable[[str, Message], None],
        flush_ms: float,
    ) -> None:
        self.host = host
        self.disk = disk
        self.send = send
        self.flush_ms = flush_ms
        memory = decode(disk.image) if disk.image is not None else None
        instance_id = f"{host.name}/{host.incarnation}"
        self.voter = Voter(
            host.name,
            initial_voters,
            memory,
            self._save,
            memory_is_trusted=disk_is_trusted,
            instance_id=instance_id,
        )
        self.pending_requests: list[tuple[str, VoterMessage]] = []
        self.is_flushing = False
        self._request_rejoin()

    def _save(self, memory: Memory) -> bool:
        if self.disk.full_until > self.host.environment.now:
            return False
        self.disk.pending_image = encode(memory)
        return True

    def _request_rejoin(self) -> None:
        """Asks the other voters for their state, and repeats: the member may become a voter at any later
        time."""
        request = self.voter.rejoin_request()
        if request is not None:
            for other in sorted(self.voter.others):
                self.send(other, request)
        self.host.run_at(self.host.environment.now + REJOIN_INTERVAL_MS, self._request_rejoin)

    def ask(self, sender: str, request: VoterMessage) -> None:
        """Queues a request; answers at once unless a flush is in progress."""
        self.pending_requests.append((sender, request))
        if not self.is_flushing:
            self._answer_pending()

    def _answer_pending(self) -> None:
        requests, self.pending_requests = self.pending_requests, []
        # A reported memory is copied: a message must not change after it was sent.
        answers: list[tuple[str, Message]] = [
            (to, DECODER.decode(ENCODER.encode(message)) if isinstance(message, RejoinAnswer) else message)
            for to, message in answer_messages(self.voter, requests)
        ]
        self.is_flushing = True
        self.host.run_at(self.host.environment.now + self.flush_ms, lambda: self._flushed(answers))

    def _flushed(self, answers: list[tuple[str, Message]]) -> None:
        self.is_flushing = False
        if self.disk.pending_image is not None:
            if self.disk.image is not None and self.host.environment.random.random() < OLDER_IMAGE_SHARE:
                self.disk.older_images.append(self.disk.image)
            self.disk.image = self.disk.pending_image
            self.disk.pending_image = None
        for to, message in answers:
            self.send(to, message)
        if self.pending_requests:
            self._answer_pending()


class Member:
    """One member's process. `on_effect` is called at once with each effect that the member decides on."""

    def __init__(
        self,
        environment: SimulatedEnvironment,
        name: str,
        zone: str,
        config: FleetConfig,
        names: list[str],
        drift: float,
        on_effect: Callable[[Member, Effect], None],
        flush_ms: float = 2.0,
    ) -> None:
        self.environment = environment
        self.name = name
        self.zone = zone
        self.config = config
        self.names = names
        self.host = Host(environment, name, drift)
        self.disk = Disk()
        self.on_effect = on_effect
        self.flush_ms = flush_ms
        self.peers: dict[str, Member] = {}
        self.voter_host: VoterHost | None = None
        self.tick_count = 0
        if name in config.voters:
            self.disk.image = encode(Memory("", name, 0, {}, {}, founding_voter_set(config.voters)))

    def start(self, disk_is_trusted: bool = False) -> None:
        """Starts a new incarnation of the process with the state on its disk."""
        environment, host = self.environment, self.host
        host.is_up = True
        host.incarnation += 1
        now = host.clock()
        me = MemberUpdate(self.name, ADDRESS, self.zone, host.incarnation, State.ALIVE)
        seeds = {name: ADDRESS for name in self.names}
        self.fleet = FleetMember(
            me, f"{host.incarnation}", seeds, self.config, environment.random.random, now
        )
        self.voter_host = VoterHost(
            host, self.config.voters, self.disk, disk_is_trusted, self.send, self.flush_ms
        )
        self.tick()

    def crash(self) -> None:
        """Ends the process at once."""
        self.host.is_up = False
        self.host.incarnation += 1
        self.disk.crash(self.environment.random.random() < RENAME_DONE_SHARE)

    def pause_for(self, duration_ms: float) -> None:
        """Pauses the process, as SIGSTOP does."""
        self.host.paused_until = max(self.host.paused_until, self.environment.now + duration_ms)

    def send(self, to: str, message: Message) -> None:
        """Sends a message to another member, or to this one."""
        raw = ENCODER.encode(message)
        peer = self.peers.get(to)
        if peer is not None:
            self.environment.transmit(self.name, to, len(raw), lambda: peer.receive(self.name, raw))

    def receive(self, sender: str, raw: bytes) -> None:
        """Takes a message from the network; a paused process handles it when it resumes."""
        if self.host.is_up:
            self.host.run_at(self.environment.now, lambda: self.handle(sender, raw))

    def handle(self, sender: str, raw: bytes) -> None:
        """Passes a message to the voter or to the member."""
        message = DECODER.decode(raw)
        if isinstance(message, VoterMessage) and self.voter_host is not None:
            self.voter_host.ask(sender, message)
            if not isinstance(message, VoterSetNotice):
                return
        self.fleet.handle(sender, message, self.host.clock())
        self.tick()

    def tick(self) -> None:
        """Runs what is due, sends its messages and effects, and schedules the next tick."""
        fleet = self.fleet
        fleet.tick(self.host.clock())
        outgoing, fleet.outgoing = fleet.outgoing, []
        for to, message in outgoing:
            self.send(to, message)
        fleet.scheduler.abandoned_duties.clear()  # an effect takes no time here
        effects, fleet.effects = fleet.effects, []
        for effect in effects:
            self.on_effect(self, effect)
        self.tick_count += 1
        tick_count = self.tick_count
        # Without a least interval, a due time that does not advance would stop virtual time.
        when = max(self.host.true_time(fleet.due()), self.environment.now + MIN_TICK_INTERVAL_MS)
        self.host.run_at(when, lambda: self.tick() if self.tick_count == tick_count else None)
