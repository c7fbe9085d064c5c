"""Interface through which the HTTP handlers access their entry."""

from typing import Protocol

from ..process.fleet import Fleet
from ..process.freshness import Freshness
from ..process.loads import LoadBoard
from ..process.membership import Membership
from ..process.metrics import Metrics
from ..process.settings import EntrySettings
from ..version.control import ControlPlane
from ..version.publication import Directive
from ..version.watcher import ManifestWatcher
from .admission import Admission
from .runner import RequestRunner


class ServedEntry(Protocol):
    """Components and state of one entry; handlers only read them."""

    settings: EntrySettings
    incarnation: int
    stopping: bool
    closing: bool
    metrics: Metrics
    fleet: Fleet
    loads: LoadBoard
    membership: Membership
    watcher: ManifestWatcher
    freshness: Freshness
    control: ControlPlane
    admission: Admission
    runner: RequestRunner

    def directive(self) -> Directive:
        """Return the current directive; raises RequestError if it may be outdated."""

    def is_ready(self, entry_id: str) -> bool:
        """Whether an entry accepts new requests, according to this entry's view."""

    def is_alive(self, entry_id: str) -> bool:
        """Whether an entry runs and is not leaving, according to this entry's view."""
