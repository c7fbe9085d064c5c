"""Callers that read a stream in part and take it up again at another entry."""

import contextlib
import hashlib
import itertools
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException

from extras.gateway_cluster import HOST

TIMEOUT_S = 10.0
DEADLINE_MS = 15_000
_numbers = itertools.count(1)


@dataclass
class StreamCaller:
    """Caller of one stream on a resumable route.

    ``first_call`` is the id of the call that brought the first event. ``servers`` names
    the server of each answer that brought events, in order.
    """

    tokens: int = 300
    prefix: str = "ab12"
    first_call: str = ""
    last_event: str = ""
    servers: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    is_complete: bool = False
    _call_id: str = ""
    _conn: HTTPConnection | None = None
    _answer: object = None

    def begin(self, entry) -> "StreamCaller":
        """Ask an entry for the stream, or for the rest of it; read its head."""
        return self.start(entry).read_head()

    def start(self, entry) -> "StreamCaller":
        """Send the request."""
        call_id = f"call-{next(_numbers)}"
        host, _, port = entry.address.rpartition(":")
        self._conn = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        self._answer = None
        self._call_id = call_id
        with contextlib.suppress(OSError):
            self._conn.request("POST", "/again/x", b"{}", self._headers(call_id))
        return self

    def read_head(self) -> "StreamCaller":
        """Read the head of the answer; status 0 stands for none."""
        try:
            self._answer = self._conn.getresponse()
        except (OSError, HTTPException):
            self.statuses.append(0)
            return self
        self.statuses.append(self._answer.status)
        if self._answer.status == 200:
            self.first_call = self.first_call or self._call_id
            self.servers.append(self._answer.headers["Server-Seal"])
        return self

    def _headers(self, call_id) -> dict[str, str]:
        own = hashlib.blake2b(call_id.encode(), digest_size=8).hexdigest()
        shared = self.tokens // 2
        headers = {
            "Host": HOST,
            "Attempt-Id": call_id,
            "Deadline-Remaining": str(DEADLINE_MS),
            "Model": "m",
            "Token-Counts": f"{self.tokens},40",
            "Prefix-Hash": f"{self.prefix}:{shared},{own}:{self.tokens - shared}",
        }
        if self.last_event:
            headers["Last-Event-Id"] = self.last_event
            headers["Resumes"] = self.first_call
        return headers

    def read_events(self, count=None) -> "StreamCaller":
        """Read some events, or all that come; a broken stream ends the reading."""
        if not self.statuses or self.statuses[-1] != 200:
            return self
        read = 0
        try:
            while count is None or read < count:
                line = self._answer.readline()
                if not line:
                    self.is_complete = self._answer.isclosed()
                    break
                if line.startswith(b"id:"):
                    self.last_event = line[3:].strip().decode()
                read += line == b"\n"
        except (OSError, HTTPException):
            pass
        return self

    def leave(self) -> "StreamCaller":
        """Close the connection."""
        self._conn.close()
        return self
