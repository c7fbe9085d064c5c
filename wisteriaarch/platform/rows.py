"""Decoding of the platform's store rows into the types of the core."""

from typing import Any

from ..errors import ConfigError
from ..process.rows import StoredRow
from ..process.upstreams import Stage, Upstream
from ..version.route_table import (
    CallKind,
    EngineSpec,
    Route,
    RoutedService,
    RouteTable,
    WeightedService,
)
from ..wire import INVALID_CONTENT_ERRORS, Address, is_ipv4, load_json
from .autoscaling import decode_scaling
from .customers import decode_customers
from .names import MS_PER_S

CONFIG_KEY = "config"
# Beyond these a number is no property of a server.
SLOTS_MAX = 1_000_000
COLD_START_MAX_MS = 24 * 3600 * MS_PER_S
STARTED_AT_MAX_MS = 1 << 53
SOFTWARE_MAX_BYTES = 200
IS_DRAINING_BY_STATE = {"ready": False, "draining": True}


def decode_configuration(row: StoredRow) -> RouteTable:
    """Decode a configuration row into routes; raises ConfigError."""
    try:
        content = load_json(row.value)
        services = (_service(item) for item in content["services"])
        return RouteTable(
            version=int(content["version"]),
            routes=tuple(_route(item) for item in content["routes"]),
            services={item.name: item for item in services},
            customers=decode_customers(content),
        )
    except INVALID_CONTENT_ERRORS as exc:
        raise ConfigError(f"configuration row {row.version}: {exc!r}") from exc


def _route(item: dict[str, Any]) -> Route:
    splits = item.get("traffic-split") or [{"service": item["service"], "weight": 1}]
    gap_ms = item.get("gap-slo-ms")
    return Route(
        name=item["name"],
        host=item["host"],
        prefix=item["prefix"],
        kind=CallKind(item["kind"]),
        services=tuple(
            WeightedService(split["service"], float(split["weight"]))
            for split in splits
            if split["weight"] > 0
        ),
        timeout_s=item["timeout-ms"] / MS_PER_S,
        objective_s=item["slo-ms"] / MS_PER_S,
        priority=item.get("priority", 0),
        attempts_max=item.get("max-attempts", 1),
        resumable=bool(item.get("resumable", False)),
        pause_s=None if gap_ms is None else gap_ms / MS_PER_S,
        public=item.get("public") is True,
    )


def _service(item: dict[str, Any]) -> RoutedService:
    engine = item.get("engine")
    spec = None
    if engine:
        spec = EngineSpec(engine["slots"], engine["kv-capacity-tokens"])
    scaling, error = None, ""
    try:
        scaling = decode_scaling(item.get("autoscaling"))
    except ConfigError as exc:
        error = str(exc)
    return RoutedService(item["name"], item.get("max-conns", 0), spec, scaling, error)


def decode_upstream(row: StoredRow) -> Upstream:
    """Decode the row of a registered upstream; raises ConfigError."""
    try:
        content = load_json(row.value)
        stage = content.get("stage")
        return Upstream(
            upstream_id=row.key,
            service=_text(content, "service"),
            address=_address(_text(content, "address")),
            zone=_text(content, "zone"),
            slots=_non_negative_int(content, "slots", SLOTS_MAX),
            is_draining=IS_DRAINING_BY_STATE[_text(content, "state")],
            stage=None if stage is None else Stage(stage),
            cold_start_left_s=_cold_start_left_ms(content) / MS_PER_S,
            started_at_ms=_non_negative_int(content, "born", STARTED_AT_MAX_MS)
            if "born" in content
            else 0,
            software=_software(content),
            is_spot=_bool(content, "spot"),
            leaves_ms=_leaves_ms(content),
        )
    except INVALID_CONTENT_ERRORS as exc:
        raise ConfigError(f"server row {row.key!r}: {exc!r}") from exc


def _text(content: dict[str, Any], name: str) -> str:
    value = content[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f"{name} is not a non-empty string")
    return value


def _software(content: dict[str, Any]) -> str:
    """Return the version of a server's software; empty if it states none."""
    value = content.get("version", "")
    if not isinstance(value, str):
        raise TypeError("version is not a string")
    if len(value.encode()) > SOFTWARE_MAX_BYTES:
        raise ValueError("version is too long")
    return value


def _bool(content: dict[str, Any], name: str) -> bool:
    value = content.get(name, False)
    if not isinstance(value, bool):
        raise TypeError(f"{name} is neither true nor false")
    return value


def _leaves_ms(content: dict[str, Any]) -> float | None:
    value = content.get("leaves_ms")
    if value is None:
        return None
    if type(value) not in (int, float) or not 0 <= value <= STARTED_AT_MAX_MS:
        raise TypeError("leaves_ms is not a number of milliseconds")
    return float(value)


def _non_negative_int(content: dict[str, Any], name: str, maximum: int) -> int:
    value = content[name]
    if type(value) is not int or not 0 <= value <= maximum:
        raise TypeError(f"{name} is not an integer from 0 to {maximum}")
    return value


def _cold_start_left_ms(content: dict[str, Any]) -> float:
    value = content.get("cold-left-ms", 0)
    if type(value) not in (int, float) or not abs(value) <= COLD_START_MAX_MS:
        raise TypeError("cold-left-ms is not a number of milliseconds")
    return max(0.0, float(value))


def _address(text: str) -> Address:
    address = Address.parse(text)
    if not is_ipv4(address.host) or address.port == 0:
        raise ValueError(f"{text!r} is not an IPv4 address with a port")
    return address
