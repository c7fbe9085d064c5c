"""Idempotent requests at servers that fail as usual and spoil a few answers."""

import asyncio
import collections
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import deployment as dep  # noqa: E402
import stand_ins as std  # noqa: E402

SERVICE = "desk"
SERVERS = 5
SPOILING = 3
# As on the sheet of a small site: share of requests that a server answers with 500.
ERROR_SHARE = 0.14
# Largest dose of `garble` there: 0.6 of the servers spoil 0.03 of their answers.
SPOILT_SHARE = 0.03
MAX_ATTEMPTS = 2
REQUESTS_PER_S = 100
DURATION_S = 84.0
DEADLINE_S = 1.0
ALLOWED = 3
RNG = random.Random(59)


class PlainServer(std.Server):
    """Answers after 45 ms; fails and spoils its shares of the answers."""

    spoils = False

    async def run(self, reader, writer, request):
        """Run one request."""
        _method, path, headers, _body = request
        await asyncio.sleep(0.045)
        answer = self.answer_headers(headers)
        if self.spoils and RNG.random() < SPOILT_SHARE:
            writer.write(b"\x00\x91 no answer \r\n\r\n")
            await writer.drain()
            return True
        failed = RNG.random() < ERROR_SHARE
        line = "HTTP/1.1 500 Failed" if failed else "HTTP/1.1 200 OK"
        body = b"failed" if failed else f"balance {path}".encode().ljust(800)
        writer.write(std.encode_message(line, answer, body))
        await writer.drain()
        return True


async def main(record):
    """Run the case; returns whether the rule held."""
    config = dep.configuration(
        [
            dep.route(
                "balance",
                "/balance/",
                "idempotent",
                SERVICE,
                **{"timeout-ms": 1000, "slo-ms": 150, "max-attempts": MAX_ATTEMPTS},
            )
        ],
        [{"name": SERVICE, "health-path": "/health", "max-conns": 110}],
    )
    async with dep.Deployment(record) as entries:
        entries.store.put("op", "config", config)
        servers = [PlainServer(f"i-{k}", SERVICE, slots=6) for k in range(SERVERS)]
        for index, server in enumerate(servers):
            server.spoils = dep.is_troubled() and index < SPOILING
            await server.start()
            entries.store.put("servers", server.name, server.row())
        for number in (2, 3, 4):
            await entries.start_entry(number)
        await entries.wait_until_ready(2, 3, 4)
        await asyncio.sleep(4.0)
        statuses = await send_requests(record, entries)
        return judge(record, servers, statuses)


async def send_requests(record, entries):
    """Send idempotent requests at a steady rate; returns the counts of answers."""
    statuses = collections.Counter()

    async def send(number):
        attempt = f"case12-{number:06d}"
        headers = {
            "Host": dep.HOST,
            "Attempt-Id": attempt,
            "Deadline-Remaining": str(int(DEADLINE_S * 1000)),
        }
        front = entries.front((2, 3, 4)[number % 3])
        path = f"/balance/{number}"
        answer = await std.ask(front, "GET", path, headers, timeout_s=DEADLINE_S + 0.3)
        statuses[answer.status] += 1
        record.note(f"{attempt} at {front}: {answer.status} {answer.detail}")

    tasks = []
    began_at = time.monotonic()
    for number in range(int(DURATION_S * REQUESTS_PER_S)):
        due_at = began_at + number / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        tasks.append(asyncio.create_task(send(number)))
    await asyncio.gather(*tasks)
    return statuses


def judge(record, servers, statuses):
    """Return whether at most three requests ran on more servers than allowed."""
    ran_at = collections.defaultdict(set)
    for server in servers:
        for _at, attempt, _sender in server.arrivals:
            ran_at[attempt].add(server.name)
    beyond = {
        name: found for name, found in ran_at.items() if len(found) > MAX_ATTEMPTS
    }
    for name, found in sorted(beyond.items()):
        record.note(f"{name} ran at {' '.join(sorted(found))}")
    text = (
        f"{len(beyond)} of {len(ran_at)} requests ran on more than {MAX_ATTEMPTS} "
        f"servers; {ALLOWED} may; answers by status: {dict(statuses)}"
    )
    record.note(text)
    print(text)
    return len(beyond) <= ALLOWED


if __name__ == "__main__":
    dep.run_case(FOLDER, main)
