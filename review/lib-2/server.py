"""Stand-in of one of the platform's servers, for the scripts of this review.

It follows PROTOCOL.md: one request at a time on a connection, ``Expect-Instance``,
``Stage``, handles, event streams, 503 with ``Not-Executed`` when it is full. It drops a
request whose connection closes. Each request that begins to run is a line in the log.

A path that contains ``/sick/`` ends the process as the request begins to run; with
``--sick-tenant`` only for requests of that tenant. A path that contains ``/fails/`` is
answered with 500.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import random
import secrets
import time
from urllib.parse import urlsplit

EVENT_TOKENS = 4
TOKENS_MAX = 200_000


def whole(text):
    """Return a token count; one that makes no sense counts as none."""
    try:
        number = int(text)
    except ValueError:
        return 0
    return number if 0 <= number <= TOKENS_MAX else 0


class Server:
    """One server: its stage, its handles and what it runs."""

    def __init__(self, options):
        self.options = options
        self.stage = options.stage
        self.handles = set()
        self.cached = set()
        self.began = time.monotonic()
        self.running = 0
        self.orders = 0
        self.fence = -1
        self.busy_until = 0.0
        self.log_path = pathlib.Path(options.log)
        self.prefill_lock = asyncio.Lock()

    def write(self, kind, **fields):
        """Write a line of the log."""
        line = {"at": time.monotonic(), "server": self.options.id, "kind": kind}
        with self.log_path.open("a", encoding="utf-8") as log:
            log.write(json.dumps({**line, **fields}) + "\n")

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        """Serve one request; False where the connection must close."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _version = first.split(" ", 2)
        headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if colon:
                headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        body = await reader.readexactly(size) if size else b""
        task = asyncio.ensure_future(self.answer(writer, method, target, headers, body))
        watch = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((task, watch), return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            task.cancel()
            self.write("dropped", id=headers.get("attempt-id", ""))
            return False
        if watch.done():
            return False
        watch.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watch
        return task.result()

    async def reply(self, writer, status, headers, body=b""):
        """Send a whole answer."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        await writer.drain()
        return True

    async def reply_json(self, writer, status, content):
        """Send a whole answer of the server's own interfaces."""
        body = json.dumps(content).encode()
        return await self.reply(
            writer, status, [("Content-Type", "application/json")], body
        )

    async def answer(self, writer, method, target, headers, body):
        """Answer one request."""
        path = urlsplit(target).path
        expected = headers.get("expect-instance", self.options.id)
        if path == "/api/report":
            return await self.reply_json(writer, 200, self.report())
        if expected != self.options.id:
            found = [("Instance-Id", self.options.id)]
            if "attempt-id" in headers:
                found.append(("Attempt-Id", headers["attempt-id"]))
            return await self.reply(writer, 421, found)
        if path == "/api/order":
            return await self.order(writer, body)
        if path.startswith("/api/kv-handle/"):
            self.handles.discard(path.rpartition("/")[2])
            return await self.reply_json(writer, 200, {})
        return await self.work(writer, method, target, headers)

    def report(self):
        """Return the report of this server."""
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": time.monotonic() < self.busy_until,
            "seq": self.orders,
            "num-waiting": 0,
            "num-running": self.running,
            "kv-used": 0,
            "kv-total": 400_000,
            "kv-handles": len(self.handles),
        }

    async def order(self, writer, body):
        """Take an order that changes the stage."""
        content = json.loads(body)
        fence = content.get("fencing-token", -1)
        self.write("order", content=content)
        if fence < self.fence:
            return await self.reply_json(writer, 412, {})
        self.fence = fence
        if content.get("stage") == self.stage:
            return await self.reply_json(writer, 200, {})
        if content.get("if-rev", self.orders) != self.orders:
            return await self.reply_json(writer, 409, {})
        if time.monotonic() < self.busy_until:
            return await self.reply_json(writer, 409, {})
        self.orders += 1
        self.stage = content["stage"]
        self.busy_until = time.monotonic() + 0.4
        return await self.reply_json(writer, 202, {})

    async def work(self, writer, method, target, headers):
        """Run a request, or reject it."""
        attempt = headers.get("attempt-id", "")
        own = [("Attempt-Id", attempt)]
        rejected = [*own, ("Not-Executed", "1")]
        is_busy = time.monotonic() < self.busy_until
        if not attempt:
            return await self.reply(writer, 400, [("Not-Executed", "1")])
        if is_busy or self.running >= self.options.slots:
            self.write("rejected", id=attempt)
            return await self.reply(writer, 503, rejected)
        is_prefill = headers.get("stage") == "prefill"
        if self.stage and is_prefill != (self.stage == "prefill"):
            self.write("rejected", id=attempt)
            return await self.reply(writer, 421, rejected)
        seal = [*own, ("Server-Seal", f"{self.options.id}.{attempt}")]
        self.running += 1
        try:
            if is_prefill:
                return await self.prefill(writer, headers, seal)
            source = headers.get("kv-source", "")
            self.write("runs", id=attempt, method=method, target=target, source=source)
            if self.is_sick(target, headers):
                self.write("crashes", id=attempt, target=target)
                os._exit(1)
            if self.loses_answer():
                await asyncio.sleep(self.options.work_ms / 1000)
                self.write("lost", id=attempt)
                return False
            if "token-counts" in headers:
                return await self.stream(writer, headers, seal)
            await asyncio.sleep(self.options.work_ms / 1000)
            if "/fails/" in target or random.random() < self.options.errors:
                return await self.reply(writer, 500, seal, b"failed")
            text = f"{method} {target} {attempt} at {self.options.id}"
            return await self.reply(writer, 200, seal, text.encode())
        finally:
            self.running -= 1

    def is_sick(self, target, headers):
        """Whether a request ends each server that begins to run it."""
        parts = [
            part.partition(":")[0] for part in headers.get("prefix-hash", "").split(",")
        ]
        if self.options.sick_part in parts:
            return True
        if "/sick/" not in target:
            return False
        return self.options.sick_tenant in ("", headers.get("tenant", ""))

    def loses_answer(self):
        """Whether the answer of a run is lost: the connection is reset instead."""
        since = time.monotonic() - self.began
        is_time = since % self.options.lost_every < self.options.lost_for
        return is_time and random.random() < self.options.lost

    async def read_prompt(self, headers, rate):
        """Take the time that the prompt needs; cached parts need none."""
        tokens = whole(headers.get("token-counts", "0").partition(",")[0])
        parts = [part.partition(":") for part in headers["prefix-hash"].split(",")]
        found, ahead = 0, True
        for name, _colon, size in parts:
            ahead = ahead and name in self.cached
            found += whole(size) if ahead else 0
        async with self.prefill_lock:
            await asyncio.sleep(max(0, tokens - found) / rate)
        self.cached.update(name for name, _colon, _size in parts)
        return tokens

    async def prefill(self, writer, headers, seal):
        """Read the prompt and keep it under a handle."""
        tokens = await self.read_prompt(headers, self.options.rate)
        handle = secrets.token_hex(6)
        self.handles.add(handle)
        content = {"handle": handle, "tokens": tokens, "version": 1}
        body = json.dumps(content).encode()
        kind = ("Content-Type", "application/json")
        return await self.reply(writer, 200, [*seal, kind], body)

    async def stream(self, writer, headers, seal):
        """Send the events of a stream."""
        if "kv-source" not in headers:
            await self.read_prompt(headers, self.options.rate / 2)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in seal]
        lines += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        first = whole(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.options.events + 1):
            text = f"id: {number}\ndata: piece {number} of {self.options.label}\n\n"
            event = text.encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.options.event_ms / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


async def main(options):
    """Serve until the process is ended."""
    server = Server(options)
    listener = await asyncio.start_server(server.serve, options.host, options.port)
    server.write("starts")
    async with listener:
        await listener.serve_forever()


def parse():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--stage")
    parser.add_argument("--label", default="v1")
    parser.add_argument("--errors", type=float, default=0)
    parser.add_argument("--lost", type=float, default=0)
    parser.add_argument("--lost-for", type=float, default=1)
    parser.add_argument("--lost-every", type=float, default=1)
    parser.add_argument("--sick-tenant", default="")
    parser.add_argument("--sick-part", default="-")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--work-ms", type=float, default=30)
    parser.add_argument("--rate", type=float, default=50_000)
    parser.add_argument("--events", type=int, default=4)
    parser.add_argument("--event-ms", type=float, default=10)
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(main(parse()))
