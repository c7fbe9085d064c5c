"""Messages between an entry and the one that schedules a service's calls."""

from dataclasses import dataclass

from ..errors import RequestError
from ..process.manifest_copy import ManifestCopy
from ..request.attempt_outcome import AttemptOutcome
from ..request.candidate import Choice
from ..request.routed_call import RoutedCall


@dataclass(frozen=True)
class PlaceQuestion:
    """Asks where a call goes; with ``reader_id``, where a prompt runs that it read."""

    number: int
    call: RoutedCall
    reader_id: str = ""


@dataclass(frozen=True)
class PlacedChoice:
    """Choice as told to another entry, which knows the upstreams by their ids."""

    upstream_id: str
    cost_s: float
    tokens: int
    fetch_from_id: str
    requests: int
    prompt_tokens: int
    pace: float
    holding: int
    held_tokens: int = 0

    @classmethod
    def from_choice(cls, choice: Choice) -> "PlacedChoice":
        """Return what is told of a choice."""
        candidate, source = choice.candidate, choice.fetch_from
        return cls(
            candidate.upstream.upstream_id,
            choice.cost_s,
            choice.prefill_tokens,
            source.upstream_id if source else "",
            candidate.requests,
            candidate.prompt_tokens,
            candidate.slowdown,
            int(candidate.cache_state),
            candidate.cached_prefix_tokens,
        )


@dataclass(frozen=True)
class PlacedAnswer:
    """Where a call goes; ``rate`` is how many tokens an engine reads in a second."""

    number: int
    reading: PlacedChoice | None
    running: PlacedChoice | None
    favoured: bool
    repeats_left: int
    rate: float


@dataclass(frozen=True)
class WaitingNotice:
    """The call is in the queue: its place follows."""

    number: int


@dataclass(frozen=True)
class RefusedAnswer:
    """The call isn't placed; without an ``error`` no upstream can be named now."""

    number: int
    detail: str
    error: RequestError | None = None


@dataclass(frozen=True)
class OutcomeReport:
    """How the attempt ended that was placed by the answer of the same number."""

    number: int
    outcome: AttemptOutcome


@dataclass(frozen=True)
class WithdrawnNotice:
    """The caller left before the call was placed."""

    number: int


@dataclass(frozen=True)
class CopyQuestion:
    """Asks for the store's rows as the receiver has them in force."""


@dataclass(frozen=True)
class CopyAnswer:
    """Those rows; None where the receiver has none."""

    copy: ManifestCopy | None


Message = (
    PlaceQuestion
    | PlacedAnswer
    | WaitingNotice
    | RefusedAnswer
    | OutcomeReport
    | WithdrawnNotice
    | CopyQuestion
    | CopyAnswer
)
