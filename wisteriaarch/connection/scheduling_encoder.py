"""Encoding of scheduling messages (``scheduling_messages``) with Cap'n Proto."""

from functools import singledispatch
from typing import Any

from ..process.clock import now_s
from ..process.request_limits import UNLIMITED
from ..process.usage_counts import UsageUpdate
from ..request.routed_call import RoutedCall
from ..version.route_table import Route
from .scheduling_messages import (
    CopyAnswer,
    CopyQuery,
    Message,
    OutcomeReport,
    PlacedAnswer,
    PlaceQuery,
    RefusedAnswer,
    UsageAnswer,
    WaitingNotice,
    WithdrawnNotice,
)
from .scheduling_schema import (
    MS_PER_S,
    NO_DURATION_MS,
    LimitStated,
    SoftwareIs,
    schema,
)
from .usage_codec import usage_fields

# Upper limit of the time left; stands for calls without a deadline.
REMAINING_MAX_MS = 3_600_000.0


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return schema.Message.new_message(**_fields_of(message)).to_bytes()


@singledispatch
def _fields_of(message: Any) -> dict:
    raise TypeError(f"not a scheduling message: {message!r}")


@_fields_of.register
def _(message: PlaceQuery) -> dict:
    call, prompt = message.call, message.call.prompt
    now = now_s()
    content = {
        "number": message.number,
        "callId": call.call_id,
        "service": call.service,
        "route": _route_fields(call.route),
        "readAt": message.prefill_engine_id,
        "elapsedMs": (now - call.arrived_at_s) * MS_PER_S,
        "leftMs": min(REMAINING_MAX_MS, (call.deadline_at_s - now) * MS_PER_S),
        "zone": call.zone,
        "tried": list(call.tried_upstreams),
        "repeats": call.placements > 0,
        "attempts": call.attempts,
        "promptsRead": call.prefills,
        "takesUp": call.resume_after is not None,
        "resumes": call.resumes,
        "customer": call.customer,
        "priority": call.priority,
        **_software_fields(call),
    }
    if prompt is not None:
        content |= {
            "hasPrompt": True,
            "inputTokens": prompt.input_tokens,
            "outputTokens": prompt.output_tokens_max,
            "parts": [
                {"id": part.block_id, "tokens": part.tokens} for part in prompt.blocks
            ],
        }
    return {"place": content}


def _software_fields(call: RoutedCall) -> dict:
    if call.software is not None:
        return {"softwareIs": int(SoftwareIs.REQUIRED), "software": call.software}
    if call.preferred_software is not None:
        software = call.preferred_software
        return {"softwareIs": int(SoftwareIs.PREFERRED), "software": software}
    return {"softwareIs": int(SoftwareIs.UNKNOWN)}


def _route_fields(route: Route) -> dict:
    pause_ms = NO_DURATION_MS if route.pause_s is None else route.pause_s * MS_PER_S
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
        "favoured": message.prioritized,
        "repeatsLeft": message.retries_left,
        "rate": message.prefill_rate,
    }
    for name, choice in (("reading", message.prefill), ("running", message.decode)):
        if choice is not None:
            content[name] = {
                "upstream": choice.upstream_id,
                "costMs": choice.cost_s * MS_PER_S,
                "tokens": choice.prefill_tokens,
                "fetchFrom": choice.fetch_from_id,
                "requests": choice.requests,
                "promptTokens": choice.prompt_tokens,
                "pace": choice.slowdown,
                "holding": choice.cache_state,
                "heldTokens": choice.cached_prefix_tokens,
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
    outcome, signals = message.outcome, message.outcome.signals
    first_s = outcome.first_event_s
    content = {
        "number": message.number,
        "cause": outcome.cause,
        "elapsedMs": outcome.elapsed_s * MS_PER_S,
        "firstMs": NO_DURATION_MS if first_s is None else first_s * MS_PER_S,
        "isBusy": outcome.is_overloaded,
        "isDown": outcome.is_down,
        "waitMs": int(signals.backoff_s * MS_PER_S),
        "isLeaving": signals.is_draining,
        **_limit_fields(signals.limit_per_s),
        "isInterim": not message.is_final,
    }
    if signals.load is not None:
        content |= {
            "hasLoad": True,
            "running": signals.load.running,
            "waitingRequests": signals.load.waiting,
            "slots": signals.load.slots,
        }
    return {"outcome": content}


def _limit_fields(per_s: float | None) -> dict:
    if per_s is None:
        return {"limitStated": int(LimitStated.UNKNOWN)}
    if per_s == UNLIMITED:
        return {"limitStated": int(LimitStated.NONE)}
    return {"limitStated": int(LimitStated.RATE), "limitPerS": per_s}


@_fields_of.register
def _(message: WithdrawnNotice) -> dict:
    return {"withdrawn": message.number}


@_fields_of.register
def _(_message: CopyQuery) -> dict:
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


@_fields_of.register
def _(message: UsageUpdate) -> dict:
    return {"usage": usage_fields(message)}


@_fields_of.register
def _(message: UsageAnswer) -> dict:
    return {"usageApplied": message.holder}
