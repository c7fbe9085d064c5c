"""Encoding of the calls of duties and decoding of their answers."""

import json
from typing import Any

from ..process.duty_messages import (
    DutyAuthority,
    DutyResult,
    ScalingOrder,
    UsageReport,
)
from ..wire import HttpResponse, OutgoingRequest
from . import names

# Any other status doesn't say whether the call was executed.
RESULTS = {
    200: DutyResult.ACCEPTED,
    409: DutyResult.FENCED,
    429: DutyResult.THROTTLED,
}


class PlatformDuties:
    """Implements ``DutyProtocol`` for the platform's cloud address.

    409 to a scaling order means either a token that is too low or no available servers;
    ``DutyClient`` returns UNAVAILABLE for both.
    """

    def usage_request(
        self, report: UsageReport, authority: DutyAuthority
    ) -> OutgoingRequest:
        """Return the request that carries a usage report."""
        content = {"window-id": report.window, "counts": dict(report.counts)}
        return _request(names.USAGE_PATH, content, authority)

    def scale_request(
        self, order: ScalingOrder, authority: DutyAuthority
    ) -> OutgoingRequest:
        """Return the request that carries a scaling order."""
        content = {
            "service": order.service,
            "zone": order.zone,
            "desired": order.desired,
        }
        if order.spot:
            content["spot"] = True
        return _request(names.SCALE_PATH, content, authority)

    def token(self, req: OutgoingRequest) -> int:
        """Return the fencing token of a request."""
        return int(dict(req.headers)[names.FENCING_TOKEN])

    def read_result(self, head: HttpResponse) -> DutyResult:
        """Return the outcome that an answer states."""
        return RESULTS.get(head.status, DutyResult.UNKNOWN)


def _request(
    path: str, content: dict[str, Any], authority: DutyAuthority
) -> OutgoingRequest:
    headers = [
        (names.DUTY_HOLDER, authority.holder),
        (names.FENCING_TOKEN, str(authority.token)),
        ("Content-Type", "application/json"),
    ]
    return OutgoingRequest("POST", path, headers, json.dumps(content).encode())
