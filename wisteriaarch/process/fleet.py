"""Instances as last listed by the platform."""

import random
from collections.abc import Iterable

import curio

from ..errors import StoreUnavailable
from .backoff import Backoff
from .store import Instance, InstanceList

RETRY_INTERVAL_MAX_S = 5.0


class Fleet:
    """Last known instances; kept while the list is unavailable.

    ``initial`` are the instances known before the list is first read.
    """

    def __init__(
        self,
        source: InstanceList,
        poll_interval_s: float,
        seed: int | None = None,
        initial: Iterable[Instance] = (),
    ):
        self._source = source
        self._backoff = Backoff(
            poll_interval_s, RETRY_INTERVAL_MAX_S, random.Random(seed)
        )
        self.instances = {instance.instance_id: instance for instance in initial}

    async def run(self) -> None:
        """Poll the instance list until cancelled."""
        while True:
            listed = await self.refresh()
            await curio.sleep(self._backoff.next_delay_s(listed))

    async def refresh(self) -> bool:
        """Read the list once; False, without a change, when it is unavailable."""
        try:
            listed = await self._source.list()
        except StoreUnavailable:
            return False
        self.instances = {instance.instance_id: instance for instance in listed}
        return True

    def get(self, instance_id: str) -> Instance | None:
        """Return a listed instance."""
        return self.instances.get(instance_id)

    def of_kind(self, kind: str) -> list[Instance]:
        """Return the listed instances of a kind: entry, engine or service."""
        return [item for item in self.instances.values() if item.kind == kind]
