"""The register's second backing: one SQLite file shared by the processes of one machine, for installations
without voters. A transaction takes the place of the rounds."""

from __future__ import annotations

import contextlib
import sqlite3

from myrtlecrank.fleet.register.messages import NOTHING, Outcome, Record, Result, sized

TABLE = (
    "CREATE TABLE IF NOT EXISTS records (key TEXT PRIMARY KEY, version INTEGER NOT NULL,"
    " value BLOB NOT NULL, writer TEXT NOT NULL) WITHOUT ROWID"
)
PUT = (
    "INSERT INTO records VALUES (?, ?, ?, ?) ON CONFLICT (key) DO UPDATE SET version = excluded.version,"
    " value = excluded.value, writer = excluded.writer"
)


class SqliteRegister:
    """Calls block: a caller on an event loop makes them from a thread of its own. `wait_ms` bounds the wait
    for another process's lock. Raises sqlite3.Error where the file can't be opened at all."""

    def __init__(self, path: str, ident: str, wait_ms: float = 500.0) -> None:
        self.ident, self.calls = ident, 0
        wait_s = wait_ms / 1000.0
        self.base = sqlite3.connect(path, timeout=wait_s, isolation_level=None, check_same_thread=False)
        self.base.execute("PRAGMA journal_mode = DELETE")
        self.base.execute("PRAGMA synchronous = EXTRA")  # the folder is flushed too: durable before told
        self.base.execute(TABLE)

    def close(self) -> None:
        self.base.close()

    def read(self, key: str) -> Outcome:
        sized(key)
        try:
            return Outcome(Result.DONE, self._found(key))
        except sqlite3.Error:
            return Outcome(Result.AWAY)

    glance = read

    def change(self, key: str, over: Record, value: bytes) -> Outcome:
        sized(key, value)
        self.calls += 1
        record = Record(over.version + 1, value, f"{self.ident}:{self.calls}")
        committing = False
        try:
            self.base.execute("BEGIN IMMEDIATE")
            found = self._found(key)
            if found.writer != over.writer:
                self.base.execute("ROLLBACK")
                return Outcome(Result.CONFLICT, found)
            self.base.execute(PUT, (key, record.version, record.value, record.writer))
            committing = True
            self.base.execute("COMMIT")
        except sqlite3.Error:
            with contextlib.suppress(sqlite3.Error):
                self.base.execute("ROLLBACK")
            # A commit that failed may have reached the file.
            return Outcome(Result.UNKNOWN if committing else Result.AWAY)
        return Outcome(Result.DONE, record)

    def _found(self, key: str) -> Record:
        row = self.base.execute("SELECT version, value, writer FROM records WHERE key = ?", (key,)).fetchone()
        return Record(*row) if row else NOTHING
