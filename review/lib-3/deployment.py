"""Starts entries as the deploy file does, each as a process on a loopback address."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from stand_ins import Link, Store, ask

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
COMMAND = ("python3", "-m", "wisteriaarch", "gateway")
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
FIRST_PORT, LAST_PORT = 21_000, 30_000
READY_TIMEOUT_S = 25.0


def is_troubled():
    """Whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name, prefix, kind, service, **more):
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 3000,
        "slo-ms": 300,
        "priority": 0,
        "service": service,
        "max-attempts": 1,
        **more,
    }


def configuration(routes, services):
    """Return a configuration with the given routes and services."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def _is_free(port, hosts):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        for host in hosts:
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind((host, port))
                except OSError:
                    return False
    return True


def free_ports(count, hosts):
    """Return ports that are free on all addresses."""
    first = FIRST_PORT + os.getpid() * 17 % (LAST_PORT - FIRST_PORT)
    found = []
    for offset in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + (first - FIRST_PORT + offset) % (LAST_PORT - FIRST_PORT)
        if _is_free(port, hosts):
            found.append(port)
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


class Record:
    """The file in which a case notes what was sent, answered and run."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self._began_at = time.monotonic()

    def note(self, text):
        """Write a line with the time since the start."""
        at_s = time.monotonic() - self._began_at
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{at_s:9.3f} {text}\n")


class Deployment:
    """A store and some entries; an async context manager that ends all of them.

    Entry ``number`` has the address 127.0.0.``number``.
    """

    def __init__(self, record, numbers=(2, 3, 4), **settings):
        self.record = record
        self.store = Store()
        self.numbers = numbers
        self._settings = settings
        self._ports = free_ports(5, [f"127.0.0.{number}" for number in numbers])
        self._folder = tempfile.mkdtemp(prefix="review-")
        self._processes = {}
        self._logs = []
        self.store_links = {}

    async def __aenter__(self):
        await self.store.start()
        for number in self.numbers:
            self.store_links[number] = link = Link(self.store.address)
            await link.start()
        return self

    async def __aexit__(self, *exc_info):
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        for log in self._logs:
            log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    def front(self, number):
        """Return the address for clients of an entry."""
        return f"127.0.0.{number}:{self._ports[0]}"

    def _content(self, number):
        host = f"127.0.0.{number}"
        front, ready, directory, peer, metrics = self._ports
        return {
            "entry_id": host,
            "node": f"edge-z1-{number}",
            "zone": "z1",
            "cpu_share": 0.537,
            "cpu_speed": 2,
            "memory_mb": 300,
            "max_fds": 4100,
            "front": f"{host}:{front}",
            "ready": f"{host}:{ready}",
            "directory": f"{host}:{directory}",
            "metrics_port": metrics,
            "store": self.store_links[number].address,
            "peer_port": peer,
            "seeds": [f"127.0.0.{item}:{peer}" for item in self.numbers],
            "retry": {"ratio": 0.2, "window_s": 10, "slack": 58},
            "lease_term_ms": 3000,
            "stop_grace_s": 8,
            **self._settings,
        }

    async def start_entry(self, number):
        """Start an entry, with the command of the deploy file."""
        path = Path(self._folder) / f"entry-{number}.json"
        path.write_text(json.dumps(self._content(number)), encoding="utf-8")
        environment = {
            name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ
        }
        environment["WISTERIAARCH_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (Path(self._folder) / f"entry-{number}.log").open("ab")
        self._logs.append(log)
        self._processes[number] = await asyncio.create_subprocess_exec(
            *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.note(f"entry {number} started")

    async def wait_until_ready(self, *numbers):
        """Wait until entries say that they are ready."""
        ends_at = time.monotonic() + READY_TIMEOUT_S
        for number in numbers:
            ready = f"127.0.0.{number}:{self._ports[1]}"
            while True:
                headers = {"Host": "edge"}
                answer = await ask(ready, "GET", "/api/readiness", headers, timeout_s=1)
                if answer.status == 200:
                    break
                if time.monotonic() > ends_at:
                    raise RuntimeError(f"entry {number} isn't ready")
                await asyncio.sleep(0.1)

    def process(self, number):
        """Return the process of an entry."""
        return self._processes[number]

    def signal(self, number, what):
        """Send a signal to an entry."""
        self.record.note(f"entry {number} gets {signal.Signals(what).name}")
        self._processes[number].send_signal(what)

    async def wait_for_end(self, number):
        """Wait until an entry has ended."""
        code = await self._processes[number].wait()
        self.record.note(f"entry {number} ended with {code}")


async def _run_until_told(main, record, timeout_s):
    """Run a case within a time; SIGTERM cancels it, and its processes are ended."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(timeout_s):
        return await main(record)


def run_case(folder, main, timeout_s=110.0):
    """Run a case; exits with 1 if the rule was broken, 0 if it held, else 2.

    ``main`` gets the record and returns whether the rule held. A case that is told to
    end by a signal ends its processes first.
    """
    record = Record(Path(folder) / "record.txt")
    try:
        held = asyncio.run(_run_until_told(main, record, timeout_s))
    except (Exception, asyncio.CancelledError) as exc:
        record.note(f"the case couldn't run: {exc!r}")
        print(f"the case couldn't run: {exc!r}")
        sys.exit(2)
    sys.exit(0 if held else 1)
