"""Relations between settings, or settings and a manifest, that must hold."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class Relation:
    """One field that must be above (or below) a bound in seconds.

    ``expected`` says in words what the bound is made of.
    """

    field: str
    value_s: float
    bound_s: float
    expected: str
    above: bool = True

    @property
    def holds(self) -> bool:
        """Whether the field is on the right side of its bound."""
        if self.above:
            return self.value_s > self.bound_s
        return self.value_s < self.bound_s

    def expectation(self) -> str:
        """Return what was expected, in words and as a number."""
        side = "more" if self.above else "less"
        return f"{side} than {self.expected} ({self.bound_s:g} s)"

    def describe(self) -> str:
        """Return field, value and expectation in words."""
        return (
            f"field {self.field!r}: got {self.value_s:g}; expected {self.expectation()}"
        )


def describe_unmet(relations: Iterable[Relation]) -> str:
    """Return the relations that don't hold in words; empty where all do."""
    return "; ".join(item.describe() for item in relations if not item.holds)
