"""Stage changes of one service's engines, ordered by the holder of its lease.

The entry that schedules the service decides on changes, since it tracks the load. It
competes for the lease only when a change is needed, so that nothing is written to the
store under balanced load. The lease excludes a second entry that also considers itself
the scheduler.
"""

from collections.abc import Callable
from dataclasses import dataclass

import curio

from ..errors import (
    LeaseLost,
    OrderError,
    OrderFenced,
    OrderUnconfirmed,
    PlatformError,
)
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.lease import Lease
from ..process.stage_changes import StageChanges
from .stage_loads import EngineLoad, PrefillDemand
from .stage_orders import StageOrder, StageOrderClient
from .stage_policy import StageChange, StagePolicy
from .staging_log import StagingLog

DECISION_INTERVAL_S = 0.2
# Added delay before an entry competes for the lease, for each rank above 0.
CONTEND_DELAY_PER_RANK_S = 1.0
RENEW_BELOW_SHARE = 0.5
# An unanswered order may still be executed within this time.
UNCONFIRMED_BACKOFF_S = 12.0
REFUSED_BACKOFF_S = 2.0
ORDER_ATTEMPTS_MAX = 3
# Age from which an accepted order shows in the engine's report.
REPORT_LAG_S = 0.25


@dataclass(frozen=True)
class StageView:
    """Responsive engines of a service and the demand on them, as seen by this entry.

    ``is_complete`` is false while registrations may be missing.
    """

    engines: tuple[EngineLoad, ...]
    demand: PrefillDemand
    is_complete: bool = True


class StageController:
    """Decides on and orders stage changes of one service; runs at every entry."""

    def __init__(
        self,
        service: str,
        holder: str,
        lease: Lease,
        observe: Callable[[], StageView],
        orders: StageOrderClient,
        changes: StageChanges,
        is_scheduler: Callable[[], bool],
        log: EventLog,
    ):
        self._service = service
        self._holder = holder
        self._lease = lease
        self._observe = observe
        self._orders = orders
        self._changes = changes
        self._is_scheduler = is_scheduler
        self._log = log
        self._policy = StagePolicy()
        self._staging_log = StagingLog(service, log)
        self._change_wanted_since_s: float | None = None
        self._lease_tried_at_s = float("-inf")
        self._ordered_at_s = float("-inf")
        self._backoff_until_s: dict[str, float] = {}

    @property
    def holds_lease(self) -> bool:
        """Whether this entry holds the service's lease now."""
        return self._lease.is_held()

    async def run(self) -> None:
        """Decide and issue orders, forever."""
        while True:
            await curio.sleep(DECISION_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Decide once, if this entry is the scheduler; issue at most one order."""
        if not self._is_scheduler():
            self._change_wanted_since_s = None
            await self._release_when_due()
            return
        view = self._observe()
        engines = tuple(item for item in view.engines if not self._is_in_backoff(item))
        change = self._policy.decide(engines, view.demand, now_s(), view.is_complete)
        self._staging_log.observe(engines, change)
        if change is None:
            self._change_wanted_since_s = None
            await self._keep_or_release()
        elif await self._may_order():
            await self._execute(change)

    async def _keep_or_release(self) -> None:
        """Hold the lease for a term after the last order, then release it.

        The next holder may then issue orders at once. If another entry holds the
        lease, observe whether it is still renewed.
        """
        if not self._lease.is_held():
            await self._lease.observe_on_candidate_change()
            return
        await self._release_when_due()

    async def _release_when_due(self) -> None:
        if not self._lease.is_held():
            return
        if self._order_age_s() >= self._lease.term_s:
            await self._lease.release()
        elif not self._lease.has_remaining(RENEW_BELOW_SHARE):
            await self._lease.acquire_or_renew()

    async def close(self) -> None:
        """Release a held lease a term after the last order."""
        if self._lease.is_held():
            await curio.sleep(max(0.0, self._lease.term_s - self._order_age_s()))
            await self._lease.release()

    def _order_age_s(self) -> float:
        return now_s() - self._ordered_at_s

    def _is_in_backoff(self, engine: EngineLoad) -> bool:
        until_s = self._backoff_until_s.get(engine.upstream.upstream_id, 0.0)
        return now_s() < until_s

    async def _may_order(self) -> bool:
        """Take or renew the lease as needed; True if orders may be issued now."""
        now = now_s()
        if self._change_wanted_since_s is None:
            self._change_wanted_since_s = now
        wanted_for_s = now - self._change_wanted_since_s
        is_due = now - self._lease_tried_at_s >= self._lease.renew_every_s
        if not self._lease.has_remaining(RENEW_BELOW_SHARE) and is_due:
            if wanted_for_s < self._lease.rank * CONTEND_DELAY_PER_RANK_S:
                return False
            self._lease_tried_at_s = now
            await self._lease.acquire_or_renew()
        return self._lease.may_issue_orders()

    async def _execute(self, change: StageChange) -> None:
        upstream = change.upstream
        # Changes of a stage and of a role are logged as the same event.
        self._log_event(Event.ROLE_CHANGE_DECIDED, change)
        try:
            report = await self._orders.report(upstream)
            if report.is_changing or report.stage is change.stage:
                raise OrderError("engine is changing or has already changed")
            self._changes.begin(upstream.upstream_id, change.stage)
            epoch = await self._deliver_order(change, report.last_order)
        except OrderUnconfirmed as exc:
            self._abort(Event.ORDER_UNCONFIRMED, change, UNCONFIRMED_BACKOFF_S, exc)
        except OrderFenced as exc:
            self._abort(Event.ORDER_ABANDONED, change, REFUSED_BACKOFF_S, exc)
            await self._replace_fencing_token()
        except (OrderError, LeaseLost) as exc:
            self._abort(Event.ORDER_ABANDONED, change, REFUSED_BACKOFF_S, exc)
        else:
            self._policy.record_change(change.stage, now_s())
            self._log_event(Event.ORDER_ACCEPTED, change, epoch=epoch)

    async def _replace_fencing_token(self) -> None:
        """Replace a fencing token that an engine has refused as outdated."""
        try:
            epoch = self._lease.require_remaining(0.0).epoch
            await self._lease.raise_epoch(epoch)
        except (LeaseLost, PlatformError) as exc:
            self._lease.discard_term()
            self._log.write(Event.LEASE_LOST, group=self._service, error=str(exc))

    async def _deliver_order(self, change: StageChange, last_order: int) -> int:
        """Deliver an order and return its fencing token.

        An unanswered order is sent again unchanged. The engine executes at most one of
        the copies, since all of them name the same preceding order. Once an attempt is
        unanswered, any later failure raises OrderUnconfirmed too.
        """
        unconfirmed = None
        for _ in range(ORDER_ATTEMPTS_MAX):
            try:
                epoch = self._lease.require_remaining(0.0).epoch
                order = StageOrder(
                    change.upstream, change.stage, self._holder, epoch, last_order
                )
                self._ordered_at_s = now_s()
                await self._orders.deliver(order, self._lease)
                return epoch
            except OrderUnconfirmed as exc:
                unconfirmed = exc
                if await self._was_accepted(change):
                    return epoch
            except (OrderError, LeaseLost) as exc:
                if unconfirmed is None:
                    raise
                raise unconfirmed from exc
        raise unconfirmed

    async def _was_accepted(self, change: StageChange) -> bool:
        """Whether the engine reports that it is executing an unanswered order."""
        await curio.sleep(REPORT_LAG_S)
        try:
            report = await self._orders.report(change.upstream)
        except OrderError as exc:
            self._log_event(Event.ENGINE_UNREACHABLE, change, error=str(exc))
            return False
        return report.is_changing or report.stage is change.stage

    def _abort(
        self, event: Event, change: StageChange, backoff_s: float, exc: Exception
    ) -> None:
        """Cancel a change and log why; its engine stays in use and gets no orders.

        It may get orders again after ``backoff_s``.
        """
        name = change.upstream.upstream_id
        self._changes.cancel(name)
        self._backoff_until_s[name] = now_s() + backoff_s
        self._log_event(event, change, error=str(exc))

    def _log_event(self, event: Event, change: StageChange, **fields) -> None:
        self._log.write(
            event,
            group=self._service,
            upstream=change.upstream.upstream_id,
            role=change.stage.value,
            busy_share=change.target_utilization,
            spare_share=change.source_utilization,
            **fields,
        )
