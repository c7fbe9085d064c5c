"""On which software versions streams may run, as the placement of calls asks."""

from typing import Protocol

from .attempt_outcome import AttemptOutcome
from .routed_call import RoutedCall


class StreamSoftware(Protocol):
    """Restricts streams to software versions."""

    async def admit(self, call: RoutedCall) -> None:
        """Set the versions that a call may be placed on; raises RequestError."""

    async def find_placed(self, call: RoutedCall) -> str | None:
        """Return the version of a resumed stream if this entry placed it."""

    def record(self, call: RoutedCall, software: str) -> None:
        """Record that a call was placed on a version."""

    async def wait_until_recorded(self, call: RoutedCall) -> None:
        """Wait until the store has a call's placement; raises RequestError."""

    def observe_outcome(self, call: RoutedCall, outcome: AttemptOutcome) -> None:
        """Observe the outcome of an attempt that this entry placed."""

    def withdraw(self, call: RoutedCall) -> None:
        """Record that a call didn't begin where this entry placed it."""


class AnySoftware:
    """Implements ``StreamSoftware`` for fleets of a single version."""

    async def admit(self, call: RoutedCall) -> None:
        """Allow every version."""

    async def find_placed(self, call: RoutedCall) -> str | None:
        """Return None: the version doesn't matter."""

    def record(self, call: RoutedCall, software: str) -> None:
        """Do nothing."""

    async def wait_until_recorded(self, call: RoutedCall) -> None:
        """Return at once."""

    def observe_outcome(self, call: RoutedCall, outcome: AttemptOutcome) -> None:
        """Do nothing."""

    def withdraw(self, call: RoutedCall) -> None:
        """Do nothing."""
