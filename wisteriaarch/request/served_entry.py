"""What the own interface's handlers need of the entry that they serve."""

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
    """Parts and state of one entry; handlers read them and change none."""

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
        """Return what is in force; raises RequestError where it may be outdated."""

    def is_ready(self, entry_id: str) -> bool:
        """Whether an entry takes new requests, as far as this one knows."""

    def is_alive(self, entry_id: str) -> bool:
        """Whether an entry runs and is not leaving, as far as this one knows."""
