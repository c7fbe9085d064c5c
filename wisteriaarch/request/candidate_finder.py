"""Finds the upstreams that are eligible for a call, with their estimated load."""

import math
from collections.abc import Callable, Iterable

from ..process.clock import now_s
from ..process.fleet_estimates import FleetEstimates
from ..process.prefix_cache_index import (
    BLOCK_MIN_TOKENS,
    NOTHING_CACHED,
    PrefixCacheState,
)
from ..process.registration_wait import wait_for_registrations
from ..process.upstreams import Stage, Upstream
from ..version.route_table import EngineSpec, RouteTable
from .candidate import (
    Candidate,
    assume_owners_have_prefix,
    can_run,
    normalize_slowdowns,
)
from .request_limiter import LimitedRate, RequestLimiter
from .routed_call import RoutedCall

OVERDUE_LIMIT_WAIT_MAX_S = 0.1


class CandidateFinder:
    """Combines registrations, load estimates and the prefix cache index."""

    def __init__(
        self,
        estimates: FleetEstimates,
        routes: Callable[[], RouteTable | None],
        limiter: RequestLimiter,
    ):
        self._registry = estimates.registry
        self._routes = routes
        self._loads = estimates.loads
        self._cache = estimates.prefix_cache
        self._prefill_rate = estimates.prefill_rate
        self._stage_changes = estimates.stage_changes
        self._limiter = limiter

    def engine_spec(self, service: str) -> EngineSpec | None:
        """Return the engine specification of a service; None if it has none."""
        table = self._routes()
        spec = table.services.get(service) if table else None
        return spec.engine if spec else None

    def has_customers(self) -> bool:
        """Whether the configuration in force has customers."""
        table = self._routes()
        return table is not None and table.customers is not None

    async def find(self, call: RoutedCall) -> list[Candidate]:
        """Return the candidates; waits briefly while registrations may be missing."""
        candidates: list[Candidate] = []

        def has_usable() -> bool:
            nonlocal candidates
            candidates = self.current(call)
            return any(can_run(item) for item in candidates)

        await wait_for_registrations(self._registry, has_usable)
        return candidates

    def current(
        self, call: RoutedCall, excluded_stage: Stage | None = None
    ) -> list[Candidate]:
        """Return the current candidates, excluding those of one stage if it is given.

        Upstreams whose request limit allows the call too late are excluded.
        Upstreams that the call has already tried are excluded too, unless no other
        one can run it: at peak load a call may have tried all of a few engines.
        """
        now = now_s()
        usable = [
            item
            for item in self._registry.usable(call.service)
            if (excluded_stage is None or item.stage is not excluded_stage)
            and call.may_run_on(item.software)
            and not self._loads.of(item.upstream_id).health.is_in_backoff(now)
        ]
        limits: dict[str, LimitedRate] = {}
        if self._limiter.is_active:
            limits = self._limiter.limited_rates(
                (item.upstream_id for item in usable), call.service
            )
            usable = _within_limit_wait(usable, limits, limit_wait_max_s(call))
        untried = [
            item for item in usable if item.upstream_id not in call.tried_upstreams
        ]
        if all(item.stage is Stage.PREFILL for item in untried):
            untried = usable
        cache_state_of = self._cache_state_lookup(call)
        rate = self._prefill_rate(call.service)
        pause_s = _stream_pause_s(call)
        candidates = [
            self._candidate(item, now, rate, pause_s, cache_state_of)
            for item in untried
        ]
        if limits:
            _apply_limits(candidates, limits)
        if self._cache.is_warming_up() and _has_large_prefix(call):
            candidates = assume_owners_have_prefix(candidates, call.prompt)
        return normalize_slowdowns(candidates)

    def _candidate(
        self,
        upstream: Upstream,
        now: float,
        rate: float,
        pause_s: float,
        cache_state_of: Callable[[str], PrefixCacheState],
    ) -> Candidate:
        name = upstream.upstream_id
        load = self._loads.of(name)
        health = load.health
        prefix = cache_state_of(name)
        is_changing = self._stage_changes.target(upstream) is not None
        return Candidate(
            upstream,
            requests=load.requests + load.untracked_requests_at(now),
            occupied=load.occupied_at(now),
            prompt_tokens=load.prefill_tokens_left(now, rate),
            slowdown=load.slowdown_at(now),
            usual_slowdown=load.usual_slowdown,
            failure_rate=health.failure_rate(now),
            is_suspended=is_changing or health.is_suspended(now),
            is_overloaded=health.is_overloaded(now),
            cache_state=prefix.state,
            cached_prefix_tokens=prefix.cached_tokens,
            long_streams=load.long_streams,
            pause_share=load.event_interval_s / pause_s,
        )

    def _cache_state_lookup(
        self, call: RoutedCall
    ) -> Callable[[str], PrefixCacheState]:
        """Return a lookup of the shared prefix's cache state by engine id."""
        engine = self.engine_spec(call.service)
        if engine is None or not _has_large_prefix(call):
            return _nothing_cached
        return self._cache.prefix_state_lookup(
            call.prompt.shared_blocks, engine.cache_tokens
        )


def limit_wait_max_s(call: RoutedCall) -> float:
    """Return how long a call may wait for a permit of a limited upstream.

    A call that can still meet its objective may use the time until then. One that can't
    gets an available permit, but doesn't delay those that can.
    """
    objective_left_s = call.arrived_at_s + call.route.objective_s - now_s()
    return min(call.remaining_s(), max(OVERDUE_LIMIT_WAIT_MAX_S, objective_left_s))


def _within_limit_wait(
    upstreams: Iterable[Upstream], limits: dict[str, LimitedRate], wait_max_s: float
) -> list[Upstream]:
    return [
        item
        for item in upstreams
        if item.upstream_id not in limits
        or limits[item.upstream_id].wait_s <= wait_max_s
    ]


def _apply_limits(
    candidates: Iterable[Candidate], limits: dict[str, LimitedRate]
) -> None:
    for item in candidates:
        limit = limits.get(item.upstream.upstream_id)
        if limit is not None:
            item.limit_wait_s, item.limit_per_s = limit.wait_s, limit.per_s


def _stream_pause_s(call: RoutedCall) -> float:
    """Return the longest acceptable pause of a long stream; unlimited for others."""
    if call.prompt is None or not call.prompt.has_long_output:
        return math.inf
    return call.route.pause_s or math.inf


def _nothing_cached(_upstream_id: str) -> PrefixCacheState:
    return NOTHING_CACHED


def _has_large_prefix(call: RoutedCall) -> bool:
    return call.prompt is not None and call.prompt.shared_tokens >= BLOCK_MIN_TOKENS
