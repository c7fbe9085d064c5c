"""Entries that are killed together forget which request crashes servers."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from rig import HOST, UNABLE, Rig, ask, configuration, now_s, route  # noqa: E402

SERVERS = 3
ENTRIES = (2, 3)
CRASH_PATH = "/read/report-77"
SERVER_RESTART_S = 3.0
ENTRY_RESTART_S = 1.0
MISSED_BEATS_S = 3.6
CONTACT_S = 3.0
LIMIT = 3
ASKED_S = (2.0, 8.0, 14.0, 22.0, 28.0, 36.0, 42.0, 48.0)
KILLED_S = (16.0, 30.0)
PLAYED_S = 52.0
SOUND_S = 0.2
KEEPER_S = 0.05


class Case:
    """Two entries, three servers, one client whose request crashes servers."""

    def __init__(self, rig):
        self.rig = rig
        self.running = {}
        self.names = []
        self.entries = {}
        self.started_s = []
        self.lost = []
        self.tasks = set()

    def start_server(self, place):
        """Start a server under a new id."""
        name = f"app-{place}-{len(self.names)}"
        self.names.append(name)
        words = ("--crash-path", CRASH_PATH)
        self.running[place] = (name, self.rig.start_server(name, "app", *words))

    def begin(self, main):
        """Run something beside what else goes on."""
        task = asyncio.create_task(main)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def keep_servers(self):
        """Start a new server some seconds after one has ended."""
        ended_s = {}
        while True:
            for place, (name, process) in list(self.running.items()):
                if process.poll() is None:
                    continue
                if place not in ended_s:
                    ended_s[place] = now_s()
                    self.begin(self.remove_later(name))
                if now_s() - ended_s[place] > SERVER_RESTART_S:
                    del ended_s[place]
                    self.start_server(place)
            await asyncio.sleep(KEEPER_S)

    async def remove_later(self, name):
        """Remove the entry of a crashed server after three missed beats."""
        await asyncio.sleep(MISSED_BEATS_S)
        await asyncio.to_thread(self.rig.remove, "servers", name)

    async def send(self, attempt, method, target, number, deadline_ms):
        """Send one request to an entry, as a client does."""
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Deadline-Remaining": str(deadline_ms),
        }
        front = self.entries[number].front
        return await ask(front, method, target, b"", headers, deadline_ms / 1000)

    async def send_crashing(self):
        """Send the request that crashes servers, at one entry after the other."""
        for item, at_s in enumerate(ASKED_S):
            await self.sleep_until(at_s)
            number = ENTRIES[item % len(ENTRIES)]
            attempt = f"crash-{item}"
            answer = await self.send(attempt, "GET", CRASH_PATH, number, 1000)
            self.rig.note(f"client: {attempt} at entry {number}: {answer}")

    async def kill_entries(self):
        """Kill all entries at the same moment, and start them again."""
        for at_s in KILLED_S:
            await self.sleep_until(at_s)
            self.rig.note("platform: SIGKILL to all entries")
            for entry in self.entries.values():
                entry.kill()
                entry.wait()
            await asyncio.sleep(ENTRY_RESTART_S)
            for number in ENTRIES:
                self.entries[number] = self.rig.start_entry(number)
            self.started_s.append(now_s())
            self.rig.note("platform: all entries are started again")

    async def send_sound(self):
        """Send sound requests that may run once at most, beside it."""
        count = 0
        while True:
            number = ENTRIES[count % len(ENTRIES)]
            self.begin(self.send_one_sound(f"sound-{count}", number))
            count += 1
            await asyncio.sleep(SOUND_S)

    async def send_one_sound(self, attempt, number):
        """Send a sound request of 150 ms and note whether it was lost."""
        answer = await self.send(attempt, "POST", "/write/x/150", number, 1000)
        if answer.status == 502:
            self.lost.append((now_s(), attempt, str(answer)))

    async def sleep_until(self, at_s):
        """Wait until some seconds after the start."""
        await asyncio.sleep(max(0.0, self.rig.began_s + at_s - now_s()))

    async def play(self):
        """Play the case."""
        self.rig.began_s = now_s()
        mains = [self.keep_servers, self.send_sound, self.send_crashing]
        if self.rig.trouble:
            mains.append(self.kill_entries)
        for main in mains:
            self.begin(main())
        await self.sleep_until(PLAYED_S)
        for task in tuple(self.tasks):
            task.cancel()

    def is_in_touch(self, at_s):
        """Whether the entries had run for long enough at a moment."""
        return not any(
            start - ENTRY_RESTART_S <= at_s < start + CONTACT_S
            for start in self.started_s
        )

    def judge(self):
        """Judge by what the servers have written down."""
        rig = self.rig
        events = [item for name in self.names for item in rig.journal(name)]
        events.sort(key=lambda item: item["at"])
        runs, crashes = [], []
        for item in events:
            if item["event"] == "crash":
                crashes.append(item["at"])
                at_s = item["at"] - rig.began_s
                rig.note(
                    f"server {item['server']} at {at_s:.3f}: crash {item['attempt']}"
                )
            elif item["event"] == "run" and item["target"] == CRASH_PATH:
                runs.append(item["at"])
        late = []
        if len(crashes) >= LIMIT:
            known_s = crashes[LIMIT - 1] + CONTACT_S
            late = [at for at in runs if at > known_s and self.is_in_touch(at)]
        lost = [item for item in self.lost if late and item[0] >= late[0]]
        for _at, attempt, answer in lost:
            rig.note(f"client: {attempt} was passed on and is lost: {answer}")
        return rig.conclude(
            len(late) > LIMIT,
            f"{len(crashes)} crashes; {len(late)} arrivals later than {CONTACT_S:g} s "
            f"after the third one, from entries in touch ({LIMIT} are allowed); "
            f"{len(lost)} sound requests were lost since the first of these",
        )


def main():
    """Play the case once."""
    with Rig(FOLDER) as rig:
        try:
            services = [{"name": "app", "health-path": "/health", "max-conns": 110}]
            routes = [
                route("read", "/read/", "idempotent", "app"),
                route("write", "/write/", "non_idempotent", "app"),
            ]
            rig.start_store(configuration(1, routes, services))
            case = Case(rig)
            for place in range(SERVERS):
                case.start_server(place)
            case.entries = {number: rig.start_entry(number) for number in ENTRIES}
            rig.wait_until_ready(*case.entries.values())
        except (OSError, RuntimeError) as exc:
            rig.note(f"can't run: {exc}")
            return UNABLE
        asyncio.run(case.play())
        return case.judge()


if __name__ == "__main__":
    sys.exit(main())
