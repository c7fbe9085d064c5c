"""Measures what an entry at rest spends on polling: upstreams, and the instance list.

    python -m extras.poll_cost [--listed N ...] [--upstreams N ...] [SETTING=VALUE ...]

Upstreams are canned answers of this process on one port each, which counts their bytes;
a relay in front of the platform counts those of the instance list. Bytes are without
TCP and IP headers.
"""

import argparse
import asyncio
import json
import sys
import threading
import time
from collections import Counter
from functools import partial

from extras.bench import DEFAULT_INTERVALS, cpu_s
from extras.cluster import HOST, Cluster, Process, wait_until
from extras.demo import MODEL, build_manifest

SETTLE_S = 12.0
REST_S = 20.0
GROUP_SIZE = 8
HEAD_END = b"\r\n\r\n"
READ_BYTES = 64 * 1024


class CannedUpstreams:
    """Engines that report and hold the same for ever; counts requests and bytes."""

    def __init__(self, count: int):
        self.ports: list[int] = []
        self.requests: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self._count = count
        self._ready = threading.Event()
        threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True).start()
        self._ready.wait()

    async def _run(self) -> None:
        for index in range(self._count):
            serve = partial(self._serve, _model_of(index))
            server = await asyncio.start_server(serve, HOST, 0)
            self.ports.append(server.sockets[0].getsockname()[1])
        self._ready.set()
        await asyncio.Event().wait()

    async def _serve(self, model, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(HEAD_END)
                path = head.split(b" ", 2)[1].decode()
                answer = _answer(path, model)
                self.requests[path] += 1
                self.bytes[path] += len(head) + len(answer)
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


def _model_of(index: int) -> str:
    """Return the model that the upstreams of a group hold."""
    group = index // GROUP_SIZE
    return f"{MODEL}-{group}" if group else MODEL


def _answer(path: str, model: str) -> bytes:
    content = {
        "name": "engine",
        "incarnation": 1,
        "role": "mixed",
        "models": {model: "v1"},
    }
    if path == "/load":
        content |= {"queued": 0, "running": 0, "sampled_at_s": time.monotonic()}
        content |= {"prefill_tokens_left": 0, "prefilled_tokens": 0, "steps": 0}
        content |= {"cached_tokens": 0, "decoded_tokens": 0}
    else:
        content |= {"streams": {}, "adapters": {}, "changing": False}
        content |= {"order_number": 0, "epoch": 0}
    body = json.dumps(content).encode()
    head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class CountingRelay:
    """Passes connections on to the platform and counts the bytes both ways."""

    def __init__(self, target: str):
        self.bytes = 0
        self.port = 0
        self._host, _, self._port = target.rpartition(":")
        self._ready = threading.Event()
        threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True).start()
        self._ready.wait()

    async def _run(self) -> None:
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        self._ready.set()
        await asyncio.Event().wait()

    async def _serve(self, reader, writer) -> None:
        up_reader, up_writer = await asyncio.open_connection(self._host, self._port)
        await asyncio.gather(
            self._pass(reader, up_writer), self._pass(up_reader, writer)
        )

    async def _pass(self, reader, writer) -> None:
        try:
            while block := await reader.read(READ_BYTES):
                self.bytes += len(block)
                writer.write(block)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def _start_entry(cluster: Cluster, names: list[str], **settings) -> Process:
    manifest = build_manifest(priority=1)
    groups = [
        {"name": f"group-{start}", "upstreams": names[start : start + GROUP_SIZE]}
        for start in range(0, len(names), GROUP_SIZE)
    ]
    manifest["groups"] = groups
    manifest["models"] = [
        {
            "name": _model_of(GROUP_SIZE * index),
            "version": "v1",
            "replicas": len(group["upstreams"]),
            "group": group["name"],
        }
        for index, group in enumerate(groups)
    ]
    manifest["services"] = []
    manifest["callers"] = [
        {**caller, "models": [MODEL], "services": []} for caller in manifest["callers"]
    ]
    entry = cluster.start_entry("entry-0", **{**DEFAULT_INTERVALS, **settings})
    done = cluster.apply(manifest)
    if done.returncode:
        raise RuntimeError(done.stderr + done.stdout)
    wait_until(lambda: entry.request("GET", "/readyz").status == 200)
    return entry


def measure_upstreams(count: int, settings: dict) -> None:
    """Print the polls of ``count`` upstreams, all of whose groups the entry holds."""
    upstreams = CannedUpstreams(count)
    with Cluster() as cluster:
        cluster.start_platform()
        names = [f"engine-{number}" for number in range(count)]
        for name, port in zip(names, upstreams.ports, strict=True):
            cluster.register(name, "engine", f"{HOST}:{port}", "zone-a")
        entry = _start_entry(cluster, names, **settings)
        time.sleep(SETTLE_S)
        requests, sizes = upstreams.requests.copy(), upstreams.bytes.copy()
        cpu_before = cpu_s(entry.popen.pid)
        time.sleep(REST_S)
        core = 100 * (cpu_s(entry.popen.pid) - cpu_before) / REST_S
        print(f"{count} upstreams: {core:.2f}% of a core", end="")
        for path in ("/load", "/orders"):
            rate = (upstreams.requests[path] - requests[path]) / REST_S
            kib = (upstreams.bytes[path] - sizes[path]) / REST_S / 1000
            print(f"; {path} {rate:.1f}/s, {kib:.2f} KB/s", end="")
        print(flush=True)


def measure_list(count: int, settings: dict) -> None:
    """Print what an entry exchanges with a platform that lists ``count`` instances."""
    upstreams = CannedUpstreams(1)
    with Cluster() as cluster:
        platform = cluster.start_platform()
        cluster.register("engine-0", "engine", f"{HOST}:{upstreams.ports[0]}", "zone-a")
        for number in range(count - 1):
            address = f"10.0.{number // 250}.{number % 250}:8000"
            cluster.register(f"portal-{number}", "service", address, "bog-norte")
        relay = CountingRelay(platform.address)
        to_relay = {"platform": {"host": HOST, "port": relay.port}}
        entry = _start_entry(cluster, ["engine-0"], **to_relay, **settings)
        time.sleep(SETTLE_S)
        before, cpu_before = relay.bytes, cpu_s(entry.popen.pid)
        time.sleep(REST_S)
        core = 100 * (cpu_s(entry.popen.pid) - cpu_before) / REST_S
        rate = (relay.bytes - before) / REST_S / 1000
        print(
            f"{count} listed: {core:.2f}% of a core; platform {rate:.2f} KB/s",
            flush=True,
        )


def main() -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--upstreams", type=int, nargs="*", default=[4, 9, 64])
    parser.add_argument("--listed", type=int, nargs="*", default=[100, 3600])
    parser.add_argument("settings", nargs="*", metavar="SETTING=VALUE")
    options = parser.parse_args()
    pairs = (item.split("=", 1) for item in options.settings)
    settings = {name: json.loads(value) for name, value in pairs}
    for count in options.upstreams:
        measure_upstreams(count, settings)
    for count in options.listed:
        measure_list(count, settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
