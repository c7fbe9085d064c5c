"""Scores of upstreams for a call: predicted completion time and simple baselines."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from ..process.sent_request import SentRequest
from ..process.upstream_view import UpstreamView
from ..version.capacity import DEFAULT_SLOTS
from .call import Call, CompletionCall
from .forecast import forecast_times
from .length_prediction import LengthPredictor
from .prefix_assignments import BLOCK_TOKENS
from .shapes import ShapeDistribution, sort_by_ratio

PRIORITY_STEP = 10
URGENCY_MAX = 9
URGENCY_UNIT_S = 0.25
ZONE_COST_S = 0.003
SHAPE_WEIGHT = 1.2
DEADLINE_MARGIN = 0.9
OVERDUE_WEIGHT = 4.0
PROMPT_HEAVY_RATIO = 16.0


@dataclass(slots=True)
class Candidate:
    """Upstream with its score (lower is better) and the predictions behind it.

    ``make_sent_request`` returns the record that the load monitor tracks once the
    request is sent.
    """

    view: UpstreamView
    score: float
    first_token_s: float = 0.0
    completion_s: float = 0.0
    work_s: float = 0.0
    uncached_tokens: int = 0
    output_tokens: int = 0
    make_sent_request: Callable[["Candidate"], SentRequest] | None = None


class Scorer(Protocol):
    """Scores upstreams for a call."""

    def score_upstreams(self, call: Call, views: list[UpstreamView]) -> list[Candidate]:
        """Return a candidate for each view."""


class RandomScorer:
    """Assigns a random score to every upstream."""

    def __init__(self, generator: random.Random):
        self._random = generator

    def score_upstreams(self, call: Call, views: list[UpstreamView]) -> list[Candidate]:
        """Return candidates with random scores."""
        return [Candidate(view, self._random.random()) for view in views]


class LeastLoadScorer:
    """Scores by the number of requests in the last load report."""

    def score_upstreams(self, call: Call, views: list[UpstreamView]) -> list[Candidate]:
        """Return candidates scored by reported load."""
        return [Candidate(view, _reported_requests(view)) for view in views]


class SplitScorer:
    """Sends prompt-heavy calls to prefill engines and the others to decode engines."""

    def score_upstreams(self, call: Call, views: list[UpstreamView]) -> list[Candidate]:
        """Return candidates scored by reported load, with a penalty on other roles."""
        role = _preferred_role(call)
        return [
            Candidate(view, _reported_requests(view) + _role_penalty(view, role))
            for view in views
        ]


class PredictedScorer:
    """Scores by the predicted time until the answer is complete."""

    def __init__(
        self,
        predictor: LengthPredictor,
        zone: str,
        *,
        affinity: bool = True,
        urgency: bool = True,
        shapes: bool = True,
        zone_cost_s: float = ZONE_COST_S,
    ):
        self._predictor = predictor
        self._zone = zone
        self._affinity = affinity
        self._urgency = urgency
        self._shapes = ShapeDistribution() if shapes else None
        self._zone_cost_s = zone_cost_s

    def score_upstreams(self, call: Call, views: list[UpstreamView]) -> list[Candidate]:
        """Return candidates with predicted completion times."""
        if not isinstance(call, CompletionCall):
            return [self._score_service(view) for view in views]
        prefixes = call.prefixes if self._affinity else ()
        output_tokens = self._predictor.predict(call)
        priority = self._priority(call)
        make_sent_request = partial(self._make_sent_request, call, prefixes, priority)
        candidates = [
            self._score_engine(
                call, view, output_tokens, prefixes, priority, make_sent_request
            )
            for view in views
        ]
        if self._shapes is not None:
            self._add_shape_cost(call, output_tokens, candidates)
        return candidates

    def _add_shape_cost(
        self, call, output_tokens: int, candidates: list[Candidate]
    ) -> None:
        """Add a cost to engines that aren't assigned the call's prompt-to-output ratio.

        Each engine is assigned an equal part of the interval of positions (see
        ``ShapeDistribution``). The cost grows with the distance between that part and
        the positions of calls with about this ratio. It is proportional to the time
        left until the deadline, so that a call is sent elsewhere if the engines
        assigned its ratio have a much higher load. A further cost is added for the
        time by which the answer is expected to be overdue.
        """
        first, last = self._shapes.position_range(call.prompt_tokens, output_tokens)
        remaining_s = max(0.0, call.remaining_s())
        cost_s = SHAPE_WEIGHT * remaining_s
        count = len(candidates)
        by_name = {candidate.view.name: candidate for candidate in candidates}
        ordered = sort_by_ratio(candidate.view for candidate in candidates)
        for index, view in enumerate(ordered):
            distance = max(0.0, first - (index + 1) / count, index / count - last)
            candidate = by_name[view.name]
            overdue_s = max(0.0, candidate.completion_s - DEADLINE_MARGIN * remaining_s)
            candidate.score += cost_s * distance + OVERDUE_WEIGHT * overdue_s

    def _score_service(self, view: UpstreamView) -> Candidate:
        return Candidate(view, view.in_flight + self._zone_cost(view))

    def _score_engine(
        self, call, view, output_tokens, prefixes, priority, make_sent_request
    ) -> Candidate:
        load = view.estimate(priority)
        uncached_tokens = call.prompt_tokens
        if prefixes:
            uncached_tokens -= view.prefixes.match(prefixes) * BLOCK_TOKENS
        uncached_tokens = max(1, uncached_tokens)
        forecast = forecast_times(view, load, uncached_tokens, output_tokens)
        return Candidate(
            view,
            forecast.completion_s + self._zone_cost(view),
            forecast.first_token_s,
            forecast.completion_s,
            forecast.work_s,
            uncached_tokens,
            output_tokens,
            make_sent_request,
        )

    def _make_sent_request(
        self, call, prefixes, priority, candidate: Candidate
    ) -> SentRequest:
        if self._shapes is not None:
            self._shapes.observe(
                call.prompt_tokens, candidate.output_tokens, _full_batch_s(candidate)
            )
        return SentRequest(
            prompt_tokens=call.prompt_tokens,
            uncached_tokens=candidate.uncached_tokens,
            output_tokens=candidate.output_tokens,
            priority=priority,
            predicted_first_token_s=candidate.first_token_s,
            predicted_total_s=candidate.completion_s,
            prefixes=prefixes,
            streamed=call.stream,
            on_length=lambda tokens: self._predictor.observe(call, tokens),
        )

    def _zone_cost(self, view: UpstreamView) -> float:
        return 0.0 if view.instance.zone == self._zone else self._zone_cost_s

    def _priority(self, call: CompletionCall) -> int:
        """Return a priority ordered by the manifest's priority, then by deadline."""
        priority = call.caller.priority * PRIORITY_STEP
        if not self._urgency:
            return priority
        steps = max(1.0, call.remaining_s() / URGENCY_UNIT_S)
        return priority + max(0, URGENCY_MAX - int(2 * math.log2(steps)))


def _full_batch_s(candidate: Candidate) -> float:
    """Return the engine time in seconds of a request in a full batch."""
    speeds = candidate.view.role_speeds
    slots = speeds.slots or DEFAULT_SLOTS
    prefill_s = (
        speeds.step_time.predict_s(0.0, speeds.chunk_tokens) / speeds.chunk_tokens
    )
    decode_s = speeds.step_time.predict_s(slots, 0.0) / slots
    return candidate.uncached_tokens * prefill_s + candidate.output_tokens * decode_s


def _reported_requests(view: UpstreamView) -> float:
    return float(view.report.requests) if view.report else 0.0


def _preferred_role(call: Call) -> str | None:
    if not isinstance(call, CompletionCall):
        return None
    prompt_heavy = call.prompt_tokens / call.max_tokens > PROMPT_HEAVY_RATIO
    return "prefill" if prompt_heavy else "decode"


def _role_penalty(view: UpstreamView, role: str | None) -> float:
    reported = view.report.role if view.report else "mixed"
    return 0.0 if role is None or reported in (role, "mixed") else 1e6
