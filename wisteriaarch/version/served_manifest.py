"""The manifest on which requests are served, while it may be taken for current."""

from ..errors import ErrorKind, RequestError
from ..process.staleness import ServingBasis, StalenessCheck
from .manifest_watcher import ManifestWatcher
from .publication import ActiveManifest


class ServedManifest:
    """Manifest in force, as long as it was confirmed within ``bound_s``."""

    def __init__(
        self, watcher: ManifestWatcher, staleness: StalenessCheck, bound_s: float
    ):
        self._watcher = watcher
        self._staleness = staleness
        self._bound_s = bound_s

    def require(self) -> ActiveManifest:
        """Return the manifest in force; raises RequestError if it may be outdated."""
        current = self._watcher.current
        if current is None:
            raise RequestError(ErrorKind.STALE_MANIFEST, "no manifest is in force yet")
        if self._staleness.basis() is ServingBasis.NONE:
            raise RequestError(
                ErrorKind.STALE_MANIFEST,
                f"generation {self._watcher.generation} was not confirmed "
                f"within {self._bound_s:g} s",
            )
        return current
