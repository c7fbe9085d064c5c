"""Decoding of callers' requests into calls."""

import random

from ..errors import ErrorKind, RequestError
from ..process.clock import now_s
from ..request.routed_call import Prompt, PromptBlock, RoutedCall
from ..version.route_table import RouteTable, choose_service
from ..wire import Headers, HttpRequest, end_to_end_headers
from . import names
from .customers import read_key_digest

EXCERPT_CHARS = 80


def decode_call(req: HttpRequest, table: RouteTable, rng: random.Random) -> RoutedCall:
    """Decode a request into a call; raises RequestError."""
    route = table.find(req.headers.get("host", ""), req.path)
    if route is None:
        raise RequestError(
            ErrorKind.UNKNOWN_ROUTE,
            "no route leads there",
            field="path",
            value=req.path[:EXCERPT_CHARS],
            expected=f"a route of configuration {table.version}",
        )
    arrived_at_s = now_s()
    remaining_s = min(route.timeout_s, _remaining_s(req))
    return RoutedCall(
        call_id=call_id(req),
        route=route,
        service=choose_service(route, rng),
        method=req.method,
        target=req.target,
        headers=_forwarded_headers(req.header_list, table),
        body=req.body,
        arrived_at_s=arrived_at_s,
        deadline_at_s=arrived_at_s + remaining_s,
        prompt=_parse_prompt(req),
        resume_after=req.headers.get(names.LAST_EVENT_ID.lower()),
        resumes=req.headers.get(names.RESUMES, ""),
        key_digest=_key_digest(req, table),
    )


def call_id(req: HttpRequest) -> str:
    """Return the id that the caller gave a request; empty if there is none."""
    return req.headers.get(names.ATTEMPT_ID.lower(), "")


def _forwarded_headers(headers: Headers, table: RouteTable) -> Headers:
    dropped = names.SYSTEM_HEADERS | {"content-length", "last-event-id", "expect"}
    if table.customers is not None:
        dropped |= names.CUSTOMER_HEADERS
    return [
        (name, value)
        for name, value in end_to_end_headers(headers)
        if name.lower() not in dropped
    ]


def _key_digest(req: HttpRequest, table: RouteTable) -> str | None:
    return None if table.customers is None else read_key_digest(req.header_list)


def _remaining_s(req: HttpRequest) -> float:
    text = req.headers.get(names.DEADLINE.lower(), "")
    try:
        remaining_ms = float(text)
    except ValueError:
        return float("inf")
    return remaining_ms / names.MS_PER_S if remaining_ms > 0 else float("inf")


def _parse_prompt(req: HttpRequest) -> Prompt | None:
    """Parse the prompt headers; returns None for a call without a prompt."""
    counts = req.headers.get(names.TOKEN_COUNTS)
    if counts is None:
        return None
    try:
        input_tokens, output_tokens = (int(item) for item in counts.split(","))
        blocks = tuple(
            _parse_block(item)
            for item in req.headers.get(names.PREFIX_HASH, "").split(",")
            if item.strip()
        )
    except ValueError as exc:
        raise RequestError(
            ErrorKind.INVALID_FIELD,
            "the token counts can't be read",
            field="Token-Counts",
            value=counts[:EXCERPT_CHARS],
            expected="two whole numbers, and parts with a whole number each",
        ) from exc
    return Prompt(input_tokens, output_tokens, blocks)


def _parse_block(text: str) -> PromptBlock:
    block_id, _, tokens = text.strip().partition(":")
    return PromptBlock(block_id, int(tokens))
