"""Settings models shared by all kinds of entries, and how files are read."""

import json
from pathlib import Path
from typing import Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..errors import ConfigError
from ..wire import Address

ModelT = TypeVar("ModelT", bound=BaseModel)


class StrictModel(BaseModel):
    """Immutable model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class AddressSettings(StrictModel):
    """IP address and port; port 0 selects a free one."""

    host: str = "127.0.0.1"
    port: int = Field(ge=0, le=65535)

    def address(self) -> Address:
        """Return the equivalent Address."""
        return Address(self.host, self.port)


class LogSettings(StrictModel):
    """Format and level of the log, and limits on its output rate."""

    form: Literal["human", "json"] = "human"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_per_s: float = Field(default=400.0, gt=0)
    bytes_per_s: float = Field(default=160 * 1024, gt=0)


class LeaseSettings(StrictModel):
    """Timing of the leases of upstream groups."""

    term_s: float = Field(default=3.0, gt=0)
    renew_every_s: float = Field(default=0.75, gt=0)
    drift_margin_s: float = Field(default=0.25, gt=0)


class LimitSettings(StrictModel):
    """Limits on the resources of one caller connection or request."""

    head_bytes: int = Field(default=32 * 1024, ge=1024)
    body_bytes: int = Field(default=16 * 1024 * 1024, ge=1024)
    requests_in_flight: int = Field(default=2000, ge=1)
    idle_timeout_s: float = Field(default=60.0, gt=0)
    connections: int | None = Field(default=None, ge=1)
    pipelined_bytes: int = Field(default=32 * 1024, ge=1024)
    unsent_bytes: int = Field(default=64 * 1024, ge=1024)
    write_timeout_s: float = Field(default=5.0, gt=0)
    unread_when_full_s: float = Field(default=0.5, gt=0)


def load_model(model: type[ModelT], path: str) -> ModelT:
    """Read a JSON file into ``model``; raises ConfigError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise ConfigError(f"{path}: can't be read: {exc}") from exc
    return parse_model(model, text, path)


def parse_model(model: type[ModelT], text: str | bytes, origin: str) -> ModelT:
    """Validate JSON text against ``model``; raises ConfigError naming ``origin``."""
    try:
        return model.model_validate(json.loads(text))
    except ValueError as exc:
        raise ConfigError(f"{origin}: {describe_invalid(exc)}") from exc


def describe_invalid(exc: ValueError) -> str:
    """Describe a validation failure: field, value and expectation of each error."""
    if not isinstance(exc, ValidationError):
        return f"not valid JSON: {exc}"
    return "; ".join(_describe_error(error) for error in exc.errors())


def _describe_error(error) -> str:
    if error["type"] == "value_error" and not error["loc"]:
        return str(error["ctx"]["error"])
    name = ".".join(str(part) for part in error["loc"]) or "(document)"
    if error["type"] == "extra_forbidden":
        return f"field {name!r}: unknown field; expected only documented fields"
    if error["type"] == "missing":
        return f"field {name!r}: is missing; expected a value"
    return f"field {name!r}: got {error['input']!r}; expected: {error['msg']}"
