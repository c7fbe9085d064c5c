"""Prints the tables of the reference pages from the code, so that both agree.

python -m extras.reference_tables [events|errors|metrics|settings|gateway|manifest]
"""

import sys
from collections.abc import Iterator
from types import NoneType
from typing import get_args

import logbook
from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from wisteriaarch.errors import ANSWERS
from wisteriaarch.events import Event
from wisteriaarch.process.gateway_settings import GatewaySettings
from wisteriaarch.process.metrics import METRIC_PREFIX, Count, Duration, Gauge
from wisteriaarch.process.settings import EntrySettings
from wisteriaarch.version.manifest import Manifest


def render_events() -> str:
    """Return the table of events in Markdown, ordered by number."""
    rows = []
    for event in sorted(Event, key=lambda event: event.value.number):
        kind = event.value
        level = logbook.get_level_name(kind.level).lower()
        kept = kind.importance.name.lower()
        rows.append((str(kind.number), level, kept, f"`{event.name}`", kind.message))
    return _render(("Number", "Level", "Kept as", "Name", "Message"), rows)


def render_errors() -> str:
    """Return the table of error kinds and their answers in Markdown."""
    rows = []
    for kind, answer in ANSWERS.items():
        retry = "-" if answer.retry_after_s is None else f"{answer.retry_after_s:g} s"
        rows.append((f"`{kind.value}`", str(answer.status), answer.title, retry))
    return _render(("Kind", "Status", "Title", "Retry after, unless predicted"), rows)


def render_metrics() -> str:
    """Return the table of metrics in Markdown."""
    suffixes = {Count: "_total", Duration: "_seconds", Gauge: ""}
    rows = [
        (
            f"`{METRIC_PREFIX}{item.name.lower()}{suffix}`",
            ", ".join(item.value.labels) or "-",
            item.value.help,
        )
        for kind, suffix in suffixes.items()
        for item in kind
    ]
    return _render(("Metric", "Labels", "Meaning"), rows)


def render_settings() -> str:
    """Return the table of an entry's settings in Markdown."""
    return _render(("Field", "Type", "Default"), _field_rows(EntrySettings, ""))


def render_gateway() -> str:
    """Return the table of the settings of an entry that serves routes in Markdown."""
    return _render(("Field", "Type", "Default"), _field_rows(GatewaySettings, ""))


def render_manifest() -> str:
    """Return the table of a manifest's fields in Markdown."""
    return _render(("Field", "Type", "Default"), _field_rows(Manifest, ""))


def _render(header: tuple[str, ...], rows) -> str:
    lines = [header, ("---",) * len(header), *rows]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in lines)


def _field_rows(
    model: type[BaseModel], prefix: str, default: BaseModel | None = None
) -> Iterator[tuple[str, str, str]]:
    """Yield a row for each field; ``default`` is what the whole model defaults to."""
    for name, info in model.model_fields.items():
        nested = _nested_model(info.annotation)
        if nested is None:
            text = _default_text(info)
            if default is not None:
                text = _value_text(getattr(default, name))
            yield f"`{prefix}{name}`", _type_text(info), text
        elif NoneType in get_args(info.annotation):
            yield f"`{prefix}{name}`", "fields below", _default_text(info)
            yield from _field_rows(nested, f"{prefix}{name}.")
        elif get_args(info.annotation):
            yield f"`{prefix}{name}`", "list", _default_text(info)
            yield from _field_rows(nested, f"{prefix}{name}[].")
        else:
            whole = info.default if isinstance(info.default, nested) else None
            yield from _field_rows(nested, f"{prefix}{name}.", whole)


def _nested_model(annotation) -> type[BaseModel] | None:
    for candidate in (annotation, *get_args(annotation)):
        if isinstance(candidate, type) and issubclass(candidate, BaseModel):
            return candidate
    return None


def _type_text(info: FieldInfo) -> str:
    annotation = info.annotation
    text = annotation.__name__ if isinstance(annotation, type) else str(annotation)
    if get_args(annotation):
        text = str(annotation).replace("typing.", "").replace("Literal", "one of ")
    limits = [_limit_text(item) for item in info.metadata]
    return ", ".join([text.replace("|", "or"), *filter(None, limits)])


def _limit_text(item) -> str:
    names = {"ge": "at least", "gt": "above", "le": "at most"}
    for name, words in names.items():
        if getattr(item, name, None) is not None:
            return f"{words} {getattr(item, name)}"
    return ""


def _default_text(info: FieldInfo) -> str:
    if info.default is PydanticUndefined:
        return "required"
    return _value_text(info.default)


def _value_text(value) -> str:
    return "none" if value == () else f"`{value}`"


RENDERERS = {
    "events": render_events,
    "errors": render_errors,
    "metrics": render_metrics,
    "settings": render_settings,
    "gateway": render_gateway,
    "manifest": render_manifest,
}


def main(arguments: list[str]) -> None:
    """Print the named tables, or all."""
    for name in arguments or RENDERERS:
        print(RENDERERS[name]())


if __name__ == "__main__":
    main(sys.argv[1:])
