"""Two usage reports for one window, after the store came back from a copy."""

import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import deployment as d  # noqa: E402

WINDOW_S = 5.0
ENTRIES = 3
FROZEN_S = 4.0
COPY_AGE_S = 5.5
KEYS = {"huka270": "key-one", "puhu251": "key-two"}


def configuration():
    """Return a configuration with tenants and one plain service."""
    tenants = [{"name": name, "api-keys": [key]} for name, key in KEYS.items()]
    return {
        "version": 1,
        "routes": [d.route("balance", "idempotent", "app")],
        "services": [{"name": "app", "health-path": "/health", "max-conns": 100}],
        "limits": d.LIMITS,
        "tenants": tenants,
    }


class Callers:
    """Clients of the two tenants at each entry, about 20 requests a second each."""

    def __init__(self, site):
        self.site = site
        self.closing = threading.Event()
        self.threads = []

    def start(self):
        """Start one client for each entry and tenant."""
        for host in self.site.entries:
            for name in KEYS:
                thread = threading.Thread(target=self.run, args=(host, name))
                thread.start()
                self.threads.append(thread)

    def run(self, host, name):
        """Send requests one after the other until the end."""
        address = f"{host}:{self.site.entries[host]['front']}"
        number = 0
        while not self.closing.wait(0.04):
            if "process" not in self.site.entries[host]:
                continue
            number += 1
            headers = {
                "Attempt-Id": f"{host}-{name}-{number}",
                "Authorization": f"Bearer {KEYS[name]}",
                "Deadline-Remaining": "1000",
            }
            d.call(address, "GET", f"/balance/{number}", headers, timeout_s=1.5)

    def close(self):
        """End all clients."""
        self.closing.set()
        for thread in self.threads:
            thread.join()


class Reports:
    """Usage reports that the platform has accepted, in their order."""

    def __init__(self, address):
        self.address = address

    def read(self):
        """Return the reports so far, as (window, counts, holder, token)."""
        answer = d.call(self.address, "POST", "/emulate", {}, b"{}")
        calls = json.loads(answer.body)["calls"] if answer.status == 200 else []
        return [
            (
                item["content"]["window-id"],
                item["content"]["counts"],
                item["holder"],
                item["token"],
            )
            for item in calls
            if item["accepted"] and "window-id" in item["content"]
        ]

    def wait(self, is_enough, timeout_s, what):
        """Return the first report that is wanted."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            for item in self.read():
                if is_enough(item):
                    return item
            time.sleep(0.1)
        raise d.CantRun(f"no {what} within {timeout_s} s")


def check(site):
    """Return whether one window was reported twice with different counts."""
    site.start_store(configuration())
    platform = f"127.0.0.1:{d.free_port()}"
    port = platform.rsplit(":", 1)[1]
    arguments = ["emulate", "duties", "--host", "127.0.0.1", "--port", port]
    site.spawn_project(arguments, "duties")
    site.wait_for_port(platform)
    for number in range(3):
        site.start_server(f"app-{number}", "app")
    site.keep_servers()
    duties = {
        "address": platform,
        "names": ["usage"],
        "calls_per_s": 50,
        "require_fence": False,
        "window_s": WINDOW_S,
        "tolerance": 0.05,
        "usage_late_s": 10,
    }
    site.start_entries(ENTRIES, later=1, duties=duties)
    callers, reports = Callers(site), Reports(platform)
    callers.start()
    try:
        play(site, reports)
    finally:
        callers.close()
    return judge(site, reports.read())


def play(site, reports):
    """Add a machine, as planned work does, then bring the trouble."""
    added = list(site.entries)[-1]
    holder = reports.wait(lambda item: True, 20, "first report")[2]
    site.note(f"{holder} holds the duty; a third machine is added")
    site.add_entry(added)
    hosts = {item["node"]: host for host, item in site.entries.items()}
    third = next(
        hosts[node] for node in hosts if hosts[node] != added and node != holder
    )
    now = time.time()
    end = (int(now / WINDOW_S) + 1) * WINDOW_S
    if end - now < 2.5:
        end += WINDOW_S
    window = int(end / WINDOW_S) - 1
    time.sleep(end - 1.0 - time.time())
    if d.TROUBLE:
        site.note(f"{third} is frozen for {FROZEN_S} s, window {window} ends in 1 s")
        site.freeze_entry(third)
    site.control_store({"copy": True})
    time.sleep(FROZEN_S)
    if d.TROUBLE:
        site.thaw_entry(third)
    reports.wait(lambda item: item[0] == window, 10, f"report of window {window}")
    time.sleep(max(0.0, end - 1.0 + COPY_AGE_S - time.time()))
    if d.TROUBLE:
        site.note(f"the store is away and comes back, {COPY_AGE_S} s older")
        site.control_store({"refuse": 503})
        time.sleep(0.5)
        site.control_store({"come-back": True})
        site.write_row("op", "config", configuration())
    time.sleep(24)


def judge(site, found):
    """Record the reports; return whether the platform got two that differ."""
    by_window = {}
    is_broken = False
    for window, counts, holder, token in found:
        site.note(f"accepted: window {window} {counts} of {holder}, token {token}")
        known = by_window.setdefault(window, counts)
        if known != counts:
            is_broken = True
            site.note(f"window {window} was accepted with {known} before")
    return is_broken


if __name__ == "__main__":
    d.finish(check, __file__)
