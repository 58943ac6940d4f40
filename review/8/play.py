"""Case 8: a few bad clients keep the backend from answering what edge nodes sent, in its time."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stage2"))

import stage  # noqa: E402

BAD_CLIENTS = 10
SECONDS = 10.0
INTERVAL_S = 1 / 30  # between two requests of the edge node
WAIT_MS = 700
RUN_S = 0.02
SLACK_MS = 60.0 + 50.0  # answerSlack of the settings, and 50 ms on sockets
ALLOWED = 3 / 1000  # of the requests, on days with trouble
MAX_LAG_S = 0.05  # of this process: above it the stand-ins themselves are late, and nothing can be judged


def play(case: stage.Stage) -> int:
    agent = stage.WorkingAgent(case.record)
    membership = stage.MembershipList()
    listen = stage.free_address()
    values = stage.configuration(
        "b1", listen, stage.address(agent.listener), stage.address(membership.listener)
    )
    values["settings"]["categories"] = [
        {"name": "page", "effect": "read_like", "aim": 600_000, "deadline": 1_500_000, "worth": 1.0}
    ]
    (case.folder / "b1.json").write_text(json.dumps(values))
    (case.folder / "b1.toml").write_text((stage.ROOT / "deploy" / "operators.toml").read_text())
    case.start("b1")
    case.wait("the backend greets its agent", lambda: "the machine is up" in case.log("b1"), 20)
    bad = []
    if stage.TROUBLE:
        case.record.add(f"{BAD_CLIENTS} bad clients begin")
        for number in range(BAD_CLIENTS):
            command = [sys.executable, "-B", str(HERE / "bad_client.py"), listen]
            bad.append(subprocess.Popen([*command, str(9000 + number), f"{SECONDS + 2.0:g}"]))
    try:
        time.sleep(1.0)
        edge = stage.Caller(case.record, "edge node", listen)
        sent, lags = send_requests(edge, agent)
        time.sleep(3.0)
    finally:
        for process in bad:
            process.kill()
            process.wait()
    lost = 0
    for stream, sent_at in sent.items():
        answer = edge.answers.get(stream)
        if answer is None or (answer[0] - sent_at) * 1000 > WAIT_MS + SLACK_MS:
            lost += 1
    delays = sorted((edge.answers[stream][0] - sent[stream]) * 1000 for stream in edge.answers)
    case.record.add(
        f"{len(sent)} requests, {len(edge.answers)} answered; delay {delays[len(delays) // 2]:.0f} ms in the "
        f"middle, {delays[-1]:.0f} ms at the most; without an answer in their time: {lost}"
    )
    lag = sorted(lags)[int(len(lags) * 0.99)]
    case.record.add(f"lag of the stand-ins: {lag * 1000:.0f} ms (99 of 100)")
    if lag > MAX_LAG_S:
        raise stage.CouldNotRun("the machine is too busy for the stand-ins")
    return stage.BROKEN if lost > ALLOWED * len(sent) else stage.HELD


def send_requests(edge: stage.Caller, agent: stage.WorkingAgent) -> tuple[dict[int, float], list[float]]:
    """Sends requests at even intervals. Returns when each was sent, and how late we were."""
    sent: dict[int, float] = {}
    lags: list[float] = []
    began = time.monotonic()
    while (due := began + len(sent) * INTERVAL_S) < began + SECONDS and not edge.ended:
        time.sleep(max(0.0, due - time.monotonic()))
        lags.append(time.monotonic() - due)
        stream = len(sent) + 1
        identifier, body = f"{stream:016x}", b"page %d" % stream
        agent.expect(identifier, "page", body, RUN_S)
        sent[stream] = int(time.time() * 1000) / 1000
        edge.send(stream, stage.request_fields("page", identifier, sent[stream], 1, WAIT_MS), body)
    return sent, lags


stage.main(HERE, play)
