"""Routes by host and path prefix, and the services of each route."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from .customers import CustomerDirectory
from .scaling_spec import ScalingSpec


class CallKind(StrEnum):
    """Whether a route's calls may be retried, and the form of their answers."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class WeightedService:
    """Service of a route and its share of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Rule for requests of one host whose path begins with ``prefix``.

    ``attempts_max`` limits the number of upstreams that one request may run on.
    ``objective_s`` is the latency objective of an answer (of a stream's first event),
    ``pause_s`` the longest pause between events. ``priority`` 0 is the most urgent,
    unlike the priorities of callers and sent requests, where greater is more urgent.
    Calls of a ``public`` route need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    priority: int = 0
    attempts_max: int = 1
    resumable: bool = False
    pause_s: float | None = None
    public: bool = False

    @property
    def retryable(self) -> bool:
        """Whether a request that may have been executed can be retried."""
        return self.kind is CallKind.IDEMPOTENT or self.resumable


@dataclass(frozen=True)
class EngineSpec:
    """Properties that all engines of a service share.

    ``slots`` is the batch size and ``cache_tokens`` the KV cache size of one engine.
    """

    slots: int
    cache_tokens: int


@dataclass(frozen=True)
class RoutedService:
    """Service: upstreams that serve the same requests.

    Without ``scaling`` the number of its servers isn't changed. ``scaling_error`` says
    why a scaling that the configuration gives isn't in force.
    """

    name: str
    connections_max: int
    engine: EngineSpec | None = None
    scaling: ScalingSpec | None = None
    scaling_error: str = ""


class RouteIndex:
    """Finds routes by host and path."""

    def __init__(self, routes: Iterable[Route]):
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for items in self._by_host.values():
            items.sort(key=lambda item: -len(item.prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path`` among those of a host.

        A port in ``host`` is ignored.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True)
class RouteTable:
    """One version of the routing configuration.

    Without ``customers``, requests carry no API keys. ``priorities`` are those of its
    routes and customers, the most urgent first.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    customers: CustomerDirectory | None = None
    _index: RouteIndex = field(init=False, repr=False, compare=False)
    priorities: tuple[int, ...] = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        object.__setattr__(self, "_index", RouteIndex(self.routes))
        object.__setattr__(self, "priorities", self._find_priorities())

    def _find_priorities(self) -> tuple[int, ...]:
        found = {route.priority for route in self.routes}
        if self.customers is not None:
            customers = self.customers.customers
            found |= {item.priority for item in customers if item.priority is not None}
        return tuple(sorted(found))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path."""
        return self._index.find(host, path)


def resumable_services(table: RouteTable | None) -> set[str]:
    """Return the services with streams that may be resumed."""
    routes = table.routes if table else ()
    return {
        item.service
        for route in routes
        if route.kind is CallKind.STREAM and route.resumable
        for item in route.services
    }


def choose_service(route: Route, rng: random.Random) -> str:
    """Choose a service of a route at random, by weight."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [item.weight for item in route.services]
    return rng.choices(route.services, weights)[0].service
