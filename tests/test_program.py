"""The program as a whole: configuration, start, log, drain and exit codes. Most tests start a process."""

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
from helpers import exchange_frame

from myrtlecrank import configuration
from myrtlecrank.log import MAX_LINES, RateLimitFilter
from myrtlecrank.policy.interface import PublishedValueKind
from myrtlecrank.settings import Fields

CATEGORY = {"name": "group", "effect": "read_like", "aim": 1_000_000, "deadline": 4_000_000}
CONFIGURATION = {
    "name": "n3",
    "listen": "127.0.0.1:8080",
    "agent": "127.0.0.1:7300",
    "members": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "stop_ms": 3200,
    "limits": {"sockets": 1024},
    "settings": {
        "categories": [CATEGORY],
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


def configuration_with(path: str, value: Any) -> dict[str, Any]:
    """The usual configuration with another value at `path`, keys separated by slashes."""
    values = copy.deepcopy(CONFIGURATION)
    *parents, last = path.split("/")
    inner: Any = values
    for key in parents:
        inner = inner[key]
    inner[last] = value
    return values


def test_a_valid_configuration_is_parsed() -> None:
    parsed = configuration.parse(Fields(CONFIGURATION, "it"))
    assert parsed.agent_address == ("127.0.0.1", 7300) and parsed.gauges == ["connections", "", "cpu"]
    assert (
        parsed.settings.seed == 0x8C1F30D27A5BE964
        and parsed.settings.published_value_kind is PublishedValueKind.CREDIT
    )
    assert parsed.settings.groups[0].slo == 1000.0


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
        ("settings/categories", [{**CATEGORY, "aim": 5_000_000}], "at most its category's 'deadline'"),
        ("settings/domain/downstream", "next_hop", "lacks the field 'records'"),
        ("settings/categories", [{**CATEGORY, "effect": "odd"}], "no known value"),
    ],
)
def test_an_invalid_value_raises_an_error_of_one_line(
    path: str, value: Any, message: str, tmp_path: Path
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration_with(path, value)))
    with pytest.raises(configuration.ConfigurationError, match=message) as caught:
        configuration.read(str(file))
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[" * 100_000, "not JSON"),
        ('{"stop_ms": NaN}', "not JSON"),
        (" " * 4_000_001, "longer than"),
        (json.dumps(configuration_with("stop_ms", 10**400)), "invalid value"),
        (json.dumps(configuration_with("agent", "1.2.3.\u00b2:7")), "IPv4"),
    ],
)
def test_a_file_of_any_content_raises_a_configuration_error(text: str, message: str, tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    file.write_text(text)
    with pytest.raises(configuration.ConfigurationError, match=message):
        configuration.read(str(file))


def test_keys_that_only_a_restart_applies_are_listed() -> None:
    old = configuration.parse(Fields(CONFIGURATION, "it"))
    changed_values = configuration_with("seed", "ab") | {"agent": "127.0.0.1:1", "stop_ms": 5}
    new = configuration.parse(Fields(changed_values, "it"))
    assert old.changes_needing_restart(new) == ["seed", "stop_ms"]
    unchanged = configuration.parse(Fields(CONFIGURATION, "it"))
    assert not old.changes_needing_restart(unchanged)


def test_lines_over_the_limit_are_counted_in_the_next_window() -> None:
    rate_limit_filter = RateLimitFilter()
    written: list[str] = []
    for i in range(200):
        record: dict[str, Any] = {"name": "edge", "line": 7, "message": "bad"}
        if rate_limit_filter.passes(record, i * 0.1):
            written.append(record["message"])
    assert len(written) == 2 * MAX_LINES
    assert f"(and {101 - MAX_LINES} more like it" in written[MAX_LINES]


def free_address() -> tuple[str, int]:
    """A free port on a loopback address that no outgoing connection takes its local port from."""
    with socket.socket() as free:
        free.bind(("127.83.7.1", 0))
        host, port = free.getsockname()
        return host, port


def start_program(tmp_path: Path, config: Any, *arguments: str) -> Any:
    file = tmp_path / "config.json"
    file.write_text(config if isinstance(config, str) else json.dumps(config))
    return subprocess.Popen(
        [sys.executable, "-m", "myrtlecrank", *arguments],
        env={**os.environ, "PROXY_CONFIG": str(file)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("text", ["{", json.dumps(configuration_with("listen", 5))])
def test_an_invalid_configuration_ends_the_start(tmp_path: Path, text: str) -> None:
    process = start_program(tmp_path, text, "serve")
    out, err = process.communicate(timeout=60)
    assert process.returncode == 2 and not out and err.startswith("myrtlecrank: ") and err.count("\n") == 1


def test_an_address_in_use_ends_the_start(tmp_path: Path) -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        config = configuration_with("listen", f"127.0.0.1:{listener.getsockname()[1]}")
        process = start_program(tmp_path, config, "serve")
        _, err = process.communicate(timeout=60)
    assert process.returncode == 1 and "cannot listen" in err and err.count("\n") == 1


def platform_listeners() -> tuple[socket.socket, socket.socket, tuple[str, int], dict[str, Any]]:
    """Listeners that stand in for the agent and the membership list, a free address to listen on, and a
    configuration with all three."""
    agent, membership_list = socket.socket(), socket.socket()
    for listener in (agent, membership_list):
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.settimeout(60)
    address = free_address()
    config = copy.deepcopy(CONFIGURATION) | {"listen": f"{address[0]}:{address[1]}"}
    config["agent"] = f"127.0.0.1:{agent.getsockname()[1]}"
    config["members"] = f"127.0.0.1:{membership_list.getsockname()[1]}"
    return agent, membership_list, address, config


def test_an_exchange_is_answered_and_the_backend_drains(tmp_path: Path) -> None:
    """Start, one answer, SIGTERM (twice) and exit with 0, with stand-ins for the agent and the list."""
    agent, membership_list, address, config = platform_listeners()
    process = start_program(tmp_path, config, "serve")
    try:
        agent_connection = agent.accept()[0]
        agent_connection.settimeout(30)
        assert agent_connection.recv(100) == b"subscribe 0\r\n"
        agent_connection.sendall(b"greeting LOADED 9000\r\n")
        reports = membership_list.accept()[0]
        assert b'{"phase":"UP"}' in reports.recv(4096)
        reports.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        caller = socket.create_connection(address)
        caller.sendall(exchange_frame(1, s=str(int(time.time() * 1000)), d="8000"))
        commands = b""
        while b"launch" not in commands:
            commands += agent_connection.recv(4096)
        assert b"launch 0000000000000001 group 4\r\nbody\r\n" in commands
        agent_connection.sendall(b"outcome 1 0000000000000001 PASS 5 2\r\nok\r\n")
        assert caller.recv(100).endswith(b"ok")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGTERM)
        report = reports.recv(4096)
        while b'{"phase":"OUT"}' not in report:
            reports.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            report = reports.recv(4096)
        reports.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        assert caller.recv(100)[4] == 30
        caller.close()
        out, err = process.communicate(timeout=60)
        assert process.returncode == 0 and not out and "Traceback" not in err and err.count("notice") == 1
    finally:
        process.kill()


def listening_socket() -> Any:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.settimeout(30)
    return listener


def receive_until(sock: Any, expected: bytes) -> bytes:
    """Reads until `expected` has come; fails at the end of the stream."""
    sock.settimeout(30)
    received = b""
    while expected not in received:
        piece = sock.recv(4096)
        assert piece, received
        received += piece
    return received


def test_a_reload_changes_the_addresses_of_agent_and_list_and_runs_go_on(tmp_path: Path) -> None:
    """SIGHUP before the agent's greeting, during a run (with invalid files too), and during the drain."""
    agents = [listening_socket() for _ in range(4)]
    lists = [listening_socket() for _ in range(4)]
    address = free_address()
    file = tmp_path / "config.json"

    def config_with_listeners(number: int) -> dict[str, Any]:
        listeners = {"agent": agents[number], "members": lists[number]}
        fixed = copy.deepcopy(CONFIGURATION) | {"listen": f"{address[0]}:{address[1]}", "stop_ms": 20_000}
        return fixed | {key: f"127.0.0.1:{listener.getsockname()[1]}" for key, listener in listeners.items()}

    process = start_program(tmp_path, config_with_listeners(0), "serve")

    def reload_with(text: str) -> None:
        file.write_text(text)
        process.send_signal(signal.SIGHUP)

    try:
        first = agents[0].accept()[0]
        receive_until(first, b"subscribe 0\r\n")
        reload_with(json.dumps(config_with_listeners(1)))
        agent_connection = agents[1].accept()[0]
        receive_until(agent_connection, b"subscribe 0\r\n")
        assert first.recv(100) == b""
        agent_connection.sendall(b"greeting LOADED 9000\r\n")
        receive_until(lists[1].accept()[0], b'{"phase":"UP"}')
        caller = socket.create_connection(address)
        caller.sendall(exchange_frame(1, s=str(int(time.time() * 1000)), d="8000"))
        receive_until(agent_connection, b"launch")
        agent_connection.sendall(b"aside 7 hello\r\n")
        for text in ("{", json.dumps(config_with_listeners(3) | {"name": "n4"}), ""):
            reload_with(text)
            time.sleep(0.1)
        reload_with(json.dumps(config_with_listeners(2) | {"seed": "ab"}))
        moved = agents[2].accept()[0]
        receive_until(moved, b"subscribe 7\r\n")
        moved.sendall(b"greeting LOADED 9500\r\noutcome 8 0000000000000001 PASS 5 2\r\nok\r\n")
        assert caller.recv(100).endswith(b"ok")
        receive_until(lists[2].accept()[0], b'{"phase":"UP"}')
        process.send_signal(signal.SIGTERM)
        assert caller.recv(100)[4] == 30
        reload_with(json.dumps(config_with_listeners(3)))
        receive_until(agents[3].accept()[0], b"subscribe 8\r\n")
        reports = lists[3].accept()[0]
        receive_until(reports, b'{"phase":"OUT"}')
        reports.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        caller.close()
        _, err = process.communicate(timeout=60)
        assert process.returncode == 0 and "Traceback" not in err
        assert err.count("old configuration goes on") == 3 and "as they were: seed" in err
    finally:
        process.kill()


def run_to_end(tmp_path: Path, text: str) -> subprocess.CompletedProcess[str]:
    """Runs `text`, a Python program that starts a backend and is to end by itself."""
    file = tmp_path / "config.json"
    file.write_text(
        json.dumps(configuration_with("listen", "{}:{}".format(*free_address())) | {"stop_ms": 300})
    )
    return subprocess.run(
        [sys.executable, "-c", text],
        env={**os.environ, "PROXY_CONFIG": str(file)},
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_a_signal_that_arrives_before_the_start_stays_pending(tmp_path: Path) -> None:
    text = (
        "import os, signal\nfrom myrtlecrank import configuration\nread = configuration.read\n"
        "def slow(file):\n"
        "    os.kill(os.getpid(), signal.SIGHUP)\n    os.kill(os.getpid(), signal.SIGTERM)\n"
        "    return read(file)\n"
        "configuration.read = slow\n"
        "from myrtlecrank.cli import main; main(['serve'])"
    )
    done = run_to_end(tmp_path, text)
    assert done.returncode == 0 and "notice to leave" in done.stderr


def test_a_signal_that_arrives_while_the_program_is_loaded_stays_pending(tmp_path: Path) -> None:
    """It arrives at the first import of a library, long before the configuration is read."""
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
    done = run_to_end(tmp_path, text)
    assert done.returncode == 0 and "notice to leave" in done.stderr


def test_an_error_in_an_actor_ends_the_process_with_its_traceback(tmp_path: Path) -> None:
    text = (
        "import myrtlecrank.core.actor as a\n"
        "def broken(*_): raise RuntimeError('boom')\n"
        "a.Core.process_batch = broken\n"
        "a.Core.run = lambda core: core.process_batch([], 0.0)\n"
        "from myrtlecrank.cli import main; main(['serve'])"
    )
    done = run_to_end(tmp_path, text)
    assert done.returncode == 70 and "RuntimeError: boom" in done.stderr


def test_the_operators_file_is_applied_on_sighup_whole_or_not_at_all(tmp_path: Path) -> None:
    config, operators = tmp_path / "config.json", tmp_path / "operators.toml"
    config.write_text(
        json.dumps(configuration_with("listen", "{}:{}".format(*free_address())) | {"stop_ms": 300})
    )
    operators.write_text("[repeats]\non = true\n")
    command = [sys.executable, "-m", "myrtlecrank", "serve", str(config), "--operators", str(operators)]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    assert process.stderr is not None

    def logs(text: str) -> bool:
        """Reads the log up to a line with the text; False if it ends before."""
        assert process.stderr is not None
        return any(text in line for line in process.stderr)

    try:
        assert logs("on are repeats")
        for written, line in (
            ("[repeats]\non = false\n[accepting]\non = true\n", "changed are repeats, accepting"),
            ("[repeats]\nstorm_form = 0.3\n", "the old operators' file goes on"),
            ("[repeats]\non = true\nstorm_from = 0.5\n", "changed are repeats, accepting"),
        ):
            operators.write_text(written)
            process.send_signal(signal.SIGHUP)
            assert logs(line)
        process.send_signal(signal.SIGTERM)
        assert logs("leaves with 0 exchanges")
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.stderr.close()
        process.wait()


def test_each_read_gets_its_own_result_though_the_settings_allow_sharing(tmp_path: Path) -> None:
    """The second read on the same subject arrives while the first runs, the third right after it ended."""
    agent, membership_list, address, config = platform_listeners()
    config["settings"]["domain"] |= {"shareFor": 60_000_000}
    process = start_program(tmp_path, config | {"stop_ms": 300}, "serve")
    try:
        agent_connection = agent.accept()[0]
        receive_until(agent_connection, b"subscribe 0\r\n")
        agent_connection.sendall(b"greeting LOADED 9000\r\n")
        receive_until(membership_list.accept()[0], b'{"phase":"UP"}')
        caller = socket.create_connection(address)
        caller.settimeout(30)

        def send_read(stream: int) -> None:
            body = b"body %d" % stream
            caller.sendall(
                exchange_frame(stream, body, s=str(int(time.time() * 1000)), d="8000", o="subject")
            )
            assert receive_until(agent_connection, body).count(b"launch %016x group 6" % stream) == 1

        def end_run(number: int, stream: int) -> None:
            agent_connection.sendall(b"outcome %d %016x PASS 5 2\r\nr%d\r\n" % (number, stream, stream))
            assert receive_until(caller, b"r%d" % stream)[5:9] == stream.to_bytes(4, "little")

        send_read(1)
        send_read(2)
        end_run(1, 2)
        end_run(2, 1)
        send_read(3)
        end_run(3, 3)
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.communicate()


def test_calls_to_a_dependency_are_made_and_its_address_changes_on_reload(tmp_path: Path) -> None:
    """A run requests a call, the dependency answers, and its answer goes to the run; then SIGHUP changes the
    dependency's address and a second run's call goes to the new one."""
    agent, membership_list, address, config = platform_listeners()
    dependencies = [listening_socket(), listening_socket()]
    config["settings"]["domain"] |= {"downstream": "next_hop", "callsByClass": [True]}
    config["stop_ms"] = 1000
    addresses = [f"127.0.0.1:{listener.getsockname()[1]}" for listener in dependencies]
    process = start_program(tmp_path, config | {"records": addresses[0]}, "serve")
    try:
        agent_connection = agent.accept()[0]
        receive_until(agent_connection, b"subscribe 0\r\n")
        agent_connection.sendall(b"greeting LOADED 9000\r\n")
        receive_until(membership_list.accept()[0], b'{"phase":"UP"}')
        caller = socket.create_connection(address)
        for stream, dependency in enumerate(dependencies, 1):
            exchange_id = b"%016x" % stream
            caller.sendall(exchange_frame(stream, s=str(int(time.time() * 1000)), d="8000"))
            receive_until(agent_connection, b"launch " + exchange_id)
            agent_connection.sendall(b"request %d %b 12\r\nout\r\noutcome\r\n" % (2 * stream, exchange_id))
            dependency_connection = dependency.accept()[0]
            assert receive_until(dependency_connection, b"outcome\r\n").startswith(b"OP " + exchange_id)
            dependency_connection.sendall(exchange_id + b" DONE 3\r\nr\r\n\r\n")
            receive_until(agent_connection, b"deliver %b 3\r\nr\r\n\r\n" % exchange_id)
            agent_connection.sendall(b"outcome %d %b PASS 5 2\r\nok\r\n" % (2 * stream + 1, exchange_id))
            assert caller.recv(100).endswith(b"ok")
            (tmp_path / "config.json").write_text(json.dumps(config | {"records": addresses[1]}))
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            while "layer below" not in process.stderr.readline():
                pass
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.communicate()
