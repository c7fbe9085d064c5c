"""Command ``explain``: log lines about one request, from several entries' logs."""

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

# Fields that are not repeated among the details of a rendered line.
PREFIX_FIELDS = frozenset(("time", "level", "entry", "event", "message", "request"))


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
        """Parse a line, ignoring text before its JSON; None if it is not a log line."""
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
        """Return the line as human-readable text."""
        details = " ".join(
            f"{name}={_format_value(value)}"
            for name, value in self.fields.items()
            if name not in PREFIX_FIELDS
        )
        return f"{self.time} {self.entry} [{self.event}] {self.message}: {details}"


def explain(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the log lines about a request; raises ConfigError."""
    lines = list(find_log_lines(options.request, _read_lines(options.files, env)))
    if not lines:
        raise ConfigError(
            f"request {options.request!r}: not in the logs that were read"
        )
    content = [line.fields for line in lines]
    print_result(options, env, content, "\n".join(line.render() for line in lines))
    return ExitStatus.SUCCESS


def find_log_lines(request_id: str, raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Return the log lines about a request, ordered by time.

    Lines about the request's upstreams that were written between its first and last
    line, and that name no request, are included.
    """
    log_lines = [line for text in raw_lines if (line := LogLine.from_text(text))]
    request_lines = [
        line for line in log_lines if line.fields.get("request") == request_id
    ]
    if not request_lines:
        return iter(())
    first_time = min(line.time for line in request_lines)
    last_time = max(line.time for line in request_lines)
    upstreams = {line.fields.get("upstream") for line in request_lines} - {None}
    upstream_lines = [
        line
        for line in log_lines
        if "request" not in line.fields
        and line.fields.get("upstream") in upstreams
        and first_time <= line.time <= last_time
    ]
    return iter(sorted([*request_lines, *upstream_lines], key=lambda line: line.time))


def _read_lines(files: list[str], env: Environment) -> Iterator[str]:
    if not files:
        yield from env.stdin
        return
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as exc:
            raise ConfigError(f"{name}: can't be read: {exc}") from exc


def _format_value(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
