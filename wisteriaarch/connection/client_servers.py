"""Servers of one process for its clients, under the limits of its instance."""

from collections.abc import Callable
from functools import partial
from typing import Any

from ..event_log import EventLog
from ..memory_budget import PROCESS_BUDGET
from ..process.client_limits import ClientLimits, InstanceSettings
from ..process.limit_reports import LimitReports
from ..process.metrics import Metrics
from ..process.settings_models import AddressSettings
from ..wire import HttpRequest
from .caller_connection import CallerConnection
from .caller_server import CallerServer
from .connection_limit import ConnectionLimit
from .info_server import InfoAnswer, InfoServer

CALLERS = "callers"


class ClientServers:
    """Builds the servers, which share one record of the limits that took effect."""

    def __init__(self, settings: InstanceSettings, metrics: Metrics, log: EventLog):
        self._reports = LimitReports(metrics, log)
        self._settings = settings
        self._log = log
        self._limits = ClientLimits.from_config(settings)
        PROCESS_BUDGET.set_limit(self._limits.message_bytes)

    def callers(self, app: Any) -> CallerServer:
        """Return the server for the callers of an entry."""
        return CallerServer(
            partial(CallerConnection, app=app, reports=self._reports),
            self._log,
            self._limit(self._limits.connections, CALLERS),
        )

    def info(
        self,
        field: str,
        listen: AddressSettings,
        answer: Callable[[HttpRequest], InfoAnswer],
    ) -> InfoServer:
        """Return a server for information; ``field`` is the setting of its address."""
        return InfoServer(
            field,
            listen.address(),
            answer,
            self._log,
            self._limit(self._limits.info_connections, field),
            self._settings.limits,
        )

    def _limit(self, connections: int, server: str) -> ConnectionLimit:
        unread_s = self._settings.limits.unread_when_full_s
        return ConnectionLimit(connections, server, self._reports, unread_s)
