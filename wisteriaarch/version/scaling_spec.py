"""Limits and prices within which the number of a service's servers may change."""

from collections.abc import Mapping
from dataclasses import dataclass, field

BOOT_MAX_S = 3600.0
REPLICAS_MAX = 100_000


@dataclass(frozen=True)
class ScalingSpec:
    """Scaling of one service; the limits apply per zone to both kinds of servers.

    A server serves ``boot_s`` after its order. Each second of a regular server costs
    the price of its zone, a spot server ``spot_price`` times that. Without a spot
    price no spot servers are ordered. Raises ValueError if a range is invalid.
    """

    replicas_min: int
    replicas_max: int
    boot_s: float
    zone_prices: Mapping[str, float] = field(hash=False)
    spot_price: float | None = None

    def __post_init__(self):
        if not 0 <= self.replicas_min <= self.replicas_max <= REPLICAS_MAX:
            raise ValueError(
                f"replicas: got {self.replicas_min} to {self.replicas_max}; "
                f"expected a range within 0 to {REPLICAS_MAX}"
            )
        if self.replicas_max == 0:
            raise ValueError("replicas: got a maximum of 0; expected at least 1")
        if not 0 <= self.boot_s <= BOOT_MAX_S:
            raise ValueError(
                f"boot time: got {self.boot_s} s; expected 0 to {BOOT_MAX_S} s"
            )
        if not self.zone_prices:
            raise ValueError("zone prices: got none; expected at least one zone")
        for zone, price in self.zone_prices.items():
            if not zone or not 0 <= price < float("inf"):
                raise ValueError(
                    f"zone prices: got {price} for {zone!r}; expected at least 0"
                )
        if self.spot_price is not None and not 0 <= self.spot_price < float("inf"):
            raise ValueError(f"spot price: got {self.spot_price}; expected at least 0")

    def price(self, zone: str, is_spot: bool) -> float:
        """Return what one second of a server costs."""
        price = self.zone_prices[zone]
        return price * (self.spot_price or 0.0) if is_spot else price
