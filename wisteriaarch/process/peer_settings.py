"""Settings used by heartbeats and membership."""

from typing import Protocol

from .settings_models import AddressSettings


class PeerSettings(Protocol):
    """Settings common to all kinds of entries; times are in seconds."""

    entry_id: str
    peer_listen: AddressSettings
    heartbeat_every_s: float
    freshness_bound_s: float
    peers_max: int
    seed: int | None
