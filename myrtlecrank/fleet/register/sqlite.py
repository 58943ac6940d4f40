"""The register in one SQLite file that the processes of one machine share, for installations without voters.

A transaction takes the place of the prepare and accept rounds."""

from __future__ import annotations

import contextlib
import sqlite3

from myrtlecrank.fleet.register.messages import EMPTY_RECORD, Outcome, Record, Result, check_size

CREATE_TABLE = (
    "CREATE TABLE IF NOT EXISTS records (key TEXT PRIMARY KEY, version INTEGER NOT NULL,"
    " value BLOB NOT NULL, writer TEXT NOT NULL) WITHOUT ROWID"
)
UPSERT = (
    "INSERT INTO records VALUES (?, ?, ?, ?) ON CONFLICT (key) DO UPDATE SET version = excluded.version,"
    " value = excluded.value, writer = excluded.writer"
)
SELECT = "SELECT version, value, writer FROM records WHERE key = ?"


class SqliteRegister:
    """A register in the SQLite file at `path`; `instance_id` is new with each start of the process.

    Calls block: a caller on an event loop makes them from a thread. `lock_timeout_ms` bounds the wait for the
    lock of another process. Raises sqlite3.Error if the file cannot be opened."""

    def __init__(self, path: str, instance_id: str, lock_timeout_ms: float = 500.0) -> None:
        self.instance_id = instance_id
        self.call_count = 0
        self.connection = sqlite3.connect(
            path, timeout=lock_timeout_ms / 1000.0, isolation_level=None, check_same_thread=False
        )
        self.connection.execute("PRAGMA journal_mode = DELETE")
        # EXTRA also flushes the folder: a change is durable before its outcome is returned.
        self.connection.execute("PRAGMA synchronous = EXTRA")
        self.connection.execute(CREATE_TABLE)

    def close(self) -> None:
        """Closes the file."""
        self.connection.close()

    def read(self, key: str) -> Outcome:
        """See Register.read."""
        check_size(key)
        try:
            return Outcome(Result.DONE, self._current(key))
        except sqlite3.Error:
            return Outcome(Result.UNAVAILABLE)

    read_unverified = read

    def compare_and_set(self, key: str, expected: Record, value: bytes) -> Outcome:
        """See Register.change."""
        check_size(key, value)
        self.call_count += 1
        record = Record(expected.version + 1, value, f"{self.instance_id}:{self.call_count}")
        committing = False
        try:
            self.connection.execute("BEGIN IMMEDIATE")
            current = self._current(key)
            if current.writer != expected.writer:
                self.connection.execute("ROLLBACK")
                return Outcome(Result.CONFLICT, current)
            self.connection.execute(UPSERT, (key, record.version, record.value, record.writer))
            committing = True
            self.connection.execute("COMMIT")
        except sqlite3.Error:
            with contextlib.suppress(sqlite3.Error):
                self.connection.execute("ROLLBACK")
            # A commit that failed may have reached the file.
            return Outcome(Result.UNKNOWN if committing else Result.UNAVAILABLE)
        return Outcome(Result.DONE, record)

    def _current(self, key: str) -> Record:
        row = self.connection.execute(SELECT, (key,)).fetchone()
        return Record(*row) if row else EMPTY_RECORD
