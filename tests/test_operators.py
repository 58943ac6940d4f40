"""The operators' file: read whole or not at all, with a plain line for each mistake; and what a change of it
does to a running backend."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner
from helpers import CoreHarness, group

from myrtlecrank import subsystems
from myrtlecrank.cli import main
from myrtlecrank.core.messages import RetryOptionsChanged
from myrtlecrank.edge.accept_rate import AcceptRateOptions
from myrtlecrank.operators.file import MAX_FILE_BYTES, OperatorsFileError
from myrtlecrank.policy.interface import Gauges
from myrtlecrank.retries.estimator import StormStatus
from myrtlecrank.retries.options import RetryOptions
from myrtlecrank.retries.storm_log import StormLog

ROOT = Path(__file__).parent.parent


def mistakes_in(tmp_path: Path, text: str | bytes) -> list[str]:
    """The lines of the error that reading this text as the operators' file raises, without the path."""
    file = tmp_path / "operators.toml"
    file.write_bytes(text if isinstance(text, bytes) else text.encode())
    with pytest.raises(OperatorsFileError) as error:
        subsystems.load(str(file))
    return [line.removeprefix(f"{file}: ") for line in str(error.value).splitlines()]


@pytest.mark.parametrize(
    "name",
    [
        "deploy/operators.toml",
        *(f"deploy/examples/{path.name}" for path in (ROOT / "deploy/examples").iterdir()),
    ],
)
def test_the_shipped_files_are_valid(name: str) -> None:
    assert subsystems.load(str(ROOT / name)).repeats is not None


def test_the_shipped_file_has_the_defaults() -> None:
    shipped = subsystems.load(str(ROOT / "deploy/operators.toml"))
    assert shipped.repeats == RetryOptions()
    assert shipped.accepting == AcceptRateOptions()


def test_an_unknown_key_names_the_nearest_known_one(tmp_path: Path) -> None:
    line = "[repeats] storm_form: unknown; is 'storm_from' meant?"
    assert mistakes_in(tmp_path, "[repeats]\nstorm_form = 0.3\n") == [line]


def test_an_unknown_section_names_the_nearest_known_one(tmp_path: Path) -> None:
    assert mistakes_in(tmp_path, "[repeat]\non = true\n") == [
        "[repeat]: unknown section; is 'repeats' meant?"
    ]


@pytest.mark.parametrize(
    ("entry", "line"),
    [
        ("on = 1", "[repeats] on: is 1; allowed: true or false"),
        ("storm_from = 1.5", "[repeats] storm_from: is 1.5; allowed: a number from 0.05 to 0.95"),
        ("storm_from = nan", "[repeats] storm_from: is nan; allowed: a number from 0.05 to 0.95"),
        ('storm_from = "0.3"', "[repeats] storm_from: is '0.3'; allowed: a number from 0.05 to 0.95"),
        ("digests = 100.5", "[repeats] digests: is 100.5; allowed: a whole number from 64 to 65536"),
        ("callers = true", "[repeats] callers: is True; allowed: a whole number from 8 to 4096"),
    ],
)
def test_an_invalid_value_is_reported_with_the_allowed_ones(tmp_path: Path, entry: str, line: str) -> None:
    assert mistakes_in(tmp_path, f"[repeats]\n{entry}\n") == [line]


def test_all_mistakes_are_reported_at_once(tmp_path: Path) -> None:
    assert len(mistakes_in(tmp_path, "[repeats]\nstorm_from = 9\nbegins = 1\n[cels]\non = true\n")) == 3


def test_values_that_contradict_each_other_are_reported(tmp_path: Path) -> None:
    lines = mistakes_in(tmp_path, "[repeats]\nstorm_from = 0.2\nstorm_until = 0.2\n")
    assert len(lines) == 1 and "storm_until" in lines[0] and "not below storm_from" in lines[0]


@pytest.mark.parametrize(
    "text", [b"\xff\xfe", b"on = ", b"[repeats]\non = true\non = false\n", b"x = " + b"[" * 9999]
)
def test_text_that_is_not_toml_is_reported_in_one_line(tmp_path: Path, text: bytes) -> None:
    lines = mistakes_in(tmp_path, text)
    assert len(lines) == 1 and lines[0].startswith("is not TOML")


def test_a_file_too_long_is_not_read(tmp_path: Path) -> None:
    assert "longer than" in mistakes_in(tmp_path, b"#" * (MAX_FILE_BYTES + 1))[0]


def test_windows_line_ends_and_a_byte_order_mark_are_accepted(tmp_path: Path) -> None:
    file = tmp_path / "o.toml"
    file.write_bytes(b"\xef\xbb\xbf[repeats]\r\nend_ms = 100\r\n")
    assert subsystems.load(str(file)).repeats == RetryOptions(end_ms=100.0)


def test_a_section_that_is_off_equals_one_that_is_left_out(tmp_path: Path) -> None:
    off, empty = tmp_path / "off.toml", tmp_path / "empty.toml"
    off.write_text("[repeats]\non = false\n")
    empty.write_text("")
    assert not subsystems.load(str(off)).changed_sections(subsystems.load(str(empty)))
    shipped = subsystems.load(str(ROOT / "deploy/operators.toml"))
    assert subsystems.load(str(off)).changed_sections(shipped) == ["repeats", "accepting"]


def test_a_named_file_that_is_missing_is_an_error_and_having_no_file_is_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    assert subsystems.load() == subsystems.OperatorOptions()
    monkeypatch.setenv("MYRTLECRANK_OPERATORS", str(tmp_path / "gone.toml"))
    with pytest.raises(OperatorsFileError, match="cannot be read"):
        subsystems.load()


def test_check_prints_a_line_for_each_mistake_and_exits_with_2(tmp_path: Path) -> None:
    file = tmp_path / "o.toml"
    file.write_text("[repeats]\nstorm_from = 9\nbegins = 1\n")
    result = CliRunner().invoke(
        main, ["check", str(ROOT / "examples/backend.json"), "--operators", str(file)]
    )
    assert result.exit_code == 2
    assert len(result.output.splitlines()) == 2


def backend_in_retry_storm() -> CoreHarness:
    harness = CoreHarness(group(timeout=2500.0))
    harness.process_batch(0.0, RetryOptionsChanged(RetryOptions(least_arrivals=1, begin_ms=0.0)))
    assert harness.core.retry_estimator is not None
    harness.core.retry_estimator.storm = True
    return harness


def test_options_that_change_in_a_retry_storm_keep_the_estimate() -> None:
    harness = backend_in_retry_storm()
    before = harness.core.retry_estimator
    harness.process_batch(10.0, RetryOptionsChanged(RetryOptions(least_arrivals=1, digests=128)))
    assert harness.core.retry_estimator is before and before is not None and before.storm
    assert before.uncompleted.capacity == 128


def test_turning_the_section_off_ends_a_retry_storm_and_every_exchange_is_answered() -> None:
    harness = backend_in_retry_storm()
    assert harness.core.controller is not None
    harness.core.controller.is_retry_storm = True
    for caller in range(40):
        harness.submit(f"{caller:016x}", 1.0, caller=caller, caller_timeout=2500.0)
    harness.process_batch(10.0, RetryOptionsChanged(None))
    for now in range(100, 4000, 100):
        harness.process_batch(float(now))
        harness.core.controller.sample_due("beat", Gauges(1.0, 6.0, 0.1, 1.0), float(now))
    assert harness.core.retry_estimator is None
    assert not harness.core.controller.is_retry_storm
    assert len(harness.answers) == len({answer.request.exchange_id for answer in harness.answers}) == 40


def test_a_retry_storm_is_logged_when_it_begins_each_minute_and_when_it_ends() -> None:
    report, lines = StormLog(), list[str]()
    for now in range(0, 200_000, 100):
        status = StormStatus(0.5, 10_000 <= now < 150_000, 3)
        lines += report.lines(status, 1.25, float(now))
    assert [line.split(":")[0] for line in lines[:3]] == [
        "a storm of repeats begins",
        "the storm of repeats goes on for 60 s",
        "the storm of repeats goes on for 120 s",
    ]
    assert "over after 140 s" in lines[3] and len(lines) == 4
    assert "50% of arrivals are likely repeats, credit 1.2, 3 callers heed nothing" in lines[0]
