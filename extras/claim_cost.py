"""Measures what claims cost by the number of entries on the instance list.

    python -m extras.claim_cost

One entry takes claimed calls of a plain service; the other entries are only listed, so
that it keeps to its share of the table's budget. Writes of all entries are its own
times their number. Latency is that of a claimed call; the service answers at once.
"""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from statistics import median, quantiles

from extras.bench import DEFAULT_INTERVALS
from extras.cluster import Cluster, request, wait_until
from extras.demo import CREDENTIAL, build_manifest
from extras.ports import free_port

LISTED = (9, 100, 400)
FULL_CALLERS = 32
FULL_CALLS = 256
SINGLE_CALLS = 12
SINGLE_EVERY_S = 1.5
SETTLE_S = 3.0


@dataclass(frozen=True)
class ClaimCost:
    """Table writes a second of one entry, and latencies of claimed calls in seconds."""

    writes_per_s: float
    latencies_s: tuple[float, ...]


class ClaimBench:
    """One entry among ``listed`` ones."""

    def __init__(self, cluster: Cluster, listed: int):
        self._cluster = cluster
        cluster.start_platform()
        cluster.start_service("portal-1")
        for name in ("engine-1", "engine-2"):
            cluster.start_engine(name)
        self._entry = cluster.start_entry("entry-1", **DEFAULT_INTERVALS)
        done = cluster.apply(build_manifest())
        if done.returncode:
            raise RuntimeError(done.stderr + done.stdout)
        wait_until(lambda: self._call("warm-up") is not None)
        for number in range(listed - 1):
            address = f"127.0.0.1:{free_port()}"
            cluster.register(f"listed-{number}", "entry", address, "zone-a")
        time.sleep(SETTLE_S)

    def measure(self, callers: int, calls: int, every_s: float = 0.0) -> ClaimCost:
        """Make ``calls`` claimed calls, ``callers`` at a time."""
        name = f"{callers}-{every_s}"
        before, began_s = self._writes(), time.monotonic()

        def call(number: int) -> float:
            time.sleep(every_s)
            latency_s = self._call(f"{name}-{number}")
            if latency_s is None:
                raise RuntimeError("a claimed call was refused")
            return latency_s

        with ThreadPoolExecutor(callers) as pool:
            latencies_s = tuple(pool.map(call, range(calls)))
        passed_s = time.monotonic() - began_s
        return ClaimCost((self._writes() - before) / passed_s, latencies_s)

    def _call(self, key: str) -> float | None:
        headers = {
            "Authorization": f"Bearer {CREDENTIAL}",
            "Idempotency-Key": key,
            "X-Non-Idempotent": "true",
        }
        target = "/services/portal/export"
        began_s = time.monotonic()
        answer = request(self._entry.address, "POST", target, b"x", headers)
        return time.monotonic() - began_s if answer.status == 200 else None

    def _writes(self) -> int:
        """Return how many transactions have written claims."""
        rows = self._cluster.platform.request("GET", "/table/claims").json()["rows"]
        return len({write_id for row in rows for write_id in row["write_ids"]})


def main() -> int:
    """Measure and print everything."""
    for listed in LISTED:
        with Cluster() as cluster:
            bench = ClaimBench(cluster, listed)
            full = bench.measure(FULL_CALLERS, FULL_CALLS)
            single = bench.measure(1, SINGLE_CALLS, SINGLE_EVERY_S)
        print(
            f"{listed} entries: full load {full.writes_per_s:.2f} writes/s an entry, "
            f"{listed * full.writes_per_s:.0f}/s for all, {_latency(full)}; "
            f"one call in {SINGLE_EVERY_S:g} s: {_latency(single)}"
        )
    return 0


def _latency(cost: ClaimCost) -> str:
    p95_s = quantiles(cost.latencies_s, n=20)[-1]
    return f"p50 {median(cost.latencies_s):.3f} s, p95 {p95_s:.3f} s"


if __name__ == "__main__":
    sys.exit(main())
