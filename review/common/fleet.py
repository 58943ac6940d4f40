"""What the cases with a fleet share: the files of its members, their agent, and the operators' commands."""

from __future__ import annotations

import json
import socket
import subprocess
import time
from pathlib import Path
from typing import Any

from stage import ROOT, Backend, NotRunError, free_address, listen, membership_service


def serve_agent(sock: socket.socket) -> None:
    """The agent of a warm and idle machine."""
    for line in sock.makefile("rb"):
        words = line.decode().split()
        if words[0] == "subscribe":
            sock.sendall(f"greeting LOADED {60000.0 + time.monotonic() * 1000.0:.0f}\r\n".encode())
        elif words[0] == "sample":
            sock.sendall(f"sampled {words[1]} 0.01 0 0.1 1\r\n".encode())


class Fleet:
    """Members that all vote, on one machine, with one operators' file for all of them."""

    def __init__(self, folder: Path, names: tuple[str, ...]) -> None:
        self.folder = folder
        self.addresses = {name: free_address() for name in names}
        self.operators = folder / "operators.toml"
        self.agent = "{}:{}".format(*listen(serve_agent))
        self.members = membership_service()

    def write_operators(
        self, options: dict[str, Any], duties: dict[str, dict[str, Any]], file: str = "operators.toml"
    ) -> Path:
        """Writes the section [fleet]; JSON's numbers, texts and lists are TOML's too."""
        names = list(self.addresses)
        options = {"on": True, "name": "guides", "folder": str(self.folder), "voters": names, **options}
        lines = ["[fleet]", *(f"{key} = {json.dumps(value)}" for key, value in options.items())]
        for name, address in self.addresses.items():
            lines += [f"[fleet.members.{name}]", f'at = "{address}"']
        for name, values in duties.items():
            lines += [f"[fleet.duties.{name}]"]
            lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        path = self.folder / file
        path.write_text("\n".join(lines) + "\n")
        return path

    def backend(self, name: str) -> Backend:
        config = json.loads((ROOT / "examples" / "backend.json").read_text())
        config.update(name=name, listen=free_address(), agent=self.agent, members=self.members)
        return Backend(self.folder, config, self.operators)

    def command(self, *words: str) -> subprocess.CompletedProcess[str]:
        """Runs `myrtlecrank fleet ...` as an operator does."""
        program = [".venv/bin/python", "-m", "myrtlecrank", "fleet", *words]
        return subprocess.run(
            [*program, "--operators", str(self.operators)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
        )

    def found(self) -> None:
        for name in self.addresses:
            if self.command("found", name).returncode:
                raise NotRunError("a voter could not be founded")

    def owners(self, at: str) -> dict[str, str]:
        """The owner of each duty, as this member last read it."""
        rows = json.loads(self.command("owners", "--json", "--at", at).stdout or "[]")
        return {row["duty"]: row["owner"] or "" for row in rows}
