"""Checks whether the entry that holds a claim is still running."""

from ..errors import WireError
from ..http_fetch import fetch
from ..process.fleet import Fleet

PROBE_TIMEOUT_S = 0.5


class OwnerProbe:
    """Queries the incarnation of other entries.

    Used only if several entries, or incarnations of one, use the same key.
    """

    def __init__(self, fleet: Fleet):
        self._fleet = fleet

    async def has_ended(self, entry_id: str, incarnation: int) -> bool:
        """Whether that incarnation has definitely ended.

        A timeout is no proof, but a refused connection or another incarnation is.
        """
        instance = self._fleet.get(entry_id)
        if instance is None:
            return False
        try:
            response = await fetch(
                instance.address, "GET", "/v1/status", timeout_s=PROBE_TIMEOUT_S
            )
            return response.json().get("incarnation") != incarnation
        except ConnectionRefusedError:
            return True
        except (OSError, WireError):
            return False
