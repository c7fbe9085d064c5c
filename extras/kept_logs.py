"""Keeps the logs of the processes of tests that fail.

``tests/__init__.py`` has the suite run with ``LogKeepingResult``. A failing test leaves
the logs and settings files of its clusters in ``build/failed-tests/TEST_ID/``, in a
folder for each cluster.
"""

import re
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

KEPT_PATH = Path("build/failed-tests")
KEPT_SUFFIXES = (".log", ".json")
# Of a longer file, only the end is kept.
KEPT_BYTES_MAX = 16 * 1024 * 1024


class LogKeeper:
    """Copies the files of the clusters that exist while a test fails.

    Folders of clusters that end during a test are removed when the test ends, since
    the test may fail after its clusters have ended.
    """

    def __init__(self, path: Path = KEPT_PATH):
        self._path = path
        self._tests_running = 0
        self._failed_ids: dict[Path, set[str]] = {}
        self._ended: list[TemporaryDirectory] = []

    def cluster_started(self, directory: TemporaryDirectory) -> None:
        """Watch the folder of a cluster."""
        self._failed_ids[Path(directory.name)] = set()

    def cluster_ended(self, directory: TemporaryDirectory) -> None:
        """Copy what was logged since a failure, and remove the folder in time."""
        path = Path(directory.name)
        for test_id in self._failed_ids.get(path, ()):
            self._copy(path, test_id)
        self._ended.append(directory)
        self._remove_ended()

    def test_started(self) -> None:
        """Note that a test is running."""
        self._tests_running += 1

    def test_failed(self, test_id: str) -> Path | None:
        """Copy the files of all clusters; return their folder if there are any."""
        for path, failed_ids in list(self._failed_ids.items()):
            failed_ids.add(test_id)
            self._copy(path, test_id)
        return self._folder(test_id) if self._failed_ids else None

    def test_ended(self) -> None:
        """Remove the folders of clusters that have ended."""
        self._tests_running -= 1
        self._remove_ended()

    def _remove_ended(self) -> None:
        while self._ended and not self._tests_running:
            directory = self._ended.pop()
            self._failed_ids.pop(Path(directory.name), None)
            directory.cleanup()

    def _folder(self, test_id: str) -> Path:
        return self._path / re.sub(r"[^\w.-]+", "_", test_id)

    def _copy(self, path: Path, test_id: str) -> None:
        target = self._folder(test_id) / path.name
        target.mkdir(parents=True, exist_ok=True)
        for source in path.iterdir():
            if source.suffix in KEPT_SUFFIXES and source.is_file():
                (target / source.name).write_bytes(_read_end(source))


def _read_end(path: Path) -> bytes:
    with path.open("rb") as file:
        file.seek(max(0, path.stat().st_size - KEPT_BYTES_MAX))
        return file.read()


KEEPER = LogKeeper()


class LogKeepingResult(unittest.TextTestResult):
    """Test result that keeps the logs of failed tests and prints their folders."""

    keeper = KEEPER

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.kept: dict[str, Path] = {}

    def startTest(self, test):
        """Start a test."""
        self.keeper.test_started()
        super().startTest(test)

    def stopTest(self, test):
        """End a test."""
        super().stopTest(test)
        self.keeper.test_ended()

    def addError(self, test, err):
        """Add an error, also of the set-up of a class."""
        super().addError(test, err)
        self._keep(test)

    def addFailure(self, test, err):
        """Add a failure."""
        super().addFailure(test, err)
        self._keep(test)

    def addSubTest(self, test, subtest, err):
        """Add the outcome of a part of a test."""
        super().addSubTest(test, subtest, err)
        if err is not None:
            self._keep(test)

    def printErrors(self):
        """Print the failures, then the folders of the kept logs."""
        super().printErrors()
        for test_id, path in self.kept.items():
            self.stream.writeln(f"logs of {test_id}: {path}")
        self.stream.flush()

    def _keep(self, test) -> None:
        path = self.keeper.test_failed(test.id())
        if path is not None:
            self.kept[test.id()] = path
