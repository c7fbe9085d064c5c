"""Prefill queues of all services, of the kind that the configuration asks for."""

from collections import defaultdict
from collections.abc import Callable

from .fair_prefill_queue import FairPrefillQueue
from .fair_queue import Turn
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

    def waiting(self, service: str) -> list[Turn]:
        """Return the turns of the queued calls of a service that has customers."""
        queue = self._fair.get(service)
        return queue.waiting() if queue else []
