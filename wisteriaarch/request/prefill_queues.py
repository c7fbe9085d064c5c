"""Prefill queues of all services, of the kind that the configuration asks for."""

from collections import defaultdict
from collections.abc import Callable, Iterator

from .fair_prefill_queue import FairPrefillQueue
from .prefill_queue import PrefillQueue


class PrefillQueues:
    """Queues by service; ``has_customers`` is that of the configuration in force.

    Without customers, calls are queued by arrival and size only. If a configuration
    version adds or removes customers, calls that are queued already stay where they
    are.
    """

    def __init__(self, has_customers: Callable[[], bool]):
        self._has_customers = has_customers
        self._plain: dict[str, PrefillQueue] = defaultdict(PrefillQueue)
        self._fair: dict[str, FairPrefillQueue] = defaultdict(FairPrefillQueue)

    def of(self, service: str) -> PrefillQueue:
        """Return the queue for calls of a service that arrive now."""
        queues = self._fair if self._has_customers() else self._plain
        return queues[service]

    def fair(self) -> Iterator[tuple[str, FairPrefillQueue]]:
        """Yield the services whose queues are fair between customers."""
        return iter(self._fair.items())
