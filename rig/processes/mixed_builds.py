"""Checks this build beside an earlier one: on data that the earlier build wrote, and with members of both in
one fleet.

    .venv/bin/python -m rig.processes.mixed_builds EARLIER_TREE

EARLIER_TREE is a checkout of the earlier build. Prints a line for each check; exits with 1 if one fails."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
from itertools import pairwise
from pathlib import Path

import gevent

from rig.processes.backend_process import ROOT
from rig.processes.ownership_experiment import Backend, OwnershipRun

OPERATORS_FILES = ("deploy/operators.toml", "deploy/examples/fleet.toml", "deploy/examples/wide-area.toml")
SEED = 7
EARLIER_MEMBERS = ("n0", "n1")
MAX_HAND_OVERS = 12
STATES_TIMEOUT_S = 20.0
STEPS_TO_ADVANCE = 10  # of each duty, after which the fleet counts as going on


def run(tree: Path, *words: str) -> subprocess.CompletedProcess[str]:
    """Runs the command line of the build in `tree`."""
    command = [sys.executable, "-m", "myrtlecrank", *words]
    environment = {**os.environ, "PYTHONPATH": str(tree)}
    return subprocess.run(command, cwd=tree, env=environment, capture_output=True, text=True, timeout=60)


def report(check: str, passed: bool, detail: str = "") -> bool:
    print(f"{'ok  ' if passed else 'FAIL'} {check}{': ' + detail if detail else ''}", flush=True)
    return passed


def compare_configuration(earlier: Path) -> bool:
    """The operators' files and the configuration of the earlier tree, read by both builds."""
    passed = True
    for name in OPERATORS_FILES:
        words = ("check", str(earlier / "examples/backend.json"), "--operators", str(earlier / name))
        before, after = run(earlier, *words), run(ROOT, *words)
        same = (before.returncode, before.stdout) == (after.returncode, after.stdout)
        passed &= report(f"check of {name} prints the same", same, f"exit {after.returncode}")
    before, after = run(earlier, "figures"), run(ROOT, "figures")
    names = [[line.split("#")[0] for line in done.stdout.splitlines()] for done in (before, after)]
    return report("figures lists the same sections, keys and defaults", names[0] == names[1]) and passed


def start_from(tree: Path, backend: Backend) -> None:
    """Starts the backend from `tree`."""
    words = ["-m", "myrtlecrank", "serve", str(backend.config), "--operators", str(backend.operators_file)]
    environment = {**os.environ, "PYTHONPATH": str(tree)}
    backend.process = subprocess.Popen(
        [sys.executable, *words], cwd=tree, env=environment, stdout=backend.log, stderr=backend.log
    )


class MixedFleet:
    """Four members of which n0, n1 and n2 vote at first; n0 and n1 stay on the earlier build."""

    def __init__(self, earlier: Path, folder: Path) -> None:
        self.earlier, self.folder = earlier, folder
        self.fleet_run = OwnershipRun(SEED, 4, 3, 2, True, folder, trusted=True)
        self.passed = True
        self.applied_before_upgrade = 0

    def check(self, name: str, passed: bool, detail: str = "") -> None:
        self.passed &= report(name, passed, detail)

    def fleet_command(self, tree: Path, *words: str, by: str = "n0") -> subprocess.CompletedProcess[str]:
        """`myrtlecrank fleet ...` of one build, without holding up this process's loop."""
        command = ("fleet", *words, "--operators", str(self.fleet_run.backends[by].operators_file))
        result: subprocess.CompletedProcess[str] = gevent.get_hub().threadpool.apply(run, (tree, *command))
        return result

    def duties_advance(self) -> bool:
        last = dict(self.fleet_run.stand_ins.resource.last_step)
        try:
            self.fleet_run.wait(
                lambda: all(
                    self.fleet_run.stand_ins.resource.last_step[duty] >= last[duty] + STEPS_TO_ADVANCE
                    for duty in self.fleet_run.duties
                )
            )
        except gevent.Timeout:
            return False
        return True

    def owner_changes(self, duty: str, old: str) -> bool:
        try:
            self.fleet_run.wait(lambda: self.fleet_run.owner(duty) != old)
        except gevent.Timeout:
            return False
        return True

    def begin(self) -> None:
        """All four on the earlier build, whose command line also founds the voters."""
        for name in self.fleet_run.voters:
            self.fleet_command(self.earlier, "found", name, by=name)
        for backend in self.fleet_run.backends.values():
            start_from(self.earlier, backend)
        self.fleet_run.wait(
            lambda: len(self.fleet_run.stand_ins.resource.last_step) == len(self.fleet_run.duties)
        )
        self.check("four members of the earlier build: duties advance", self.duties_advance())

    def compare_memory(self) -> None:
        """The memory that the earlier build wrote, as both builds print it."""
        rows = [self.fleet_command(tree, "memory", "n2", "--json").stdout for tree in (self.earlier, ROOT)]
        same = bool(rows[0]) and json.loads(rows[0]) == json.loads(rows[1])
        self.check(
            "a voter's memory of the earlier build reads the same", same, f"{len(rows[0])} bytes of rows"
        )

    def upgrade(self) -> None:
        for name in ("n2", "n3"):
            self.fleet_run.backends[name].kill()
        self.applied_before_upgrade = len(self.fleet_run.stand_ins.resource.applied)
        self.compare_memory()
        for name in ("n2", "n3"):
            start_from(ROOT, self.fleet_run.backends[name])
        self.check("n2 and n3 on this build: duties advance", self.duties_advance())
        log = (self.folder / "n2.log").read_text()
        self.check(
            "n2 votes at once on the memory that it finds", "abstains" not in log and "no memory" not in log
        )
        for tree, name in ((self.earlier, "n2"), (ROOT, "n0")):
            states = self.wait_until_alive(tree, name)
            self.check(
                f"members, asked across builds at {name}", set(states.values()) == {"alive"}, str(states)
            )

    def wait_until_alive(self, tree: Path, name: str) -> dict[str, str]:
        """The members' states as `name` sees them, once all are alive or the time is over.

        Members that have just restarted are suspect until they answer a probe."""
        end = time.monotonic() + STATES_TIMEOUT_S
        while True:
            rows = json.loads(self.fleet_command(tree, "members", "--json", "--at", name).stdout)
            states = {row["member"]: row["state"] for row in rows}
            if set(states.values()) == {"alive"} or time.monotonic() > end:
                return states

    def hand_over(self) -> None:
        """Owners step down until a duty has gone from each build to the other; both builds ask in turn."""
        wanted = {(True, False), (False, True)}
        for number in range(MAX_HAND_OVERS):
            if wanted <= self.moves():
                break
            duty = self.fleet_run.duties[number % len(self.fleet_run.duties)]
            old = self.fleet_run.owner(duty)
            tree = self.earlier if number % 2 else ROOT
            done = self.fleet_command(tree, "step-down", duty, "--at", old)
            moved = done.returncode == 0 and self.owner_changes(duty, old)
            self.check(f"{duty} is handed over", moved, f"{old} to {self.fleet_run.owner(duty)}")
        self.check("duties went from each build to the other", wanted <= self.moves())

    def moves(self) -> set[tuple[bool, bool]]:
        """Whether the earlier build ran the old owner and the new one, for each change of owner so far.

        Counted from the upgrade on, when n2 and n3 run this build."""
        applied = self.fleet_run.stand_ins.resource.applied[self.applied_before_upgrade :]
        found = set()
        for duty in self.fleet_run.duties:
            owners = [effect.owner.split("/")[0] for effect in applied if effect.duty == duty]
            found |= {(a in EARLIER_MEMBERS, b in EARLIER_MEMBERS) for a, b in pairwise(owners) if a != b}
        return found

    def elect(self) -> None:
        """The owner of a duty dies, on each build once."""
        for is_earlier, tree in ((True, self.earlier), (False, ROOT)):
            duty = self.duty_owned_by(is_earlier)
            old = self.fleet_run.owner(duty)
            backend = self.fleet_run.backends[old]
            backend.kill()
            self.check(f"{duty}: another owner after {old} was killed", self.owner_changes(duty, old))
            start_from(tree, backend)
            self.check(f"{old} is back: duties advance", self.duties_advance())

    def duty_owned_by(self, is_earlier: bool) -> str:
        """A duty whose owner runs that build; owners step down until there is one."""
        for _ in range(MAX_HAND_OVERS):
            for duty in self.fleet_run.duties:
                old = self.fleet_run.owner(duty)
                if (old in EARLIER_MEMBERS) is is_earlier:
                    return duty
            self.fleet_command(ROOT, "step-down", duty, "--at", old)
            self.owner_changes(duty, old)
        raise RuntimeError("no duty came to a member of the wanted build")

    def replace_voters(self) -> None:
        for tree, driver, drop, add in ((ROOT, "n2", "n1", "n3"), (self.earlier, "n0", "n3", "n1")):
            done = self.fleet_command(tree, "replace-voters", "--drop", drop, "--add", add, "--at", driver)
            rows = json.loads(self.fleet_command(ROOT, "voters", "--json", "--at", "n0").stdout or "[]")
            voters = sorted(row["voter"] for row in rows if row["state"] == "votes")
            detail = f"driven by {driver}: {voters} {done.stderr.strip()}"
            self.check(
                f"{drop} is replaced by {add}",
                done.returncode == 0 and add in voters and drop not in voters,
                detail,
            )
            self.check("duties advance", self.duties_advance())

    def rules(self) -> None:
        resource = self.fleet_run.stand_ins.resource
        counts = (resource.late_applied, resource.steps_lost(), resource.steps_twice)
        held = resource.owners_at_once() == 1 and counts == (0, 0, 0)
        self.check("one owner at a time, no step lost or done twice", held, f"{len(resource.applied)} steps")
        wrong = [
            line
            for name in self.fleet_run.backends
            for line in (self.folder / f"{name}.log").read_text().splitlines()
            if "ERROR" in line or "refused" in line or "Traceback" in line
        ]
        self.check("no errors and no refused links in the logs", not wrong, " | ".join(wrong[:3]))

    def run(self) -> bool:
        try:
            self.begin()
            self.upgrade()
            self.hand_over()
            self.elect()
            self.replace_voters()
            self.rules()
        finally:
            self.fleet_run.stop()
        return self.passed


def main() -> int:
    earlier = Path(sys.argv[1]).resolve()
    passed = compare_configuration(earlier)
    folder = Path(tempfile.mkdtemp(prefix="mixed-builds-"))
    try:
        passed &= MixedFleet(earlier, folder).run()
    finally:
        shutil.rmtree(folder)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
