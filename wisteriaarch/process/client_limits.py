"""Limits on what all clients of an instance may hold, derived from its resources.

The load is clients that open many connections, send without end and read no answers.
"""

import resource
from dataclasses import dataclass
from typing import Protocol, Self

from .settings_models import LimitSettings

MIB = 1024 * 1024
# Memory that the limits assume where the settings don't state it: the least that an
# instance has.
MEMORY_DEFAULT_MB = 160
# Complete and incomplete messages may hold a tenth of the memory, and another tenth
# for the reader that holds most. The process itself takes about 50 MB.
MESSAGE_SHARE = 0.1
# A connection holds at most about 150 KB outside of the shared memory for messages
# (docs/design/untrusted-clients.md); at 160 MB, these are 72 MB.
CONNECTIONS_PER_MB = 3
# Each call needs a descriptor for its upstream besides that of its caller. The rest is
# for the store, the peers, the log and the info servers.
CALLER_SHARE = 0.4
# Probes and readers of metrics are few.
INFO_SHARE = 1 / 32
INFO_MIN = 8


class InstanceSettings(Protocol):
    """Settings that state the resources of an instance."""

    memory_mb: int | None
    max_fds: int | None
    limits: LimitSettings


@dataclass(frozen=True)
class ClientLimits:
    """Limits of one process.

    ``connections`` is the number of callers' connections, ``info_connections`` that of
    each server for information. ``message_bytes`` is shared by all messages that are
    held.
    """

    connections: int
    info_connections: int
    message_bytes: int

    @classmethod
    def from_config(cls, settings: InstanceSettings) -> Self:
        """Return the limits; ``limits.connections`` replaces the derived number."""
        max_fds = settings.max_fds or _descriptor_limit()
        derived = int(max_fds * CALLER_SHARE)
        if settings.memory_mb is not None:
            derived = min(derived, settings.memory_mb * CONNECTIONS_PER_MB)
        memory_mb = settings.memory_mb or MEMORY_DEFAULT_MB
        return cls(
            settings.limits.connections or max(1, derived),
            max(INFO_MIN, int(max_fds * INFO_SHARE)),
            int(memory_mb * MIB * MESSAGE_SHARE),
        )


def _descriptor_limit() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
