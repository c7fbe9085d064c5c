"""Notices that the settings file has changed, with or without a signal."""

from collections.abc import Callable
from pathlib import Path

import curio

from ..errors import ConfigError
from ..events import Event, EventLog
from .gateway_settings import GatewaySettings


class SettingsWatch:
    """Reads the file again and hands valid settings on; nothing is interrupted.

    Addresses take effect at the next start only.
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
        self._text = self._read()

    async def run(self) -> None:
        """Look for a change for ever."""
        while True:
            await curio.sleep(self._current.settings_poll_every_s)
            if self._read() != self._text:
                self.reload()

    def reload(self) -> None:
        """Read the settings now; invalid ones are refused and logged."""
        if self._path is None:
            return
        self._text = self._read()
        try:
            settings = GatewaySettings.from_file(self._path)
        except ConfigError as exc:
            self._log.write(Event.SETTINGS_REFUSED, error=str(exc))
            return
        changed = [
            name
            for name in GatewaySettings.model_fields
            if getattr(settings, name) != getattr(self._current, name)
        ]
        self._current = settings
        self._apply(settings)
        self._log.write(Event.SETTINGS_RELOADED, changed=changed)

    def _read(self) -> bytes | None:
        if self._path is None:
            return None
        try:
            return Path(self._path).read_bytes()
        except OSError as exc:
            self._log.write(Event.SETTINGS_REFUSED, error=str(exc))
            return None
