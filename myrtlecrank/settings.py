"""Translates the settings that a backend gets at its start into ControllerSettings.

The simulator's adapter and the real backend both use it. The outer names of settings stay in this module.
"""

from __future__ import annotations

from typing import Any

from myrtlecrank.policy import interface

EFFECT_KINDS = {
    "read_like": interface.EffectKind.REPEATABLE,
    "idempotency_key": interface.EffectKind.DEDUPLICATED,
    "non_idempotent": interface.EffectKind.MUTATING,
}
CANCELLATIONS = {
    "silent": interface.Cancellation.NONE,
    "drop": interface.Cancellation.DROP,
    "pause": interface.Cancellation.PAUSE,
}
DEPENDENCIES = {
    "silent": interface.DependencyKind.NONE,
    "common": interface.DependencyKind.SHARED,
    "next_hop": interface.DependencyKind.TIER,
}
PUBLISHED_VALUE_KINDS = {
    "silent": interface.PublishedValueKind.NONE,
    "min_rank": interface.PublishedValueKind.LEVEL,
    "tokens": interface.PublishedValueKind.CREDIT,
    "bias": interface.PublishedValueKind.WEIGHT,
}
# Attributes of interface.Gauges, by the names of the gauges in the settings
GAUGE_ATTRIBUTES = {
    "core_use": "cpu",
    "on_cores": "on_cores",
    "heap_share": "memory",
    "links": "connections",
}
US_PER_MS = 1000.0
DEFAULT_VALUE_LIFETIME_US = 1_000_000.0


class FieldError(Exception):
    """A field is missing or holds a value that is not valid."""


class Fields:
    """Typed access to the fields of one JSON object; an absent key and null read the same.

    `where` names the object in messages. All methods raise FieldError for a field of another type, and for a
    missing one that has no default.
    """

    def __init__(self, values: object, where: str) -> None:
        if not isinstance(values, dict):
            raise FieldError(f"{where} is not an object: {values!r:.60}")
        self.values: dict[str, Any] = values
        self.where = where

    def _get(self, key: str, types: tuple[type, ...], what: str, default: Any) -> Any:
        value = self.values.get(key)
        if value is None:
            if default is None:
                raise FieldError(f"{self.where} lacks the field {key!r}")
            return default
        if not isinstance(value, types) or (isinstance(value, bool) and bool not in types):
            raise FieldError(f"{self.where}: the field {key!r} is not {what}: {value!r:.60}")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        """An integer."""
        return int(self._get(key, (int,), "an integer", default))

    def number(self, key: str, default: float | None = None) -> float:
        """A number, with or without a fraction."""
        return float(self._get(key, (int, float), "a number", default))

    def duration_ms(self, key: str, default_us: float | None = None) -> float:
        """A time, which settings and events give in microseconds, in milliseconds."""
        return self.number(key, default_us) / US_PER_MS

    def flag(self, key: str, default: bool | None = None) -> bool:
        """A boolean."""
        return bool(self._get(key, (bool,), "true or false", default))

    def text(self, key: str, default: str | None = None) -> str:
        """A string."""
        return str(self._get(key, (str,), "a text", default))

    def items(self, key: str, default: list[Any] | None = None) -> list[Any]:
        """A list of values of any type."""
        return list(self._get(key, (list,), "a list", default))

    def inner(self, key: str, default: dict[str, Any] | None = None) -> Fields:
        """The fields of an object inside this one."""
        return Fields(self._get(key, (dict,), "an object", default), f"{self.where}, {key!r}")

    def choice(self, key: str, names: dict[Any, Any], default: Any = None) -> Any:
        """What `names` holds for the field's value."""
        value = self.values.get(key)
        if value is None and default is not None:
            return default
        try:
            return names[value]
        except (KeyError, TypeError):
            known = ", ".join(str(name) for name in names)
            message = f"{self.where}: the field {key!r} has no known value: {value!r:.60}, not one of {known}"
            raise FieldError(message) from None


def _group(fields: Fields, may_call: bool, benefit_without_call: float) -> interface.EndpointGroup:
    return interface.EndpointGroup(
        name=fields.text("name", ""),
        kind=fields.choice("effect", EFFECT_KINDS),
        slo=fields.duration_ms("aim"),
        timeout=fields.duration_ms("deadline"),
        benefit=fields.number("worth", 1.0),
        late_benefit=fields.number("lateWorth", 0.0),
        deduplication_window=fields.duration_ms("dedupWindow", 0.0),
        slo_work_multiple=fields.number("aimStretch", 0.0),
        may_call=may_call,
        benefit_without_call=benefit_without_call,
    )


def controller_settings(settings: Fields, seed: int) -> interface.ControllerSettings:
    """The settings of the controller; raises FieldError."""
    domain = settings.inner("domain")
    guarantees = settings.inner("guarantees")
    bounds = settings.inner("bounds", {})
    categories = settings.items("categories")
    calls = domain.items("callsByClass", [])
    benefits_without_call = domain.items("worthWithout", [])
    groups = [
        _group(
            Fields(category, f"{settings.where}, category {i}"),
            bool(calls[i]) if i < len(calls) else False,
            float(benefits_without_call[i]) if i < len(benefits_without_call) else 0.0,
        )
        for i, category in enumerate(categories)
    ]
    tenants = [
        Fields(tenant, f"{settings.where}, tenant {i}")
        for i, tenant in enumerate(settings.items("tenants", []))
    ]
    return interface.ControllerSettings(
        seed=seed,
        groups=groups,
        cores=domain.integer("cores"),
        memory_kb=domain.number("memoryKb"),
        running_memory_multiple=domain.number("blowup", 1.0),
        key_kb=domain.number("keyKb", 0.0),
        survivable_concurrency_per_core=guarantees.number("fallMultiple"),
        survivable_concurrency_window=guarantees.duration_ms("fall"),
        cold=domain.flag("freshStart", False),
        cold_capacity=guarantees.number("coldFrom", 1.0),
        warm_up_time=guarantees.duration_ms("warmWithin", 0.0),
        drain_grace=guarantees.duration_ms("stopSendingWithin", 0.0),
        answer_slack=guarantees.duration_ms("answerSlack", 0.0),
        clock_granularity=settings.duration_ms("granularity", 0.0),
        backends=settings.integer("replicasOfMe", 1),
        callers=domain.integer("upstreams", 1),
        tenants=[
            interface.Tenant(
                tenant.text("name", ""), tenant.number("share", 0.0), tenant.number("allowancePerS", 0.0)
            )
            for tenant in tenants
        ],
        over_share_benefit=settings.number("overShareWorth", 1.0),
        benefit_by_work=settings.text("worthBy", "request") == "work",
        cancellation=domain.choice("halt", CANCELLATIONS, interface.Cancellation.NONE),
        published_value_kind=domain.choice(
            "signal", PUBLISHED_VALUE_KINDS, interface.PublishedValueKind.NONE
        ),
        published_value_lifetime=domain.duration_ms("heeded", DEFAULT_VALUE_LIFETIME_US),
        max_retry_after=bounds.duration_ms("maxRetryAfter", 0.0) if bounds.flag("retryAfter", False) else 0.0,
        sends_remaining_time=domain.flag("passesDeadline", True),
        marks_retries=settings.inner("clients", {}).flag("marksRetry", False),
        reports_abandonment=domain.flag("hangupSeen", False),
        dependency=domain.choice("downstream", DEPENDENCIES, interface.DependencyKind.NONE),
        call_limit=domain.number("depShare", 0.0),
        call_limit_window=domain.duration_ms("depWindow", 0.0),
        abandoned_call_time=domain.duration_ms("staysFor", 0.0),
        shared_result_lifetime=domain.duration_ms("shareFor", 0.0),
        deep_checks=domain.flag("deepChecks", False),
        idle_timeout=domain.duration_ms("idle", 0.0),
    )


def gauge_attributes(settings: Fields) -> list[str]:
    """The attributes of interface.Gauges for the values of a sample, in order; "" for an unknown one."""
    names = settings.inner("domain").items("gauges", list(GAUGE_ATTRIBUTES))
    return [GAUGE_ATTRIBUTES.get(name, "") for name in names]
