"""Client that fetches newer store rows from another entry.

An entry misses a change if the change is too large for a datagram or the datagram was
lost. It can't read the change from the store if the store is unreachable, or refuses
some instances while it serves others, during a configuration change or while an entry
starts.
"""

import random
from collections.abc import Callable

import curio

from ..errors import ConfigError, WisteriaError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.fleet_state import FleetState
from ..process.member_list import MemberList, MemberRecord
from ..wire import Address
from .message_link import MessageLink
from .scheduling_messages import CopyAnswer, CopyQuery

CHECK_EVERY_S = 0.25
# An update may still arrive by datagram; a copy is fetched after this time only.
UPDATE_TIMEOUT_S = 0.3
FETCH_JITTER_S = 0.15
CONNECT_TIMEOUT_S = 0.3
ANSWER_TIMEOUT_S = 1.0


class CopyClient:
    """Keeps this entry's rows as new as those applied by other entries.

    ``address_of`` returns the peer address of an entry.
    """

    def __init__(
        self,
        members: MemberList,
        state: FleetState,
        address_of: Callable[[str], Address],
        log: EventLog,
        seed: int | None = None,
    ):
        self._members = members
        self._state = state
        self._address_of = address_of
        self._log = log
        self._rng = random.Random(seed)
        self._requested_from = ""
        self._wake = curio.Event()

    async def request_copy(self, entry_id: str) -> None:
        """Request that a copy be fetched from an entry by the task of ``run``."""
        self._requested_from = entry_id
        await self._wake.set()

    async def run(self) -> None:
        """Fetch copies whenever this entry is behind, forever."""
        behind_since_s: float | None = None
        while True:
            async with curio.ignore_after(CHECK_EVERY_S):
                await self._wake.wait()
            self._wake.clear()
            requested_from, self._requested_from = self._requested_from, ""
            if requested_from:
                await curio.sleep(self._rng.uniform(0, FETCH_JITTER_S))
                await self._install_copy_from(requested_from)
                continue
            if not self._is_behind():
                behind_since_s = None
                continue
            behind_since_s = behind_since_s or now_s()
            if now_s() - behind_since_s >= UPDATE_TIMEOUT_S:
                await self._catch_up()

    def _is_behind(self) -> bool:
        return any(self._is_ahead(item) for item in self._members.living_others())

    def _is_ahead(self, other: MemberRecord) -> bool:
        state = self._state
        return (
            other.generation > state.known_position
            or other.configuration > state.configuration_version
        )

    async def _catch_up(self) -> None:
        """Fetch a copy from a peer that is ahead, or else read the store."""
        ahead = [
            item.entry_id
            for item in self._members.living_others()
            if self._is_ahead(item)
        ]
        if ahead and await self._install_copy_from(self._rng.choice(ahead)):
            return
        await self._state.catch_up(self._members.highest_generation())

    async def _install_copy_from(self, peer: str) -> bool:
        """Install a peer's rows; returns whether this entry is now up to date."""
        try:
            answer = await self._fetch_copy(self._address_of(peer))
            if answer.copy is not None:
                await self._state.install_copy(answer.copy)
        except ConfigError as exc:
            self._log.write(Event.MANIFEST_COPY_REFUSED, peer=peer, error=str(exc))
        except (OSError, WisteriaError, curio.TaskTimeout) as exc:
            error = str(exc) or type(exc).__name__
            self._log.write(Event.ROW_COPY_FETCH_FAILED, peer=peer, error=error)
        return not self._is_behind()

    async def _fetch_copy(self, address: Address) -> CopyAnswer:
        link = await MessageLink.connect(address, CONNECT_TIMEOUT_S)
        write_task = await curio.spawn(link.write_queued, daemon=True)
        try:
            await link.send(CopyQuery())
            async with curio.timeout_after(ANSWER_TIMEOUT_S):
                answer = await link.receive()
        finally:
            await write_task.cancel()
            await link.close()
        if not isinstance(answer, CopyAnswer):
            raise ConfigError(f"expected a copy, got {type(answer).__name__}")
        return answer
