"""Interface of whoever places calls, for those who send them."""

from dataclasses import dataclass
from typing import Protocol

from ..process.upstreams import Upstream
from .attempt_outcome import AttemptOutcome
from .candidate import Choice
from .routed_call import RoutedCall
from .stage_plan import StagePlan


class Ticket(Protocol):
    """Tells whoever placed an attempt how it ended."""

    async def ended(self, outcome: AttemptOutcome) -> None:
        """Take in the end of the attempt; called once."""


class NoTicket:
    """Ticket of an attempt that was placed by this entry itself."""

    async def ended(self, outcome: AttemptOutcome) -> None:
        """Do nothing: this entry learns from its attempts anyway."""


@dataclass(frozen=True)
class Placement:
    """Plan of a call; ``ticket`` is for the plan's first attempt."""

    plan: StagePlan
    ticket: Ticket


@dataclass(frozen=True)
class RunPlacement:
    """Engine that runs a prompt which another has read."""

    choice: Choice
    ticket: Ticket


class Placer(Protocol):
    """Places calls."""

    async def place(self, call: RoutedCall) -> Placement:
        """Return where a call goes now; raises RequestError, AttemptFailed."""

    async def place_run(self, call: RoutedCall, reader: Upstream) -> RunPlacement:
        """Return where a prompt runs that ``reader`` has read; raises AttemptFailed."""
