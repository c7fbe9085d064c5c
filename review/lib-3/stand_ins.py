"""Stand-ins of the platform's store and servers, and clients; standard library only."""

import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qs

HISTORY_ROWS = 2000
PAGE_ROWS = 500


class BrokenMessage(Exception):
    """A message that ended before it was complete."""


async def read_message(reader):
    """Return the first line, the headers and the body of a message; None at the end.

    Header names are in lower case.
    """
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = b""
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while block := await read_chunk(reader):
                body += block
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def read_chunk(reader):
    """Return the next chunk of a body, empty at its end; raises at a broken one."""
    line = await reader.readuntil(b"\r\n")
    size = int(line.strip().split(b";")[0], 16)
    block = await reader.readexactly(size)
    await reader.readexactly(2)
    return block


def encode_message(first_line, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """Accepts connections on a loopback address and serves each in a task."""

    def __init__(self):
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, host, 0, limit=1 << 20)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        """Serve one connection."""
        raise NotImplementedError

    async def listen_again(self):
        """Accept connections again, at the same address."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port), limit=1 << 20
        )

    async def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()


class Link(Listener):
    """The way of one machine to an address; it can be cut and healed."""

    def __init__(self, target):
        super().__init__()
        self._target = target

    async def serve(self, reader, writer):
        """Pass bytes on both ways until one side ends."""
        host, _, port = self._target.rpartition(":")
        to_reader, to_writer = await asyncio.open_connection(host, int(port))
        ways = [
            asyncio.create_task(self._pass_on(reader, to_writer)),
            asyncio.create_task(self._pass_on(to_reader, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            to_writer.close()

    async def _pass_on(self, reader, writer):
        with contextlib.suppress(OSError):
            while block := await reader.read(1 << 16):
                writer.write(block)
                await writer.drain()

    async def cut(self):
        """Refuse new connections and end those that are open."""
        await self.stop()
        await self._server.wait_closed()

    async def heal(self):
        """Accept connections again."""
        await self.listen_again()


class Store(Listener):
    """The platform's store: rows, conditional transactions, and a feed of changes."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self._history = []
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row as the operator or a server does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": data}
        self._apply([row], [])

    def remove(self, table, key):
        """Remove a row."""
        self._apply([], [{"table": table, "part": "", "key": key}])

    def _apply(self, writes, removals):
        self.version += 1
        for row in writes:
            written = {**row, "ver": self.version}
            self.rows[row["table"], row["part"], row["key"]] = written
            self._history.append(written)
        for row in removals:
            self.rows.pop((row["table"], row["part"], row["key"]), None)
            self._history.append({**row, "ver": self.version, "deleted": True})
        del self._history[:-HISTORY_ROWS]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _state(self):
        return {"ver": self.version, "now-ms": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        """Answer the calls of one connection."""
        while (message := await read_message(reader)) is not None:
            method, target, _ = message[0].split(" ")
            path, _, query_text = target.partition("?")
            query = {key: item[0] for key, item in parse_qs(query_text).items()}
            status, content = await self._answer(method, path, query, message[2])
            headers = [("Content-Type", "application/json")]
            line = f"HTTP/1.1 {status} OK"
            writer.write(encode_message(line, headers, json.dumps(content).encode()))
            await writer.drain()

    async def _answer(self, method, path, query, body):
        if path == "/api/rows-get":
            return 200, self._get(query)
        if path == "/api/rows-feed":
            return await self._feed(query)
        if path == "/api/rows-tx" and method == "POST":
            return self._transact(json.loads(body))
        return 404, {}

    def _get(self, query):
        start, end = query.get("from", ""), query.get("to")
        part = query.get("part", "")
        found = [
            row
            for (table, row_part, key), row in self.rows.items()
            if table == query["table"]
            and row_part == part
            and key >= start
            and (end is None or key < end)
        ]
        found.sort(key=lambda row: row["key"].encode())
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        return {
            "rows": found[:limit],
            "has-more": len(found) > limit,
            **self._state(),
        }

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        if after > self.version:
            return 410, {}
        ends_at = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            rows = [
                row
                for row in self._history
                if row["table"] == table and row["ver"] > after
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows, **self._state()}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, content):
        for row in content.get("if-rev", []):
            key = (row["table"], row.get("part", ""), row["key"])
            known = self.rows.get(key)
            if (known["ver"] if known else 0) != row["ver"]:
                return 412, {"rows": [known] if known else [], **self._state()}
        self._apply(content.get("writes", []), content.get("remove", []))
        return 200, self._state()


class Server(Listener):
    """A server of the platform; subclasses say how it runs a request.

    ``arrivals`` has a tuple of time, attempt id and sender for each request.
    """

    def __init__(self, name, service, version="v1", zone="z1", slots=8, stage=None):
        super().__init__()
        self.name, self.service, self.version = name, service, version
        self.zone, self.slots, self.stage = zone, slots, stage
        self.arrivals = []
        self._seal = 0

    def row(self, state="ready"):
        """Return the registration."""
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold-left-ms": 0,
            "seq": 0,
        }
        return {**row, "stage": self.stage} if self.stage else row

    def answer_headers(self, headers):
        """Return the headers of an answer to a request that was run."""
        self._seal += 1
        return [
            ("Attempt-Id", headers.get("attempt-id", "")),
            ("Server-Seal", f"{self.name}.{self._seal}"),
        ]

    async def serve(self, reader, writer):
        """Answer the requests of one connection, one at a time."""
        sender = writer.get_extra_info("peername")
        while (message := await read_message(reader)) is not None:
            line, headers, body = message
            method, path, _ = line.split(" ")
            if path.startswith("/api/"):
                await self.control(writer, path, body)
                continue
            expected = headers.get("expect-instance", self.name)
            if expected != self.name:
                misdirected = [("Instance-Id", self.name)]
                writer.write(encode_message("HTTP/1.1 421 Misdirected", misdirected))
                await writer.drain()
                continue
            attempt = headers.get("attempt-id", "")
            self.arrivals.append((time.monotonic(), attempt, sender))
            request = (method, path, headers, body)
            if not await self.run(reader, writer, request):
                return

    async def control(self, writer, path, _body):
        """Answer a report, an order or a release."""
        content = b"{}"
        if path == "/api/report":
            report = {"stage": self.stage, "models": [], "busy": False, "seq": 0}
            content = json.dumps(report).encode()
        writer.write(encode_message("HTTP/1.1 200 OK", [], content))
        await writer.drain()

    async def run(self, reader, writer, request):
        """Run one request; False if its connection must be closed."""
        raise NotImplementedError


class Answer:
    """What a client has seen of one answer."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.detail = ""


async def ask(address, method, path, headers, body=b"", timeout_s=5.0, on_block=None):
    """Send one request on a new connection and return what came back.

    ``on_block`` is called with each block of the body as it arrives.
    """
    answer = Answer()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            items = list(headers.items())
            writer.write(encode_message(f"{method} {path} HTTP/1.1", items, body))
            await writer.drain()
            await _read_answer(reader, answer, on_block)
    except TimeoutError:
        answer.detail = "time-out"
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        answer.detail = repr(exc)
    finally:
        if writer is not None:
            writer.close()
    return answer


async def _read_answer(reader, answer, on_block):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while block := await read_chunk(reader):
            answer.body += block
            if on_block is not None:
                on_block(block)
    else:
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
    answer.is_complete = True
