"""Logs calls that are placed outside the zone of their entry, with the reason."""

from enum import StrEnum

from ..event_log import EventLog
from ..events import Event
from ..process.fleet_estimates import FleetEstimates
from .candidate import Choice
from .routed_call import RoutedCall
from .zone_cost import ZoneCosts


class LeaveReason(StrEnum):
    """Why a call leaves its zone."""

    NO_UPSTREAM = "no upstream in the zone"
    UNAVAILABLE = "none available in the zone"
    COST = "lower cost"


class ZoneLog:
    """Writes a line for each call that leaves its zone, if that has a price."""

    def __init__(self, costs: ZoneCosts, estimates: FleetEstimates, log: EventLog):
        self._costs = costs
        self._estimates = estimates
        self._log = log

    def write(self, call: RoutedCall, choice: Choice) -> None:
        """Log the placement of a call if it is outside the call's zone."""
        upstream = choice.candidate.upstream
        if self._costs.price is None or upstream.zone == call.zone:
            return
        self._log.write(
            Event.CALL_LEFT_ZONE,
            request=call.call_id,
            service=call.service,
            upstream=upstream.upstream_id,
            zone=call.zone,
            upstream_zone=upstream.zone,
            reason=self._reason(call).value,
            transfer_s=self._costs.transfer_s(call),
            cost_s=choice.cost_s,
        )

    def _reason(self, call: RoutedCall) -> LeaveReason:
        own = [
            item.upstream_id
            for item in self._estimates.registry.usable(call.service)
            if item.zone == call.zone
        ]
        if not own:
            return LeaveReason.NO_UPSTREAM
        loads = self._estimates.loads
        if all(loads.is_suspended(item) or loads.is_in_backoff(item) for item in own):
            return LeaveReason.UNAVAILABLE
        return LeaveReason.COST
