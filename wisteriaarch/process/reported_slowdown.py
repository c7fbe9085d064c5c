"""Present speed of an upstream as it states it in its answers."""

import math
from dataclasses import dataclass

# Time constant of a statement's weight; statements change many times a second.
LIFETIME_S = 0.15
AVERAGE_WEIGHT = 0.1
RATIO_MIN = 0.1
RATIO_MAX = 10.0


@dataclass
class ReportedSlowdown:
    """Ratio of present to usual time that an upstream states in its answers.

    It changes many times a second. Without a new statement it approaches the average
    of the earlier ones; it is 1 for an upstream that states none.
    """

    latest: float = 1.0
    average: float = 1.0
    stated_at_s: float | None = None

    def record(self, ratio: float, at_s: float) -> None:
        """Record a statement."""
        self.latest = min(RATIO_MAX, max(RATIO_MIN, ratio))
        if self.stated_at_s is None:
            self.average = self.latest
        self.average += AVERAGE_WEIGHT * (self.latest - self.average)
        self.stated_at_s = at_s

    def at(self, at_s: float) -> float:
        """Return the expected ratio at a time."""
        if self.stated_at_s is None:
            return 1.0
        age_s = max(0.0, at_s - self.stated_at_s)
        weight = math.exp(-age_s / LIFETIME_S)
        return self.average + (self.latest - self.average) * weight
