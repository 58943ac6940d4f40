"""The `run` command of the deploy file on a platform that forbids forks, other programs and persistent files.
An audit hook in the process and /proc show what the process does at its start."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from test_program import platform_listeners

ROOT = Path(__file__).resolve().parent.parent
TRACE_VARIABLE = "AUDIT_TRACE"
UNIX_TABLE_INODE_COLUMN = 6  # of /proc/net/unix
# The interpreter runs this before the program. It records operations and forbids none.
HOOK = f"""
import os, sys
trace = os.open(os.environ["{TRACE_VARIABLE}"], os.O_WRONLY | os.O_APPEND)
WRITES = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
EVENTS = ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.spawn", "os.system", "subprocess.Popen",
          "pty.spawn", "os.mkdir", "os.rename", "os.remove", "os.symlink", "os.link", "socket.getaddrinfo",
          "socket.gethostbyname", "ctypes.dlopen")
def record(event, args):
    if event in EVENTS:
        os.write(trace, f"{{event}} {{args[0] if args else ''}}\\n".encode())
    elif event == "open" and isinstance(args[2], int) and args[2] & WRITES:
        os.write(trace, f"open {{args[0]}}\\n".encode())
    elif event == "socket.__new__" and args[1] != 2:
        os.write(trace, f"socket family {{int(args[1])}}\\n".encode())
sys.addaudithook(record)
"""
# By the beginning of its line in the trace: a program that does one operation the platform forbids.
FORBIDDEN = {
    "os.fork": "import os\nif os.fork() == 0: os._exit(0)",
    "subprocess.Popen": "import subprocess; subprocess.run(['true'])",
    "open": "open('here', 'w')",
    "socket family 1": "import socket; socket.socket(socket.AF_UNIX)",
    "socket.getaddrinfo": "import socket\ntry: socket.getaddrinfo('127.0.0.1', 80)\nexcept OSError: pass",
}


@pytest.fixture
def read_only_tree(tmp_path: Path) -> Path:
    """What the platform starts: the files of the repository, compiled, with write permission removed."""
    copied = tmp_path / "tree"
    for name in ("myrtlecrank", "deploy"):
        shutil.copytree(ROOT / name, copied / name, ignore=shutil.ignore_patterns("__pycache__"))
    subprocess.run([sys.executable, "-m", "compileall", "-q", str(copied / "myrtlecrank")], check=True)
    (copied / ".venv").symlink_to(sys.prefix)
    for path in [copied, *copied.rglob("*")]:
        if not path.is_symlink():
            path.chmod(path.stat().st_mode & ~0o222)
    return copied


def traced_environment(tmp_path: Path) -> dict[str, str]:
    """Environment variables that make an interpreter record its operations in the trace."""
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


def traced_operations(tmp_path: Path) -> list[str]:
    """The trace, without writes inside the process's own temporary folder."""
    lines = (tmp_path / "trace").read_text().splitlines()
    return [line for line in lines if not line.startswith(f"open {tmp_path / 'own'}")]


def socket_inodes(pid: int) -> tuple[set[str], list[str]]:
    """The inodes of the process's sockets, and of all Unix sockets of the machine."""
    targets = [os.readlink(entry.path) for entry in os.scandir(f"/proc/{pid}/fd")]
    own = {
        target.removeprefix("socket:[").removesuffix("]")
        for target in targets
        if target.startswith("socket:")
    }
    unix_table = Path("/proc/net/unix").read_text().splitlines()[1:]
    return own, [row.split()[UNIX_TABLE_INODE_COLUMN] for row in unix_table]


def test_the_run_command_starts_one_process_that_writes_nothing_and_opens_ipv4_only(
    read_only_tree: Path, tmp_path: Path
) -> None:
    command = tomllib.loads((read_only_tree / "deploy" / "balancer.toml").read_text())["run"]
    agent, membership_list, _, values = platform_listeners()
    config = tmp_path / "config.json"
    config.write_text(json.dumps(values))
    process = subprocess.Popen(
        ["/bin/sh", "-c", command],
        cwd=read_only_tree,
        stderr=subprocess.PIPE,
        text=True,
        env=traced_environment(tmp_path) | {"PROXY_CONFIG": str(config)},
    )
    try:
        connection, _ = agent.accept()
        connection.settimeout(60)
        assert connection.recv(1000), "the process has subscribed, so its start is over"
        program = Path(f"/proc/{process.pid}/cmdline").read_bytes()
        children = [
            child
            for task in os.scandir(f"/proc/{process.pid}/task")
            for child in (Path(task.path) / "children").read_text().split()
        ]
        mapped = Path(f"/proc/{process.pid}/maps").read_text()
        sockets, unix = socket_inodes(process.pid)
        files = [os.readlink(entry.path) for entry in os.scandir(f"/proc/{process.pid}/fd")]
    finally:
        process.terminate()
        _, err = process.communicate(timeout=60)
        agent.close()
        membership_list.close()
    assert process.returncode == 0, err
    assert b"myrtlecrank" in program and b"/bin/sh" not in program, (
        "the shell must exec the program, so that signals reach it"
    )
    assert not children and "libc.so" in mapped
    assert sockets and not sockets & set(unix)
    assert not any("io_uring" in file for file in files)
    assert not traced_operations(tmp_path)


@pytest.mark.parametrize("name", list(FORBIDDEN))
def test_the_trace_shows_each_forbidden_operation(name: str, tmp_path: Path) -> None:
    """If the trace missed a forbidden operation, the test above would prove nothing."""
    subprocess.run(
        [sys.executable, "-c", FORBIDDEN[name]], cwd=tmp_path, env=traced_environment(tmp_path), check=True
    )
    assert any(line.startswith(name) for line in traced_operations(tmp_path))
