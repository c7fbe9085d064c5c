"""Callers that send requests to one entry until its process is gone."""

import contextlib
import http.client
import json
import select
import subprocess
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from wisteriaarch.events import Event

from .cluster import Process
from .gateway_cluster import HOST, GatewayCluster, route_row

EVENTS = 4
TIMEOUT_MS = 15_000
TIMEOUT_S = 30.0
CHUNK = b"x" * 50
CHUNK_EVERY_S = 0.1
STREAM_HEADERS = {"Model": "m", "Token-Counts": "60,40"}
# A request that is reset earlier than this after its first byte wasn't read.
UNREAD_S = 0.2
LONG = {"timeout-ms": TIMEOUT_MS}
LONG_ROUTES = (
    route_row("long-get", "/long-get/", "idempotent", "app", **LONG),
    route_row("long-post", "/long-post/", "non_idempotent", "app", **LONG),
    route_row("long-chat", "/long-chat/", "stream", "llm", **LONG),
    route_row("long-again", "/long-again/", "stream", "llm", resumable=True, **LONG),
)


@dataclass
class Outcome:
    """What a caller saw of one request.

    ``sent_at_s`` is None while a part of the request is unsent, ``status`` 0 without an
    answer; ``whole`` is set once the answer has been read to its end.
    """

    call_id: str
    path: str
    began_at_s: float
    sent_at_s: float | None = None
    ended_at_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    refused: bool = False
    error: str = ""

    @property
    def complete(self) -> bool:
        """Whether the answer is a whole one of the server."""
        events = EVENTS if is_stream(self.path) else 0
        is_full = self.body.count(b"\n\n") == events
        return self.whole and self.status == 200 and is_full

    @property
    def error_kind(self) -> str:
        """Kind of an error answer; empty for any other."""
        is_problem = self.whole and "problem" in self.headers.get("content-type", "")
        return json.loads(self.body)["kind"] if is_problem else ""

    def explained(self, ran: bool) -> bool:
        """Whether it was answered whole, or with an error that says what is known.

        A request that ``ran`` at no server may also be refused or reset unread.
        """
        if self.whole:
            says_not_run = self.headers.get("x-ran") == "no"
            not_run = self.status == 503 and says_not_run and not ran
            return self.complete or not_run or self.status in (408, 502, 504)
        unread = self.refused or self.ended_at_s - self.began_at_s < UNREAD_S
        return unread and not ran

    def describe(self, since_s: float) -> str:
        """Return one line about it, with times since ``since_s``."""
        sent = "-" if self.sent_at_s is None else f"{self.sent_at_s - since_s:.2f}"
        return (
            f"{self.call_id} {self.path} began {self.began_at_s - since_s:.2f} sent "
            f"{sent} ended {self.ended_at_s - since_s:.2f} status {self.status} "
            f"{self.error}"
        )


@dataclass
class Caller:
    """Sends requests one after the other, on one connection or each on its own.

    The body is sent in ``chunks`` parts, ``CHUNK_EVERY_S`` apart.
    """

    entry: Process
    name: str
    path: str
    keeps: bool = True
    chunks: int = 1
    pause_s: float = 0.05
    deadline_ms: int = TIMEOUT_MS
    outcomes: list[Outcome] = field(default_factory=list)
    _conn: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Send requests until the entry's process is gone."""
        while self.entry.popen.poll() is None:
            self.call()
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.entry.popen.wait(self.pause_s)
        self._close()

    def call(self) -> Outcome:
        """Send one request."""
        call_id = f"{self.name}-{len(self.outcomes)}"
        outcome = Outcome(call_id, self.path, time.monotonic())
        self.outcomes.append(outcome)
        try:
            conn = self._connect()
        except OSError as exc:
            outcome.refused, outcome.error = True, repr(exc)
            outcome.ended_at_s = time.monotonic()
            return outcome
        outcome.began_at_s = time.monotonic()
        try:
            self._exchange(conn, outcome)
        except (OSError, http.client.HTTPException) as exc:
            outcome.error = repr(exc)
        outcome.ended_at_s = time.monotonic()
        if not (self.keeps and outcome.whole and outcome.sent_at_s):
            self._close()
        return outcome

    def _exchange(self, conn, outcome: Outcome) -> None:
        method = "GET" if "get" in self.path else "POST"
        conn.putrequest(method, self.path, skip_host=True)
        headers = {"Host": HOST, "Attempt-Id": outcome.call_id}
        headers["Deadline-Remaining"] = str(self.deadline_ms)
        if method == "POST":
            headers["Content-Length"] = str(self.chunks * len(CHUNK))
        if is_stream(self.path):
            headers.update(STREAM_HEADERS)
        for name, value in headers.items():
            conn.putheader(name, value)
        conn.endheaders()
        # A send may fail although the answer, or its beginning, has arrived.
        with contextlib.suppress(OSError):
            if method == "GET" or self._send_body(conn):
                outcome.sent_at_s = time.monotonic()
        answer = conn.getresponse()
        outcome.status = answer.status
        outcome.headers = {key.lower(): value for key, value in answer.getheaders()}
        try:
            outcome.body = answer.read()
        except http.client.IncompleteRead as exc:
            outcome.body = exc.partial
            raise
        outcome.whole = True

    def _send_body(self, conn) -> bool:
        """Whether the body was sent wholly, and not answered before."""
        for number in range(self.chunks):
            if number:
                time.sleep(CHUNK_EVERY_S)
                if is_readable(conn):
                    return False
            conn.send(CHUNK)
        return True

    def _connect(self) -> http.client.HTTPConnection:
        conn = self._conn
        if conn is not None and conn.sock is not None and not is_readable(conn):
            return conn
        self._close()
        host, _, port = self.entry.address.rpartition(":")
        self._conn = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        self._conn.connect()
        return self._conn

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.close()


def is_stream(path: str) -> bool:
    """Whether the answers of a path are streams."""
    return "chat" in path or "again" in path


def is_readable(conn: http.client.HTTPConnection) -> bool:
    """Whether a connection was closed or has bytes to read."""
    return bool(select.select([conn.sock], [], [], 0)[0])


def runs(cluster: GatewayCluster, names: Iterable[str]) -> set[str]:
    """Return the ids of the requests that ran at the servers."""
    return {call for name in names for call in cluster.control(name)["ran"]}


def requests_of(process: Process, event: Event, kinds: Iterable[str] = ()) -> set[str]:
    """Return the ids of the requests that the lines of an event name.

    With ``kinds``, only those with an error of one of them.
    """
    lines = process.log_lines()
    named = [line for line in lines if line["event"] == event.value.number]
    return {
        line.get("request", "") for line in named if not kinds or line["kind"] in kinds
    }
