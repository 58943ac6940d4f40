"""Several real processes of the program with faults injected between them; the resource that takes their
steps is the only judge of the result."""

from __future__ import annotations

import json
import re
import signal
from collections import Counter
from collections.abc import Iterator
from itertools import pairwise
from pathlib import Path

import gevent
import pytest
from gevent import socket

from myrtlecrank.fleet.messages import VERSION, Hello
from myrtlecrank.fleet.peer_links import encode_frame
from rig.processes.ownership_experiment import Backend, OwnershipRun


def started(run: OwnershipRun) -> Iterator[OwnershipRun]:
    """Yields the processes once each duty is owned and each voter votes."""
    try:
        run.start()
        yield run
    finally:
        run.stop()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[OwnershipRun]:
    """Three members that all vote, two duties."""
    yield from started(OwnershipRun(1, 3, 3, 2, True, tmp_path))


@pytest.fixture
def four(tmp_path: Path) -> Iterator[OwnershipRun]:
    """Four members of which three vote, two duties."""
    yield from started(OwnershipRun(2, 4, 3, 2, True, tmp_path))


def steps_taken(run: OwnershipRun) -> int:
    return sum(run.stand_ins.resource.last_step.values())


def wait_for_steps(run: OwnershipRun, more: int = 10) -> None:
    """Waits until every duty has advanced by this many steps."""
    last = dict(run.stand_ins.resource.last_step)
    run.wait(lambda: all(run.stand_ins.resource.last_step[duty] >= last[duty] + more for duty in run.duties))


def wait_until_balanced(run: OwnershipRun) -> None:
    """Waits until every duty has an owner and takes steps, and no member owns two more than another."""

    def is_balanced() -> bool:
        rows = json.loads(run.run_fleet_command("owners", "--json").stdout)
        owned = Counter({name: 0 for name in run.backends})
        owned.update(row["owner"] for row in rows if row["owner"])
        return owned.total() == len(rows) and max(owned.values()) - min(owned.values()) < 2

    run.wait(is_balanced)
    wait_for_steps(run, 2)


def assert_safety(run: OwnershipRun) -> None:
    """The safety properties, as the resource observed them."""
    resource = run.stand_ins.resource
    assert resource.owners_at_once() == 1
    assert (resource.late_applied, resource.steps_lost(), resource.steps_twice) == (0, 0, 0)


def test_an_owner_that_is_stopped_past_its_lease_is_safe_when_it_continues(fleet: OwnershipRun) -> None:
    old = fleet.owner("duty-0")
    fleet.backends[old].signal(signal.SIGSTOP)
    fleet.wait(lambda: fleet.owner("duty-0") != old)
    wait_for_steps(fleet)
    fleet.backends[old].signal(signal.SIGCONT)
    wait_for_steps(fleet, 20)
    assert_safety(fleet)


def test_an_owner_that_is_cut_off_from_the_others_stops_and_another_takes_over(fleet: OwnershipRun) -> None:
    """It still reaches the resource, so only its own clock can stop it."""
    old = fleet.owner("duty-0")
    for link, _ in fleet.links_of(old):
        link.freeze(4.0)
    fleet.wait(lambda: fleet.owner("duty-0") != old)
    wait_for_steps(fleet, 20)
    assert_safety(fleet)


def test_after_a_restart_of_all_members_duties_continue_behind_the_last_step(
    fleet: OwnershipRun,
) -> None:
    before = dict(fleet.stand_ins.resource.last_step)
    for backend in fleet.backends.values():
        backend.kill()
    for backend in fleet.backends.values():
        backend.start()
    wait_for_steps(fleet)
    assert all(fleet.stand_ins.resource.last_step[duty] > before[duty] for duty in fleet.duties)
    assert_safety(fleet)


def test_a_voter_that_lost_its_disk_learns_from_the_others_and_votes_again(fleet: OwnershipRun) -> None:
    (restarted, stopped) = ("n1", "n2")
    fleet.backends[restarted].kill()
    (fleet.folder / f"voter-{restarted}.state").unlink()
    fleet.backends[restarted].start()
    fleet.wait(lambda: (fleet.folder / f"voter-{restarted}.state").exists())
    fleet.backends[stopped].kill()  # from now on the vote of the restarted one is needed
    wait_for_steps(fleet)
    assert_safety(fleet)


def test_without_a_majority_all_duties_stop_until_it_is_back(fleet: OwnershipRun) -> None:
    for name in ("n1", "n2"):
        fleet.backends[name].kill()
    gevent.sleep(1.3)  # the lease
    before = steps_taken(fleet)
    gevent.sleep(1.0)
    assert steps_taken(fleet) == before, "no step is taken without a lease"
    fleet.backends["n1"].start()
    # n1 still has its disk, which is not trusted here: it waits for the other voter too.
    fleet.backends["n2"].start()
    wait_for_steps(fleet)
    assert_safety(fleet)


def change_options(backend: Backend, **options: int) -> None:
    """Changes options of [fleet] or of its duties in a member's file."""
    text = backend.operators_file.read_text()
    for name, value in options.items():
        text, count = re.subn(rf"(?m)^{name} = .*$", f"{name} = {value}", text)
        assert count
    backend.operators_file.write_text(text)


@pytest.mark.parametrize(("before_ms", "after_ms"), [(800, 6400), (6400, 800)])
def test_one_owner_at_a_time_while_members_restart_with_another_lease(
    tmp_path: Path, before_ms: int, after_ms: int
) -> None:
    """Guards against two owners in a rolling restart: one counts on its longer lease, another waits for its
    own. The resource takes each step here, so that it sees both."""
    run = OwnershipRun(3, 3, 3, 2, False, tmp_path, trusted=True)
    for backend in run.backends.values():
        change_options(backend, lease_ms=before_ms, every_ms=1500)  # a step writes the record too
    for _ in started(run):
        for backend in reversed(run.backends.values()):
            change_options(backend, lease_ms=after_ms)
            process = backend.process
            assert process is not None
            backend.signal(signal.SIGTERM)
            run.wait(lambda ended=process: ended.poll() is not None)
            backend.process = None
            backend.start()
            gevent.sleep(5.0)  # several waits of the shorter lease
        wait_for_steps(run, 2)
        resource = run.stand_ins.resource
        assert (resource.owners_at_once(), resource.late_applied) == (1, 0)


def test_a_drain_hands_duties_over_without_waiting_for_the_lease(fleet: OwnershipRun) -> None:
    old = fleet.owner("duty-0")
    fleet.backends[old].signal(signal.SIGTERM)
    fleet.wait(lambda: fleet.owner("duty-0") != old)
    taken = [t for t in fleet.stand_ins.resource.applied if t.duty == "duty-0"]
    gap = next(b.at - a.at for a, b in pairwise(taken) if a.owner != b.owner and a.owner.startswith(old))
    assert gap < 800.0, "under the lease of 1000 ms"
    assert_safety(fleet)


def test_operators_query_the_fleet_and_move_a_duty(fleet: OwnershipRun) -> None:
    rows = json.loads(fleet.run_fleet_command("members", "--json", "--at", "n0").stdout)
    assert [row["member"] for row in rows] == ["n0", "n1", "n2"]
    assert "votes" in fleet.run_fleet_command("register", "--at", "n0").stdout
    old = fleet.owner("duty-0")
    other = next(name for name in fleet.backends if name != old)
    refused = fleet.run_fleet_command("step-down", "duty-0", "--at", other)
    assert refused.returncode == 1 and "does not own" in refused.stderr
    assert fleet.run_fleet_command("step-down", "duty-0", "--at", old).returncode == 0
    fleet.wait(lambda: fleet.owner("duty-0") != old)
    assert_safety(fleet)


def test_a_lost_voter_is_replaced_while_the_duties_continue(four: OwnershipRun) -> None:
    """n2 is lost with its disk and replaced by n3. With n1 stopped too, a majority needs the vote of n3."""
    four.backends["n2"].kill()
    (four.folder / "voter-n2.state").unlink()
    refused = four.run_fleet_command("replace-voters", "--add", "n3", "--at", "n0")
    assert refused.returncode == 1 and "an odd number is wanted" in refused.stderr
    before = len(four.stand_ins.resource.applied)
    done = four.run_fleet_command("replace-voters", "--drop", "n2", "--add", "n3", "--at", "n0")
    assert done.returncode == 0, done.stderr
    rows = json.loads(four.run_fleet_command("voters", "--json", "--at", "n1").stdout)
    assert [row["voter"] for row in rows] == ["n0", "n1", "n3"]
    assert len(four.stand_ins.resource.applied) > before, "steps continued during the change"
    wait_for_steps(four)
    four.backends["n1"].kill()
    wait_for_steps(four, 20)
    rows = json.loads(four.run_fleet_command("memory", "n1", "--json").stdout)  # its process does not run
    assert {row["key"] for row in rows} >= {"duty-0", "duty-1", "fleet/voters"}
    assert_safety(four)


def test_a_change_of_voters_is_completed_by_the_others_when_its_driver_dies(four: OwnershipRun) -> None:
    """The links of n0, which drives the change, are slow: the change is incomplete when n0 dies, and n0 is
    not restarted."""
    for link, _ in four.links_of("n0"):
        link.slow(20.0, 0.06)

    def change() -> None:
        """Repeats the command, as an operator would, while n3 does not answer in time over the slow links."""
        arguments = ("replace-voters", "--drop", "n2", "--add", "n3", "--at", "n0")
        while "takes no seat" in four.run_fleet_command(*arguments).stderr:
            pass

    changing = gevent.spawn(change)
    logs = [four.folder / f"{name}.log" for name in ("n0", "n1", "n2")]
    four.wait(lambda: any("the voters change from" in log.read_text() for log in logs))
    four.backends["n0"].kill()
    assert not any("the voters are n0, n1, n3" in log.read_text() for log in logs)
    four.wait(lambda: "the voters are n0, n1, n3" in (four.folder / "n1.log").read_text(), 30.0)
    changing.join()
    wait_for_steps(four, 20)
    assert_safety(four)


def test_the_fence_refuses_a_step_that_arrives_after_its_owners_lease(fleet: OwnershipRun) -> None:
    """The step was sent in time and is delayed on its way to the resource while another owner takes over.
    The clock of its owner cannot prevent that; the fence does."""
    old = fleet.owner("duty-0")
    fleet.resource_links[old].freeze(3.5, back=False)
    gevent.sleep(0.2)  # a step is on its way now
    fleet.partition({old}, 3.0)
    fleet.wait(lambda: fleet.owner("duty-0") != old)
    fleet.wait(lambda: fleet.stand_ins.resource.late_offered > 0)
    wait_for_steps(fleet, 20)
    assert_safety(fleet)


def test_invalid_connections_cost_a_member_one_log_line_each_and_nothing_else(fleet: OwnershipRun) -> None:
    """Connections with the name of the member itself, of another fleet, with another version, and one that
    announces a message of 1 GB."""
    address, name = fleet.member_addresses["n0"], "n1"
    rss_before_kb = rss_kb(fleet, "n0")
    for hello in (Hello(VERSION, "rig", "n0"), Hello(VERSION, "other", name), Hello(1, "rig", name)):
        assert is_disconnected(address, encode_frame(hello))
    assert is_disconnected(
        address, encode_frame(Hello(VERSION, "rig", "")) + (1 << 30).to_bytes(4, "little") + b"x" * 4096
    )
    log = (fleet.folder / "n0.log").read_text()
    for line in ("says that it is 'n0'", "of the fleet 'other'", "speaks version 1", "announced a message"):
        assert log.count(line) == 1, line
    assert rss_kb(fleet, "n0") < rss_before_kb + 4096
    wait_for_steps(fleet, 20)
    assert_safety(fleet)


def is_disconnected(address: tuple[str, int], raw: bytes) -> bool:
    """Sends the bytes and reads until the member closes the connection."""
    with gevent.Timeout(10.0), socket.create_connection(address) as sock:
        sock.sendall(raw)
        try:
            while sock.recv(4096):
                pass
        except ConnectionError:
            pass
    return True


def rss_kb(run: OwnershipRun, name: str) -> int:
    process = run.backends[name].process
    assert process is not None
    return int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * 4


# -- faults of one side of a link, of a disk or of a clock


def test_an_owner_whose_messages_are_lost_stops_although_it_receives_all_others(four: OwnershipRun) -> None:
    old = four.owner("duty-0")
    four.freeze_one_way(old, 4.0, hears=True)
    four.wait(lambda: four.owner("duty-0") != old)
    wait_for_steps(four, 20)
    assert_safety(four)


def test_an_owner_on_the_side_without_a_majority_stops(four: OwnershipRun) -> None:
    """A partition into two and two members: the owner's side has one of the three voters, so duties are
    owned on the other side only."""
    old = four.owner("duty-0")
    side = {old, "n3" if old != "n3" else "n0"}
    four.partition(side, 6.0)
    four.wait(lambda: not {four.owner(duty) for duty in four.duties} & side)
    wait_for_steps(four, 20)
    assert_safety(four)


def test_links_slower_than_a_lease_leave_no_owner_until_they_recover(fleet: OwnershipRun) -> None:
    """Rounds time out after 200 ms; the links take 1.2 s each way, longer than the lease."""
    for link in fleet.links.values():
        link.slow(4.0, 1.2)
    gevent.sleep(1.6)
    before = steps_taken(fleet)
    gevent.sleep(1.0)
    assert steps_taken(fleet) == before, "an owner without a majority has stopped"
    wait_for_steps(fleet)
    assert_safety(fleet)


def test_candidates_at_the_same_moment_give_one_owner(four: OwnershipRun) -> None:
    """All other members are stopped when the owner dies, and continue together after its lease: each finds
    the duty free."""
    old = four.owner("duty-0")
    others = [one for name, one in four.backends.items() if name != old]
    for one in others:
        one.signal(signal.SIGSTOP)
    four.backends[old].kill()
    gevent.sleep(1.4)
    for one in others:
        one.signal(signal.SIGCONT)
    four.wait(lambda: four.owner("duty-0") != old)
    wait_for_steps(four, 20)
    assert_safety(four)


def test_a_voter_with_an_older_copy_of_its_file_learns_before_it_votes(fleet: OwnershipRun) -> None:
    file = fleet.folder / "voter-n1.state"
    older = file.read_bytes()
    wait_for_steps(fleet, 20)
    fleet.backends["n1"].kill()
    file.write_bytes(older)
    fleet.backends["n1"].start()
    log = fleet.folder / "n1.log"
    fleet.wait(lambda: log.read_text().count("votes again") == 2)
    fleet.backends["n2"].kill()  # from now on the vote of n1 is needed
    wait_for_steps(fleet, 20)
    assert_safety(fleet)


def test_a_voter_whose_disk_refuses_writes_does_not_answer_until_it_accepts_them(fleet: OwnershipRun) -> None:
    """Each write fails on a folder with the name of the temporary file."""
    blocked = fleet.folder / "voter-n1.state.new"
    log = fleet.folder / "n1.log"
    while True:  # the name is free only between two writes
        try:
            blocked.mkdir()
            break
        except FileExistsError:
            gevent.sleep(0.001)
    fleet.wait(lambda: "disk refuses a write" in log.read_text())
    wait_for_steps(fleet)  # the other two are a majority
    other = next(name for name in ("n0", "n2") if name != fleet.owner("duty-0"))
    fleet.backends[other].kill()
    gevent.sleep(1.3)
    before = steps_taken(fleet)
    gevent.sleep(0.8)
    assert steps_taken(fleet) == before, "one voter of three is no majority"
    blocked.rmdir()
    fleet.wait(lambda: "takes writes again" in log.read_text())
    wait_for_steps(fleet)
    assert_safety(fleet)


@pytest.mark.parametrize("seconds", [-3600, 3600])
def test_a_step_of_the_wall_clock_changes_nothing(fleet: OwnershipRun, seconds: int) -> None:
    """Starts from balanced duties: a member that owns two more than another hands one over in any case."""
    wait_until_balanced(fleet)
    owners = {duty: fleet.owner(duty) for duty in fleet.duties}
    for backend in fleet.backends.values():
        backend.wall_clock_file.write_text(str(seconds if backend.name == owners["duty-0"] else 0))
    wait_for_steps(fleet, 20)
    assert {duty: fleet.owner(duty) for duty in fleet.duties} == owners
    assert_safety(fleet)


@pytest.mark.parametrize("bug", [False, True])
def test_an_owner_stopped_together_with_its_wall_clock_offers_nothing_late(tmp_path: Path, bug: bool) -> None:
    """With leases on the wall clock, which is an injected fault, it continues as if no time had passed: the
    resource detects that, and only its fence refuses the steps."""
    run = OwnershipRun(3, 3, 3, 1, True, tmp_path)
    for backend in run.backends.values():
        backend.uses_wall_clock_leases = bug
    try:
        run.start()
        for _ in range(3):  # an owner that is stopped during a step does not show the fault
            old = run.owner("duty-0")
            stopped_at = run.stand_ins.now()
            run.backends[old].signal(signal.SIGSTOP)
            run.wait(lambda old=old: run.owner("duty-0") != old)
            wait_for_steps(run, 5)
            file = run.backends[old].wall_clock_file
            offset_s = float(file.read_text() if file.exists() else 0.0)
            offset_s -= (run.stand_ins.now() - stopped_at) / 1000.0
            file.write_text(str(offset_s))
            run.backends[old].signal(signal.SIGCONT)
            wait_for_steps(run, 5)
        assert (run.stand_ins.resource.late_offered > 0) is bug
        assert_safety(run)
    finally:
        run.stop()


# -- members that restart, or lose connections, during another fault


def test_a_rolling_deploy_of_all_members_during_a_partition(four: OwnershipRun) -> None:
    """n3, which does not vote, is cut off all the time; the others are drained and restarted one after the
    other."""
    four.partition({"n3"}, 60.0)
    for name in ("n0", "n1", "n2"):
        votes = (four.folder / f"{name}.log").read_text().count("votes again")
        four.backends[name].signal(signal.SIGTERM)
        process = four.backends[name].process
        four.wait(lambda process=process: process is not None and process.poll() is not None)
        four.backends[name].kill()
        four.backends[name].start()
        log = four.folder / f"{name}.log"
        four.wait(lambda log=log, votes=votes: log.read_text().count("votes again") > votes)
    wait_for_steps(four, 20)
    assert not {four.owner(duty) for duty in four.duties} & {"n3"}
    assert_safety(four)


def test_a_flapping_peer_does_not_move_duties_back_and_forth(four: OwnershipRun) -> None:
    wait_for_steps(four)
    changes = owner_changes(four)
    flapping = four.owner("duty-0")
    for _ in range(16):
        for link, _ in four.links_of(flapping):
            link.cut(0.2)
        gevent.sleep(0.5)
    assert owner_changes(four) - changes <= 8, "under one a second"
    wait_for_steps(four)
    assert_safety(four)


def owner_changes(run: OwnershipRun) -> int:
    taken = run.stand_ins.resource.applied
    return sum(
        a.owner != b.owner for duty in run.duties for a, b in pairwise([t for t in taken if t.duty == duty])
    )


def test_a_duty_whose_new_owner_dies_goes_to_another_member(four: OwnershipRun) -> None:
    old = four.owner("duty-0")
    assert four.run_fleet_command("step-down", "duty-0", "--at", old).returncode == 0
    four.wait(lambda: four.owner("duty-0") != old)
    successor = four.owner("duty-0")
    four.backends[successor].kill()
    four.wait(lambda: four.owner("duty-0") != successor)
    wait_for_steps(four, 20)
    assert_safety(four)


def test_a_reload_by_sighup_applies_to_the_steps_at_once(fleet: OwnershipRun) -> None:
    """The steps of each member slow down to a tenth; a changed list of voters has no effect."""
    for backend in fleet.backends.values():
        text = backend.operators_file.read_text().replace("every_ms = 100", "every_ms = 1000")
        backend.operators_file.write_text(text.replace('["n0", "n1", "n2"]', '["n0", "n1", "n1"]'))
        backend.signal(signal.SIGHUP)
    fleet.wait(lambda: "found one twice" in (fleet.folder / "n2.log").read_text())
    wait_for_steps(fleet)  # nothing of the file is applied: the steps are as fast as before
    for backend in fleet.backends.values():
        text = backend.operators_file.read_text().replace('"n1", "n1"]', '"n1"]')
        backend.operators_file.write_text(text.replace('["n0", "n1"]', '["n0"]'))
        backend.signal(signal.SIGHUP)
    fleet.wait(
        lambda: all(
            "replace-voters` alone" in (fleet.folder / f"{name}.log").read_text() for name in fleet.backends
        )
    )
    gevent.sleep(0.5)
    before = steps_taken(fleet)
    gevent.sleep(3.0)
    taken = steps_taken(fleet) - before
    assert 0 < taken <= 8, "two duties with one step a second each; about 50 at the old rate"
    assert_safety(fleet)
