"""Interface between placing calls on upstreams and sending them."""

from dataclasses import dataclass
from typing import Protocol

from ..process.upstream_signals import UpstreamSignals
from ..process.upstreams import Upstream
from .attempt_outcome import AttemptOutcome
from .candidate import Choice
from .routed_call import RoutedCall
from .stage_plan import StagePlan
from .stream_software import StreamSoftware


class Ticket(Protocol):
    """Reports on an attempt to the scheduler that placed it."""

    async def observe_signals(self, signals: UpstreamSignals) -> None:
        """Report what the upstream's answer says of it, before the attempt ends."""

    async def observe_outcome(self, outcome: AttemptOutcome) -> None:
        """Report the outcome of the attempt; called once."""


class NoTicket:
    """Ticket of an attempt that was placed by this entry."""

    async def observe_signals(self, signals: UpstreamSignals) -> None:
        """Do nothing: this entry has already recorded the signals."""

    async def observe_outcome(self, outcome: AttemptOutcome) -> None:
        """Do nothing: this entry records the outcomes of its attempts anyway."""


@dataclass(frozen=True)
class OwnTicket(NoTicket):
    """Ticket of a run that was placed by this entry."""

    call: RoutedCall
    stream_software: StreamSoftware

    async def observe_outcome(self, outcome: AttemptOutcome) -> None:
        """Record where a stream ended or didn't begin."""
        self.stream_software.observe_outcome(self.call, outcome)


@dataclass(frozen=True)
class Placement:
    """Plan of a call; ``ticket`` is for the plan's first attempt."""

    plan: StagePlan
    ticket: Ticket


@dataclass(frozen=True)
class DecodePlacement:
    """Engine that decodes a prompt prefilled on another engine."""

    choice: Choice
    ticket: Ticket


class Placer(Protocol):
    """Places calls."""

    async def place(self, call: RoutedCall) -> Placement:
        """Return the plan of a call; raises RequestError, AttemptFailed."""

    async def place_decode(
        self, call: RoutedCall, prefill_engine: Upstream
    ) -> DecodePlacement:
        """Return the engine to decode on after prefill; raises AttemptFailed.

        ``prefill_engine`` is the engine that has prefilled the prompt.
        """
