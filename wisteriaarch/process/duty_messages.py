"""Messages of the duties, independent of their encoding."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from ..wire import HttpResponse, OutgoingRequest


@dataclass(frozen=True)
class DutyAuthority:
    """Right to call now; the address compares the ``token`` of two holders."""

    holder: str
    token: int


class DutyResult(Enum):
    """Outcome of a call.

    FENCED: refused for its token. UNAVAILABLE: the address couldn't be reached, or
    refused a scaling order. THROTTLED: too many calls. Only UNKNOWN leaves open whether
    the call is executed, possibly seconds later.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    UNAVAILABLE = "unavailable"
    THROTTLED = "throttled"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class UsageReport:
    """Requests of each customer that began to run in one window."""

    window: int
    counts: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class ScalingOrder:
    """Desired number of servers of one kind of a service in a zone."""

    service: str
    zone: str
    desired: int
    spot: bool = False


class DutyProtocol(Protocol):
    """Encodes the calls of duties and interprets their answers."""

    def usage_request(
        self, report: UsageReport, authority: DutyAuthority
    ) -> OutgoingRequest:
        """Return the request that carries a usage report."""

    def scale_request(
        self, order: ScalingOrder, authority: DutyAuthority
    ) -> OutgoingRequest:
        """Return the request that carries a scaling order."""

    def token(self, req: OutgoingRequest) -> int:
        """Return the fencing token of a request."""

    def read_result(self, head: HttpResponse) -> DutyResult:
        """Return the outcome that an answer states."""
