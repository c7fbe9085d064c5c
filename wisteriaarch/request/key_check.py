"""Admission of calls by the API keys of the customers in force.

Load: every request of a deployment whose configuration has customers, and the calls
that wait while keys are removed. The newest configuration known here decides. With
``strict_revoke``, an entry that may have missed the removal of a key for ``revoke_ms``
admits no key.
"""

from collections.abc import Callable
from enum import StrEnum

from ..errors import ErrorKind, Ran, RequestError
from ..process.clock import now_s
from ..process.gateway_settings import MS_PER_S, GatewaySettings
from ..process.metrics import Count, Metrics
from ..version.route_table import RouteTable
from .routed_call import RoutedCall


class KeyRefusal(StrEnum):
    """Why a call is refused for its API key."""

    MISSING = "missing"
    UNKNOWN = "unknown"
    REMOVED = "removed"
    UNCONFIRMED = "unconfirmed"


DETAILS = {
    KeyRefusal.MISSING: "the request has no API key",
    KeyRefusal.UNKNOWN: "the API key is unknown",
    KeyRefusal.REMOVED: "the API key was removed while the call waited",
    KeyRefusal.UNCONFIRMED: "this entry can't confirm that the API key is valid",
}


class KeyCheck:
    """Checks the keys of one entry's calls.

    ``routes`` returns the configuration in force and ``confirmed_at_s`` when the store
    last confirmed it, None for never.
    """

    def __init__(
        self,
        settings: Callable[[], GatewaySettings],
        routes: Callable[[], RouteTable | None],
        confirmed_at_s: Callable[[], float | None],
        metrics: Metrics,
    ):
        self._settings = settings
        self._routes = routes
        self._confirmed_at_s = confirmed_at_s
        self._metrics = metrics

    def admit(self, call: RoutedCall, table: RouteTable) -> None:
        """Set the customer of a call; raises RequestError if it may not be served."""
        if table.customers is None:
            return
        if not call.route.public:
            self._check_key(call, table)
        _set_customer(call, table)

    def _check_key(self, call: RoutedCall, table: RouteTable) -> None:
        if call.key_digest is None:
            raise self._refusal(KeyRefusal.MISSING)
        if self._may_have_missed_removals():
            raise self._refusal(KeyRefusal.UNCONFIRMED)
        if table.customers.find(call.key_digest) is None:
            raise self._refusal(KeyRefusal.UNKNOWN)

    def _may_have_missed_removals(self) -> bool:
        settings = self._settings()
        if not settings.strict_revoke:
            return False
        confirmed_at_s = self._confirmed_at_s()
        return (
            confirmed_at_s is None
            or now_s() - confirmed_at_s > settings.revoke_ms / MS_PER_S
        )

    def is_key_removed(self, call: RoutedCall) -> bool:
        """Whether the key of an admitted call that can't have run was removed."""
        if call.key_digest is None or call.route.public or call.ran is not Ran.NO:
            return False
        table = self._routes()
        if table is None or table.customers is None:
            return False
        return table.customers.find(call.key_digest) is None

    def check_again(self, call: RoutedCall) -> None:
        """Apply the newest configuration to a call that waits or is tried again.

        Raises RequestError if its key was removed and no attempt may have run.
        """
        if self.is_key_removed(call):
            raise self._refusal(KeyRefusal.REMOVED)
        table = self._routes()
        if call.key_digest is not None and call.ran is Ran.NO and table is not None:
            _set_customer(call, table)

    def _refusal(self, reason: KeyRefusal) -> RequestError:
        self._metrics.count(Count.KEYS_REFUSED, reason.value)
        is_unconfirmed = reason is KeyRefusal.UNCONFIRMED
        return RequestError(
            ErrorKind.STALE_CONFIGURATION if is_unconfirmed else ErrorKind.UNKNOWN_KEY,
            DETAILS[reason],
        )


def _set_customer(call: RoutedCall, table: RouteTable) -> None:
    if table.customers is None or call.key_digest is None:
        return
    customer = table.customers.find(call.key_digest)
    call.customer = "" if customer is None else customer.name
    call.priority = call.route.priority
    if customer is not None and customer.priority is not None:
        call.priority = customer.priority
