"""Several real processes of the program, faults between them, judged by the resource alone."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator
from itertools import pairwise
from pathlib import Path

import gevent
import pytest
from gevent import socket

from myrtlecrank.fleet.messages import VERSION, Hello
from myrtlecrank.fleet.peer_links import encode_frame
from rig.processes.ownership_experiment import RealPlay


def played(play: RealPlay) -> Iterator[RealPlay]:
    """Each duty owned, each voter votes."""
    try:
        play.begin()
        yield play
    finally:
        play.finish()


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[RealPlay]:
    """Three members that all vote, two duties."""
    yield from played(RealPlay(1, 3, 3, 2, True, tmp_path))


@pytest.fixture
def four(tmp_path: Path) -> Iterator[RealPlay]:
    """Four members of which three vote, two duties."""
    yield from played(RealPlay(2, 4, 3, 2, True, tmp_path))


def steps(play: RealPlay) -> int:
    return sum(play.stands.resource.last.values())


def goes_on(play: RealPlay, more: int = 10) -> None:
    """Both duties advance."""
    last = dict(play.stands.resource.last)
    play.wait(lambda: all(play.stands.resource.last[duty] >= last[duty] + more for duty in play.duties))


def kept(play: RealPlay) -> None:
    """What holds in any case, as the resource saw it."""
    resource = play.stands.resource
    assert resource.owners_at_once() == 1
    assert (resource.late_taken, resource.steps_lost(), resource.steps_twice) == (0, 0, 0)


def test_an_owner_that_is_stopped_past_its_lease_does_no_harm_when_it_wakes(fleet: RealPlay) -> None:
    old = fleet.owner("duty-0")
    fleet.backends[old].signal(signal.SIGSTOP)
    fleet.wait(lambda: fleet.owner("duty-0") != old)
    goes_on(fleet)
    fleet.backends[old].signal(signal.SIGCONT)
    goes_on(fleet, 20)
    kept(fleet)


def test_an_owner_that_is_cut_off_from_the_others_stops_and_another_goes_on(fleet: RealPlay) -> None:
    """It still reaches the resource: only its own clock can stop it."""
    old = fleet.owner("duty-0")
    for link, _ in fleet.links_of(old):
        link.freeze(4.0)
    fleet.wait(lambda: fleet.owner("duty-0") != old)
    goes_on(fleet, 20)
    kept(fleet)


def test_all_restart_at_once_and_go_on_behind_the_last_recorded_step(fleet: RealPlay) -> None:
    before = dict(fleet.stands.resource.last)
    for backend in fleet.backends.values():
        backend.end()
    for backend in fleet.backends.values():
        backend.start()
    goes_on(fleet)
    assert all(fleet.stands.resource.last[duty] > before[duty] for duty in fleet.duties)
    kept(fleet)


def test_a_voter_without_its_disk_learns_from_the_others_and_votes_again(fleet: RealPlay) -> None:
    (gone, alone) = ("n1", "n2")
    fleet.backends[gone].end()
    (fleet.folder / f"voter-{gone}.state").unlink()
    fleet.backends[gone].start()
    fleet.wait(lambda: (fleet.folder / f"voter-{gone}.state").exists())
    fleet.backends[alone].end()  # now its vote is needed
    goes_on(fleet)
    kept(fleet)


def test_two_voters_away_stop_all_duties_and_one_back_starts_them(fleet: RealPlay) -> None:
    for name in ("n1", "n2"):
        fleet.backends[name].end()
    gevent.sleep(1.3)  # the lease
    before = steps(fleet)
    gevent.sleep(1.0)
    assert steps(fleet) == before, "what can't be promised is not done"
    fleet.backends["n1"].start()
    # It was only away, yet its disk is not trusted here: it waits for the other one too.
    fleet.backends["n2"].start()
    goes_on(fleet)
    kept(fleet)


def test_a_notice_to_leave_hands_over_without_waiting_for_the_lease(fleet: RealPlay) -> None:
    old = fleet.owner("duty-0")
    fleet.backends[old].signal(signal.SIGTERM)
    fleet.wait(lambda: fleet.owner("duty-0") != old)
    mine = [t for t in fleet.stands.resource.taken if t.duty == "duty-0"]
    gap = next(b.at - a.at for a, b in pairwise(mine) if a.owner != b.owner and a.owner.startswith(old))
    assert gap < 800.0, "under the lease of 1000 ms"
    kept(fleet)


def test_operators_see_the_fleet_and_move_a_duty(fleet: RealPlay) -> None:
    rows = json.loads(fleet.told("members", "--json", "--at", "n0").stdout)
    assert [row["member"] for row in rows] == ["n0", "n1", "n2"]
    assert "votes" in fleet.told("register", "--at", "n0").stdout
    old = fleet.owner("duty-0")
    other = next(name for name in fleet.backends if name != old)
    refused = fleet.told("step-down", "duty-0", "--at", other)
    assert refused.returncode == 1 and "does not own" in refused.stderr
    assert fleet.told("step-down", "duty-0", "--at", old).returncode == 0
    fleet.wait(lambda: fleet.owner("duty-0") != old)
    kept(fleet)


def test_a_voter_that_is_gone_for_good_is_replaced_while_the_duties_go_on(four: RealPlay) -> None:
    """n2 dies with its disk. n3 votes in its place, and with n1 away too its vote is what counts."""
    four.backends["n2"].end()
    (four.folder / "voter-n2.state").unlink()
    refused = four.told("replace-voters", "--add", "n3", "--at", "n0")
    assert refused.returncode == 1 and "an odd number is wanted" in refused.stderr
    begun = len(four.stands.resource.taken)
    done = four.told("replace-voters", "--drop", "n2", "--add", "n3", "--at", "n0")
    assert done.returncode == 0, done.stderr
    rows = json.loads(four.told("voters", "--json", "--at", "n1").stdout)
    assert [row["voter"] for row in rows] == ["n0", "n1", "n3"]
    assert len(four.stands.resource.taken) > begun, "steps went on meanwhile"
    goes_on(four)
    four.backends["n1"].end()
    goes_on(four, 20)
    rows = json.loads(four.told("memory", "n1", "--json").stdout)  # of one that does not run
    assert {row["key"] for row in rows} >= {"duty-0", "duty-1", "fleet/voters"}
    kept(four)


def test_a_change_of_voters_whose_driver_dies_is_ended_by_the_others(four: RealPlay) -> None:
    """n0, which drives, hears the others late: the change stands half-way when it dies and stays dead."""
    for link, _ in four.links_of("n0"):
        link.slow(20.0, 0.06)

    def change() -> None:
        """As an operator does: given again where n3 was not heard in time over the slow links."""
        words = ("replace-voters", "--drop", "n2", "--add", "n3", "--at", "n0")
        while "takes no seat" in four.told(*words).stderr:
            pass

    waiting = gevent.spawn(change)
    logs = [four.folder / f"{name}.log" for name in ("n0", "n1", "n2")]
    four.wait(lambda: any("the voters change from" in log.read_text() for log in logs))
    four.backends["n0"].end()
    assert not any("the voters are n0, n1, n3" in log.read_text() for log in logs)
    four.wait(lambda: "the voters are n0, n1, n3" in (four.folder / "n1.log").read_text(), 30.0)
    waiting.join()
    goes_on(four, 20)
    kept(four)


def test_bytes_that_an_owner_let_go_of_before_its_lease_ran_out_come_too_late(fleet: RealPlay) -> None:
    """Its step lies on the way to the resource while another takes over: out of reach for its own clock, and
    kept out by the fence."""
    old = fleet.owner("duty-0")
    fleet.sinks[old].freeze(3.5, back=False)
    gevent.sleep(0.2)  # a step is in it now
    fleet.apart({old}, 3.0)
    fleet.wait(lambda: fleet.owner("duty-0") != old)
    fleet.wait(lambda: fleet.stands.resource.late_offered > 0)
    goes_on(fleet, 20)
    kept(fleet)


def test_strangers_at_a_members_door_cost_it_a_line_each_and_nothing_else(fleet: RealPlay) -> None:
    """One that says it is another member, one of another fleet, one that announces a message of 1 GB."""
    home, name = fleet.homes["n0"], "n1"
    peak = rss_kb(fleet, "n0")
    for told in (Hello(VERSION, "rig", "n0"), Hello(VERSION, "other", name), Hello(1, "rig", name)):
        assert refused(home, encode_frame(told))
    assert refused(
        home, encode_frame(Hello(VERSION, "rig", "")) + (1 << 30).to_bytes(4, "little") + b"x" * 4096
    )
    log = (fleet.folder / "n0.log").read_text()
    for line in ("says that it is 'n0'", "of the fleet 'other'", "speaks version 1", "announced a message"):
        assert log.count(line) == 1, line
    assert rss_kb(fleet, "n0") < peak + 4096
    goes_on(fleet, 20)
    kept(fleet)


def refused(home: tuple[str, int], raw: bytes) -> bool:
    """The connection ends, whatever came of it before."""
    with gevent.Timeout(10.0), socket.create_connection(home) as sock:
        sock.sendall(raw)
        try:
            while sock.recv(4096):
                pass
        except ConnectionError:
            pass
    return True


def rss_kb(play: RealPlay, name: str) -> int:
    process = play.backends[name].process
    assert process is not None
    return int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * 4


# -- what one side of a link, a disk or a clock does


def test_an_owner_that_none_hears_stops_though_it_hears_all(four: RealPlay) -> None:
    old = four.owner("duty-0")
    four.deaf(old, 4.0, hears=True)
    four.wait(lambda: four.owner("duty-0") != old)
    goes_on(four, 20)
    kept(four)


def test_an_owner_that_is_left_with_half_of_the_members_stops(four: RealPlay) -> None:
    """Two and two: the owner's side has one of the three voters, and only on the other one is a duty
    owned."""
    old = four.owner("duty-0")
    side = {old, "n3" if old != "n3" else "n0"}
    four.apart(side, 6.0)
    four.wait(lambda: not {four.owner(duty) for duty in four.duties} & side)
    goes_on(four, 20)
    kept(four)


def test_links_slower_than_a_round_leave_no_owner_and_come_back(fleet: RealPlay) -> None:
    """Rounds of 200 ms over links that take 1.2 s each way, longer than the lease."""
    for link in fleet.links.values():
        link.slow(4.0, 1.2)
    gevent.sleep(1.6)
    before = steps(fleet)
    gevent.sleep(1.0)
    assert steps(fleet) == before, "an owner that hears no majority has stopped"
    goes_on(fleet)
    kept(fleet)


def test_two_candidates_in_one_instant_give_one_owner(four: RealPlay) -> None:
    """All others are stopped as the owner dies, and woken at once when its lease is over: each finds the duty
    free."""
    old = four.owner("duty-0")
    others = [one for name, one in four.backends.items() if name != old]
    for one in others:
        one.signal(signal.SIGSTOP)
    four.backends[old].end()
    gevent.sleep(1.4)
    for one in others:
        one.signal(signal.SIGCONT)
    four.wait(lambda: four.owner("duty-0") != old)
    goes_on(four, 20)
    kept(four)


def test_a_voter_with_an_older_copy_of_its_disk_learns_before_it_votes(fleet: RealPlay) -> None:
    file = fleet.folder / "voter-n1.state"
    older = file.read_bytes()
    goes_on(fleet, 20)
    fleet.backends["n1"].end()
    file.write_bytes(older)
    fleet.backends["n1"].start()
    log = fleet.folder / "n1.log"
    fleet.wait(lambda: log.read_text().count("votes again") == 2)
    fleet.backends["n2"].end()  # now its vote is needed
    goes_on(fleet, 20)
    kept(fleet)


def test_a_voter_whose_disk_takes_nothing_says_nothing_until_it_does(fleet: RealPlay) -> None:
    """What stands in the way of each write is a folder under the name of the new file."""
    blocked = fleet.folder / "voter-n1.state.new"
    log = fleet.folder / "n1.log"
    while True:  # the name is free between two writes only
        try:
            blocked.mkdir()
            break
        except FileExistsError:
            gevent.sleep(0.001)
    fleet.wait(lambda: "disk refuses a write" in log.read_text())
    goes_on(fleet)  # the other two are a majority
    other = next(name for name in ("n0", "n2") if name != fleet.owner("duty-0"))
    fleet.backends[other].end()
    gevent.sleep(1.3)
    before = steps(fleet)
    gevent.sleep(0.8)
    assert steps(fleet) == before, "one voter of three is none"
    blocked.rmdir()
    fleet.wait(lambda: "takes writes again" in log.read_text())
    goes_on(fleet)
    kept(fleet)


@pytest.mark.parametrize("seconds", [-3600, 3600])
def test_a_wall_clock_that_is_stepped_changes_nothing(fleet: RealPlay, seconds: int) -> None:
    owners = {duty: fleet.owner(duty) for duty in fleet.duties}
    for backend in fleet.backends.values():
        backend.wall.write_text(str(seconds if backend.name == owners["duty-0"] else 0))
    goes_on(fleet, 20)
    assert {duty: fleet.owner(duty) for duty in fleet.duties} == owners
    kept(fleet)


@pytest.mark.parametrize("bug", [False, True])
def test_an_owner_that_slept_and_whose_wall_clock_slept_too_offers_nothing_late(
    tmp_path: Path, bug: bool
) -> None:
    """With leases on that clock, a planted bug, it goes on as if no time had passed, and only the fence
    keeps it out: the judge sees it."""
    play = RealPlay(3, 3, 3, 1, True, tmp_path)
    for backend in play.backends.values():
        backend.wall_leases = bug
    try:
        play.begin()
        for _ in range(3):  # stopped within a step, it would not show
            old = play.owner("duty-0")
            begun = play.stands.now()
            play.backends[old].signal(signal.SIGSTOP)
            play.wait(lambda old=old: play.owner("duty-0") != old)
            goes_on(play, 5)
            file = play.backends[old].wall
            slept = float(file.read_text() if file.exists() else 0.0) - (play.stands.now() - begun) / 1000.0
            file.write_text(str(slept))
            play.backends[old].signal(signal.SIGCONT)
            goes_on(play, 5)
        assert (play.stands.resource.late_offered > 0) is bug
        kept(play)
    finally:
        play.finish()


# -- members that come and go while something else is wrong


def test_a_rolling_deploy_of_all_members_during_a_partition(four: RealPlay) -> None:
    """n3, which has no vote, is cut off for the whole time; each of the others is told to leave and started
    anew, one after the other."""
    four.apart({"n3"}, 60.0)
    for name in ("n0", "n1", "n2"):
        votes = (four.folder / f"{name}.log").read_text().count("votes again")
        four.backends[name].signal(signal.SIGTERM)
        process = four.backends[name].process
        four.wait(lambda process=process: process is not None and process.poll() is not None)
        four.backends[name].end()
        four.backends[name].start()
        log = four.folder / f"{name}.log"
        four.wait(lambda log=log, votes=votes: log.read_text().count("votes again") > votes)
    goes_on(four, 20)
    assert not {four.owner(duty) for duty in four.duties} & {"n3"}
    kept(four)


def test_a_peer_that_flaps_does_not_move_duties_to_and_fro(four: RealPlay) -> None:
    goes_on(four)
    changes = owner_changes(four)
    flapping = four.owner("duty-0")
    for _ in range(16):
        for link, _ in four.links_of(flapping):
            link.cut(0.2)
        gevent.sleep(0.5)
    assert owner_changes(four) - changes <= 8, "under one a second"
    goes_on(four)
    kept(four)


def owner_changes(play: RealPlay) -> int:
    taken = play.stands.resource.taken
    return sum(
        a.owner != b.owner for duty in play.duties for a, b in pairwise([t for t in taken if t.duty == duty])
    )


def test_a_handover_to_a_member_that_dies_as_it_accepts_goes_to_another(four: RealPlay) -> None:
    old = four.owner("duty-0")
    assert four.told("step-down", "duty-0", "--at", old).returncode == 0
    four.wait(lambda: four.owner("duty-0") != old)
    heir = four.owner("duty-0")
    four.backends[heir].end()
    four.wait(lambda: four.owner("duty-0") != heir)
    goes_on(four, 20)
    kept(four)


def test_the_file_read_anew_by_sighup_holds_for_the_steps_at_once(fleet: RealPlay) -> None:
    """Every member's steps get a tenth of the pace; a list of other voters changes nothing."""
    for backend in fleet.backends.values():
        text = backend.operators.read_text().replace("every_ms = 100", "every_ms = 1000")
        backend.operators.write_text(text.replace('["n0", "n1", "n2"]', '["n0", "n1", "n1"]'))
        backend.signal(signal.SIGHUP)
    fleet.wait(lambda: "one is named twice" in (fleet.folder / "n2.log").read_text())
    goes_on(fleet)  # refused whole: as fast as ever
    for backend in fleet.backends.values():
        text = backend.operators.read_text().replace('"n1", "n1"]', '"n1"]')
        backend.operators.write_text(text.replace('["n0", "n1"]', '["n0"]'))
        backend.signal(signal.SIGHUP)
    fleet.wait(
        lambda: all(
            "replace-voters` alone" in (fleet.folder / f"{name}.log").read_text() for name in fleet.backends
        )
    )
    gevent.sleep(0.5)
    before = steps(fleet)
    gevent.sleep(3.0)
    assert 0 < steps(fleet) - before <= 8, "two duties, a step a second each; at the old pace it were 50"
    kept(fleet)
