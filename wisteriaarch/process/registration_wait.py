"""Waits for registrations that an entry hasn't read yet.

After a restart of entries or an outage of the store, callers may arrive before the
upstreams have registered again, or before this entry has read that they have.
"""

from collections.abc import Callable

import curio

from .upstreams import UpstreamRegistry

REGISTRATION_WAIT_S = 0.6
REGISTRATION_POLL_S = 0.05


async def wait_for_registrations(
    registry: UpstreamRegistry, are_registered: Callable[[], bool]
) -> None:
    """Wait briefly until a condition holds, if registrations may be missing."""
    waited_s = 0.0
    while (
        not are_registered()
        and waited_s < REGISTRATION_WAIT_S
        and registry.may_be_incomplete()
    ):
        await curio.sleep(REGISTRATION_POLL_S)
        waited_s += REGISTRATION_POLL_S
