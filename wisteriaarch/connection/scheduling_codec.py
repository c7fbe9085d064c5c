"""Encoding of the messages of ``scheduling_messages`` by Cap'n Proto."""

import math
from collections.abc import Callable
from functools import singledispatch
from pathlib import Path
from typing import Any

import capnp

from ..errors import ErrorKind, FrameError, RequestError
from ..process.clock import now_s
from ..process.manifest_copy import ManifestCopy
from ..process.upstream_loads import ReportedLoad
from ..request.attempt_outcome import CAUSES, AttemptOutcome
from ..request.routed_call import Prompt, PromptPart, RoutedCall
from ..version.route_table import CallKind, Route
from .scheduling_messages import (
    CopyAnswer,
    CopyQuestion,
    Message,
    OutcomeReport,
    PlacedAnswer,
    PlacedChoice,
    PlaceQuestion,
    RefusedAnswer,
    WaitingNotice,
    WithdrawnNotice,
)

SCHEMA_PATH = Path(__file__).parents[1] / "schema" / "scheduling.capnp"
MS_PER_S = 1000
NO_TIME_MS = -1.0
LIST_MAX = 1024
# Deadlines that a caller left open are told as this.
LEFT_MAX_MS = 3_600_000.0

capnp.remove_import_hook()
_schema = capnp.load(str(SCHEMA_PATH))


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return _schema.Message.new_message(**_fields_of(message)).to_bytes()


def decode_message(data: bytes) -> Message:
    """Decode a message; raises FrameError where it is malformed or unknown."""
    try:
        with _schema.Message.from_bytes(data) as frame:
            kind = str(frame.which())
            decode = _DECODERS.get(kind)
            if decode is None:
                raise FrameError(f"unknown message {kind!r}")
            return decode(getattr(frame, kind))
    except (capnp.KjException, ValueError) as exc:
        raise FrameError(f"malformed message: {str(exc).splitlines()[0]}") from exc


@singledispatch
def _fields_of(message: Any) -> dict:
    raise TypeError(f"no message: {message!r}")


@_fields_of.register
def _(message: PlaceQuestion) -> dict:
    call, prompt = message.call, message.call.prompt
    now = now_s()
    content = {
        "number": message.number,
        "callId": call.call_id,
        "service": call.service,
        "route": _route_fields(call.route),
        "readAt": message.reader_id,
        "elapsedMs": (now - call.arrived_at_s) * MS_PER_S,
        "leftMs": min(LEFT_MAX_MS, (call.deadline_at_s - now) * MS_PER_S),
        "zone": call.zone,
        "tried": list(call.tried),
        "repeats": call.placements > 0,
        "attempts": call.attempts,
        "promptsRead": call.prompts_read,
    }
    if prompt is not None:
        content |= {
            "hasPrompt": True,
            "inputTokens": prompt.input_tokens,
            "outputTokens": prompt.output_tokens_max,
            "parts": [
                {"id": part.part_id, "tokens": part.tokens} for part in prompt.parts
            ],
        }
    return {"place": content}


def _route_fields(route: Route) -> dict:
    pause_ms = NO_TIME_MS if route.pause_s is None else route.pause_s * MS_PER_S
    return {
        "name": route.name,
        "kind": route.kind.value,
        "objectiveMs": route.objective_s * MS_PER_S,
        "pauseMs": pause_ms,
        "attemptsMax": route.attempts_max,
        "resumable": route.resumable,
        "priority": route.priority,
    }


@_fields_of.register
def _(message: PlacedAnswer) -> dict:
    content = {
        "number": message.number,
        "favoured": message.favoured,
        "repeatsLeft": message.repeats_left,
        "rate": message.rate,
    }
    for name, choice in (("reading", message.reading), ("running", message.running)):
        if choice is not None:
            content[name] = {
                "upstream": choice.upstream_id,
                "costMs": choice.cost_s * MS_PER_S,
                "tokens": choice.tokens,
                "fetchFrom": choice.fetch_from_id,
                "requests": choice.requests,
                "promptTokens": choice.prompt_tokens,
                "pace": choice.pace,
                "holding": choice.holding,
            }
    return {"placed": content}


@_fields_of.register
def _(message: WaitingNotice) -> dict:
    return {"waiting": message.number}


@_fields_of.register
def _(message: RefusedAnswer) -> dict:
    error = message.error
    after_s = error.retry_after_s if error is not None else None
    return {
        "refused": {
            "number": message.number,
            "kind": error.kind.value if error is not None else "",
            "detail": message.detail,
            "retryAfterMs": int((after_s or 0.0) * MS_PER_S),
        }
    }


@_fields_of.register
def _(message: OutcomeReport) -> dict:
    outcome = message.outcome
    first_s = outcome.first_event_s
    content = {
        "number": message.number,
        "cause": outcome.cause,
        "elapsedMs": outcome.elapsed_s * MS_PER_S,
        "firstMs": NO_TIME_MS if first_s is None else first_s * MS_PER_S,
        "isBusy": outcome.is_busy,
        "isDown": outcome.is_down,
        "waitMs": int(outcome.wait_s * MS_PER_S),
        "isLeaving": outcome.is_leaving,
    }
    if outcome.load is not None:
        content |= {
            "hasLoad": True,
            "running": outcome.load.running,
            "waitingRequests": outcome.load.waiting,
            "slots": outcome.load.slots,
        }
    return {"outcome": content}


@_fields_of.register
def _(message: WithdrawnNotice) -> dict:
    return {"withdrawn": message.number}


@_fields_of.register
def _(_message: CopyQuestion) -> dict:
    return {"copyQuery": None}


@_fields_of.register
def _(message: CopyAnswer) -> dict:
    copy = message.copy
    if copy is None:
        return {"copy": {}}
    content = {
        "upstreams": copy.head,
        "configuration": copy.body,
        "version": copy.row_version,
    }
    return {"copy": content}


def _question_from(item) -> PlaceQuestion:
    _check_finite(item.elapsedMs, item.leftMs)
    if max(len(item.parts), len(item.tried)) > LIST_MAX:
        raise FrameError(f"more than {LIST_MAX} items in a question")
    now = now_s()
    prompt = None
    if item.hasPrompt:
        parts = tuple(PromptPart(part.id, part.tokens) for part in item.parts)
        prompt = Prompt(item.inputTokens, item.outputTokens, parts)
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
        prompts_read=item.promptsRead,
        tried=set(item.tried),
        zone=item.zone,
        placements=int(item.repeats),
    )
    return PlaceQuestion(item.number, call, item.readAt)


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
        raise FrameError(f"unknown cause {item.cause!r}")
    load = None
    if item.hasLoad:
        load = ReportedLoad(item.running, item.waitingRequests, item.slots)
    outcome = AttemptOutcome(
        item.cause,
        item.elapsedMs / MS_PER_S,
        None if item.firstMs < 0 else item.firstMs / MS_PER_S,
        item.isBusy,
        item.isDown,
        item.waitMs / MS_PER_S,
        item.isLeaving,
        load,
    )
    return OutcomeReport(item.number, outcome)


def _copy_from(item) -> CopyAnswer:
    if not item.version:
        return CopyAnswer(None)
    copy = ManifestCopy(bytes(item.upstreams), bytes(item.configuration), item.version)
    return CopyAnswer(copy)


def _check_finite(*values: float) -> None:
    if not all(math.isfinite(value) for value in values):
        raise FrameError(f"expected finite numbers, got {values}")


_DECODERS: dict[str, Callable[[Any], Message]] = {
    "place": _question_from,
    "placed": _placed_from,
    "waiting": WaitingNotice,
    "refused": _refused_from,
    "outcome": _report_from,
    "withdrawn": WithdrawnNotice,
    "copyQuery": lambda _item: CopyQuestion(),
    "copy": _copy_from,
}
