"""Turns the settings that a backend is given at its start into StartFacts, for the simulator's adapter and
the real backend alike. All their names for things end here."""

from __future__ import annotations

from typing import Any

from myrtlecrank.policy import interface

KINDS = {
    "read_like": interface.Kind.REPEATABLE,
    "idempotency_key": interface.Kind.DEDUPLICATED,
    "non_idempotent": interface.Kind.MUTATING,
}
HALTING = {
    "silent": interface.Cancellation.NONE,
    "drop": interface.Cancellation.DROP,
    "pause": interface.Cancellation.PAUSE,
}
BELOW = {"silent": interface.Below.NONE, "common": interface.Below.SHARED, "next_hop": interface.Below.TIER}
MEANINGS = {
    "silent": interface.PublishedValueKind.NONE,
    "min_rank": interface.PublishedValueKind.LEVEL,
    "tokens": interface.PublishedValueKind.CREDIT,
    "bias": interface.PublishedValueKind.WEIGHT,
}
GAUGES = {"core_use": "cpu", "on_cores": "on_cores", "heap_share": "memory", "links": "connections"}


class FieldError(Exception):
    """A field that is missing or holds something senseless."""


class Fields:
    """Typed look-ups in one JSON object; an absent key and null read the same."""

    def __init__(self, values: object, where: str) -> None:
        if not isinstance(values, dict):
            raise FieldError(f"{where} is not an object")
        self.values: dict[str, Any] = values
        self.where = where

    def _get(self, key: str, types: tuple[type, ...], what: str, default: Any) -> Any:
        value = self.values.get(key)
        if value is None:
            if default is None:
                raise FieldError(f"{self.where} lacks the field {key!r}")
            return default
        if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise FieldError(f"{self.where}: the field {key!r} is not {what}")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        return int(self._get(key, (int,), "an integer", default))

    def number(self, key: str, default: float | None = None) -> float:
        return float(self._get(key, (int, float), "a number", default))

    def ms(self, key: str, default: float | None = None) -> float:
        return self.number(key, default) / 1000.0

    def flag(self, key: str, default: bool | None = None) -> bool:
        return bool(self._get(key, (bool,), "true or false", default))

    def text(self, key: str, default: str | None = None) -> str:
        return str(self._get(key, (str,), "a text", default))

    def items(self, key: str, default: list[Any] | None = None) -> list[Any]:
        return list(self._get(key, (list,), "a list", default))

    def inner(self, key: str, default: dict[str, Any] | None = None) -> Fields:
        return Fields(self._get(key, (dict,), "an object", default), f"{self.where}, {key!r}")

    def choice(self, key: str, names: dict[Any, Any], default: Any = None) -> Any:
        value = self.values.get(key)
        if value is None and default is not None:
            return default
        try:
            return names[value]
        except (KeyError, TypeError):
            raise FieldError(f"{self.where}: the field {key!r} has no known value: {value!r}") from None


def _group(fields: Fields, may_call: bool, benefit_without_call: float) -> interface.EndpointGroup:
    return interface.EndpointGroup(
        name=fields.text("name", ""),
        kind=fields.choice("effect", KINDS),
        slo=fields.ms("aim"),
        timeout=fields.ms("deadline"),
        benefit=fields.number("worth", 1.0),
        late_benefit=fields.number("lateWorth", 0.0),
        deduplication_window=fields.ms("dedupWindow", 0.0),
        slo_work_multiple=fields.number("aimStretch", 0.0),
        may_call=may_call,
        benefit_without_call=benefit_without_call,
    )


def start_facts(conf: Fields, seed: int) -> interface.StartFacts:
    domain = conf.inner("domain")
    rules = conf.inner("guarantees")
    bounds = conf.inner("bounds", {})
    rows = conf.items("categories")
    calls = domain.items("callsByClass", [])
    without = domain.items("worthWithout", [])
    groups = [
        _group(
            Fields(row, f"{conf.where}, category {i}"),
            bool(calls[i]) if i < len(calls) else False,
            float(without[i]) if i < len(without) else 0.0,
        )
        for i, row in enumerate(rows)
    ]
    tenants = [Fields(row, f"{conf.where}, tenant {i}") for i, row in enumerate(conf.items("tenants", []))]
    return interface.StartFacts(
        seed=seed,
        groups=groups,
        cores=domain.integer("cores"),
        memory_kb=domain.number("memoryKb"),
        running_memory_multiple=domain.number("blowup", 1.0),
        key_kb=domain.number("keyKb", 0.0),
        survivable_concurrency_per_core=rules.number("fallMultiple"),
        survivable_concurrency_window=rules.ms("fall"),
        cold=domain.flag("freshStart", False),
        cold_capacity=rules.number("coldFrom", 1.0),
        warm_up_time=rules.ms("warmWithin", 0.0),
        drain_grace=rules.ms("stopSendingWithin", 0.0),
        answer_slack=rules.ms("answerSlack", 0.0),
        clock_granularity=conf.ms("granularity", 0.0),
        backends=conf.integer("replicasOfMe", 1),
        callers=domain.integer("upstreams", 1),
        tenants=[
            interface.Tenant(row.text("name", ""), row.number("share", 0.0), row.number("allowancePerS", 0.0))
            for row in tenants
        ],
        over_share_benefit=conf.number("overShareWorth", 1.0),
        benefit_by_work=conf.text("worthBy", "request") == "work",
        cancellation=domain.choice("halt", HALTING, interface.Cancellation.NONE),
        published_value_kind=domain.choice("signal", MEANINGS, interface.PublishedValueKind.NONE),
        published_value_lifetime=domain.ms("heeded", 1_000_000.0),
        max_retry_after=bounds.ms("maxRetryAfter", 0.0) if bounds.flag("retryAfter", False) else 0.0,
        tells_left=domain.flag("passesDeadline", True),
        marks_retries=conf.inner("clients", {}).flag("marksRetry", False),
        tells_gone=domain.flag("hangupSeen", False),
        below=domain.choice("downstream", BELOW, interface.Below.NONE),
        call_limit=domain.number("depShare", 0.0),
        call_limit_window=domain.ms("depWindow", 0.0),
        abandoned_call_time=domain.ms("staysFor", 0.0),
        share_for=domain.ms("shareFor", 0.0),
        deep_checks=domain.flag("deepChecks", False),
        idle=domain.ms("idle", 0.0),
    )


def gauge_names(conf: Fields) -> list[str]:
    """Which gauge stands at each place of a sample, in the names of interface.Gauges; "" for one unknown."""
    return [GAUGES.get(name, "") for name in conf.inner("domain").items("gauges", list(GAUGES))]
