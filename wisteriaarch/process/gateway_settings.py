"""Settings of an entry that serves routes, read from a JSON file and validated."""

from typing import Self

from pydantic import ConfigDict, Field

from .duty_settings import AddressText, DutySettings
from .settings_models import (
    AddressSettings,
    LeaseSettings,
    LimitSettings,
    LogSettings,
    StrictModel,
    load_model,
)

MS_PER_S = 1000
LEASE_RENEW_FRACTION = 0.25
LEASE_DRIFT_FRACTION = 0.1
# Fewer renewals than of a stage change: a duty is held all the time, and its calls to
# the store are priced.
DUTY_RENEW_FRACTION = 1 / 3


class RetrySettings(StrictModel):
    """Retry limit of one service, shared by all entries.

    In any window of ``window_s`` seconds, at most ``ratio`` times the number of
    requests plus ``slack`` retries are allowed.
    """

    ratio: float = Field(default=0.2, ge=0)
    window_s: float = Field(default=10.0, gt=0)
    slack: float = Field(default=50.0, ge=0)


class ZoneTransferSettings(StrictModel):
    """Price of traffic between zones.

    ``delay_ms`` is the time one way, ``price_per_gb`` the price of a gigabyte, and
    ``value_per_s`` the value of a second of a caller's waiting, in the same unit.
    ``kv_bytes_per_token`` is the size of a KV cache for each token of a prompt.
    """

    delay_ms: float = Field(ge=0)
    price_per_gb: float = Field(ge=0)
    value_per_s: float = Field(gt=0)
    kv_bytes_per_token: int = Field(default=131_072, ge=0)


class GatewaySettings(StrictModel):
    """Settings of an entry that serves routes; see docs/CONFIGURATION.md.

    ``entry_id`` is the IP address of the instance. All entries use the same ports, so
    that a peer's addresses follow from its id. With ``strict_revoke``, API keys are
    refused once the store hasn't confirmed the configuration for ``revoke_ms``.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    entry_id: str = Field(min_length=1, max_length=64)
    node: str = ""
    zone: str
    cpu_share: float = Field(default=1.0, gt=0)
    cpu_speed: float = Field(default=1.0, gt=0)
    memory_mb: int | None = Field(default=None, ge=16)
    max_fds: int | None = Field(default=None, ge=32)
    front: AddressText
    ready: AddressText
    directory: AddressText
    store: AddressText
    peer_port: int = Field(ge=0, le=65535)
    metrics_port: int = Field(default=9464, ge=0, le=65535)
    seeds: tuple[str, ...] = ()
    retry: RetrySettings = RetrySettings()
    log: LogSettings = LogSettings(form="json")
    limits: LimitSettings = LimitSettings(
        head_bytes=32 * 1024, body_bytes=8 * 1024 * 1024
    )
    watch_wait_s: float = Field(default=1.5, gt=0)
    entries_poll_every_s: float = Field(default=60.0, gt=0)
    settings_poll_every_s: float = Field(default=1.0, gt=0)
    callers_keep_s: float = Field(default=1.0, gt=0)
    stop_grace_s: float = Field(default=8.0, gt=0)
    change_stages: bool = True
    zone_transfer: ZoneTransferSettings | None = None
    lease_term_ms: float = Field(default=3000.0, gt=0)
    duties: DutySettings | None = None
    strict_revoke: bool = False
    revoke_ms: float = Field(default=5000.0, gt=0)
    seed: int | None = None

    @classmethod
    def from_file(cls, path: str) -> Self:
        """Read settings from ``path``; raises ConfigError."""
        return load_model(cls, path)

    @property
    def cores(self) -> float:
        """CPU share of the instance, in cores of speed 1."""
        return self.cpu_share * self.cpu_speed

    @property
    def lease(self) -> LeaseSettings:
        """Timing of the lease that a stage change requires."""
        return self._lease_settings(LEASE_RENEW_FRACTION)

    @property
    def duty_lease(self) -> LeaseSettings:
        """Timing of the lease of a duty."""
        return self._lease_settings(DUTY_RENEW_FRACTION)

    def _lease_settings(self, renew_fraction: float) -> LeaseSettings:
        term_s = self.lease_term_ms / MS_PER_S
        return LeaseSettings(
            term_s=term_s,
            renew_every_s=term_s * renew_fraction,
            drift_margin_s=term_s * LEASE_DRIFT_FRACTION,
        )

    @property
    def metrics_address(self) -> AddressSettings:
        """Address at which the metrics are served."""
        return AddressSettings(host=self.entry_id, port=self.metrics_port)
