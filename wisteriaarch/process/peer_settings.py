"""Settings that heartbeats and membership depend on."""

from typing import Protocol

from .settings_models import AddressSettings


class PeerSettings(Protocol):
    """Part of the settings that all kinds of entries have; times are in seconds."""

    entry_id: str
    peer_listen: AddressSettings
    heartbeat_every_s: float
    freshness_bound_s: float
    peers_max: int
    seed: int | None
