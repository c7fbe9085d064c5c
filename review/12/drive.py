"""Streams are taken up after a restart in turn; their scheduler has lost the store."""

import asyncio
import itertools
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import deployment as dep  # noqa: E402
import stand_ins as std  # noqa: E402

# The entry at 127.0.0.2 schedules a service of this name among 127.0.0.2 to .4.
SERVICE = "llm-b"
# As on the sheet of tregaron-points-grown, `till-helper`: pauses of 150 ms at most, up
# to 171 pieces, a deadline of 16.7 s.
EVENTS = 112
EVENT_INTERVAL_S = 0.13
DEADLINE_S = 16.7
STREAMS = 24
TRIES = 3
RETRY_PAUSE_S = 0.5
TAKEN_UP_MIN = 12
# As `core_cut` of a sheet: one machine, for 5.5 s, reset or refused.
CUT_AFTER_S, CUT_S = 3.0, 5.5


class StreamServer(std.Server):
    """Sends a stream of events; goes on after ``Last-Event-Id``."""

    async def run(self, reader, writer, request):
        """Run one request; stops when its connection closes."""
        _method, _path, headers, _body = request
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in self.answer_headers(headers)]
        lines.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.name} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            if writer.is_closing() or reader.at_eof():
                return False
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class StreamClient:
    """A client that reads a stream and takes it up again where it broke."""

    numbers = itertools.count(1)

    def __init__(self, record, front):
        self.record, self.front = record, front
        self.last_id = 0
        self.begun = False
        self.taken_up = False
        self.went_on = False
        self.ended = False
        self._first_attempt = ""
        self._began_at = time.monotonic()

    def _headers(self):
        attempt = f"case12-{next(self.numbers):06d}"
        left_ms = (self._began_at + DEADLINE_S - time.monotonic()) * 1000
        headers = {
            "Host": dep.HOST,
            "Attempt-Id": attempt,
            "Model": "m",
            "Token-Counts": f"140,{EVENTS}",
            "Prefix-Hash": f"5c1e07a2:79,{attempt[-6:]}:61",
            "Deadline-Remaining": str(max(1, int(left_ms))),
        }
        if self.last_id:
            headers["Last-Event-Id"] = str(self.last_id)
            headers["Resumes"] = self._first_attempt
        return headers

    def _on_block(self, block):
        for line in block.split(b"\n"):
            if line.startswith(b"id:"):
                self.last_id = int(line[3:])

    async def _ask(self, front):
        before = self.last_id
        headers = self._headers()
        answer = await std.ask(
            front,
            "POST",
            "/talk/x",
            headers,
            timeout_s=max(0.1, self._began_at + DEADLINE_S - time.monotonic()),
            on_block=self._on_block,
        )
        self.record.note(
            f"{headers['Attempt-Id']} at {front} after {before}: status "
            f"{answer.status}, up to {self.last_id}, complete {answer.is_complete} "
            f"{answer.detail} {answer.body[-160:] if answer.status != 200 else b''}"
        )
        return headers["Attempt-Id"], before, answer

    async def begin(self):
        """Begin the stream and read it to its end or its break."""
        self._first_attempt, _before, answer = await self._ask(self.front)
        self.begun = self.last_id > 0
        self.ended = answer.is_complete
        return answer

    async def take_up(self, front):
        """Take a broken stream up at another entry."""
        self.taken_up = True
        for _ in range(TRIES):
            _attempt, before, answer = await self._ask(front)
            if answer.status == 200 and self.last_id > before:
                self.went_on = True
                return
            pause_s = float(answer.headers.get("retry-after", RETRY_PAUSE_S))
            await asyncio.sleep(pause_s)


async def main(record):
    """Run the case; returns whether the rule held."""
    config = dep.configuration(
        [
            dep.route(
                "talk",
                "/talk/",
                "stream",
                SERVICE,
                **{
                    "timeout-ms": 16700,
                    "slo-ms": 300,
                    "max-attempts": 2,
                    "sticky": True,
                    "resumable": True,
                    "gap-slo-ms": 150,
                },
            )
        ],
        [{"name": SERVICE, "health-path": "/health", "max-conns": 300}],
    )
    async with dep.Deployment(record) as entries:
        entries.store.put("op", "config", config)
        servers = [StreamServer(f"i-{k}", SERVICE, slots=16) for k in range(1, 5)]
        for server in servers:
            await server.start()
            entries.store.put("servers", server.name, server.row())
        for number in (2, 3, 4):
            await entries.start_entry(number)
        await entries.wait_until_ready(2, 3, 4)
        await asyncio.sleep(4.0)
        return await play(record, entries, servers)


async def cut_off(record, entries):
    """Cut the way of entry 2 to the store once, and heal it."""
    if not dep.is_troubled():
        return
    await asyncio.sleep(CUT_AFTER_S)
    record.note("entry 2 is cut off from the store: new connections are refused")
    await entries.store_links[2].cut()
    await asyncio.sleep(CUT_S)
    await entries.store_links[2].heal()
    record.note("entry 2 reaches the store again")


async def play(record, entries, servers):
    """Restart two entries in turn, then cut the first off; judge the streams."""
    clients = [StreamClient(record, entries.front(3)) for _ in range(STREAMS)]
    fresh = []

    async def follow(client, delay_s):
        await asyncio.sleep(delay_s)
        client._began_at = time.monotonic()
        answer = await client.begin()
        if not answer.is_complete and client.begun:
            await client.take_up(entries.front(4))

    async def begin_new():
        while True:
            client = StreamClient(record, entries.front(4))
            fresh.append((client, asyncio.create_task(client.begin())))
            await asyncio.sleep(0.4)

    tasks = [
        asyncio.create_task(follow(client, 2.5 * index / STREAMS))
        for index, client in enumerate(clients)
    ]
    newcomers = asyncio.create_task(begin_new())
    await asyncio.sleep(3.0)
    entries.signal(2, signal.SIGTERM)
    await asyncio.sleep(1.5)
    entries.signal(3, signal.SIGTERM)
    await entries.wait_for_end(2)
    await entries.start_entry(2)
    await entries.wait_until_ready(2)
    cutting = asyncio.create_task(cut_off(record, entries))
    await entries.wait_for_end(3)
    await entries.start_entry(3)
    await asyncio.gather(*tasks, cutting)
    newcomers.cancel()
    for _client, task in fresh:
        task.cancel()
    for server in servers:
        record.note(f"server {server.name} {server.version}: {len(server.arrivals)}")
        for _at, attempt, _sender in server.arrivals:
            record.note(f"  {attempt}")
    taken_up = [item for item in clients if item.taken_up]
    went_on = sum(item.went_on for item in taken_up)
    begun = sum(client.begun or client.last_id > 0 for client, _task in fresh)
    text = (
        f"{went_on} of {len(taken_up)} streams that were taken up went on; "
        f"{begun} of {len(fresh)} new streams began"
    )
    record.note(text)
    print(text)
    if len(taken_up) < TAKEN_UP_MIN:
        raise RuntimeError("too few streams were taken up")
    return went_on / len(taken_up) >= 0.5 * begun / len(fresh)


if __name__ == "__main__":
    dep.run_case(FOLDER, main)
