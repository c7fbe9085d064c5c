"""Stand-in of one of the platform's servers, as the users' pages describe them.

It registers itself in the store, beats, answers plain requests and streams, turns away
what is meant for another instance, and can be told to leave or to crash.
"""

import argparse
import asyncio
import base64
import json
import os
import signal
import time

BEAT_S = 1.2


def now_s():
    """Return seconds on the steady clock that all processes of a case share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Server:
    """One incarnation of a server."""

    def __init__(self, options):
        self.options = options
        self.name = options.name
        self.born = int(time.time() * 1000)
        self.address = ""
        self.seq = 0
        self.running = 0
        self.is_leaving = False

    def write_down(self, **content):
        """Add one line to the journal, which outlives the process."""
        content = {"at": now_s(), "server": self.name, "born": self.born, **content}
        with open(self.options.journal, "a", encoding="utf-8") as file:
            file.write(json.dumps(content) + "\n")

    async def run(self):
        """Serve until the process ends."""
        server = await asyncio.start_server(
            self.serve, self.options.host, self.options.port
        )
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.write_down(event="start", address=self.address)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, lambda: loop.create_task(self.leave()))
        while not self.is_leaving:
            await self.beat()
            await asyncio.sleep(BEAT_S)
        await asyncio.Event().wait()

    async def leave(self):
        """Report that this server leaves, serve on for some time, then exit."""
        self.is_leaving = True
        if not self.options.silent:
            await self.beat()
        self.write_down(event="leaves")
        await asyncio.sleep(self.options.linger)
        self.write_down(event="exit", running=self.running)
        os._exit(0)

    async def beat(self):
        """Write the own row."""
        self.seq += 1
        row = {
            "service": self.options.service,
            "address": self.address,
            "zone": self.options.zone,
            "version": "v1",
            "slots": self.options.slots,
            "state": "draining" if self.is_leaving else "ready",
            "cold-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        self.write_down(event="beat", row=row)
        key = {"table": "servers", "part": "", "key": self.name}
        key["value"] = base64.b64encode(json.dumps(row).encode()).decode()
        body = json.dumps({"if-rev": [], "writes": [key], "remove": []}).encode()
        host, _, port = self.options.store.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"POST /api/rows-tx HTTP/1.1\r\nHost: {host}\r\n"
            head += f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            writer.write(head.encode() + body)
            await reader.read()
            writer.close()
        except OSError as exc:
            self.write_down(event="beat failed", error=repr(exc))

    async def serve(self, reader, writer):
        """Serve the requests of one connection, one after the other."""
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        """Serve one request; return whether the connection is kept."""
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for line in filter(None, rest):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        attempt = headers.get("attempt-id", "")
        own = [f"Attempt-Id: {attempt}"] if attempt else []
        expected = headers.get("expect-instance", self.name)
        if expected != self.name:
            own.append(f"Instance-Id: {self.name}")
            return await self.answer(writer, "421 Misdirected Request", own, b"")
        if self.running >= self.options.slots:
            self.write_down(event="refused", attempt=attempt)
            own.append("Not-Executed: 1")
            return await self.answer(writer, "503 Service Unavailable", own, b"")
        self.running += 1
        try:
            self.write_down(event="run", attempt=attempt, target=target)
            if self.options.crash_path and target.startswith(self.options.crash_path):
                self.write_down(event="crash", attempt=attempt)
                os._exit(1)
            await asyncio.sleep(self.work_s(target))
        finally:
            self.running -= 1
        own.append(f"Server-Seal: {self.name}.{self.born}.{attempt}")
        self.write_down(event="done", attempt=attempt)
        content = f"{method} {target} {len(body)} at {self.name}\n".encode()
        return await self.answer(writer, "200 OK", own, content)

    def work_s(self, target):
        """Return how long a request takes; its path may end in /MILLISECONDS."""
        last = target.rpartition("/")[2]
        return int(last) / 1000 if last.isdigit() else 0.02

    async def answer(self, writer, status, headers, body):
        """Send an answer; return True, since the connection is kept."""
        lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {len(body)}"]
        lines.append("Keep-Alive: timeout=15")
        if self.is_leaving:
            lines.append("Server-Leaving: 1")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        return True


def main():
    """Run one server."""
    parser = argparse.ArgumentParser()
    for name in ("name", "service", "store", "journal"):
        parser.add_argument(name)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--zone", default="z1")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--crash-path", default="")
    parser.add_argument("--silent", action="store_true")
    parser.add_argument("--linger", type=float, default=2.5)
    asyncio.run(Server(parser.parse_args()).run())


if __name__ == "__main__":
    main()
