"""Command ``explain``: the story of one request from the logs of several entries."""

import argparse
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..environment import Environment
from ..errors import ConfigError
from ..status import ExitStatus
from .output import print_result

SHOWN_ELSEWHERE = frozenset(("time", "level", "entry", "event", "message", "request"))


@dataclass(frozen=True)
class LogLine:
    """One line of an entry's log in its JSON form."""

    time: str
    entry: str
    event: int
    message: str
    fields: dict[str, Any]

    @classmethod
    def from_text(cls, text: str) -> "LogLine | None":
        """Read a line; anything before its JSON is left out. None for another line."""
        try:
            content = json.loads(text[text.index("{") :])
            return cls(
                time=content["time"],
                entry=content["entry"],
                event=content["event"],
                message=content["message"],
                fields=content,
            )
        except (ValueError, KeyError, TypeError):
            return None

    def render(self) -> str:
        """Return the line as a person reads it."""
        shown = " ".join(
            f"{name}={_shown(value)}"
            for name, value in self.fields.items()
            if name not in SHOWN_ELSEWHERE
        )
        return f"{self.time} {self.entry} [{self.event}] {self.message}: {shown}"


def explain(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print all that the logs say of a request; raises ConfigError."""
    lines = list(find_request(options.request, _read(options.files, env)))
    if not lines:
        raise ConfigError(
            f"request {options.request!r}: not in the logs that were read"
        )
    content = [line.fields for line in lines]
    print_result(options, env, content, "\n".join(line.render() for line in lines))
    return ExitStatus.SUCCESS


def find_request(request_id: str, texts: Iterable[str]) -> Iterator[LogLine]:
    """Return the lines about a request in the order of their times.

    What an upstream of it went through meanwhile belongs to the story.
    """
    parsed = [line for text in texts if (line := LogLine.from_text(text))]
    own = [line for line in parsed if line.fields.get("request") == request_id]
    if not own:
        return iter(())
    first = min(line.time for line in own)
    last = max(line.time for line in own)
    upstreams = {line.fields.get("upstream") for line in own} - {None}
    beside = [
        line
        for line in parsed
        if "request" not in line.fields
        and line.fields.get("upstream") in upstreams
        and first <= line.time <= last
    ]
    return iter(sorted([*own, *beside], key=lambda line: line.time))


def _read(files: list[str], env: Environment) -> Iterator[str]:
    if not files:
        yield from env.stdin
        return
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as exc:
            raise ConfigError(f"{name}: can't be read: {exc}") from exc


def _shown(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
