"""Manifest: models and versions, the callers they serve and their upstreams."""

import hashlib
import json
from functools import cached_property
from typing import Literal, Self

from pydantic import Field, model_validator

from ..process.settings_models import StrictModel, parse_model
from .route_table import CallKind, Route, RouteIndex, WeightedService

# Default limit on the upstreams that one request is sent to.
DEFAULT_ATTEMPTS_MAX = 6
Name = Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")


class ModelSpec(StrictModel):
    """Model in its serving version, with its number of replicas."""

    name: str = Name
    version: str = Name
    adapters: tuple[str, ...] = ()
    replicas: int = Field(ge=1)
    group: str = Name


class GroupSpec(StrictModel):
    """Upstream group: the engines that one lease controls.

    ``order_read_timeout_s`` is the time after which the engines drop an order whose
    body has not arrived. ``checks_orders`` tells whether the engines check fencing
    tokens; if not, this timeout alone protects them from outdated orders.
    """

    name: str = Name
    upstreams: tuple[str, ...] = Field(min_length=1)
    checks_orders: bool = True
    models_per_engine: int = Field(default=2, ge=1)
    order_read_timeout_s: float = Field(default=1.0, gt=0)


class ServiceSpec(StrictModel):
    """Service without models, and the upstream instances that run it."""

    name: str = Name
    upstreams: tuple[str, ...] = Field(min_length=1)
    non_idempotent_paths: tuple[str, ...] = ()


class RouteShareSpec(StrictModel):
    """Service of a route and its share of the route's requests."""

    service: str = Name
    weight: float = Field(default=1.0, gt=0)


class RouteSpec(StrictModel):
    """Rule for requests of one host whose path begins with ``prefix``.

    Requests are forwarded unchanged. ``attempts_max`` limits the number of upstreams
    that one request is sent to, ``timeout_s`` its total time.
    """

    name: str = Name
    host: str = Field(min_length=1)
    prefix: str = Field(default="/", pattern="^/")
    kind: Literal[CallKind.IDEMPOTENT, CallKind.NON_IDEMPOTENT] = CallKind.IDEMPOTENT
    services: tuple[RouteShareSpec, ...] = Field(min_length=1)
    timeout_s: float = Field(default=60.0, gt=0)
    attempts_max: int = Field(default=DEFAULT_ATTEMPTS_MAX, ge=1)

    def to_route(self) -> Route:
        """Return the route as used to match requests."""
        services = (
            WeightedService(item.service, item.weight) for item in self.services
        )
        return Route(
            self.name,
            self.host,
            self.prefix,
            self.kind,
            tuple(services),
            timeout_s=self.timeout_s,
            objective_s=self.timeout_s,
            attempts_max=self.attempts_max,
        )


class CallerSpec(StrictModel):
    """Caller, identified by the SHA-256 of its bearer credential."""

    name: str = Name
    credential_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    priority: int = Field(default=1, ge=0, le=9)
    share: float = Field(default=1.0, gt=0)
    deadline_s: float = Field(default=60.0, gt=0)
    requests_in_flight: int = Field(default=500, ge=1)


class PolicySpec(StrictModel):
    """Parameters of a site's role change policy."""

    role_change_weight: float = Field(default=1.0, ge=0)
    horizon_s: float = Field(default=60.0, gt=0)


class Manifest(StrictModel):
    """One revision of a site's configuration; references are checked on parsing."""

    schema_version: Literal[1] = 1
    site: str = Name
    groups: tuple[GroupSpec, ...] = ()
    models: tuple[ModelSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    routes: tuple[RouteSpec, ...] = ()
    callers: tuple[CallerSpec, ...] = Field(min_length=1)
    policy: PolicySpec = PolicySpec()

    @classmethod
    def parse(cls, text: str | bytes, origin: str) -> Self:
        """Parse JSON text; raises ConfigError with field, value and expectation."""
        return parse_model(cls, text, origin)

    @model_validator(mode="after")
    def _check_references(self) -> Self:
        _check_unique("groups", [group.name for group in self.groups])
        _check_unique("models", [model.name for model in self.models])
        _check_unique("services", [service.name for service in self.services])
        _check_unique("routes", [route.name for route in self.routes])
        _check_unique(
            "routes.prefix", [(item.host.lower(), item.prefix) for item in self.routes]
        )
        _check_unique("callers", [caller.name for caller in self.callers])
        _check_unique(
            "callers.credential_sha256",
            [caller.credential_sha256 for caller in self.callers],
        )
        _check_unique(
            "groups.upstreams", [name for g in self.groups for name in g.upstreams]
        )
        groups = {group.name for group in self.groups}
        models = {model.name for model in self.models}
        services = {service.name for service in self.services}
        for model in self.models:
            _check_known(f"models.{model.name}.group", [model.group], groups)
        for route in self.routes:
            names = [item.service for item in route.services]
            _check_known(f"routes.{route.name}.services", names, services)
        for caller in self.callers:
            _check_known(f"callers.{caller.name}.models", caller.models, models)
            _check_known(f"callers.{caller.name}.services", caller.services, services)
        return self

    @cached_property
    def callers_by_credential(self) -> dict[str, CallerSpec]:
        """Callers by the SHA-256 of their credential."""
        return {caller.credential_sha256: caller for caller in self.callers}

    @cached_property
    def models_by_name(self) -> dict[str, ModelSpec]:
        """Models by name."""
        return {model.name: model for model in self.models}

    @cached_property
    def groups_by_name(self) -> dict[str, GroupSpec]:
        """Upstream groups by name."""
        return {group.name: group for group in self.groups}

    @cached_property
    def services_by_name(self) -> dict[str, ServiceSpec]:
        """Plain services by name."""
        return {service.name: service for service in self.services}

    @cached_property
    def route_index(self) -> RouteIndex:
        """Routes by host and path."""
        return RouteIndex(route.to_route() for route in self.routes)

    def upstream_names(self) -> set[str]:
        """Return the upstreams of all groups and plain services."""
        return {
            name for spec in (*self.groups, *self.services) for name in spec.upstreams
        }

    def canonical_bytes(self) -> bytes:
        """Return the same bytes for equal manifests."""
        content = self.model_dump(mode="json")
        return json.dumps(content, sort_keys=True, separators=(",", ":")).encode()

    def digest(self) -> str:
        """Return the SHA-256 of the canonical bytes in hex."""
        return hashlib.sha256(self.canonical_bytes()).hexdigest()


def credential_digest(credential: str) -> str:
    """Return the SHA-256 that identifies a credential in a manifest."""
    return hashlib.sha256(credential.encode()).hexdigest()


def _check_unique(field: str, names: list) -> None:
    seen = set()
    for name in names:
        if name in seen:
            raise ValueError(f"{field}: got {name!r} twice; expected unique values")
        seen.add(name)


def _check_known(field: str, names, known: set[str]) -> None:
    for name in names:
        if name not in known:
            expected = ", ".join(sorted(known)) or "none defined"
            raise ValueError(f"{field}: got {name!r}; expected one of: {expected}")
