"""Decoding of a service's ``autoscaling`` into the core's type."""

from typing import Any

from ..errors import ConfigError
from ..version.scaling_spec import ScalingSpec
from ..wire import INVALID_CONTENT_ERRORS


def decode_scaling(content: object) -> ScalingSpec | None:
    """Decode the scaling of a service; None without one. Raises ConfigError."""
    if content is None:
        return None
    try:
        if not isinstance(content, dict):
            raise TypeError("autoscaling is not an object")
        prices = content["zone-prices"]
        if not isinstance(prices, dict):
            raise TypeError("zone-prices is not an object")
        has_spot = content.get("spot-price") is not None
        return ScalingSpec(
            replicas_min=_int(content, "min-replicas"),
            replicas_max=_int(content, "max-replicas"),
            boot_s=_number(content, "boot-s"),
            zone_prices={zone: _number(prices, zone) for zone in prices},
            spot_price=_number(content, "spot-price") if has_spot else None,
        )
    except INVALID_CONTENT_ERRORS as exc:
        raise ConfigError(f"autoscaling: {exc!r}") from exc


def _int(content: dict[str, Any], name: str) -> int:
    value = content[name]
    if type(value) is not int:
        raise TypeError(f"{name} is not an integer")
    return value


def _number(content: dict[str, Any], name: str) -> float:
    value = content[name]
    if type(value) not in (int, float):
        raise TypeError(f"{name} is not a number")
    return float(value)
