"""Decoding of received scheduling messages (``scheduling_messages``)."""

import math
from collections.abc import Callable
from typing import Any

import capnp

from ..errors import ErrorKind, FrameError, RequestError
from ..process.clock import now_s
from ..process.manifest_copy import ManifestCopy
from ..process.request_limits import UNLIMITED
from ..process.upstream_loads import ReportedLoad
from ..process.upstream_signals import UpstreamSignals
from ..request.attempt_outcome import CAUSES, AttemptOutcome
from ..request.routed_call import Prompt, PromptBlock, RoutedCall
from ..version.route_table import CallKind, Route
from .scheduling_messages import (
    CopyAnswer,
    CopyQuery,
    Message,
    OutcomeReport,
    PlacedAnswer,
    PlacedChoice,
    PlaceQuery,
    RefusedAnswer,
    UsageAnswer,
    WaitingNotice,
    WithdrawnNotice,
)
from .scheduling_schema import MS_PER_S, LimitStated, SoftwareIs, schema
from .usage_codec import usage_from

LIST_MAX = 1024
# Default of the field, which entries of older program versions don't send.
PRIORITY_UNSTATED = 65_535


def decode_message(data: bytes) -> Message:
    """Decode a message; raises FrameError if it is malformed or of unknown kind."""
    try:
        with schema.Message.from_bytes(data) as frame:
            kind = str(frame.which())
            decode = _DECODERS.get(kind)
            if decode is None:
                raise FrameError(f"unknown message kind {kind!r}")
            return decode(getattr(frame, kind))
    except (capnp.KjException, ValueError) as exc:
        raise FrameError(f"malformed message: {str(exc).splitlines()[0]}") from exc


def _query_from(item) -> PlaceQuery:
    _check_finite(item.elapsedMs, item.leftMs)
    if max(len(item.parts), len(item.tried)) > LIST_MAX:
        raise FrameError(f"more than {LIST_MAX} items in a list of a query")
    now = now_s()
    prompt = None
    if item.hasPrompt:
        blocks = tuple(PromptBlock(part.id, part.tokens) for part in item.parts)
        prompt = Prompt(item.inputTokens, item.outputTokens, blocks)
    call = RoutedCall(
        call_id=item.callId,
        route=_route_from(item.route),
        service=item.service,
        method="",
        target="",
        headers=[],
        body=b"",
        arrived_at_s=now - item.elapsedMs / MS_PER_S,
        deadline_at_s=now + item.leftMs / MS_PER_S,
        prompt=prompt,
        attempts=item.attempts,
        prefills=item.promptsRead,
        tried_upstreams=set(item.tried),
        zone=item.zone,
        placements=int(item.repeats),
        resume_after="" if item.takesUp else None,
        resumes=item.resumes,
        customer=item.customer,
        priority=None if item.priority == PRIORITY_UNSTATED else item.priority,
    )
    _set_software(call, item)
    return PlaceQuery(item.number, call, item.readAt)


def _set_software(call: RoutedCall, item) -> None:
    software_is = SoftwareIs(item.softwareIs)
    if software_is is SoftwareIs.REQUIRED:
        call.software = item.software
    elif software_is is SoftwareIs.PREFERRED:
        call.preferred_software = item.software


def _route_from(item) -> Route:
    _check_finite(item.objectiveMs, item.pauseMs)
    return Route(
        name=item.name,
        host="",
        prefix="",
        kind=CallKind(item.kind),
        services=(),
        timeout_s=math.inf,
        objective_s=item.objectiveMs / MS_PER_S,
        priority=item.priority,
        attempts_max=item.attemptsMax,
        resumable=item.resumable,
        pause_s=None if item.pauseMs < 0 else item.pauseMs / MS_PER_S,
    )


def _placed_from(item) -> PlacedAnswer:
    _check_finite(item.rate)
    return PlacedAnswer(
        item.number,
        _choice_from(item.reading),
        _choice_from(item.running),
        item.favoured,
        item.repeatsLeft,
        item.rate,
    )


def _choice_from(item) -> PlacedChoice | None:
    if not item.upstream:
        return None
    _check_finite(item.costMs, item.pace)
    return PlacedChoice(
        item.upstream,
        item.costMs / MS_PER_S,
        item.tokens,
        item.fetchFrom,
        item.requests,
        item.promptTokens,
        item.pace,
        item.holding,
        item.heldTokens,
    )


def _refused_from(item) -> RefusedAnswer:
    if not item.kind:
        return RefusedAnswer(item.number, item.detail)
    error = RequestError(
        ErrorKind(item.kind),
        item.detail,
        retry_after_s=item.retryAfterMs / MS_PER_S or None,
    )
    return RefusedAnswer(item.number, item.detail, error)


def _report_from(item) -> OutcomeReport:
    _check_finite(item.elapsedMs, item.firstMs)
    if item.cause not in CAUSES:
        raise FrameError(f"unknown outcome cause {item.cause!r}")
    outcome = AttemptOutcome(
        item.cause,
        item.elapsedMs / MS_PER_S,
        None if item.firstMs < 0 else item.firstMs / MS_PER_S,
        item.isBusy,
        item.isDown,
        _signals_from(item),
    )
    return OutcomeReport(item.number, outcome, not item.isInterim)


def _signals_from(item) -> UpstreamSignals:
    load = None
    if item.hasLoad:
        load = ReportedLoad(item.running, item.waitingRequests, item.slots)
    backoff_s = item.waitMs / MS_PER_S
    return UpstreamSignals(backoff_s, item.isLeaving, load, _limit_from(item))


def _limit_from(item) -> float | None:
    stated = LimitStated(item.limitStated)
    if stated is LimitStated.UNKNOWN:
        return None
    if stated is LimitStated.NONE:
        return UNLIMITED
    _check_finite(item.limitPerS)
    if item.limitPerS < 0:
        raise FrameError(f"negative request limit {item.limitPerS}")
    return item.limitPerS


def _copy_from(item) -> CopyAnswer:
    if not item.version:
        return CopyAnswer(None)
    copy = ManifestCopy(bytes(item.upstreams), bytes(item.configuration), item.version)
    return CopyAnswer(copy)


def _check_finite(*values: float) -> None:
    if not all(math.isfinite(value) for value in values):
        raise FrameError(f"expected finite numbers, got {values}")


_DECODERS: dict[str, Callable[[Any], Message]] = {
    "place": _query_from,
    "placed": _placed_from,
    "waiting": WaitingNotice,
    "refused": _refused_from,
    "outcome": _report_from,
    "withdrawn": WithdrawnNotice,
    "copyQuery": lambda _item: CopyQuery(),
    "copy": _copy_from,
    "usage": usage_from,
    "usageApplied": UsageAnswer,
}
