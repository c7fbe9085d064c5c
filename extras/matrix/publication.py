"""Driver of the publication of a manifest."""

import subprocess
import threading
import time
from http.client import HTTPException

from extras.cluster import Process, request
from wisteriaarch.status import ExitStatus

from .bench import FRESHNESS_BOUND_S
from .faults import ACCEPTED
from .procedure import Procedure

PROBE_EVERY_S = 0.1
PROBE_TIMEOUT_S = 1.0
PROBE_SLACK_S = 0.75
REFUSED = (ExitStatus.CONFLICT, ExitStatus.UNAVAILABLE)


class Publication(Procedure):
    """An operator applies a manifest that replaces the caller's credential.

    Meanwhile the replaced credential is tried on each entry: when the age of the
    accepted manifest exceeds the staleness bound, no entry may accept that credential.
    """

    name = "publish"

    def __init__(self, *args):
        super().__init__(*args)
        self._probing = threading.Event()
        self._prober = threading.Thread(target=self._probe)

    def act(self) -> None:
        """Apply a manifest with another credential."""
        self.close()
        self.revision = self.bench.head()["revision"]
        self.bench.rival_accepted = False
        self.replaced = self.bench.credential
        self.bench.credential = f"matrix-credential-{self.rng.getrandbits(64)}"
        self._prober = threading.Thread(target=self._probe)
        self._probing.set()
        self._prober.start()
        self.done = self.apply()

    def settle(self) -> None:
        """Wait until the manifest is in force on every entry; retry it if necessary."""
        self._check_report(self.done)
        self.apply_until_accepted()
        self.wait_in_force()

    def check(self) -> None:
        """Check that each entry accepts the new credential and rejects the old one."""
        for entry in self.bench.entries:
            for credential, wanted in (
                (self.bench.credential, 200),
                (self.replaced, 401),
            ):
                status = self._try_credential(entry, credential)
                self.expect(
                    status == wanted, f"{entry.name} answered {status}, not {wanted}"
                )

    def close(self) -> None:
        """Stop the probe thread."""
        self._probing.clear()
        if self._prober.is_alive():
            self._prober.join()

    def _check_report(self, done: subprocess.CompletedProcess) -> None:
        head = self.bench.head()
        reported = done.returncode in ACCEPTED
        if done.returncode in REFUSED:
            self.expect(
                head["digest"] != self.digest(),
                f"accepted, but reported as refused: {done.stderr}",
            )
        if done.returncode == ExitStatus.CONFLICT:
            self.expect(
                self.bench.rival_accepted, f"conflict without a rival: {done.stderr}"
            )
        if reported or done.returncode in REFUSED:
            accepted = head["revision"] - self.revision
            reported_accepted = reported + self.bench.rival_accepted
            self.expect(
                accepted == reported_accepted,
                f"{accepted} accepted, {reported_accepted} reported accepted",
            )

    def _probe(self) -> None:
        accepted_at = None
        while self._probing.is_set():
            if accepted_at is None and self._is_accepted():
                accepted_at = time.monotonic()
            for entry in list(self.bench.entries):
                asked_at = time.monotonic()
                if accepted_at is None:
                    break
                age_s = asked_at - accepted_at
                if age_s < FRESHNESS_BOUND_S + PROBE_SLACK_S:
                    break
                if self._try_credential(entry, self.replaced) == 200:
                    self.violations.append(
                        f"{entry.name} served the old manifest after {age_s:.1f} s"
                    )
            time.sleep(PROBE_EVERY_S)

    def _is_accepted(self) -> bool:
        try:
            return self.bench.head()["digest"] == self.digest()
        except (OSError, HTTPException):
            return False

    def _try_credential(self, entry: Process, credential: str) -> int:
        headers = {"Authorization": f"Bearer {credential}"}
        try:
            return request(
                entry.address, "GET", "/v1/models", None, headers, PROBE_TIMEOUT_S
            ).status
        except (OSError, HTTPException):
            return 0
