"""The program as a whole: configurations, start, log, drain and exit codes, in processes of their own."""

from __future__ import annotations

import copy
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from gevent import socket
from helpers import ask_bytes

from myrtlecrank import configuration
from myrtlecrank.log import MAX_LINES, RateLimitFilter
from myrtlecrank.policy.interface import Meaning
from myrtlecrank.settings import Fields

GROUP = {"name": "group", "effect": "read_like", "aim": 1_000_000, "deadline": 4_000_000}
WHOLE = {
    "name": "n3",
    "listen": "127.0.0.1:8080",
    "agent": "127.0.0.1:7300",
    "members": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "stop_ms": 3200,
    "limits": {"sockets": 1024},
    "settings": {
        "categories": [GROUP],
        "domain": {
            "cores": 2,
            "memoryKb": 1000.0,
            "signal": "tokens",
            "gauges": ["links", "new", "core_use"],
        },
        "guarantees": {"fallMultiple": 4.0, "fall": 2_000_000},
        "tenants": [{"name": "acme", "share": 1.0, "allowancePerS": 10.0}],
    },
}


def changed(path: str, value: Any) -> dict[str, Any]:
    told = copy.deepcopy(WHOLE)
    *above, last = path.split("/")
    inner: Any = told
    for key in above:
        inner = inner[key]
    inner[last] = value
    return told


def test_a_configuration_becomes_what_the_program_uses() -> None:
    told = configuration.parse(Fields(WHOLE, "it"))
    assert told.agent_address == ("127.0.0.1", 7300) and told.gauges == ["connections", "", "cpu"]
    assert told.settings.seed == 0x8C1F30D27A5BE964 and told.settings.meaning is Meaning.CREDIT
    assert told.settings.groups[0].slo == 1000.0


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("listen", "localhost:80", "must be an IPv4 address with a port, found 'localhost:80'"),
        ("agent", "127.0.0.1:0", "must have a port from 1 to 65535, found '127.0.0.1:0'"),
        ("seed", "xyz", "must be hexadecimal, found 'xyz'"),
        ("stop_ms", 0, "must be above 0, found 0"),
        ("name", None, "lacks"),
        ("settings/categories", [], "at least one"),
        ("settings/domain/cores", "2", "not an integer"),
        ("settings/categories", [{**GROUP, "aim": 5_000_000}], "at most its category's 'deadline'"),
        ("settings/domain/downstream", "next_hop", "lacks the field 'records'"),
        ("settings/categories", [{**GROUP, "effect": "odd"}], "no known value"),
    ],
)
def test_a_senseless_configuration_is_one_plain_line(
    path: str, value: Any, message: str, tmp_path: Path
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(changed(path, value)))
    with pytest.raises(configuration.ConfigurationError, match=message) as caught:
        configuration.read(str(file))
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[" * 100_000, "not JSON"),
        ('{"stop_ms": NaN}', "not JSON"),
        (" " * 4_000_001, "longer than"),
        (json.dumps(changed("stop_ms", 10**400)), "invalid value"),
        (json.dumps(changed("agent", "1.2.3.\u00b2:7")), "IPv4"),
    ],
)
def test_whatever_a_file_holds_reading_it_fails_with_one_line(
    text: str, message: str, tmp_path: Path
) -> None:
    file = tmp_path / "config.json"
    file.write_text(text)
    with pytest.raises(configuration.ConfigurationError, match=message):
        configuration.read(str(file))


def test_what_a_running_process_cannot_take_over_is_named() -> None:
    old = configuration.parse(Fields(WHOLE, "it"))
    new = configuration.parse(Fields(changed("seed", "ab") | {"agent": "127.0.0.1:1", "stop_ms": 5}, "it"))
    assert old.changes_needing_restart(new) == ["seed", "stop_ms"] and not old.changes_needing_restart(
        configuration.parse(Fields(WHOLE, "it"))
    )


def test_lines_that_repeat_are_counted_instead() -> None:
    sparing, kept = RateLimitFilter(), []
    for i in range(200):
        record = {"name": "edge", "line": 7, "message": "bad"}
        if sparing.passes(record, i * 0.1):
            kept.append(record["message"])
    assert len(kept) == 2 * MAX_LINES and f"(and {101 - MAX_LINES} more like it" in kept[MAX_LINES]


def free_address() -> tuple[str, int]:
    """On a loopback address that no outgoing connection takes its port from."""
    with socket.socket() as free:
        free.bind(("127.83.7.1", 0))
        host, port = free.getsockname()
        return host, port


def start(tmp_path: Path, told: Any, *words: str) -> Any:
    file = tmp_path / "config.json"
    file.write_text(told if isinstance(told, str) else json.dumps(told))
    return subprocess.Popen(
        [sys.executable, "-m", "myrtlecrank", *words],
        env={**os.environ, "PROXY_CONFIG": str(file)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("told", ["{", json.dumps(changed("listen", 5))])
def test_a_bad_configuration_ends_the_start(tmp_path: Path, told: str) -> None:
    out, err = (process := start(tmp_path, told, "serve")).communicate(timeout=60)
    assert process.returncode == 2 and not out and err.startswith("myrtlecrank: ") and err.count("\n") == 1


def test_an_address_in_use_ends_the_start(tmp_path: Path) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        told = changed("listen", f"127.0.0.1:{taken.getsockname()[1]}")
        _, err = (process := start(tmp_path, told, "serve")).communicate(timeout=60)
    assert process.returncode == 1 and "cannot listen" in err and err.count("\n") == 1


def surroundings() -> tuple[socket.socket, socket.socket, tuple[str, int], dict[str, Any]]:
    """Listeners in the place of agent and list, a free address, and a configuration that names them."""
    agent, roll = socket.socket(), socket.socket()
    for listener in (agent, roll):
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.settimeout(60)
    address = free_address()
    told = copy.deepcopy(WHOLE) | {"listen": f"{address[0]}:{address[1]}"}
    told["agent"], told["members"] = (f"127.0.0.1:{s.getsockname()[1]}" for s in (agent, roll))
    return agent, roll, address, told


def test_a_whole_exchange_and_a_whole_drain(tmp_path: Path) -> None:
    """One process between stand-ins of its own: start, one answer, notice to leave, exit with 0."""
    agent, roll, address, told = surroundings()
    process = start(tmp_path, told, "serve")
    try:
        link = agent.accept()[0]
        link.settimeout(30)
        assert link.recv(100) == b"subscribe 0\r\n"
        link.sendall(b"greeting LOADED 9000\r\n")
        reports = roll.accept()[0]
        assert b'{"phase":"UP"}' in reports.recv(4096)
        reports.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        caller = socket.create_connection(address)
        caller.sendall(ask_bytes(1, s=str(int(time.time() * 1000)), d="8000"))
        heard = b""
        while b"launch" not in heard:
            heard += link.recv(4096)
        assert b"launch 0000000000000001 group 4\r\nbody\r\n" in heard
        link.sendall(b"outcome 1 0000000000000001 PASS 5 2\r\nok\r\n")
        assert caller.recv(100).endswith(b"ok")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGTERM)
        said = reports.recv(4096)
        while b'{"phase":"OUT"}' not in said:
            reports.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            said = reports.recv(4096)
        reports.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        assert caller.recv(100)[4] == 30
        caller.close()
        out, err = process.communicate(timeout=60)
        assert process.returncode == 0 and not out and "Traceback" not in err and err.count("notice") == 1
    finally:
        process.kill()


def listening() -> Any:
    made = socket.socket()
    made.bind(("127.0.0.1", 0))
    made.listen()
    made.settimeout(30)
    return made


def until(sock: Any, wanted: bytes) -> bytes:
    sock.settimeout(30)
    heard = b""
    while wanted not in heard:
        piece = sock.recv(4096)
        assert piece, heard
        heard += piece
    return heard


def test_a_new_configuration_moves_link_and_reports_and_runs_go_on(tmp_path: Path) -> None:
    """SIGHUP before the greeting, twice under a run, with a broken file between, and while draining."""
    agents, lists = [listening() for _ in range(4)], [listening() for _ in range(4)]
    address = free_address()
    file = tmp_path / "config.json"

    def told(number: int) -> dict[str, Any]:
        places = {"agent": agents[number], "members": lists[number]}
        fixed = copy.deepcopy(WHOLE) | {"listen": f"{address[0]}:{address[1]}", "stop_ms": 20_000}
        return fixed | {k: f"127.0.0.1:{s.getsockname()[1]}" for k, s in places.items()}

    process = start(tmp_path, told(0), "serve")

    def hang_up(text: str) -> None:
        file.write_text(text)
        process.send_signal(signal.SIGHUP)

    try:
        first = agents[0].accept()[0]
        until(first, b"subscribe 0\r\n")
        hang_up(json.dumps(told(1)))
        link = agents[1].accept()[0]
        until(link, b"subscribe 0\r\n")
        assert first.recv(100) == b""
        link.sendall(b"greeting LOADED 9000\r\n")
        until(lists[1].accept()[0], b'{"phase":"UP"}')
        caller = socket.create_connection(address)
        caller.sendall(ask_bytes(1, s=str(int(time.time() * 1000)), d="8000"))
        until(link, b"launch")
        link.sendall(b"aside 7 hello\r\n")
        for text in ("{", json.dumps(told(3) | {"name": "n4"}), ""):
            hang_up(text)
            time.sleep(0.1)
        hang_up(json.dumps(told(2) | {"seed": "ab"}))
        moved = agents[2].accept()[0]
        until(moved, b"subscribe 7\r\n")
        moved.sendall(b"greeting LOADED 9500\r\noutcome 8 0000000000000001 PASS 5 2\r\nok\r\n")
        assert caller.recv(100).endswith(b"ok")
        until(lists[2].accept()[0], b'{"phase":"UP"}')
        process.send_signal(signal.SIGTERM)
        assert caller.recv(100)[4] == 30
        hang_up(json.dumps(told(3)))
        until(agents[3].accept()[0], b"subscribe 8\r\n")
        roll = lists[3].accept()[0]
        until(roll, b'{"phase":"OUT"}')
        roll.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        caller.close()
        _, err = process.communicate(timeout=60)
        assert process.returncode == 0 and "Traceback" not in err
        assert err.count("old configuration goes on") == 3 and "as they were: seed" in err
    finally:
        process.kill()


def outcome(tmp_path: Path, text: str) -> subprocess.CompletedProcess[str]:
    """Of a whole program of its own, started by `text`, that is to end by itself."""
    file = tmp_path / "config.json"
    file.write_text(json.dumps(changed("listen", "{}:{}".format(*free_address())) | {"stop_ms": 300}))
    return subprocess.run(
        [sys.executable, "-c", text],
        env={**os.environ, "PROXY_CONFIG": str(file)},
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_a_signal_that_comes_before_the_start_waits_for_it(tmp_path: Path) -> None:
    text = (
        "import os, signal\nfrom myrtlecrank import configuration\nread = configuration.read\n"
        "def slow(file):\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n    os.kill(os.getpid(), signal.SIGTERM)\n"
        "    return read(file)\n"
        "configuration.read = slow\n"
        "from myrtlecrank.cli import main; main(['serve'])"
    )
    done = outcome(tmp_path, text)
    assert done.returncode == 0 and "notice to leave" in done.stderr


def test_a_signal_that_comes_while_the_program_is_loaded_waits_for_its_start(tmp_path: Path) -> None:
    """It comes at the first import of a library, long before there is a configuration."""
    text = (
        "import os, runpy, signal, sys\n"
        "class Signals:\n"
        "    def find_spec(self, name, *_):\n"
        "        if name == 'click':\n"
        "            os.kill(os.getpid(), signal.SIGHUP)\n"
        "            os.kill(os.getpid(), signal.SIGTERM)\n"
        "sys.meta_path.insert(0, Signals())\n"
        "sys.argv = ['myrtlecrank', 'serve']\n"
        "runpy.run_module('myrtlecrank', run_name='__main__')"
    )
    done = outcome(tmp_path, text)
    assert done.returncode == 0 and "notice to leave" in done.stderr


def test_an_error_in_an_actor_ends_the_process_with_its_trace(tmp_path: Path) -> None:
    text = (
        "import myrtlecrank.core.actor as a\n"
        "def broken(*_): raise RuntimeError('boom')\n"
        "a.Core.turn = broken\n"
        "a.Core.run = lambda core: core.turn([], 0.0)\n"
        "from myrtlecrank.cli import main; main(['serve'])"
    )
    done = outcome(tmp_path, text)
    assert done.returncode == 70 and "RuntimeError: boom" in done.stderr


def test_the_operators_file_is_taken_over_on_sighup_whole_or_not_at_all(tmp_path: Path) -> None:
    config, operators = tmp_path / "config.json", tmp_path / "operators.toml"
    config.write_text(json.dumps(changed("listen", "{}:{}".format(*free_address())) | {"stop_ms": 300}))
    operators.write_text("[repeats]\non = true\n")
    command = [sys.executable, "-m", "myrtlecrank", "serve", str(config), "--operators", str(operators)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    assert process.stderr is not None

    def heard(text: str) -> bool:
        """Reads the log up to a line with the text; False at its end."""
        assert process.stderr is not None
        return any(text in line for line in process.stderr)

    try:
        assert heard("on are repeats")
        for written, line in (
            ("[repeats]\non = false\n[accepting]\non = true\n", "changed are repeats, accepting"),
            ("[repeats]\nstorm_form = 0.3\n", "the old operators' file goes on"),
            ("[repeats]\non = true\nstorm_from = 0.5\n", "changed are repeats, accepting"),
        ):
            operators.write_text(written)
            process.send_signal(signal.SIGHUP)
            assert heard(line)
        process.send_signal(signal.SIGTERM)
        assert heard("leaves with 0 exchanges")
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.stderr.close()
        process.wait()


def test_each_read_gets_what_was_made_for_it_alone_though_the_settings_allow_to_share(tmp_path: Path) -> None:
    """The second on the same subject comes while the first runs, the third right after its end."""
    agent, roll, address, told = surroundings()
    told["settings"]["domain"] |= {"shareFor": 60_000_000}
    process = start(tmp_path, told | {"stop_ms": 300}, "serve")
    try:
        link = agent.accept()[0]
        until(link, b"subscribe 0\r\n")
        link.sendall(b"greeting LOADED 9000\r\n")
        until(roll.accept()[0], b'{"phase":"UP"}')
        caller = socket.create_connection(address)
        caller.settimeout(30)

        def ask(stream: int) -> None:
            body = b"body %d" % stream
            caller.sendall(ask_bytes(stream, body, s=str(int(time.time() * 1000)), d="8000", o="subject"))
            assert until(link, body).count(b"launch %016x group 6" % stream) == 1

        def end(number: int, stream: int) -> None:
            link.sendall(b"outcome %d %016x PASS 5 2\r\nr%d\r\n" % (number, stream, stream))
            assert until(caller, b"r%d" % stream)[5:9] == stream.to_bytes(4, "little")

        ask(1)
        ask(2)
        end(1, 2)
        end(2, 1)
        ask(3)
        end(3, 3)
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.communicate()


def test_a_site_with_a_layer_below_starts_and_its_calls_are_made(tmp_path: Path) -> None:
    """One process: a run comes to its call, the layer moves on SIGHUP, what it brings goes to the run."""
    agent, roll, address, told = surroundings()
    layers = [listening(), listening()]
    told["settings"]["domain"] |= {"downstream": "next_hop", "callsByClass": [True]}
    told["stop_ms"] = 1000
    places = [f"127.0.0.1:{s.getsockname()[1]}" for s in layers]
    process = start(tmp_path, told | {"records": places[0]}, "serve")
    try:
        link = agent.accept()[0]
        until(link, b"subscribe 0\r\n")
        link.sendall(b"greeting LOADED 9000\r\n")
        until(roll.accept()[0], b'{"phase":"UP"}')
        caller = socket.create_connection(address)
        for stream, layer in enumerate(layers, 1):
            ident = b"%016x" % stream
            caller.sendall(ask_bytes(stream, s=str(int(time.time() * 1000)), d="8000"))
            until(link, b"launch " + ident)
            link.sendall(b"request %d %b 12\r\nout\r\noutcome\r\n" % (2 * stream, ident))
            below = layer.accept()[0]
            assert until(below, b"outcome\r\n").startswith(b"OP " + ident)
            below.sendall(ident + b" DONE 3\r\nr\r\n\r\n")
            until(link, b"deliver %b 3\r\nr\r\n\r\n" % ident)
            link.sendall(b"outcome %d %b PASS 5 2\r\nok\r\n" % (2 * stream + 1, ident))
            assert caller.recv(100).endswith(b"ok")
            (tmp_path / "config.json").write_text(json.dumps(told | {"records": places[1]}))
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            while "layer below" not in process.stderr.readline():
                pass
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.communicate()
