"""Benchmark of one entry against direct calls of the same stand-in engines."""

import json
import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from extras.cluster import Cluster, Process, wait_until
from extras.demo import CREDENTIAL, MODEL, build_manifest
from wisteriaarch.process.settings import EntrySettings

ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
STREAMS = 136
TOKEN_TIME_S = 0.044
TOKENS_PER_STREAM = 60
RELAY_SECONDS = 8.0
LATENCY_SECONDS = 5.0
TARGET_TOKENS_PER_S = 2500
TARGET_CORE_SHARE = 0.5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
DEFAULT_INTERVALS = {
    name: EntrySettings.model_fields[name].default
    for name in (
        "heartbeat_every_s",
        "head_poll_every_s",
        "load_poll_every_s",
        "instances_poll_every_s",
    )
}
ENGINE_COSTS = {
    "prefill_tokens_per_s": 1e9,
    "step_per_sequence_s": 0.0,
    "batch_max": 512,
    "load_s": 0.05,
}


@dataclass(frozen=True)
class RelayResult:
    """Tokens relayed and processor time spent by the entry; times in seconds."""

    tokens_per_s: float
    core_share: float
    client_core_share: float

    @property
    def us_per_token(self) -> float:
        """Processor time of the entry for each token."""
        return 1e6 * self.core_share / self.tokens_per_s

    @property
    def ratio_to_client(self) -> float:
        """Processor time of the entry over that of the clients that read the tokens."""
        return self.core_share / self.client_core_share


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


class Bench:
    """Runs the measurements on one cluster."""

    def __init__(self, cluster: Cluster):
        self._cluster = cluster

    def start(self, step_s: float) -> None:
        """Start platform, engines with ``step_s`` between tokens, and one entry."""
        costs = {**ENGINE_COSTS, "step_base_s": step_s}
        self._cluster.start_platform()
        for name in ENGINES:
            self._cluster.start_engine(name, models=[f"{MODEL}@v1"], costs=costs)
        self._cluster.start_entry("entry-1", **DEFAULT_INTERVALS)
        manifest = build_manifest()
        manifest["groups"][0]["upstreams"] = list(ENGINES)
        manifest["models"][0]["replicas"] = len(ENGINES)
        manifest["callers"][0]["requests_in_flight"] = 10_000
        done = self._cluster.apply(manifest)
        if done.returncode:
            raise RuntimeError(done.stderr)
        wait_until(lambda: self.measure("entry-1", seconds=0.1)["completed"])

    def measure(
        self, name: str, *, stream=False, in_flight=1, tokens=1, seconds=1.0
    ) -> dict:
        """Return the summary of a load client that calls one process."""
        client = self._client(
            self._cluster.processes[name],
            stream=stream,
            in_flight=in_flight,
            tokens=tokens,
            seconds=seconds,
        )
        return json.loads(client.communicate()[0])

    def _client(self, process: Process, *, stream, in_flight, tokens, seconds):
        command = [sys.executable, "-m", "extras.load_client"]
        command += ["--address", process.address, "--credential", CREDENTIAL]
        command += ["--model", MODEL, "--max-tokens", str(tokens)]
        command += ["--in-flight", str(in_flight), "--seconds", str(seconds)]
        if stream:
            command.append("--stream")
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)

    def measure_latency(self) -> tuple[dict, dict]:
        """Return the latencies of one-token answers: direct, and through the entry."""
        direct = self.measure(ENGINES[0], seconds=LATENCY_SECONDS)
        entry = self.measure("entry-1", seconds=LATENCY_SECONDS)
        return direct, entry

    def measure_relay(self, streams: int) -> RelayResult:
        """Return what the entry spends on relaying ``streams`` at once."""
        process = self._cluster.processes["entry-1"]
        before = cpu_s(process.popen.pid)
        clients = [
            self._client(
                process,
                stream=True,
                in_flight=streams // 2,
                tokens=TOKENS_PER_STREAM,
                seconds=RELAY_SECONDS,
            )
            for _ in range(2)
        ]
        results = [json.loads(client.communicate()[0]) for client in clients]
        used = cpu_s(process.popen.pid) - before
        failed = sum(result["failed"] for result in results)
        if failed:
            raise RuntimeError(f"{failed} requests failed")
        tokens = sum(result["tokens"] for result in results)
        clients_used = sum(result["cpu_s"] for result in results)
        return RelayResult(
            tokens / RELAY_SECONDS, used / RELAY_SECONDS, clients_used / RELAY_SECONDS
        )


def main() -> int:
    """Run the benchmark and print its figures."""
    with Cluster() as cluster:
        bench = Bench(cluster)
        bench.start(step_s=0.0005)
        direct, entry = bench.measure_latency()
        _print_latency(direct, entry)
    with Cluster() as cluster:
        bench = Bench(cluster)
        bench.start(step_s=TOKEN_TIME_S)
        _print_relay(f"of {STREAMS} streams", bench.measure_relay(STREAMS))
    return 0


def _print_latency(direct: dict, entry: dict) -> None:
    for name in ("whole_p50_us", "whole_p99_us"):
        added = entry[name] - direct[name]
        ratio = entry[name] / direct[name]
        print(
            f"latency {name}: direct {direct[name]}, entry {entry[name]}, "
            f"added {added}, ratio {ratio:.2f}"
        )


def _print_relay(label: str, result: RelayResult) -> None:
    print(
        f"relay {label}: {result.tokens_per_s:.0f} tokens/s, "
        f"{result.core_share:.3f} of a core, {result.us_per_token:.0f} us per token, "
        f"{result.ratio_to_client:.2f} x the reading clients' processor time "
        f"(target: {TARGET_TOKENS_PER_S} tokens/s under {TARGET_CORE_SHARE} of a core)"
    )


if __name__ == "__main__":
    sys.exit(main())
