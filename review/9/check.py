"""A request that crashes servers comes again while others use the same path."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import deployment as d  # noqa: E402

SERVERS = 4
ENTRIES = 3
BACK_S = 2.0
AGAIN_S = 3.0
LENGTH_S = 60.0
CONTACT_S = 4.0
ALLOWED = 3
SOUND_CLIENTS = 12
TARGET = "/balance/sick/me"
KEYS = {"sick": "key-of-sick", "sound": "key-of-sound"}


def configuration():
    """Return a configuration with two tenants and one plain service."""
    tenants = [{"name": name, "api-keys": [key]} for name, key in KEYS.items()]
    return {
        "version": 1,
        "routes": [d.route("balance", "idempotent", "app", **{"max-attempts": 1})],
        "services": [{"name": "app", "health-path": "/health", "max-conns": 410}],
        "limits": d.LIMITS,
        "tenants": tenants,
    }


def headers_of(name, attempt):
    """Return the headers of a request of a tenant."""
    return {
        "Attempt-Id": attempt,
        "Authorization": f"Bearer {KEYS[name]}",
        "Deadline-Remaining": "1000",
    }


class SoundClient(threading.Thread):
    """Asks for the balance of the sound tenant, one request after the other."""

    def __init__(self, site, number, until):
        super().__init__(daemon=True)
        self.fronts, self.number, self.until = site.fronts(), number, until
        self.answers = []

    def run(self):
        """Send requests until the end."""
        while time.monotonic() < self.until:
            count = len(self.answers)
            front = self.fronts[(self.number + count) % len(self.fronts)]
            headers = headers_of("sound", f"sound-{self.number}-{count}")
            answer = d.call(front, "GET", TARGET, headers)
            self.answers.append(answer.status)
            time.sleep(0.05)


def check(site):
    """Return whether the request reached servers more often than the rule allows."""
    site.start_store(configuration())
    sick = ["--sick-tenant", "sick" if d.TROUBLE else "nobody"]
    for number in range(SERVERS):
        options = ["--slots", "6", "--work-ms", "90", *sick]
        server = site.start_server(f"i-{number}", "app", options=options, slots=6)
        server.keeps_id = False
    site.keep_servers(restart_s=BACK_S)
    site.start_entries(ENTRIES)
    time.sleep(1)
    until = time.monotonic() + LENGTH_S
    clients = [SoundClient(site, number, until) for number in range(SOUND_CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(2)
    send_again(site, until)
    for client in clients:
        client.join()
    answers = [status for client in clients for status in client.answers]
    for status in sorted(set(answers)):
        site.note(f"sound tenant: {answers.count(status)} answers with {status}")
    return judge(site)


def send_again(site, until):
    """Send the sick tenant's request again and again, at the machines in turn."""
    fronts, number = site.fronts(), 0
    while time.monotonic() < until:
        number += 1
        front = fronts[number % len(fronts)]
        headers = headers_of("sick", f"again-{number}")
        answer = d.call(front, "GET", TARGET, headers)
        site.note(f"try {number} at {front} got {answer.status}")
        time.sleep(AGAIN_S)


def judge(site):
    """Record the runs; return whether more than three came late."""
    crashes = site.runs("crashes")
    runs = [item for item in site.runs() if item["id"].startswith("again-")]
    for item in runs:
        at = item["at"] - site.began
        site.note(f"{item['id']} ran at {item['server']} at {at:.3f}")
    site.note(f"{len(runs)} runs, {len(crashes)} of them crashed their server")
    if len(crashes) < 3:
        return False
    late = [item for item in runs if item["at"] > crashes[2]["at"] + CONTACT_S]
    site.note(f"{len(late)} tries reached servers later than {CONTACT_S} s")
    site.note(f"after the third crash; {ALLOWED} are allowed")
    return len(late) > ALLOWED


if __name__ == "__main__":
    d.finish(check, __file__)
