"""The configuration that the platform gives a backend at its start: one JSON file."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from typing import Any, NoReturn

from myrtlecrank.edge.limits import DEFAULT_MEMORY_MB
from myrtlecrank.policy.interface import ControllerSettings, DependencyKind
from myrtlecrank.settings import FieldError, Fields, controller_settings, gauge_attributes

PATH_VARIABLE = "PROXY_CONFIG"
MAX_FILE_BYTES = 4_000_000  # a longer file is no configuration, and reading it would fill the memory
RELOADABLE_KEYS = ("agent", "members", "records")  # a running process applies changes of these
IPV4_OCTETS = 4
MAX_OCTET = 255
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


class ConfigurationError(Exception):
    """The configuration is missing or invalid; the text is one plain line."""


@dataclass(slots=True)
class Configuration:
    """One backend's configuration, read and checked. Addresses are IPv4 host and port."""

    name: str
    listen_address: tuple[str, int]
    agent_address: tuple[str, int]
    membership_list_address: tuple[str, int]
    dependency_address: tuple[str, int] | None  # None where the site has no dependency
    stop_ms: float  # from SIGTERM until the platform kills the process
    sockets: int
    memory_mb: float  # that the process may hold
    settings: ControllerSettings
    gauges: list[str]
    raw_values: dict[str, Any]  # the JSON object as it was written

    def changes_needing_restart(self, other: Configuration) -> list[str]:
        """The keys, sorted, whose values differ in `other` and that only a restart applies."""
        keys = (self.raw_values.keys() | other.raw_values.keys()) - set(RELOADABLE_KEYS)
        return sorted(key for key in keys if self.raw_values.get(key) != other.raw_values.get(key))


def _address(fields: Fields, key: str) -> tuple[str, int]:
    text = fields.text(key)
    host, _, port = text.rpartition(":")
    octets = host.split(".")
    if len(octets) != IPV4_OCTETS or not all(
        octet.isdecimal() and octet.isascii() and int(octet) <= MAX_OCTET for octet in octets
    ):
        raise FieldError(f"{fields.where}: {key!r} must be an IPv4 address with a port, found {text!r}")
    is_number = port.isdecimal() and port.isascii() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise FieldError(f"{fields.where}: {key!r} must have a port from 1 to {MAX_PORT}, found {text!r}")
    return host, int(port)


def _seed(fields: Fields) -> int:
    text = fields.text("seed")
    try:
        return int(text, 16)
    except ValueError:
        raise FieldError(f"{fields.where}: 'seed' must be hexadecimal, found {text!r}") from None


def _positive(fields: Fields, key: str) -> float:
    value = fields.number(key)
    if not value > 0:
        raise FieldError(f"{fields.where}: {key!r} must be above 0, found {value:g}")
    return value


def read(path: str | None = None) -> Configuration:
    """Reads the file at `path`, or the one that PROXY_CONFIG names. Raises ConfigurationError."""
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        raise ConfigurationError(f"no configuration: {PATH_VARIABLE} is not set and no file is named")
    try:
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
        if len(text) > MAX_FILE_BYTES:
            raise ConfigurationError(f"{path} is longer than {MAX_FILE_BYTES} bytes")
        values = json.loads(text, parse_constant=_reject_constant)
    except OSError as error:
        raise ConfigurationError(f"{path} cannot be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigurationError(f"{path} is not JSON: {error}") from None
    try:
        return parse(Fields(values, path))
    except FieldError as error:
        raise ConfigurationError(str(error)) from None
    except (ValueError, TypeError, OverflowError) as error:
        raise ConfigurationError(f"{path} has an invalid value: {error}") from None


def _reject_constant(text: str) -> NoReturn:
    """Rejects NaN and the infinities, which Python's JSON reader accepts though JSON has no such numbers."""
    raise ValueError(f"{text} is not a JSON number")


def parse(fields: Fields) -> Configuration:
    """Checks the values of the whole file. Raises FieldError, ValueError, TypeError or OverflowError."""
    settings_fields = fields.inner("settings")
    settings = controller_settings(settings_fields, _seed(fields))
    # Over sockets each answer belongs to the exchange that it was produced for: the protocol cannot mark an
    # answer as shared with another exchange, whatever the settings allow.
    settings.shared_result_lifetime = 0.0
    if not settings.groups or settings.cores < 1 or settings.memory_kb <= 0:
        raise FieldError(
            f"{settings_fields.where}: must have at least one category, one core and a memory limit above 0"
        )
    if any(not 0 < group.slo <= group.timeout for group in settings.groups):
        raise FieldError(
            f"{settings_fields.where}: each 'aim' must be above 0 and at most its category's 'deadline'"
        )
    limits = fields.inner("limits")
    return Configuration(
        name=fields.text("name"),
        listen_address=_address(fields, "listen"),
        agent_address=_address(fields, "agent"),
        membership_list_address=_address(fields, "members"),
        dependency_address=None
        if settings.dependency is DependencyKind.NONE
        else _address(fields, "records"),
        stop_ms=_positive(fields, "stop_ms"),
        sockets=int(_positive(limits, "sockets")),
        memory_mb=_positive(limits, "memory_mb") if "memory_mb" in limits.values else DEFAULT_MEMORY_MB,
        settings=settings,
        gauges=gauge_attributes(settings_fields),
        raw_values=fields.values,
    )
