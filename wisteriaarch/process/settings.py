"""Settings of an entry, read from a JSON file and validated."""

from collections.abc import Iterator
from typing import Literal, Self

from pydantic import Field, model_validator

from .backoff import JITTER
from .load_monitor import POLL_TIMEOUT_S
from .settings_models import (
    AddressSettings,
    LeaseSettings,
    LimitSettings,
    LogSettings,
    StrictModel,
    load_model,
)
from .settings_relations import Relation, describe_unmet
from .upstream_view import MAX_REPORT_AGE_S

PolicyName = Literal["predicted", "random", "least_load", "static_split", "reactive"]
PolicyPart = Literal[
    "admission",
    "shares",
    "affinity",
    "correction",
    "urgency",
    "length",
    "shapes",
    "roles",
]


class EntrySettings(StrictModel):
    """Settings of one entry; see docs/CONFIGURATION.md."""

    entry_id: str = Field(min_length=1, max_length=64)
    zone: str = Field(min_length=1, max_length=64)
    listen: AddressSettings
    peer_listen: AddressSettings
    platform: AddressSettings
    lease: LeaseSettings = LeaseSettings()
    log: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()
    memory_mb: int | None = Field(default=None, ge=16)
    max_fds: int | None = Field(default=None, ge=32)
    heartbeat_every_s: float = Field(default=0.25, gt=0)
    head_poll_every_s: float = Field(default=0.5, gt=0)
    load_poll_every_s: float = Field(default=0.25, gt=0)
    load_polls_per_s: float = Field(default=40.0, gt=0)
    control_every_s: float = Field(default=0.2, gt=0)
    control_idle_every_s: float = Field(default=0.6, gt=0)
    control_rest_every_s: float = Field(default=5.0, gt=0)
    instances_poll_every_s: float = Field(default=1.0, gt=0)
    freshness_bound_s: float = Field(default=3.0, gt=0)
    callers_keep_s: float = Field(default=3.0, ge=0)
    stop_timeout_s: float = Field(default=120.0, gt=0)
    claim_commit_every_s: float = Field(default=0.03, ge=0)
    claim_writes_per_s: float = Field(default=300.0, gt=0)
    claims_kept_s: float = Field(default=86400.0, gt=0)
    claims_sweep_every_s: float = Field(default=1.0, gt=0)
    peers_max: int = Field(default=12, ge=2)
    upstreams_per_group: int = Field(default=64, ge=1)
    policy: PolicyName = "predicted"
    policy_off: tuple[PolicyPart, ...] = ()
    length_predictor: Literal["percentile", "ponder"] = "percentile"
    seed: int | None = None

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read settings from ``path``; raises ConfigError."""
        return load_model(cls, path)

    @model_validator(mode="after")
    def _check_relations(self) -> Self:
        """Raise ValueError that names all relations that don't hold."""
        unmet = describe_unmet(_required_relations(self))
        if unmet:
            raise ValueError(unmet)
        return self


def _required_relations(cfg: EntrySettings) -> Iterator[Relation]:
    lease = cfg.lease
    yield Relation(
        "lease.term_s",
        lease.term_s,
        lease.renew_every_s + lease.drift_margin_s,
        "lease.renew_every_s + lease.drift_margin_s",
    )
    yield Relation(
        "freshness_bound_s",
        cfg.freshness_bound_s,
        (1 + JITTER) * cfg.head_poll_every_s,
        f"head_poll_every_s with its jitter of {JITTER:.0%}",
    )
    yield Relation(
        "freshness_bound_s",
        cfg.freshness_bound_s,
        cfg.heartbeat_every_s,
        "heartbeat_every_s",
    )
    yield Relation(
        "load_poll_every_s",
        cfg.load_poll_every_s,
        MAX_REPORT_AGE_S - POLL_TIMEOUT_S,
        "the maximum age of a load report minus the poll timeout",
        must_exceed=False,
    )
