"""Measures what one entry spends: at rest, for each upstream, peer, change and request.

    python -m extras.node_cost

Processor time is that of the entry's process; a slope is the difference of two runs
over the difference of their sizes. Intervals are the defaults of the settings.
"""

import socket
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from extras.bench import DEFAULT_INTERVALS, Bench, cpu_s
from extras.cluster import HOST, Cluster, Process, wait_until
from extras.demo import MODEL, build_manifest

REST_S = 10.0
CHANGES = 20
REQUEST_SECONDS = 6.0
KIB = 1024
READ_BYTES = 64 * 1024


@dataclass(frozen=True)
class Rest:
    """Entry at rest: share of a core, resident memory in MiB, reads of the platform."""

    core_share: float
    memory_mib: float
    reads_per_s: float


def memory_mib(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB
    raise ValueError(f"process {pid} shows no resident memory")


def measure_rest(engines: int, entries: int) -> Rest:
    """Return what the first of ``entries`` spends at rest before ``engines``."""
    with Cluster() as cluster:
        entry = _start(cluster, engines, entries)
        reads_before = _platform_reads(cluster)
        cpu_before = cpu_s(entry.popen.pid)
        time.sleep(REST_S)
        return Rest(
            (cpu_s(entry.popen.pid) - cpu_before) / REST_S,
            memory_mib(entry.popen.pid),
            (_platform_reads(cluster) - reads_before) / REST_S / entries,
        )


def measure_change() -> float:
    """Return the processor time in seconds that a manifest costs an entry."""
    with Cluster() as cluster:
        entry = _start(cluster, engines=2, entries=1)
        rest_before = cpu_s(entry.popen.pid)
        time.sleep(REST_S)
        rest_share = (cpu_s(entry.popen.pid) - rest_before) / REST_S
        began_s, before = time.monotonic(), cpu_s(entry.popen.pid)
        for number in range(CHANGES):
            _apply(cluster, _manifest(engines=2, priority=number % 9))
        used = cpu_s(entry.popen.pid) - before
        return (used - rest_share * (time.monotonic() - began_s)) / CHANGES


def measure_request() -> float:
    """Return the processor time in seconds that a one-token answer costs an entry."""
    with Cluster() as cluster:
        bench = Bench(cluster)
        bench.start(step_s=0.0005)
        entry = cluster.processes["entry-1"]
        before = cpu_s(entry.popen.pid)
        completed = bench.measure("entry-1", in_flight=4, seconds=REQUEST_SECONDS)
        return (cpu_s(entry.popen.pid) - before) / completed["completed"]


def measure_report_bytes() -> int:
    """Return the bytes of one load report's exchange, without TCP and IP headers."""
    with Cluster() as cluster:
        _start(cluster, engines=1, entries=1)
        host, port = HOST, cluster.processes["engine-0"].port
        request = f"GET /load HTTP/1.1\r\nHost: {host}:{port}\r\n"
        request += "Connection: close\r\n\r\n"
        with socket.create_connection((host, port)) as sock:
            sock.sendall(request.encode())
            received = b"".join(iter(lambda: sock.recv(READ_BYTES), b""))
        return len(request) + len(received)


def _start(cluster: Cluster, engines: int, entries: int) -> Process:
    cluster.start_platform()
    for name in _engine_names(engines):
        cluster.start_engine(name, models=[f"{MODEL}@v1"])
    for number in range(entries):
        cluster.start_entry(f"entry-{number}", **DEFAULT_INTERVALS)
    _apply(cluster, _manifest(engines, priority=1))
    entry = cluster.processes["entry-0"]
    wait_until(lambda: entry.request("GET", "/readyz").status == 200)
    return entry


def _engine_names(engines: int) -> list[str]:
    return [f"engine-{number}" for number in range(engines)]


def _manifest(engines: int, priority: int) -> dict:
    manifest = build_manifest(priority=priority)
    manifest["groups"][0]["upstreams"] = _engine_names(engines)
    manifest["models"][0]["replicas"] = engines
    return manifest


def _apply(cluster: Cluster, manifest: dict) -> None:
    done = cluster.apply(manifest)
    if done.returncode:
        raise RuntimeError(done.stderr + done.stdout)


def _platform_reads(cluster: Cluster) -> int:
    return cluster.platform.request("GET", "/counters").json()["reads"]


def main() -> int:
    """Measure and print everything."""
    base, many_engines, many_entries = (
        measure_rest(2, 1),
        measure_rest(26, 1),
        measure_rest(2, 9),
    )
    for name, rest in (
        ("2 engines, 1 entry", base),
        ("26 engines, 1 entry", many_engines),
        ("2 engines, 9 entries", many_entries),
    ):
        print(
            f"at rest, {name}: {100 * rest.core_share:.2f}% of a core, "
            f"{rest.memory_mib:.1f} MiB, {rest.reads_per_s:.1f} table reads/s an entry"
        )
    _print_slope("upstream", base, many_engines, 24)
    _print_slope("peer", base, many_entries, 8)
    print(f"load report: {measure_report_bytes()} bytes")
    print(f"manifest change: {1e3 * measure_change():.1f} ms")
    print(f"one-token request: {1e6 * measure_request():.0f} us")
    return 0


def _print_slope(name: str, base: Rest, other: Rest, added: int) -> None:
    core = 100 * (other.core_share - base.core_share) / added
    memory_kib = KIB * (other.memory_mib - base.memory_mib) / added
    print(f"for each {name}: {core:.3f}% of a core, {memory_kib:.0f} KiB")


if __name__ == "__main__":
    sys.exit(main())
