"""Starts the store, servers and entries of a case, and keeps its record."""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LIB = Path(__file__).resolve().parent
START_TIMEOUT_S = 20.0
# A case that takes longer than this can't run; its processes are ended.
CASE_MAX_S = 115
HOST = "shop.example"
BROKEN, HELD, UNABLE = 1, 0, 2


def now_s():
    """Return seconds on the steady clock that all processes of a case share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def has_trouble():
    """Whether the case is to play its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def end_case(number, _frame):
    """End the case at a signal; leaving ``Rig`` ends all its processes."""
    sys.exit(UNABLE)


def free_ports(count, host="127.0.0.1"):
    """Return different ports that are free now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def route(name, prefix, kind, service, **more):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout-ms": 2000,
        "slo-ms": 300,
        "priority": 0,
        "max-attempts": 2 if kind == "idempotent" else 1,
        **more,
    }


def configuration(version, routes, services):
    """Return a configuration in the form of ``op/config``."""
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


class Answer:
    """Answer to one request; ``status`` is 0 if there was none."""

    def __init__(self, status=0, headers=None, body=b"", complete=False, error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete
        self.error = error

    def __str__(self):
        end = "complete" if self.complete else f"not complete ({self.error})"
        return f"{self.status}, {len(self.body)} bytes, {end}"


class Rig:
    """Context manager for the processes of one case; ends all of them."""

    def __init__(self, folder):
        self.trouble = has_trouble()
        self._record = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.path = Path(self._temporary.name)
        self._processes = []
        self.began_s = now_s()
        self.store = ""
        self._ports = free_ports(5)
        self.seeds = []

    def __enter__(self):
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGALRM):
            signal.signal(number, end_case)
        signal.alarm(CASE_MAX_S)
        return self

    def __exit__(self, *exc_info):
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._temporary.cleanup()
        self._record.close()

    def note(self, text):
        """Write one line to the record, with the time since the start."""
        line = f"{now_s() - self.began_s:8.3f} {text}"
        print(line, file=self._record, flush=True)

    def conclude(self, broken, verdict):
        """Record the verdict and return the exit code."""
        trouble = "with" if self.trouble else "without"
        text = f"{'BROKEN' if broken else 'held'} ({trouble} the disruption): {verdict}"
        self.note(text)
        print(text)
        return BROKEN if broken else HELD

    def spawn(self, words, log, **variables):
        """Start a process with the variables that the platform gives."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        deps = str(ROOT / "target" / "deps")
        with (self.path / log).open("ab") as file:
            process = subprocess.Popen(
                words,
                cwd=ROOT,
                env={**kept, "PYTHONPATH": deps, **variables},
                stdout=file,
                stderr=file,
            )
        self._processes.append(process)
        return process

    def start_store(self, config, *words):
        """Start a stand-in of the store, with a configuration.

        It is the project's own, or else the program that ``words`` name.
        """
        port = free_ports(1)[0]
        words = words or ("-m", "wisteriaarch", "emulate", "store")
        self.spawn([sys.executable, *words, "--port", str(port)], "store.log")
        self.store = f"127.0.0.1:{port}"
        self._wait_for(lambda: self.write("op", "config", config), "the store")

    def _wait_for(self, try_it, what):
        give_up_s = now_s() + START_TIMEOUT_S
        while True:
            try:
                return try_it()
            except (OSError, ValueError) as exc:
                if now_s() > give_up_s:
                    raise RuntimeError(f"{what} did not start: {exc}") from exc
            time.sleep(0.05)

    def write(self, table, key, value):
        """Write a row as the operator or a server would."""
        self.write_all(table, {key: value})

    def write_all(self, table, values):
        """Write the rows of several keys, at most 100, in one call."""
        rows = [
            {
                "table": table,
                "part": "",
                "key": key,
                "value": base64.b64encode(json.dumps(value).encode()).decode(),
            }
            for key, value in values.items()
        ]
        self._transact({"if-rev": [], "writes": rows, "remove": []})

    def remove(self, table, key):
        """Remove a row."""
        row = {"table": table, "part": "", "key": key}
        self._transact({"if-rev": [], "writes": [], "remove": [row]})

    def _transact(self, content):
        answer = call(self.store, "POST", "/api/rows-tx", json.dumps(content).encode())
        if answer.status != 200:
            raise OSError(f"the store answered {answer}")

    def start_entry(self, number, zone="z1", **more):
        """Start an entry at 127.0.0.``number`` by the command of the deploy file."""
        host = f"127.0.0.{number}"
        front, ready, directory, peer, metrics = self._ports
        settings = {
            "entry_id": host,
            "node": f"edge-{zone}-{number}",
            "zone": zone,
            "cpu_share": 0.537,
            "cpu_speed": 2,
            "front": f"{host}:{front}",
            "ready": f"{host}:{ready}",
            "directory": f"{host}:{directory}",
            "metrics_port": metrics,
            "store": self.store,
            "peer_port": peer,
            "seeds": self.seeds[:3],
            "retry": {"ratio": 0.2, "window_s": 10, "slack": 58},
            "lease_term_ms": 3000,
            "stop_grace_s": 8,
            **more,
        }
        path = self.path / f"entry-{number}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        process = self.spawn(
            ["python3", "-m", "wisteriaarch", "gateway"],
            f"entry-{number}.log",
            WISTERIAARCH_BOOT=str(path),
        )
        process.front = f"{host}:{front}"
        process.ready = f"{host}:{ready}"
        process.directory = f"{host}:{directory}"
        self.seeds.append(f"{host}:{peer}")
        return process

    def wait_until_ready(self, *entries):
        """Wait until the platform's readiness checks of these entries pass."""

        def check():
            for entry in entries:
                answer = call(entry.ready, "GET", "/api/readiness")
                if answer.status != 200:
                    raise OSError(f"{entry.ready} answered {answer}")

        self._wait_for(check, "an entry")

    def start_server(self, name, service, *words):
        """Start the stand-in of a server; it registers itself."""
        script = str(LIB / "server.py")
        journal = str(self.path / f"{name}.journal")
        return self.spawn(
            [sys.executable, script, name, service, self.store, journal, *words],
            f"{name}.log",
        )

    def journal(self, name):
        """Return what the servers of a name have written down, oldest first."""
        path = self.path / f"{name}.journal"
        lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def entry_log(self, number):
        """Return the log lines of an entry."""
        return (self.path / f"entry-{number}.log").read_text(encoding="utf-8")


def call(address, method, target, body=b"", headers=(), timeout_s=5.0):
    """Make one request on a connection of its own, from outside of asyncio."""
    return asyncio.run(ask(address, method, target, body, headers, timeout_s))


async def ask(address, method, target, body=b"", headers=(), timeout_s=5.0):
    """Make one request on a connection of its own; return its answer."""
    try:
        async with asyncio.timeout(timeout_s):
            client = await Client.connect(address)
    except (OSError, TimeoutError) as exc:
        return Answer(error=repr(exc))
    try:
        return await client.ask(method, target, body, headers, timeout_s)
    finally:
        client.close()


class Client:
    """One connection of a client; it can be used for many requests."""

    def __init__(self, reader, writer, address):
        self.reader = reader
        self.writer = writer
        self._address = address

    @classmethod
    async def connect(cls, address):
        """Open a connection."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        return cls(reader, writer, address)

    def close(self):
        """Close the connection."""
        self.writer.close()

    async def ask(self, method, target, body=b"", headers=(), timeout_s=5.0):
        """Send one request and read its answer."""
        lines = [f"{method} {target} HTTP/1.1"]
        headers = dict(headers)
        headers.setdefault("Host", self._address)
        if body or method == "POST":
            headers["Content-Length"] = str(len(body))
        lines += [f"{name}: {value}" for name, value in headers.items()]
        answer = Answer(error="no answer")
        try:
            async with asyncio.timeout(timeout_s):
                self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await self.writer.drain()
                await self.read(answer)
        except asyncio.IncompleteReadError as exc:
            answer.body += exc.partial
            answer.error = "the connection ended"
        except (OSError, ValueError, TimeoutError) as exc:
            answer.error = repr(exc)
        return answer

    async def read(self, answer):
        """Read one answer."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        answer.status = int(first.split(" ")[1])
        for line in filter(None, rest):
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            await self._read_chunks(answer)
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            answer.body = await self.reader.readexactly(length)
        elif answer.status not in (204, 304):
            answer.body = await self.reader.read()
        answer.complete, answer.error = True, ""

    async def _read_chunks(self, answer):
        while True:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            block = await self.reader.readexactly(size + 2)
            if not size:
                return
            answer.body += block[:-2]
