"""Completions of an emulated engine: requests, answers and event streams."""

import json
import re

from ..errors import ConnectionClosed
from ..wire import Headers
from .scheduler import Sequence

STOP_AFTER_MARKER = re.compile(r"<stop-after:(\d+)>")
DEFAULT_OUTPUT_TOKENS = 16
CHARS_PER_TOKEN = 4
MARKER_SEARCH_CHARS = 64
JSON_HEADERS = [("Content-Type", "application/json")]
SSE_HEADERS = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-cache")]
STREAM_ABORTED = object()


def prompt_text(payload: dict) -> str:
    """Return the prompt of a request, also where it is a list of messages."""
    if "prompt" in payload:
        return payload["prompt"]
    return "\n".join(message["content"] for message in payload["messages"])


def new_sequence(prompt: str, payload: dict, headers: dict[str, str]) -> Sequence:
    """Return the sequence of a request."""
    return Sequence(
        request_id=headers.get("x-request-id", ""),
        prompt=prompt,
        output_tokens=_output_tokens(prompt, payload),
        prefill_tokens_left=max(1, len(prompt) // CHARS_PER_TOKEN),
        priority=int(headers.get("x-priority", "1")),
        model=payload["model"],
        next_token_index=int(headers.get("x-resume-from", "0")),
    )


def _output_tokens(prompt: str, payload: dict) -> int:
    """Return the answer's length in tokens; a marker in the prompt may shorten it."""
    limit = payload.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    marker = STOP_AFTER_MARKER.search(prompt[-MARKER_SEARCH_CHARS:])
    return min(limit, int(marker[1])) if marker else limit


async def stream_answer(conn, seq: Sequence, chat: bool, headers: Headers) -> None:
    """Send the tokens as server-sent events.

    Raises ConnectionClosed if an order ends the stream.
    """
    await conn.send_head(200, [*SSE_HEADERS, *headers])
    while (token := await _next_token(seq)) is not None:
        await conn.send_block(b"data: " + _event_body(seq, token, chat) + b"\n\n")
    await conn.send_block(b"data: [DONE]\n\n")
    await conn.end_body()


async def send_complete_answer(
    conn, seq: Sequence, chat: bool, headers: Headers
) -> None:
    """Send all tokens in one answer.

    Raises ConnectionClosed if an order ends the stream.
    """
    tokens = []
    while (token := await _next_token(seq)) is not None:
        tokens.append(token)
    body = _answer_body(seq, "".join(tokens), chat)
    await conn.send_response(200, [*JSON_HEADERS, *headers], body)


async def _next_token(seq: Sequence) -> str | None:
    token = await seq.tokens.get()
    if token is STREAM_ABORTED:
        raise ConnectionClosed("an order ended the stream")
    return token


def _event_body(seq: Sequence, token: str, chat: bool) -> bytes:
    choice = {"index": 0, "delta": {"content": token}} if chat else {"text": token}
    content = {
        "id": seq.request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "model": seq.model,
        "choices": [choice],
    }
    return json.dumps(content, separators=(",", ":")).encode()


def _answer_body(seq: Sequence, text: str, chat: bool) -> bytes:
    choice = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    content = {
        "id": seq.request_id,
        "object": "chat.completion" if chat else "text_completion",
        "model": seq.model,
        "choices": [choice],
        "usage": {"completion_tokens": seq.output_tokens},
    }
    return json.dumps(content, separators=(",", ":")).encode()
