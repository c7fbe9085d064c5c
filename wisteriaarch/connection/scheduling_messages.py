"""Messages between an entry and the scheduler of a service, which is an entry too."""

from dataclasses import dataclass

from ..errors import RequestError
from ..process.manifest_copy import ManifestCopy
from ..process.usage_counts import UsageUpdate
from ..request.attempt_outcome import AttemptOutcome
from ..request.candidate import Choice
from ..request.routed_call import RoutedCall


@dataclass(frozen=True)
class PlaceQuery:
    """Query for the placement of a call.

    ``prefill_engine_id`` is the engine that has prefilled the prompt; empty before
    that. ``number`` identifies the query on its connection.
    """

    number: int
    call: RoutedCall
    prefill_engine_id: str = ""


@dataclass(frozen=True)
class PlacedChoice:
    """Choice of an upstream, as sent to another entry.

    The receiver resolves ``upstream_id`` in its own registry. ``fetch_from_id`` is the
    upstream to copy the shared prefix from; empty for none. ``requests`` and
    ``prompt_tokens`` are the upstream's load. ``cache_state`` is the value of a
    ``CacheState``; ``cached_prefix_tokens`` counts the cached tokens of a prefix that
    is only partially cached.
    """

    upstream_id: str
    cost_s: float
    prefill_tokens: int
    fetch_from_id: str
    requests: int
    prompt_tokens: int
    slowdown: float
    cache_state: int
    cached_prefix_tokens: int = 0

    @classmethod
    def from_choice(cls, choice: Choice) -> "PlacedChoice":
        """Return the message form of a choice."""
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
    """Placement of a call.

    ``prefill`` is the choice for disaggregated prefill, ``decode`` the one for running
    the call; None if not part of this placement. ``prioritized`` marks a prompt that
    takes precedence over other long ones. ``retries_left`` is the number of retries
    left to the service, ``prefill_rate`` an engine's prefill rate in tokens/s.
    """

    number: int
    prefill: PlacedChoice | None
    decode: PlacedChoice | None
    prioritized: bool
    retries_left: int
    prefill_rate: float


@dataclass(frozen=True)
class WaitingNotice:
    """The call is queued; its placement follows later."""

    number: int


@dataclass(frozen=True)
class RefusedAnswer:
    """The call isn't placed; without an ``error``, no upstream is available now."""

    number: int
    detail: str
    error: RequestError | None = None


@dataclass(frozen=True)
class OutcomeReport:
    """Report on the attempt that was placed by the answer of the same number.

    One that isn't final only carries the signals of the upstream's answer; the attempt
    goes on. An entry of an earlier version takes it for the attempt's end.
    """

    number: int
    outcome: AttemptOutcome
    is_final: bool = True


@dataclass(frozen=True)
class WithdrawnNotice:
    """The sender no longer waits for a placement: its caller left, or it timed out."""

    number: int


@dataclass(frozen=True)
class CopyQuery:
    """Query for the store's rows that are in force at the receiver."""


@dataclass(frozen=True)
class CopyAnswer:
    """Store rows in force at the answering entry; None if it has none."""

    copy: ManifestCopy | None


@dataclass(frozen=True)
class UsageAnswer:
    """The counts were applied; ``holder`` is the entry that reports, if known."""

    holder: str


Message = (
    PlaceQuery
    | PlacedAnswer
    | WaitingNotice
    | RefusedAnswer
    | OutcomeReport
    | WithdrawnNotice
    | CopyQuery
    | CopyAnswer
    | UsageUpdate
    | UsageAnswer
)
