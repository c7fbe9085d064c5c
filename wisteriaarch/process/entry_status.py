"""Status of an entry, as served to operators at ``/v1/status``."""

from typing import Any, Self

from pydantic import BaseModel, ConfigDict, ValidationError

from ..errors import WireError
from .member import Member


class LenientModel(BaseModel):
    """Immutable model that ignores fields added by later versions."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class MemberStatus(LenientModel):
    """State of another entry as seen by this one; an age of None means never."""

    entry: str
    generation: int
    heard_age_s: float | None
    ready: bool
    leaving: bool

    @classmethod
    def from_member(cls, member: Member) -> Self:
        """Return the current status of a member."""
        record = member.to_record()
        return cls(
            entry=record.entry_id,
            generation=record.generation,
            heard_age_s=member.last_seen_age_s(),
            ready=record.ready,
            leaving=record.leaving,
        )


class EntryStatus(LenientModel):
    """State of one entry.

    ``basis`` is why its configuration counts as current, so that it accepts new
    requests: ``table``, ``peer``, ``outage`` or ``none``. ``upstream_requests`` counts
    its requests in flight on each upstream. ``marks`` are the operator's marks and
    ``closures`` the closed models, both by upstream; ``groups`` has the state of the
    controller of each upstream group.
    """

    entry: str
    incarnation: int = 0
    zone: str
    generation: int
    revision: int
    basis: str
    confirmed_age_s: float | None
    freshness_bound_s: float
    ready: bool
    stopping: bool
    in_flight: int
    upstream_requests: dict[str, int] = {}
    marks: dict[str, dict[str, Any]] = {}
    closures: dict[str, tuple[str, ...]] = {}
    groups: dict[str, Any] = {}
    members: tuple[MemberStatus, ...] = ()

    @classmethod
    def parse(cls, body: bytes) -> Self:
        """Parse the response body of ``/v1/status``; raises WireError."""
        try:
            return cls.model_validate_json(body)
        except ValidationError as exc:
            raise WireError(f"not the status of an entry: {exc}") from exc
