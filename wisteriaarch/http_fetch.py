"""Single HTTP requests, each on a connection of its own."""

import json
from typing import Any

import curio

from .http_client import HttpClientConnection
from .wire import Address, Headers, HttpResponse


async def fetch(
    address: Address,
    method: str,
    target: str,
    *,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> HttpResponse:
    """Make one request on a new connection and read the complete response.

    Raises OSError, TimeoutError or WireError.
    """
    try:
        async with curio.timeout_after(timeout_s):
            async with await HttpClientConnection.connect(address) as conn:
                await conn.send_request(method, target, headers or [], body)
                response = await conn.read_head()
                response.body = await conn.read_body()
                return response
    except curio.TaskTimeout as exc:
        raise TimeoutError(f"{method} {target} at {address} took too long") from exc


async def fetch_json(
    address: Address, method: str, target: str, payload: Any = None, **options
) -> HttpResponse:
    """Like ``fetch``, with a JSON body."""
    body = b"" if payload is None else json.dumps(payload).encode()
    headers = [("Content-Type", "application/json")]
    return await fetch(address, method, target, headers=headers, body=body, **options)
