"""Publication of manifests and upstream marks, each by one conditional write."""

from collections.abc import Callable
from dataclasses import dataclass, field

from ..errors import ConfigError, WriteConflict
from ..process.clock import now_s
from ..process.store import InstanceList, ObjectStore, TableStore
from ..steps import Step, reach_step
from .head import HEAD_KEY, HEAD_TABLE, Head, UpstreamMark
from .manifest import Manifest
from .placement import check_placeable

OBJECT_PREFIX = "manifest-"
WRITE_ATTEMPTS_MAX = 16

HeadUpdate = Callable[[Head], Head]


@dataclass(frozen=True)
class ActiveManifest:
    """Head and manifest in force, and since when at this entry."""

    head: Head
    manifest: Manifest
    activated_at_s: float = field(default_factory=now_s, compare=False)


async def read_head(table: TableStore) -> Head:
    """Read the head row; raises StoreUnavailable."""
    return Head.from_row(await table.read(HEAD_TABLE, HEAD_KEY))


async def read_manifest(objects: ObjectStore, head: Head) -> Manifest:
    """Read the manifest of ``head``; raises StoreUnavailable or ConfigError."""
    body = await objects.get(OBJECT_PREFIX + head.digest)
    return Manifest.parse(body, f"manifest {head.digest}")


def check_replacements(manifest: Manifest, head: Head) -> None:
    """Raise ConfigError if an upstream's replacement is in another group."""
    groups = {name: group.name for group in manifest.groups for name in group.upstreams}
    for upstream, mark in head.marks.items():
        group = groups.get(upstream)
        found = groups.get(mark.replacement, group)
        if group is not None and found != group:
            raise ConfigError(
                f"field 'NEW': got {mark.replacement!r} of group {found!r} for "
                f"{upstream!r}; expected an upstream of group {group!r} or of no group"
            )


class Publisher:
    """Publishes manifests and marks on behalf of an operator.

    Lease holders write closures into the same row. A write that conflicts only with
    theirs is retried; a conflict with another operator raises WriteConflict.
    """

    def __init__(
        self, table: TableStore, objects: ObjectStore, instances: InstanceList
    ):
        self._table = table
        self._objects = objects
        self._instances = instances

    async def apply(self, manifest: Manifest, expect_revision: int | None) -> Head:
        """Accept a manifest and return the new head.

        Raises PlacementError if the listed upstreams have no room for it, WriteConflict
        if another operator published first, StoreUnavailable (not accepted) or
        WriteOutcomeUnknown.
        """
        base = await read_head(self._table)
        if expect_revision is not None and base.revision != expect_revision:
            raise WriteConflict(
                f"field 'revision': got {base.revision}; expected {expect_revision}; "
                "another operator applied a manifest; nothing was changed"
            )
        check_placeable(manifest, base, await self._instances.list())
        check_replacements(manifest, base)
        digest = manifest.digest()
        await reach_step(Step.PUBLISH_BODY)
        await self._objects.put(OBJECT_PREFIX + digest, manifest.canonical_bytes())

        def next_head(head: Head) -> Head:
            if head.revision != base.revision:
                raise WriteConflict(
                    f"another operator was faster: revision {head.revision} was "
                    f"accepted after {base.revision} was read; nothing was changed"
                )
            return head.with_manifest(digest)

        await reach_step(Step.PUBLISH_POINTER)
        return await self._write_head(base, next_head)

    async def mark(self, upstream: str, mark: UpstreamMark | None) -> Head:
        """Accept or remove the mark of an upstream and return the new head.

        Nothing is written if the upstream already has the mark. Raises ConfigError if
        the upstream is not in the manifest, otherwise the errors of ``apply``.
        """
        base = await read_head(self._table)
        await self._check_upstream(base, upstream)
        if mark is not None:
            manifest = await read_manifest(self._objects, base)
            check_replacements(manifest, base.with_mark(upstream, mark))
        before = base.marks.get(upstream)
        if before == mark:
            return base

        def next_head(head: Head) -> Head:
            if head.marks.get(upstream) != before:
                raise WriteConflict(
                    f"another operator was faster: the mark of {upstream!r} changed "
                    "after it was read; nothing was changed"
                )
            return head.with_mark(upstream, mark)

        return await self._write_head(base, next_head)

    async def _check_upstream(self, head: Head, upstream: str) -> None:
        if head.revision == 0:
            raise ConfigError("no manifest has been applied yet; expected one")
        known = (await read_manifest(self._objects, head)).upstream_names()
        replacements = {mark.replacement for mark in head.marks.values()}
        if upstream not in known | head.marks.keys() | replacements:
            raise ConfigError(
                f"field 'upstream': got {upstream!r}; expected one of: "
                + ", ".join(sorted(known))
            )

    async def _write_head(self, base: Head, update: HeadUpdate) -> Head:
        head = base
        for _ in range(WRITE_ATTEMPTS_MAX):
            accepted = update(head)
            try:
                await self._table.write(accepted.as_transaction())
                return accepted
            except WriteConflict:
                head = await read_head(self._table)
        raise WriteConflict("head row changed at every attempt; nothing was changed")
