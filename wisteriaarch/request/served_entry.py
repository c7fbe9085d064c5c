"""Interface through which the HTTP handlers access their entry."""

from typing import Protocol

from ..process.fleet import Fleet
from ..process.load_monitor import LoadMonitor
from ..process.membership import Membership
from ..process.metrics import Metrics
from ..process.settings import EntrySettings
from ..process.staleness import StalenessCheck
from ..version.control import ControlPlane
from ..version.manifest_watcher import ManifestWatcher
from ..version.publication import ActiveManifest
from .admission import Admission
from .request_runner import RequestRunner


class ServedEntry(Protocol):
    """Components and state of one entry; handlers only read them.

    A shutdown has two steps: with ``stopping`` the entry reports that it isn't ready,
    with ``closing`` it also refuses new calls.
    """

    settings: EntrySettings
    incarnation: int
    stopping: bool
    closing: bool
    metrics: Metrics
    fleet: Fleet
    loads: LoadMonitor
    membership: Membership
    watcher: ManifestWatcher
    staleness: StalenessCheck
    control: ControlPlane
    admission: Admission
    runner: RequestRunner

    def active_manifest(self) -> ActiveManifest:
        """Return the active manifest; raises RequestError if it may be outdated."""

    def is_ready(self, entry_id: str) -> bool:
        """Whether an entry accepts new requests, according to this entry's view."""

    def is_alive(self, entry_id: str) -> bool:
        """Whether an entry runs and is not shutting down, in this entry's view."""
