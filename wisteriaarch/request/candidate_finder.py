"""Upstreams that may take a call now, with what is known of their load."""

from collections.abc import Callable

import curio

from ..process.cache_belief import PART_MIN_TOKENS, Holding
from ..process.clock import now_s
from ..process.fleet_knowledge import FleetKnowledge
from ..process.upstreams import Stage, Upstream
from ..version.route_table import EngineSpec, RouteTable
from .candidate import Candidate, can_run, guess_holders, relative_paces
from .routed_call import RoutedCall

SETTLING_WAIT_S = 0.6
SETTLING_POLL_S = 0.05


class CandidateFinder:
    """Puts together registrations, loads and beliefs about caches."""

    def __init__(
        self, knowledge: FleetKnowledge, routes: Callable[[], RouteTable | None]
    ):
        self._registry = knowledge.registry
        self._routes = routes
        self._loads = knowledge.loads
        self._cache = knowledge.cache
        self._stage_changes = knowledge.changes

    def engine_of(self, service: str) -> EngineSpec | None:
        """Return what the engines of a service have in common; None without any."""
        table = self._routes()
        spec = table.services.get(service) if table else None
        return spec.engine if spec else None

    async def find(self, call: RoutedCall) -> list[Candidate]:
        """Return the candidates; waits a little where registrations are returning.

        Load pattern: all entries start again, or the store is back, and callers are
        there before the upstreams' registrations.
        """
        waited_s = 0.0
        while True:
            candidates = self.now(call)
            if any(can_run(item) for item in candidates):
                return candidates
            if waited_s >= SETTLING_WAIT_S or not self._registry.is_settling():
                return candidates
            await curio.sleep(SETTLING_POLL_S)
            waited_s += SETTLING_POLL_S

    def now(self, call: RoutedCall) -> list[Candidate]:
        """Return the candidates as of now, untried ones where any of these can run it.

        Load pattern: at a peak few engines run prompts, and a call was on all of them.
        """
        usable = self._registry.usable(call.service)
        fresh = [item for item in usable if item.upstream_id not in call.tried]
        if all(item.stage is Stage.PREFILL for item in fresh):
            fresh = usable
        candidates = [self._candidate(item, call) for item in fresh]
        if self._cache.is_young() and _shares_much(call):
            candidates = guess_holders(candidates, call.prompt)
        return relative_paces(candidates)

    def _candidate(self, upstream: Upstream, call: RoutedCall) -> Candidate:
        name = upstream.upstream_id
        load = self._loads.of(name)
        now = now_s()
        is_changing = self._stage_changes.target(upstream) is not None
        return Candidate(
            upstream,
            requests=self._loads.requests(name),
            prompt_tokens=self._loads.prompt_tokens(name),
            pace=load.pace.at(now),
            failure_share=load.health.failure_share(now),
            suspended=is_changing or load.health.is_suspended(now),
            full=load.health.is_full(now),
            holding=self._holding(upstream, call),
        )

    def _holding(self, upstream: Upstream, call: RoutedCall) -> Holding:
        engine = self.engine_of(call.service)
        if call.prompt is None or engine is None:
            return Holding.NONE
        return self._cache.holding(
            upstream.upstream_id, call.prompt.first_part, engine.cache_tokens
        )


def _shares_much(call: RoutedCall) -> bool:
    return call.prompt is not None and call.prompt.shared_tokens >= PART_MIN_TOKENS
