"""Reloads the settings when their file changes, with or without a signal."""

from collections.abc import Callable
from pathlib import Path

import curio

from ..errors import ConfigError
from ..event_log import EventLog
from ..events import Event
from .gateway_settings import GatewaySettings


class SettingsWatch:
    """Polls the settings file and applies valid changes without interrupting requests.

    Address changes take effect only at the next start.
    """

    def __init__(
        self,
        path: str | None,
        current: GatewaySettings,
        apply: Callable[[GatewaySettings], None],
        log: EventLog,
    ):
        self._path = path
        self._current = current
        self._apply = apply
        self._log = log
        self._last_content = self._read_file()
        self._reload_requested = curio.Event()

    async def run(self) -> None:
        """Poll the file for changes, and reload it on request; never returns.

        The file may have changed since the current settings were read.
        """
        if self._read_settings() not in (None, self._current):
            self.reload()
        while True:
            async with curio.ignore_after(self._current.settings_poll_every_s):
                await self._reload_requested.wait()
            is_requested = self._reload_requested.is_set()
            self._reload_requested.clear()
            if is_requested or self._read_file() != self._last_content:
                self.reload()

    async def request_reload(self) -> None:
        """Let ``run`` read the settings now, also if the file has not changed."""
        await self._reload_requested.set()

    def reload(self) -> None:
        """Read the settings now; invalid settings are rejected and logged."""
        self._last_content = self._read_file()
        settings = self._read_settings()
        if settings is None:
            return
        changed = [
            name
            for name in GatewaySettings.model_fields
            if getattr(settings, name) != getattr(self._current, name)
        ]
        self._current = settings
        self._apply(settings)
        self._log.write(Event.SETTINGS_RELOADED, changed=changed)

    def _read_settings(self) -> GatewaySettings | None:
        if self._path is None:
            return None
        try:
            return GatewaySettings.from_file(self._path)
        except ConfigError as exc:
            self._log.write(Event.SETTINGS_INVALID, error=str(exc))
            return None

    def _read_file(self) -> bytes | None:
        if self._path is None:
            return None
        try:
            return Path(self._path).read_bytes()
        except OSError as exc:
            self._log.write(Event.SETTINGS_INVALID, error=str(exc))
            return None
