"""Builds the router and admission control from the settings."""

import random
from collections.abc import Callable

from ..event_log import EventLog
from ..process.demand import DemandMeter
from ..process.fleet import Fleet
from ..process.load_monitor import LoadMonitor
from ..process.settings import EntrySettings
from ..version.publication import ActiveManifest
from .admission import Admission
from .length_prediction import (
    LengthPredictor,
    LimitPredictor,
    PercentilePredictor,
    PonderPredictor,
)
from .request_limiter import RequestLimiter
from .routing import Router
from .scoring import (
    LeastLoadScorer,
    PredictedScorer,
    RandomScorer,
    Scorer,
    SplitScorer,
)


def build_router(
    settings: EntrySettings,
    fleet: Fleet,
    loads: LoadMonitor,
    limiter: RequestLimiter,
    log: EventLog,
) -> Router:
    """Return the router with the scorer selected in the settings."""
    generator = random.Random(settings.seed)
    scorer = _build_scorer(settings, generator)
    return Router(fleet, loads, scorer, limiter, log, generator)


def build_admission(
    settings: EntrySettings,
    router: Router,
    active_manifest: Callable[[], ActiveManifest],
    log: EventLog,
    demand: DemandMeter,
) -> Admission:
    """Return the admission control.

    Baseline policies only limit the number of requests in flight.
    """
    limit = settings.limits.requests_in_flight
    if settings.policy != "predicted" or "admission" in settings.policy_off:
        return Admission(limit, demand=demand)
    return Admission(
        limit,
        lambda call: router.score_upstreams(call, active_manifest()),
        log,
        shares="shares" not in settings.policy_off,
        demand=demand,
    )


def _build_scorer(settings: EntrySettings, generator: random.Random) -> Scorer:
    if settings.policy == "random":
        return RandomScorer(generator)
    if settings.policy == "least_load":
        return LeastLoadScorer()
    if settings.policy in ("static_split", "reactive"):
        return SplitScorer()
    return PredictedScorer(
        _build_predictor(settings),
        settings.zone,
        affinity="affinity" not in settings.policy_off,
        urgency="urgency" not in settings.policy_off,
        shapes="shapes" not in settings.policy_off,
    )


def _build_predictor(settings: EntrySettings) -> LengthPredictor:
    if "length" in settings.policy_off:
        return LimitPredictor()
    if settings.length_predictor == "ponder":
        return PonderPredictor()
    return PercentilePredictor()
