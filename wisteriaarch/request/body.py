"""Validation of completion request bodies."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import ErrorKind, RequestError
from ..process.settings_models import describe_invalid
from ..wire import load_json


class CompletionBody(BaseModel):
    """Body of a completion request, with the fields of the OpenAI-compatible API."""

    model_config = ConfigDict(extra="forbid")

    model: str
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)
    stream: bool = False
    stream_options: dict[str, Any] | None = None
    temperature: float | None = None
    top_p: float | None = None
    n: int | None = Field(default=None, ge=1, le=1)
    stop: str | list[str] | None = None
    seed: int | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    logit_bias: dict[str, float] | None = None
    logprobs: bool | int | None = None
    top_logprobs: int | None = None
    response_format: dict[str, Any] | None = None
    tools: list[dict[str, Any]] | None = None
    tool_choice: str | dict[str, Any] | None = None
    user: str | None = None
    metadata: dict[str, str] | None = None


class TextCompletionBody(CompletionBody):
    """Body of ``/v1/completions``."""

    prompt: str
    echo: bool | None = None
    suffix: str | None = None


class ChatMessage(BaseModel):
    """One message of a chat completion request."""

    model_config = ConfigDict(extra="allow")

    role: str
    content: str | list[dict[str, Any]] | None = None


class ChatCompletionBody(CompletionBody):
    """Body of ``/v1/chat/completions``."""

    messages: list[ChatMessage] = Field(min_length=1)


def parse_body(model: type[CompletionBody], body: bytes) -> Any:
    """Return the validated body; raises RequestError naming the invalid field."""
    try:
        content = load_json(body)
    except ValueError as exc:
        raise RequestError(
            ErrorKind.INVALID_JSON, f"the body is not valid JSON: {exc}", field="body"
        ) from exc
    try:
        return model.model_validate(content)
    except ValidationError as exc:
        error = exc.errors()[0]
        raise RequestError(
            ErrorKind.INVALID_FIELD,
            describe_invalid(exc),
            field=".".join(str(part) for part in error["loc"]) or "body",
            value=repr(error["input"])[:80],
            expected=error["msg"],
        ) from exc
