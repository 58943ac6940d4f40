"""The agent's link: its codec and what it makes of notices."""

from __future__ import annotations

from typing import Any

import pytest

from myrtlecrank.core.letters import Freeze, Greeted, Launch, RunEnded, Sample, Sampled
from myrtlecrank.farm import lines
from myrtlecrank.farm.link import Link
from myrtlecrank.frames.ring import Ring
from myrtlecrank.port import Gauges, Outcome

RESULT = b"a\r\noutcome 9 ff PASS 1 0\r\n"
SPEECH = (
    b"greeting EMPTY 12.5\r\n"
    b"outcome 1 aa PASS 30.5 %d\r\n%b\r\n" % (len(RESULT), RESULT)
    + b"aside 2 the weather is 5\r\noutcome 3 bb KILLED 7 0\r\n\r\nsampled b1 0.5 3 0.25 12\r\n"
    b"refusal launch cc\r\nhum\r\noutcome 4 cc SOMEHOW 1 0\r\n\r\noutcome 4 dd NOOP 0 0\r\n\r\n"
)


def heard(*pieces: bytes) -> list[Any]:
    told: list[Any] = []
    link = Link(("127.0.0.1", 1), ["cpu", "on_cores", "memory", "connections"], told.append)
    ring = Ring()
    for piece in pieces:
        ring.append(piece)
        for notice in lines.notices(ring):
            link.notice(notice)
    return told


@pytest.mark.parametrize("step", [1, 7, 4096])
def test_notices_are_read_whatever_the_split(step: int) -> None:
    told = heard(*(SPEECH[i : i + step] for i in range(0, len(SPEECH), step)))
    assert told == [
        Greeted(True, 12.5),
        RunEnded("aa", Outcome.OK, 30.5, RESULT),
        RunEnded("bb", Outcome.CANCELLED, 7.0, b""),
        Sampled("b1", Gauges(0.5, 3.0, 0.25, 12.0)),
        RunEnded("cc", Outcome.MOOT, 0.0, b""),
        RunEnded("dd", Outcome.MOOT, 0.0, b""),
    ]


def test_notices_that_come_again_after_a_new_link_count_once() -> None:
    one = b"outcome 1 aa PASS 30 2\r\nok\r\n"
    assert len(heard(one, one)) == 1


@pytest.mark.parametrize(
    "raw", [b"outcome 1 aa PASS 3 x\r\n", b"outcome 1 aa PASS 3 2\r\nabc\r\n", b"a" * 70_000]
)
def test_what_are_no_lines_ends_the_link(raw: bytes) -> None:
    with pytest.raises(lines.Broken):
        heard(raw)


def test_commands() -> None:
    assert lines.command(Launch("aa", "group", b"x\r\n")) == b"launch aa group 3\r\nx\r\n\r\n"
    assert lines.command(Freeze("aa")) + lines.command(Sample("b1")) == b"freeze aa\r\nsample b1\r\n"
    assert lines.subscribe(7) == b"subscribe 7\r\n"
