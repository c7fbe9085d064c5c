"""Parses and validates callers' requests."""

import random
from dataclasses import replace
from typing import Any

from ..errors import ErrorKind, RequestError
from ..process.clock import now_s
from ..version.manifest import CallerSpec, Manifest, credential_digest
from ..version.route_table import CallKind, Route, choose_service
from ..wire import HttpRequest
from .body import ChatCompletionBody, TextCompletionBody, parse_body
from .call import CompletionCall, ServiceCall

KEY_HEADER = "idempotency-key"
NON_IDEMPOTENT_HEADER = "x-non-idempotent"
DEADLINE_HEADER = "x-deadline-ms"
DEFAULT_OUTPUT_TOKENS = 16
BYTES_PER_TOKEN = 4
MAX_KEY_CHARS = 255


def authenticate(req: HttpRequest, manifest: Manifest) -> CallerSpec:
    """Return the caller of a request; raises RequestError if it is unknown."""
    scheme, _, credential = req.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not credential:
        raise RequestError(
            ErrorKind.UNKNOWN_CALLER,
            "the request carries no credential",
            field="Authorization",
            expected="Bearer followed by a credential",
        )
    caller = manifest.callers_by_credential.get(credential_digest(credential))
    if caller is None:
        raise RequestError(
            ErrorKind.UNKNOWN_CALLER,
            "the credential belongs to no caller of the manifest",
            field="Authorization",
            expected="the credential of a caller in the manifest",
        )
    return caller


def parse_completion_call(
    req: HttpRequest, manifest: Manifest, *, chat: bool
) -> CompletionCall:
    """Parse a completion request; raises RequestError naming the invalid field."""
    caller = authenticate(req, manifest)
    body = parse_body(ChatCompletionBody if chat else TextCompletionBody, req.body)
    model = manifest.models_by_name.get(body.model)
    if model is None or model.name not in caller.models:
        raise RequestError(
            ErrorKind.UNKNOWN_MODEL,
            "the caller has no such model",
            field="model",
            value=body.model,
            expected="one of: " + ", ".join(sorted(caller.models)),
        )
    return CompletionCall(
        **_common_fields(req, caller),
        model=model,
        stream=body.stream,
        prompt_tokens=max(1, len(req.body) // BYTES_PER_TOKEN),
        max_tokens=(
            body.max_completion_tokens or body.max_tokens or DEFAULT_OUTPUT_TOKENS
        ),
    )


def parse_service_call(req: HttpRequest, manifest: Manifest) -> ServiceCall:
    """Parse a service request; raises RequestError naming the invalid field."""
    caller = authenticate(req, manifest)
    _, _, rest = req.target.partition("/services/")
    name, slash, path = rest.partition("/")
    service = manifest.services_by_name.get(name)
    if service is None or name not in caller.services:
        raise RequestError(
            ErrorKind.UNKNOWN_SERVICE,
            "the caller has no such service",
            field="path",
            value=name,
            expected="one of: " + ", ".join(sorted(caller.services)),
        )
    call = ServiceCall(
        **_common_fields(req, caller),
        service=service,
        upstream_target=slash + path or "/",
        header_list=req.header_list,
    )
    plain_path = call.upstream_target.partition("?")[0]
    if plain_path in service.non_idempotent_paths:
        _require_key(call.key)
        call.non_idempotent = True
    return call


def parse_route_call(
    req: HttpRequest, manifest: Manifest, route: Route, rng: random.Random
) -> ServiceCall:
    """Parse a request on a route; raises RequestError naming the invalid field.

    The service is drawn at random by weight from those of the route that the caller may
    use.
    """
    caller = authenticate(req, manifest)
    allowed = [item for item in route.services if item.service in caller.services]
    if not allowed:
        raise RequestError(
            ErrorKind.UNKNOWN_SERVICE,
            "the caller has no service of the route",
            field="path",
            value=req.path,
        )
    name = choose_service(replace(route, services=tuple(allowed)), rng)
    call = ServiceCall(
        **_common_fields(req, caller),
        service=manifest.services_by_name[name],
        upstream_target=req.target,
        header_list=req.header_list,
        attempts_max=route.attempts_max,
    )
    call.deadline_at_s = min(call.deadline_at_s, now_s() + route.timeout_s)
    if route.kind is CallKind.NON_IDEMPOTENT:
        _require_key(call.key)
        call.non_idempotent = True
    return call


def _common_fields(req: HttpRequest, caller: CallerSpec) -> dict[str, Any]:
    key = req.headers.get(KEY_HEADER)
    if key is not None and not 1 <= len(key) <= MAX_KEY_CHARS:
        raise RequestError(
            ErrorKind.INVALID_FIELD,
            "the idempotency key has an invalid length",
            field="Idempotency-Key",
            value=f"{len(key)} characters",
            expected=f"1 to {MAX_KEY_CHARS} characters",
        )
    non_idempotent = _parse_non_idempotent(req.headers.get(NON_IDEMPOTENT_HEADER))
    if non_idempotent:
        _require_key(key)
    return {
        "caller": caller,
        "deadline_at_s": now_s() + _deadline_s(req, caller),
        "method": req.method,
        "target": req.target,
        "headers": req.headers,
        "body": req.body,
        "key": key,
        "non_idempotent": non_idempotent,
    }


def _require_key(key: str | None) -> None:
    if key is None:
        raise RequestError(
            ErrorKind.KEY_REQUIRED,
            "a non-idempotent request needs a key",
            field="Idempotency-Key",
            expected="a value that is unique to this piece of work",
        )


def _parse_non_idempotent(value: str | None) -> bool:
    if value is None or value.lower() == "false":
        return False
    if value.lower() == "true":
        return True
    raise RequestError(
        ErrorKind.INVALID_FIELD,
        "the marker has an invalid value",
        field="X-Non-Idempotent",
        value=value,
        expected="true or false",
    )


def _deadline_s(req: HttpRequest, caller: CallerSpec) -> float:
    value = req.headers.get(DEADLINE_HEADER)
    if value is None:
        return caller.deadline_s
    if not value.isascii() or not value.isdigit() or int(value) == 0:
        raise RequestError(
            ErrorKind.INVALID_FIELD,
            "the deadline has an invalid value",
            field="X-Deadline-Ms",
            value=value,
            expected="a positive whole number of milliseconds",
        )
    return min(int(value) / 1000, caller.deadline_s)
