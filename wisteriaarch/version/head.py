"""Head row: states the accepted manifest, the upstream marks and the closures.

A manifest or a mark is accepted by a single write of this row.

``generation`` increases with every change of the row, ``revision`` with every manifest.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from ..process.store import NO_VERSION, Put, Row, Transaction

HEAD_TABLE = "control"
HEAD_KEY = "head"
ALL_MODELS = "*"


class MarkKind(StrEnum):
    """State that an operator has set for an upstream.

    Neither kind receives new requests. A DRAINING upstream keeps its models, since
    it returns to service or is replaced. A WITHDRAWN one has its models unloaded and
    isn't counted when the placement of a manifest is checked.
    """

    DRAINING = "draining"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True)
class UpstreamMark:
    """Mark of one upstream, with its replacement, if any."""

    mark: MarkKind
    replacement: str | None = None


@dataclass(frozen=True)
class Head:
    """Content of the head row.

    ``closures`` lists, for each upstream, the models that get no new requests there
    because an order is about to unload them or to change the upstream's role;
    ALL_MODELS closes every model.
    """

    generation: int = 0
    revision: int = 0
    digest: str = ""
    marks: dict[str, UpstreamMark] = field(default_factory=dict)
    closures: dict[str, tuple[str, ...]] = field(default_factory=dict)
    row_version: int = NO_VERSION

    @classmethod
    def from_row(cls, row: Row) -> "Head":
        """Parse the row; a missing row is the empty head."""
        if not row.exists:
            return cls(row_version=row.version)
        return cls.from_value(row.value, row.version)

    @classmethod
    def from_value(cls, value: dict, row_version: int) -> "Head":
        """Parse the value of the row; raises KeyError, TypeError or ValueError."""
        marks = {
            name: UpstreamMark(MarkKind(item["mark"]), item["replacement"])
            for name, item in value["marks"].items()
        }
        return cls(
            generation=value["generation"],
            revision=value["revision"],
            digest=value["digest"],
            marks=marks,
            closures={name: tuple(item) for name, item in value["closures"].items()},
            row_version=row_version,
        )

    def with_manifest(self, digest: str) -> "Head":
        """Return the next head, with the manifest of ``digest``."""
        return replace(
            self,
            generation=self.generation + 1,
            revision=self.revision + 1,
            digest=digest,
        )

    def with_mark(self, upstream: str, mark: UpstreamMark | None) -> "Head":
        """Return the next head, with an upstream's mark set or removed."""
        marks = {name: item for name, item in self.marks.items() if name != upstream}
        if mark is not None:
            marks[upstream] = mark
        return replace(self, generation=self.generation + 1, marks=marks)

    def with_closure(self, upstream: str, models: tuple[str, ...]) -> "Head":
        """Return the next head, with an upstream's closed models replaced."""
        closures = {
            name: item for name, item in self.closures.items() if name != upstream
        }
        if models:
            closures[upstream] = models
        return replace(self, generation=self.generation + 1, closures=closures)

    def with_replacements(self, upstreams: Iterable[str]) -> list[str]:
        """Return upstreams and the replacements of marked ones, without duplicates."""
        names = dict.fromkeys(upstreams)
        for name in list(names):
            mark = self.marks.get(name)
            if mark is not None and mark.replacement:
                names[mark.replacement] = None
        return list(names)

    def is_closed(self, upstream: str, model: str) -> bool:
        """Whether a model gets no new requests on an upstream."""
        closed = self.closures.get(upstream, ())
        return model in closed or ALL_MODELS in closed

    def as_value(self) -> dict:
        """Return the value of the row."""
        return {
            "generation": self.generation,
            "revision": self.revision,
            "digest": self.digest,
            "marks": {
                name: {"mark": item.mark.value, "replacement": item.replacement}
                for name, item in self.marks.items()
            },
            "closures": {name: list(item) for name, item in self.closures.items()},
        }

    def as_transaction(self) -> Transaction:
        """Return the write of this head, conditional on the version of the read row."""
        put = Put(HEAD_TABLE, HEAD_KEY, self.as_value(), self.row_version)
        return Transaction((put,))
