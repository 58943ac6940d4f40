"""The line `run` of the deploy file on a platform that refuses forks, further programs and lasting files:
what the process does at its start, seen by an audit hook in it and by /proc beside it."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from test_program import surroundings

ROOT = Path(__file__).resolve().parent.parent
TRACE_VARIABLE = "AUDIT_TRACE"
# Put before the program by the interpreter itself; it tells what it sees and refuses nothing.
HOOK = f"""
import os, sys
trace = os.open(os.environ["{TRACE_VARIABLE}"], os.O_WRONLY | os.O_APPEND)
WRITES = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
PLAIN = ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.spawn", "os.system", "subprocess.Popen",
         "pty.spawn", "os.mkdir", "os.rename", "os.remove", "os.symlink", "os.link", "socket.getaddrinfo",
         "socket.gethostbyname", "ctypes.dlopen")
def seen(event, args):
    if event in PLAIN:
        os.write(trace, f"{{event}} {{args[0] if args else ''}}\\n".encode())
    elif event == "open" and isinstance(args[2], int) and args[2] & WRITES:
        os.write(trace, f"open {{args[0]}}\\n".encode())
    elif event == "socket.__new__" and args[1] != 2:
        os.write(trace, f"socket family {{int(args[1])}}\\n".encode())
sys.addaudithook(seen)
"""
# One line for each thing that the page refuses, as a program that does it would have it
REFUSED = {
    "os.fork": "import os\nif os.fork() == 0: os._exit(0)",
    "subprocess.Popen": "import subprocess; subprocess.run(['true'])",
    "open": "open('here', 'w')",
    "socket family 1": "import socket; socket.socket(socket.AF_UNIX)",
    "socket.getaddrinfo": "import socket\ntry: socket.getaddrinfo('127.0.0.1', 80)\nexcept OSError: pass",
}


@pytest.fixture
def tree(tmp_path: Path) -> Path:
    """What the platform starts: the files of the repository, compiled, with nothing that may be written."""
    copied = tmp_path / "tree"
    for name in ("myrtlecrank", "deploy"):
        shutil.copytree(ROOT / name, copied / name, ignore=shutil.ignore_patterns("__pycache__"))
    subprocess.run([sys.executable, "-m", "compileall", "-q", str(copied / "myrtlecrank")], check=True)
    (copied / ".venv").symlink_to(sys.prefix)
    for path in [copied, *copied.rglob("*")]:
        if not path.is_symlink():
            path.chmod(path.stat().st_mode & ~0o222)
    return copied


def watched(tmp_path: Path) -> dict[str, str]:
    """The environment in which an interpreter writes what it does to the trace."""
    hooks, own = tmp_path / "hooks", tmp_path / "own"
    hooks.mkdir()
    own.mkdir()
    (hooks / "sitecustomize.py").write_text(HOOK)
    (tmp_path / "trace").touch()
    return {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(hooks),
        "TMPDIR": str(own),
        TRACE_VARIABLE: str(tmp_path / "trace"),
    }


def traced(tmp_path: Path) -> list[str]:
    """What was seen, but for what stays in the process's own folder."""
    lines = (tmp_path / "trace").read_text().splitlines()
    return [line for line in lines if not line.startswith(f"open {tmp_path / 'own'}")]


def held(pid: int) -> tuple[set[str], list[str]]:
    """The process's sockets and the sockets of the whole machine that are of the Unix family, by inode."""
    links = [os.readlink(entry.path) for entry in os.scandir(f"/proc/{pid}/fd")]
    unix = Path("/proc/net/unix").read_text().splitlines()[1:]
    return {link[8:-1] for link in links if link.startswith("socket:")}, [row.split()[6] for row in unix]


def test_the_run_line_starts_one_process_that_writes_nothing_and_opens_ipv4_only(
    tree: Path, tmp_path: Path
) -> None:
    line = tomllib.loads((tree / "deploy" / "balancer.toml").read_text())["run"]
    agent, roll, _, told = surroundings()
    config = tmp_path / "config.json"
    config.write_text(json.dumps(told))
    process = subprocess.Popen(
        ["/bin/sh", "-c", line],
        cwd=tree,
        stderr=subprocess.PIPE,
        text=True,
        env=watched(tmp_path) | {"PROXY_CONFIG": str(config)},
    )
    try:
        link, _ = agent.accept()
        link.settimeout(60)
        assert link.recv(1000), "it has subscribed, so its start is over"
        program = Path(f"/proc/{process.pid}/cmdline").read_bytes()
        children = [
            one
            for task in os.scandir(f"/proc/{process.pid}/task")
            for one in (Path(task.path) / "children").read_text().split()
        ]
        mapped = Path(f"/proc/{process.pid}/maps").read_text()
        sockets, unix = held(process.pid)
        files = [os.readlink(entry.path) for entry in os.scandir(f"/proc/{process.pid}/fd")]
    finally:
        process.terminate()
        _, err = process.communicate(timeout=60)
        agent.close()
        roll.close()
    assert process.returncode == 0, err
    assert b"myrtlecrank" in program and b"/bin/sh" not in program, "exec, so that the signals reach it"
    assert not children and "libc.so" in mapped
    assert sockets and not sockets & set(unix)
    assert not any("io_uring" in file for file in files)
    assert not traced(tmp_path)


@pytest.mark.parametrize("name", list(REFUSED))
def test_the_hook_sees_what_the_page_refuses(name: str, tmp_path: Path) -> None:
    """Planted: a program that does it must be found, or the test above says nothing."""
    subprocess.run([sys.executable, "-c", REFUSED[name]], cwd=tmp_path, env=watched(tmp_path), check=True)
    assert any(line.startswith(name) for line in traced(tmp_path))
