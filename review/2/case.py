"""A server that has said that it leaves gets new work after a late heartbeat."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from rig import HOST, UNABLE, Rig, ask, configuration, now_s, route  # noqa: E402

SERVERS = ("app-1", "app-2", "app-3")
LEAVER = "app-1"
ENTRIES = (2, 3)
DRAIN_S = 2.0
REMOVED_AFTER_S = 0.3
LATE_S = 3.0
BEATS_MISSED_S = 3.6
ASKED_UNTIL_S = 5.0
LINGER_S = 3.7
AT_ONCE = 6
EVERY_S = 0.1


class Case:
    """Two entries, three servers, and callers at both entries."""

    def __init__(self, rig):
        self.rig = rig
        self.entries = {}
        self.servers = {}
        self.left_at_s = 0.0
        self.sent = {}
        self.told = {}
        self.lost = []
        self.tasks = set()

    async def send(self, attempt, number, work_ms):
        """Send one request that may run once at most, and note its answer."""
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Remaining": "2000",
        }
        front = self.entries[number].front
        self.sent[attempt] = (number, now_s())
        target = f"/write/x/{work_ms}"
        answer = await ask(front, "POST", target, b"", headers, 3.0)
        leaving = answer.headers.get("server-leaving") == "1"
        if leaving:
            self.told.setdefault(number, now_s())
        if answer.status not in (200, 429, 503):
            self.lost.append(attempt)
        said = ", Server-Leaving" if leaving else ""
        self.rig.note(f"client: {attempt} at entry {number}: {answer}{said}")

    def start(self, attempt, number, work_ms):
        """Send one request beside what else goes on."""
        task = asyncio.create_task(self.send(attempt, number, work_ms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def leave(self):
        """Let a server leave that never reports it; its entry is removed."""
        rig = self.rig
        beat = self.last_beat()
        self.servers[LEAVER].send_signal(signal.SIGTERM)
        rig.note(f"platform: {LEAVER} leaves, and says so in its answers")
        await asyncio.sleep(0.05)
        self.left_at_s = now_s()
        for number in ENTRIES:
            for item in range(AT_ONCE):
                self.start(f"first-{number}-{item}", number, 20)
        await asyncio.sleep(REMOVED_AFTER_S)
        await asyncio.to_thread(rig.remove, "servers", LEAVER)
        rig.note(f"store: the entry of {LEAVER} is removed")
        if rig.trouble:
            await self.sleep_until(LATE_S)
            await asyncio.to_thread(rig.write, "servers", LEAVER, beat)
            rig.note(f"store: a beat of {LEAVER}, sent before it left, is done late")
            await self.sleep_until(LATE_S + BEATS_MISSED_S)
            await asyncio.to_thread(rig.remove, "servers", LEAVER)
            rig.note(f"store: the entry of {LEAVER} is removed after three beats")

    def last_beat(self):
        """Return the last row that the leaving server wrote."""
        beats = [item for item in self.rig.journal(LEAVER) if item["event"] == "beat"]
        return beats[-1]["row"]

    async def sleep_until(self, after_s):
        """Wait until some seconds after the server began to leave."""
        await asyncio.sleep(max(0.0, self.left_at_s + after_s - now_s()))

    async def play(self):
        """Play the case."""
        await asyncio.sleep(1.5)
        leaving = asyncio.create_task(self.leave())
        await asyncio.sleep(0.5)
        await self.sleep_until(DRAIN_S + 0.1)
        count = 0
        while now_s() < self.left_at_s + ASKED_UNTIL_S:
            count += 1
            number = ENTRIES[count % len(ENTRIES)]
            self.start(f"later-{number}-{count}", number, 800)
            await asyncio.sleep(EVERY_S)
        await asyncio.gather(leaving, *self.tasks)

    def judge(self):
        """Judge by what the leaving server has written down."""
        rig = self.rig
        late = []
        for item in rig.journal(LEAVER):
            if item["event"] == "beat":
                continue
            attempt = item.get("attempt", "")
            at_s = item["at"] - rig.began_s
            rig.note(f"server {LEAVER} at {at_s:.3f}: {item['event']} {attempt}")
            if item["event"] != "run":
                continue
            number, sent_s = self.sent[attempt]
            if number in self.told and sent_s > self.told[number] + DRAIN_S:
                late.append(attempt)
        lost = [attempt for attempt in self.lost if attempt in late]
        if len(self.told) < len(ENTRIES):
            rig.note(f"no answer said that it leaves at some entry: {self.told}")
        return rig.conclude(
            bool(late),
            f"{len(late)} requests that clients sent later than {DRAIN_S:g} s after "
            f"their entry had passed on Server-Leaving reached {LEAVER}; "
            f"{len(lost)} of them were lost as it exited",
        )


def main():
    """Play the case once."""
    with Rig(FOLDER) as rig:
        try:
            services = [{"name": "app", "health-path": "/health", "max-conns": 110}]
            routes = [route("write", "/write/", "non_idempotent", "app")]
            rig.start_store(configuration(1, routes, services))
            case = Case(rig)
            for name in SERVERS:
                words = ("--silent", "--linger", str(LINGER_S))
                case.servers[name] = rig.start_server(name, "app", *words)
            case.entries = {number: rig.start_entry(number) for number in ENTRIES}
            rig.wait_until_ready(*case.entries.values())
        except (OSError, RuntimeError) as exc:
            rig.note(f"can't run: {exc}")
            return UNABLE
        asyncio.run(case.play())
        return case.judge()


if __name__ == "__main__":
    sys.exit(main())
