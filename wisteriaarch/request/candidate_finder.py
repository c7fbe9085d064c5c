"""Upstreams that may take a call now, with what is known of their load."""

from collections.abc import Callable

import curio

from ..process.cache_belief import NOTHING_HELD, PART_MIN_TOKENS, PrefixHolding
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
        self._rate_of = knowledge.rate_of
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

    def now(self, call: RoutedCall, without: Stage | None = None) -> list[Candidate]:
        """Return the candidates as of now, untried ones where any of these can run it.

        Those of the stage ``without`` are left out.

        Load pattern: at a peak few engines run prompts, and a call was on all of them.
        """
        now = now_s()
        usable = [
            item
            for item in self._registry.usable(call.service)
            if (without is None or item.stage is not without)
            and not self._loads.of(item.upstream_id).health.must_wait(now)
        ]
        fresh = [item for item in usable if item.upstream_id not in call.tried]
        if all(item.stage is Stage.PREFILL for item in fresh):
            fresh = usable
        holding_of = self._holdings(call)
        rate = self._rate_of(call.service)
        candidates = [self._candidate(item, now, rate, holding_of) for item in fresh]
        if self._cache.is_young() and _shares_much(call):
            candidates = guess_holders(candidates, call.prompt)
        return relative_paces(candidates)

    def _candidate(
        self,
        upstream: Upstream,
        now: float,
        rate: float,
        holding_of: Callable[[str], PrefixHolding],
    ) -> Candidate:
        name = upstream.upstream_id
        load = self._loads.of(name)
        health = load.health
        held = holding_of(name)
        is_changing = self._stage_changes.target(upstream) is not None
        return Candidate(
            upstream,
            requests=load.requests + load.unknown_at(now),
            prompt_tokens=load.tokens_left(now, rate),
            pace=load.pace.at(now),
            failure_share=health.failure_share(now),
            suspended=is_changing or health.is_suspended(now),
            full=health.is_full(now),
            holding=held.whole,
            held_tokens=held.held_tokens,
        )

    def _holdings(self, call: RoutedCall) -> Callable[[str], PrefixHolding]:
        """Return what tells the holding of the call's shared parts by engine."""
        engine = self.engine_of(call.service)
        if engine is None or not _shares_much(call):
            return _holds_nothing
        return self._cache.holdings(call.prompt.shared_parts, engine.cache_tokens)


def _holds_nothing(_upstream_id: str) -> PrefixHolding:
    return NOTHING_HELD


def _shares_much(call: RoutedCall) -> bool:
    return call.prompt is not None and call.prompt.shared_tokens >= PART_MIN_TOKENS
