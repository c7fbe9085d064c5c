"""A small deployment on loopback addresses, for the scripts of this review.

The entries and the store run with the commands of the project, from the build of the
deploy file; the servers are the stand-ins of ``server.py``. All processes end with the
``with`` block.
"""

import base64
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
HOST = "ficu95.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.2
# All processes end with a script that takes longer or is ended by a signal.
LENGTH_MAX_S = 116
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


class CantRun(Exception):
    """The case couldn't run; nothing is said of the rule."""


def free_port():
    """Return a port that is free on the loopback addresses of a site now."""
    hosts = [f"127.0.0.{number}" for number in (*range(1, 10), *range(100, 120))]
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if all(is_free(host, port) for host in hosts):
            return port
    raise CantRun("no free port")


def is_free(host, port):
    """Whether a port of an address is free for TCP and UDP."""
    try:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, port))
            udp.bind((host, port))
    except OSError:
        return False
    return True


def route(name, kind, service, **more):
    """Return a route in the form of the operator's configuration."""
    fields = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 3000,
        "slo-ms": 300,
        "priority": 0,
        "max-attempts": 2,
    }
    return {**fields, **more}


class Answer:
    """What a client got: status 0 stands for a connection that ended without one."""

    def __init__(self, status, headers, body, error="", seconds=0.0):
        self.status, self.headers, self.body = status, headers, body
        self.error, self.seconds = error, seconds

    @property
    def is_whole(self):
        """Whether a success with a server's seal came complete."""
        return self.status == 200 and not self.error and "server-seal" in self.headers


def call(address, method, target, headers=None, body=b"", timeout_s=5.0):
    """Send one request on a new connection, like a client of PROTOCOL.md."""
    host, port = address.rsplit(":", 1)
    began = time.monotonic()
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.request(method, target, body, {"Host": HOST, **(headers or {})})
        response = conn.getresponse()
        found = {name.lower(): value for name, value in response.getheaders()}
        error, data = "", b""
        try:
            data = response.read()
        except (OSError, http.client.HTTPException) as exc:
            error = repr(exc)
        return Answer(response.status, found, data, error, time.monotonic() - began)
    except (OSError, http.client.HTTPException) as exc:
        return Answer(0, {}, b"", repr(exc), time.monotonic() - began)
    finally:
        conn.close()


class Server:
    """A server's process, its row in the store and its restarts."""

    def __init__(self, site, name, service, address, row, options):
        self.site, self.name, self.service = site, name, service
        self.address, self.row, self.options = address, row, options
        self.process = None
        self.seq = 0
        self.starts = 0
        self.keeps_id = True
        self.is_registered = True

    def start(self):
        """Start the process; its row says when."""
        self.starts += 1
        if self.starts > 1 and not self.keeps_id:
            self.site.remove_row("servers", self.name)
            self.name = f"{self.name.partition('.')[0]}.{self.starts}"
        host, port = self.address.rsplit(":", 1)
        arguments = ["--host", host, "--port", port, "--id", self.name]
        arguments += ["--log", str(self.site.run_log), *self.options]
        self.process = self.site.spawn(
            [sys.executable, str(HERE / "server.py"), *arguments], self.name
        )
        self.site.wait_for_port(self.address)
        self.row["born"] = int(time.time() * 1000)
        self.beat()

    def beat(self):
        """Write the row, as a server does about every 1.2 s."""
        self.seq += 1
        is_running = self.process is not None and self.process.poll() is None
        if self.is_registered and is_running:
            self.site.write_row("servers", self.name, {**self.row, "seq": self.seq})


class Site:
    """The deployment; ``record`` collects the lines of record.txt."""

    def __init__(self, case):
        self.case = pathlib.Path(case).resolve().parent
        self.folder = None
        self.record = []
        self.processes = []
        self.servers = []
        self.entries = {}
        self.began = time.monotonic()
        self._mutex = threading.Lock()
        self._closing = threading.Event()
        self._restart_s = None

    def __enter__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.run_log = self.folder / "runs.log"
        self.run_log.touch()
        return self

    def __exit__(self, *exc):
        self._closing.set()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text):
        """Add a line to the record."""
        with self._mutex:
            self.record.append(f"{time.monotonic() - self.began:8.3f} {text}")

    def save(self):
        """Write record.txt."""
        text = "\n".join(self.record) + "\n"
        (self.case / "record.txt").write_text(text, encoding="utf-8")

    def spawn(self, command, name, variables=None):
        """Start a process in the repository's root, with the build's libraries."""
        path = os.pathsep.join([str(ROOT / "target" / "deps"), str(ROOT)])
        env = {**os.environ, "PYTHONPATH": path, **(variables or {})}
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.processes.append(process)
        return process

    def spawn_project(self, arguments, name):
        """Start one of the project's own programs."""
        return self.spawn([sys.executable, "-m", "wisteriaarch", *arguments], name)

    def wait_for_port(self, address, timeout_s=20.0):
        """Wait until an address accepts connections."""
        host, port = address.rsplit(":", 1)
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                socket.create_connection((host, int(port)), 0.5).close()
                return
            except OSError:
                time.sleep(0.02)
        raise CantRun(f"{address} doesn't accept connections")

    def start_store(self, configuration):
        """Start the project's stand-in of the store and write a configuration."""
        self.store = f"127.0.0.1:{free_port()}"
        port = self.store.rsplit(":", 1)[1]
        arguments = ["emulate", "store", "--host", "127.0.0.1", "--port", port]
        self.spawn_project(arguments, "store")
        self.wait_for_port(self.store)
        self.write_row("op", "config", configuration)

    def control_store(self, faults):
        """Set a fault of the stand-in of the store."""
        call(self.store, "POST", "/emulate", {}, json.dumps(faults).encode())

    def transact(self, writes, removals):
        """Write and remove rows of the store."""
        content = {"if-rev": [], "writes": writes, "remove": removals}
        body = json.dumps(content).encode()
        kind = {"Content-Type": "application/json"}
        answer = call(self.store, "POST", "/api/rows-tx", kind, body)
        if answer.status not in (0, 200, 503):
            raise CantRun(f"the store answers {answer.status}")

    def write_row(self, table, key, value):
        """Write one row."""
        raw = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": raw}
        self.transact([row], [])

    def remove_row(self, table, key):
        """Remove one row."""
        self.transact([], [{"table": table, "part": "", "key": key}])

    def start_server(self, name, service, stage=None, options=(), **more):
        """Start a server and register it."""
        number = 100 + len(self.servers)
        address = f"127.0.0.{number}:{free_port()}"
        row = {
            "service": service,
            "address": address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            **more,
        }
        options = list(options)
        if stage:
            row["stage"] = stage
            options += ["--stage", stage]
        server = Server(self, name, service, address, row, options)
        self.servers.append(server)
        server.start()
        return server

    def keep_servers(self, restart_s=None):
        """Write rows as servers do; a server that ended is back after ``restart_s``."""
        self._restart_s = restart_s
        threading.Thread(target=self._keep, daemon=True).start()

    def _keep(self):
        ended = {}
        beat_at = time.monotonic()
        while not self._closing.wait(0.05):
            now = time.monotonic()
            for server in self.servers:
                if server.process is None or server.process.poll() is None:
                    continue
                since = ended.setdefault(server, now)
                if self._restart_s is not None and now - since >= self._restart_s:
                    del ended[server]
                    server.start()
                    self.note(f"server {server.name} is back")
            if now - beat_at >= BEAT_S:
                beat_at = now
                for server in self.servers:
                    server.beat()

    def start_entries(self, count, later=0, **more):
        """Start entries at 127.0.0.2 and on, all with the same ports.

        The last ``later`` of them are only prepared; ``add_entry`` starts one.
        """
        ports = {name: free_port() for name in ("front", "ready", "directory", "peer")}
        metrics = free_port()
        hosts = [f"127.0.0.{number}" for number in range(2, 2 + count)]
        for number, host in enumerate(hosts):
            settings = {
                "entry_id": host,
                "node": f"edge-{number}",
                "zone": "z1",
                "cpu_share": 0.537,
                "cpu_speed": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "front": f"{host}:{ports['front']}",
                "ready": f"{host}:{ports['ready']}",
                "directory": f"{host}:{ports['directory']}",
                "metrics_port": metrics,
                "store": self.store,
                "peer_port": ports["peer"],
                "seeds": [f"{item}:{ports['peer']}" for item in hosts[:3]],
                "retry": {"ratio": 0.2, "window_s": 10, "slack": 54},
                "lease_term_ms": 3000,
                "stop_grace_s": 8,
                **more,
            }
            path = self.folder / f"{host}.json"
            path.write_text(json.dumps(settings), encoding="utf-8")
            self.entries[host] = {"path": path, "node": f"edge-{number}", **ports}
        started = hosts[: count - later]
        for host in started:
            self.start_entry(host)
        for host in started:
            self.wait_until_ready(host)

    def add_entry(self, host):
        """Start an entry that was only prepared, and wait until it is ready."""
        self.start_entry(host)
        self.wait_until_ready(host)

    def start_entry(self, host):
        """Start the entry of an address with the command of the deploy file."""
        text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        words = re.search(r'^run = "(.*)"$', text, re.M).group(1).split()
        entry = self.entries[host]
        variables = {"WISTERIAARCH_BOOT": str(entry["path"])}
        entry["process"] = self.spawn([sys.executable, *words[1:]], host, variables)

    def wait_until_ready(self, host, timeout_s=20.0):
        """Wait until an entry says that it is ready."""
        until = time.monotonic() + timeout_s
        address = f"{host}:{self.entries[host]['ready']}"
        while time.monotonic() < until:
            if call(address, "GET", "/api/readiness", timeout_s=1.0).status == 200:
                return
            time.sleep(0.05)
        raise CantRun(f"{host} doesn't get ready")

    def fronts(self):
        """Return the addresses for clients."""
        return [f"{host}:{item['front']}" for host, item in self.entries.items()]

    def stop_entry(self, host, grace_s=8.0):
        """Stop an entry as the platform does: SIGTERM, then SIGKILL."""
        process = self.entries[host]["process"]
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(grace_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def freeze_entry(self, host):
        """Let the entry of an address stand still."""
        self.entries[host]["process"].send_signal(signal.SIGSTOP)

    def thaw_entry(self, host):
        """Let the entry of an address go on."""
        self.entries[host]["process"].send_signal(signal.SIGCONT)

    def kill_entry(self, host):
        """Kill the entry of an address and wait for its end."""
        process = self.entries[host]["process"]
        process.send_signal(signal.SIGKILL)
        process.wait()

    def runs(self, kind="runs"):
        """Return what servers wrote of one kind."""
        lines = self.run_log.read_text(encoding="utf-8").splitlines()
        found = [json.loads(line) for line in lines if line.endswith("}")]
        return [item for item in found if item["kind"] == kind]


def finish(check, case):
    """Run ``check`` on a site; exit with 1 if the rule broke, 0 if not, 2 else."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(2))
    signal.alarm(LENGTH_MAX_S)
    with Site(case) as site:
        try:
            is_broken = check(site)
        except (CantRun, OSError, RuntimeError) as exc:
            site.note(f"the case couldn't run: {exc!r}")
            site.save()
            print(f"couldn't run: {exc!r}")
            sys.exit(2)
        word = "BROKEN" if is_broken else "held"
        site.note(f"trouble {'on' if TROUBLE else 'off'}: the rule {word}")
        site.save()
        print("\n".join(site.record[-6:]))
    sys.exit(1 if is_broken else 0)
