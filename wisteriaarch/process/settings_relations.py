"""Required relations between settings, or between settings and a manifest."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class Relation:
    """Requirement that one field is above (or below) a bound in seconds.

    ``expected`` describes how the bound is made up.
    """

    field: str
    value_s: float
    bound_s: float
    expected: str
    must_exceed: bool = True

    @property
    def holds(self) -> bool:
        """Whether the field is on the required side of its bound."""
        if self.must_exceed:
            return self.value_s > self.bound_s
        return self.value_s < self.bound_s

    def describe_expectation(self) -> str:
        """Return the expected range, in words and as a number."""
        side = "more" if self.must_exceed else "less"
        return f"{side} than {self.expected} ({self.bound_s:g} s)"

    def describe(self) -> str:
        """Return the field, its value and the expectation in words."""
        return (
            f"field {self.field!r}: got {self.value_s:g}; "
            f"expected {self.describe_expectation()}"
        )


def describe_unmet(relations: Iterable[Relation]) -> str:
    """Describe the relations that don't hold; empty if all hold."""
    return "; ".join(item.describe() for item in relations if not item.holds)
