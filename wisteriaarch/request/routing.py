"""Selection of the upstream for one attempt."""

import math
import random
from collections.abc import Iterator, Sequence
from functools import singledispatch, singledispatchmethod

from ..errors import ErrorKind, RequestError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.fleet import Fleet
from ..process.load_monitor import LoadMonitor
from ..process.upstream_view import UpstreamView
from ..version.publication import ActiveManifest
from .call import Call, CompletionCall, ServiceCall
from .prefix_assignments import PrefixAssignments
from .request_limiter import RequestLimiter
from .scoring import Candidate, Scorer

SMALL_FLEET_MAX = 12
CANDIDATES_MAX = 6
SAMPLE_MAX = 10
CANDIDATES_LOGGED = 4
TIE_MARGIN = 0.05
ENGINE_KIND = "engine"
POLL_AGE_MAX_S = 2.0
# Longest wait of a call for a permit of an upstream that states a request limit.
LIMIT_WAIT_MAX_S = 0.5
RETRY_AFTER_MIN_S = 1.0


class Router:
    """Scores the upstreams that may run a call and selects one of the best."""

    def __init__(
        self,
        fleet: Fleet,
        loads: LoadMonitor,
        scorer: Scorer,
        limiter: RequestLimiter,
        log: EventLog,
        generator: random.Random,
    ):
        self._fleet = fleet
        self._loads = loads
        self._scorer = scorer
        self._limiter = limiter
        self._log = log
        self._random = generator
        self._prefix_assignments = PrefixAssignments()

    def choose(
        self, call: Call, active_manifest: ActiveManifest, excluded: set[str]
    ) -> UpstreamView:
        """Return the upstream for the next attempt; raises RequestError."""
        candidates = self.score_upstreams(call, active_manifest, excluded)
        if not candidates:
            raise RequestError(
                ErrorKind.NO_UPSTREAM,
                "no upstream that could run the request is left",
                retry_after_s=self._shortest_wait_s(call, active_manifest),
            )
        chosen = self._pick_among_ties(candidates)
        call.sent_request = (
            chosen.make_sent_request(chosen) if chosen.make_sent_request else None
        )
        if call.sent_request is not None:
            self._prefix_assignments.record(
                call.sent_request.prefixes, chosen.view.name
            )
        _set_version(call, chosen.view)
        self._log.write(
            Event.REQUEST_ROUTED,
            request=call.request_id,
            upstream=chosen.view.name,
            first_token_s=chosen.first_token_s,
            completion_s=chosen.completion_s,
            weighed={c.view.name: c.score for c in candidates[:CANDIDATES_LOGGED]},
        )
        return chosen.view

    def score_upstreams(
        self,
        call: Call,
        active_manifest: ActiveManifest,
        excluded: set[str] = frozenset(),
    ) -> list[Candidate]:
        """Return the scored candidates, best first.

        Upstreams whose request limit allows a request now go before those where it has
        to wait for a permit, and the shortest such wait comes first.
        """
        views = self._eligible_views(call, active_manifest, excluded)
        if views and self._limiter.is_active:
            views = self._views_with_shortest_wait(views)
        candidates = self._scorer.score_upstreams(call, views)
        candidates.sort(key=lambda candidate: candidate.score)
        return candidates

    def _views_with_shortest_wait(
        self, views: list[UpstreamView]
    ) -> list[UpstreamView]:
        limits = self._limiter.limited_rates(view.name for view in views)
        waits = {name: limit.wait_s for name, limit in limits.items()}
        shortest_s = min(waits.get(view.name, 0.0) for view in views)
        return [view for view in views if waits.get(view.name, 0.0) == shortest_s]

    def _shortest_wait_s(self, call: Call, active_manifest: ActiveManifest) -> float:
        """Return after what whole number of seconds a caller may find an upstream."""
        waits = [
            max(
                self._loads.view(instance).backoff_left_s,
                self._limiter.wait_s(instance.instance_id),
            )
            for instance in map(self._fleet.get, _upstream_names(call, active_manifest))
            if instance is not None
        ]
        return max(RETRY_AFTER_MIN_S, math.ceil(min(waits, default=0.0)))

    def awaits_load_report(self, call: Call, active_manifest: ActiveManifest) -> bool:
        """Whether an outstanding load report may reveal a usable upstream.

        That is the case just after a start, a pause of this process or a change of the
        configuration, until the call's engines have been polled again.
        """
        oldest_s = max(active_manifest.activated_at_s, now_s() - POLL_AGE_MAX_S)
        return any(
            instance is not None
            and instance.kind == ENGINE_KIND
            and not instance.leaving
            and self._loads.view(instance).poll_started_at_s < oldest_s
            for instance in map(self._fleet.get, _upstream_names(call, active_manifest))
        )

    def _pick_among_ties(self, candidates: list[Candidate]) -> Candidate:
        """Pick at random among near ties, so that entries spread their choices."""
        bound = candidates[0].score * (1 + TIE_MARGIN)
        ties = sum(candidate.score <= bound for candidate in candidates)
        return candidates[self._random.randrange(ties)]

    @singledispatchmethod
    def _eligible_views(self, call, active_manifest, excluded) -> list[UpstreamView]:
        raise TypeError(f"calls of type {type(call).__name__} can't be routed")

    @_eligible_views.register
    def _(self, call: CompletionCall, active_manifest, excluded) -> list[UpstreamView]:
        head, model = active_manifest.head, call.model.name

        def is_eligible(view: UpstreamView) -> bool:
            if head.closures and head.is_closed(view.name, model):
                return False
            return _serves(view, call)

        last_engine = self._prefix_assignments.find(call.prefixes)
        return self._sample_views(
            _upstream_names(call, active_manifest),
            head,
            excluded,
            is_eligible,
            last_engine,
        )

    @_eligible_views.register
    def _(self, call: ServiceCall, active_manifest, excluded) -> list[UpstreamView]:
        names = _upstream_names(call, active_manifest)
        return self._sample_views(
            names, active_manifest.head, excluded, lambda _view: True
        )

    def _sample_views(
        self, names, head, excluded, is_eligible, last_engine: str | None = None
    ) -> list[UpstreamView]:
        """Return the eligible upstreams of a small fleet, or a sample of a large one.

        ``last_engine`` last received the call's prefix; it is always included if it is
        eligible. A marked upstream receives no calls; its replacement does.
        """
        if head.marks:
            names = head.with_replacements(names)
        views_max = len(names) if len(names) <= SMALL_FLEET_MAX else CANDIDATES_MAX
        views = {}
        for name in self._sampling_order(names, last_engine):
            if name in views or name in excluded or name in head.marks:
                continue
            instance = self._fleet.get(name)
            if instance is None or instance.leaving:
                continue
            view = self._loads.view(instance)
            if is_eligible(view) and self._accepts_requests(view):
                views[name] = view
            if len(views) == views_max:
                break
        return list(views.values())

    def _accepts_requests(self, view: UpstreamView) -> bool:
        """Whether neither a backoff nor a request limit forbids a call."""
        if view.backoff_left_s > 0:
            return False
        return (
            not self._limiter.is_active
            or self._limiter.wait_s(view.name) <= LIMIT_WAIT_MAX_S
        )

    def _sampling_order(self, names, last_engine: str | None) -> Iterator[str]:
        """Yield ``last_engine``, a random sample, then all; names may be repeated."""
        if last_engine in names:
            yield last_engine
        if len(names) > SMALL_FLEET_MAX:
            yield from self._random.sample(names, SAMPLE_MAX)
        yield from names


@singledispatch
def _upstream_names(call: Call, active_manifest: ActiveManifest) -> Sequence[str]:
    """Return the names of the upstreams configured for the call's target."""
    raise TypeError(f"calls of type {type(call).__name__} can't be routed")


@_upstream_names.register
def _(call: CompletionCall, active_manifest: ActiveManifest) -> Sequence[str]:
    return active_manifest.manifest.groups_by_name[call.model.group].upstreams


@_upstream_names.register
def _(call: ServiceCall, active_manifest: ActiveManifest) -> Sequence[str]:
    return call.service.upstreams


@singledispatch
def _set_version(call: Call, view: UpstreamView) -> None:
    """Set the model version that the attempt on ``view`` requests."""


@_set_version.register
def _(call: CompletionCall, view: UpstreamView) -> None:
    call.version = view.loaded_version(call.model.name)


def _serves(view: UpstreamView, call: CompletionCall) -> bool:
    """Whether an engine may run the call.

    During a rollout, engines that still hold the previous version continue to serve. An
    answer that has started is only continued with the same version.
    """
    version = view.loaded_version(call.model.name)
    if version is None or not call.version_pinned:
        return version is not None
    return version == call.version and view.software == call.software
