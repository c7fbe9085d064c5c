"""Admission of calls by the API keys of the customers in force.

Load: every request of a deployment whose configuration has customers.
"""

from enum import StrEnum

from ..errors import ErrorKind, RequestError
from ..process.metrics import Count, Metrics
from ..version.route_table import RouteTable
from .routed_call import RoutedCall


class KeyRefusal(StrEnum):
    """Why a call is refused for its API key."""

    MISSING = "missing"
    UNKNOWN = "unknown"


DETAILS = {
    KeyRefusal.MISSING: "the request has no API key",
    KeyRefusal.UNKNOWN: "the API key is unknown",
}


class KeyCheck:
    """Checks the keys of one entry's calls."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def admit(self, call: RoutedCall, table: RouteTable) -> None:
        """Set the customer of a call; raises RequestError if it may not be served."""
        if table.customers is None:
            return
        customer = None
        if call.key_digest is not None:
            customer = table.customers.find(call.key_digest)
        if customer is not None:
            call.customer = customer.name
            if customer.priority is not None:
                call.priority = customer.priority
        elif not call.route.public:
            is_missing = call.key_digest is None
            raise self._refusal(
                KeyRefusal.MISSING if is_missing else KeyRefusal.UNKNOWN
            )

    def _refusal(self, reason: KeyRefusal) -> RequestError:
        self._metrics.count(Count.KEYS_REFUSED, reason.value)
        return RequestError(ErrorKind.UNKNOWN_KEY, DETAILS[reason])
