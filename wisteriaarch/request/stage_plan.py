"""Chooses disaggregated or direct prefill, and the engine to copy a prefix from."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ..process.handoff_time import INITIAL_S
from ..process.prefix_cache_index import CacheState
from ..process.upstreams import Stage
from .candidate import (
    Candidate,
    Choice,
    can_run,
    find_copyable_tokens,
    tokens_to_prefill,
)
from .placement import DIRECT_SLOWDOWN, pause_cost_s, place_direct, place_prefill
from .routed_call import Prompt
from .zone_cost import TransferCost

PREFILL_SHARE_OF_PAUSE = 0.65
# Counts against engines of a software version that has no prefill stage.
UNFIT_PAUSE_COST_S = 0.5


@dataclass(frozen=True)
class FleetLoad:
    """Prefill rate of an engine (tokens a second) and utilization of the stages.

    ``queue_wait_s`` is the expected time of a prompt in the queue for the prefill
    stage, ``handoff_s`` the time from its prefill to its first event on another engine.
    """

    prefill_rate: float
    prefill_utilization: float = 0.0
    decode_utilization: float = 0.0
    queue_wait_s: float = 0.0
    handoff_s: float = INITIAL_S


@dataclass(frozen=True)
class StagePlan:
    """Engines chosen for a prompt, with their predicted costs.

    If ``prefill`` is set, prefill is disaggregated; otherwise ``decode`` prefills the
    prompt itself. If no engine can decode, both are None, so that no prefill is wasted.
    """

    prefill: Choice | None
    decode: Choice | None

    @property
    def first(self) -> Choice | None:
        """Engine that the call is sent to first."""
        return self.prefill or self.decode


NO_PLAN = StagePlan(None, None)


@dataclass(frozen=True)
class StageTransfers:
    """Costs of leaving the zone with a prompt; None for the fixed penalty."""

    prefill: TransferCost | None = None
    direct: TransferCost | None = None


NO_TRANSFERS = StageTransfers()


def fleet_prefill_rate(
    candidates: Sequence[Candidate], rate: float, tokens: int
) -> float:
    """Return the combined prefill rate of the prefill stage, in tokens a second.

    ``rate`` is that of one engine. An engine with a request limit prefills no more
    prompts than that allows; ``tokens`` is the size of a prompt.
    """
    prefills = [item for item in candidates if item.upstream.stage is Stage.PREFILL]
    limited_rates = [
        item.limit_per_s * max(1, tokens)
        for item in prefills
        if item.limit_per_s * max(1, tokens) < rate
    ]
    unlimited = len(prefills) - len(limited_rates)
    if not limited_rates:
        return max(1, unlimited) * rate
    return unlimited * rate + sum(limited_rates)


def plan_stages(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    fleet: FleetLoad,
    zone: str,
    pause_s: float | None,
    transfers: StageTransfers = NO_TRANSFERS,
) -> StagePlan:
    """Choose disaggregated or direct prefill, whichever gives the earlier first event.

    The mix may change from short to long prompts within seconds, so the utilization of
    each stage is part of the prediction. ``pause_s`` is the longest acceptable pause in
    the streams of an engine: a direct prefill must fit into it. All engines of a plan
    have the same software version, since others can't read their KV caches.
    """
    by_software: dict[str, list[Candidate]] = {}
    for item in candidates:
        by_software.setdefault(item.upstream.software, []).append(item)
    plans = [
        _plan_version(items, prompt, fleet, zone, pause_s, transfers)
        for items in by_software.values()
    ]
    return min(plans, key=lambda item: item[0], default=(0.0, NO_PLAN))[1]


def _plan_version(
    candidates: Sequence[Candidate],
    prompt: Prompt,
    fleet: FleetLoad,
    zone: str,
    pause_s: float | None,
    transfers: StageTransfers,
) -> tuple[float, StagePlan]:
    """Return the expected cost and the plan for engines of one software version."""
    prefills = [item for item in candidates if item.upstream.stage is Stage.PREFILL]
    decodes = [item for item in candidates if can_run(item)]
    copyable = find_copyable_tokens(candidates, prompt)
    rate = fleet.prefill_rate
    direct = place_direct(decodes, prompt, rate, zone, copyable, transfers.direct)
    disaggregated = place_prefill(
        prefills, prompt, rate, zone, copyable, transfers.prefill
    )
    if direct is None:
        return float("inf"), NO_PLAN
    direct = _with_copy_source(direct, prompt, candidates, copyable)
    direct_prefill_s = DIRECT_SLOWDOWN * direct.prefill_tokens / fleet.prefill_rate
    direct_s = direct.cost_s + mean_queue_wait_s(
        direct_prefill_s, fleet.decode_utilization
    )
    waiting_tokens = direct.candidate.prompt_tokens + direct.prefill_tokens
    fits_pause = _fits_pause(waiting_tokens, fleet.prefill_rate, pause_s)
    if disaggregated is None:
        unfit_cost_s = 0.0 if fits_pause else UNFIT_PAUSE_COST_S
        return direct_s + unfit_cost_s, StagePlan(None, direct)
    disaggregated = _with_copy_source(disaggregated, prompt, candidates, copyable)
    disaggregated_s = disaggregated.cost_s + fleet.handoff_s + fleet.queue_wait_s
    # Its decode engine, which is chosen later, causes pauses as well.
    disaggregated_s += pause_cost_s(direct.candidate)
    disaggregated_s += mean_queue_wait_s(
        disaggregated.prefill_tokens / fleet.prefill_rate, fleet.prefill_utilization
    )
    if direct_s < disaggregated_s and fits_pause:
        return direct_s, StagePlan(None, direct)
    return disaggregated_s, StagePlan(disaggregated, direct)


def mean_queue_wait_s(prefill_s: float, utilization: float) -> float:
    """Return the expected wait for work at an engine of a given utilization.

    This is the mean wait of a single-server queue for work of similar sizes.
    """
    return prefill_s * utilization / (1 - utilization)


def _fits_pause(tokens: float, rate: float, pause_s: float | None) -> bool:
    if pause_s is None:
        return True
    return tokens * DIRECT_SLOWDOWN / rate <= PREFILL_SHARE_OF_PAUSE * pause_s


def _with_copy_source(
    choice: Choice, prompt: Prompt, candidates: Sequence[Candidate], copyable: int
) -> Choice:
    """Add the engine to copy the shared prefix from, if the chosen one lacks it.

    An engine that only may have it cached is eligible too: a miss costs nothing.
    """
    tokens = int(tokens_to_prefill(prompt, choice.candidate, copyable))
    choice = replace(choice, prefill_tokens=tokens)
    if choice.candidate.has_full_prefix:
        return choice
    cached = choice.candidate.cached_tokens(prompt)
    sources = [
        item
        for item in candidates
        if (item.cached_tokens(prompt) > cached or item.cache_state is CacheState.MAYBE)
        and not item.is_suspended
        and item is not choice.candidate
    ]
    if not sources:
        return choice
    zone = choice.candidate.upstream.zone
    source = min(
        sources,
        key=lambda item: (
            -item.cached_tokens(prompt),
            item.upstream.zone != zone,
            item.requests,
        ),
    )
    return replace(choice, fetch_from=source.upstream)
