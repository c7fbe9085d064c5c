"""Measures a zone failure and a partition between regions, with default settings.

    python -m extras.day_failures [zone] [region]

Nine entries and six engines in three zones; three groups of two engines.
``zone``: the three entries and two engines of a zone are killed at once.
``region``: for a while, the entries of one zone can't reach the platform or any other
entries; they still reach each other, the engines and the callers.
"""

import contextlib
import http.client
import json
import sys
import time

from extras.bench import DEFAULT_INTERVALS
from extras.cluster import HOST, Cluster, request, wait_until
from extras.demo import CREDENTIAL, MODEL, build_manifest
from extras.platform_view import PlatformView

ZONES = ("hall-caxias", "hall-bento", "hall-gramado")
FAILING_ZONE = ZONES[0]
GROUPS = ("rounds-1", "rounds-2", "rounds-3")
PARTITION_S = 20.0
TIMEOUT_S = 60.0
COSTS = {"load_s": 0.2}


class Site:
    """Site under test: platform, engines and entries in three zones."""

    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        self.entries = {
            f"entry-{zone}-{number}": zone for zone in ZONES for number in range(3)
        }
        self.engines = {
            f"engine-{zone}-{number}": zone for zone in ZONES for number in range(2)
        }
        self.views: dict[str, PlatformView] = {}
        self.proxies: list[str] = []

    def start(self, *, regions: bool = False) -> None:
        """Start all processes and wait until every entry serves."""
        self.cluster.start_platform()
        for zone in (FAILING_ZONE, ZONES[1]) if regions else ():
            self.views[zone] = PlatformView(self.cluster.platform.address)
        for name, zone in self.engines.items():
            self.cluster.start_engine(name, zone, costs=COSTS)
        for name, zone in self.entries.items():
            settings = dict(DEFAULT_INTERVALS)
            if regions:
                settings["platform"] = {"host": HOST, "port": self._view(zone).port}
            self.cluster.start_entry(name, zone, **settings)
        if regions:
            self._separate_regions()
        self.apply("v1")
        self.wait_until_serving(self.entries)
        time.sleep(5.0)

    def _view(self, zone: str) -> PlatformView:
        return self.views[FAILING_ZONE if zone == FAILING_ZONE else ZONES[1]]

    def _separate_regions(self) -> None:
        """Route peer connections between the two regions through proxies."""
        listed = self.cluster.platform.request("GET", "/instances").json()["instances"]
        for item in listed:
            if item["kind"] != "entry":
                continue
            name = f"to-{item['id']}"
            proxy = self.cluster.start_proxy(name, item["peer_address"])
            self.proxies.append(name)
            other = ZONES[1] if item["zone"] == FAILING_ZONE else FAILING_ZONE
            self.views[other].rewritten[item["peer_address"]] = proxy.address
            # Register again: entries poll only the changes of the instance list.
            self.cluster.platform.request("PUT", f"/instances/{item['id']}", item)

    def manifest(self, version: str) -> dict:
        """Return a manifest with one model for each group of two engines."""
        manifest = build_manifest()
        count = len(ZONES)
        manifest["services"] = []
        manifest["groups"] = [
            {
                "name": group,
                "upstreams": [
                    f"engine-{ZONES[index]}-0",
                    f"engine-{ZONES[(index + 1) % count]}-1",
                ],
            }
            for index, group in enumerate(GROUPS)
        ]
        manifest["models"] = [
            {
                "name": MODEL if index == 0 else f"{MODEL}-{index}",
                "version": version,
                "replicas": 1,
                "group": group,
            }
            for index, group in enumerate(GROUPS)
        ]
        caller = {**manifest["callers"][0], "services": []}
        caller["models"] = [model["name"] for model in manifest["models"]]
        return {**manifest, "callers": [caller]}

    def apply(self, version: str, timeout_s: float = 20.0) -> dict:
        """Apply a manifest and return the JSON report of the command."""
        options = ("--json", "--timeout", str(timeout_s))
        done = self.cluster.apply(self.manifest(version), *options)
        return json.loads(done.stdout)

    def wait_until_serving(self, names) -> None:
        """Wait until each entry answers a completion of each model."""
        for name in names:
            wait_until(lambda name=name: self.serves(name), TIMEOUT_S)

    def serves(self, name: str) -> bool:
        """Whether an entry answers a completion of each model."""
        return all(
            self.complete(name, model["name"]) == 200
            for model in self.manifest("v1")["models"]
        )

    def complete(self, name: str, model: str = MODEL) -> int:
        """Return the HTTP status of a completion, or 0 without an answer."""
        address = self.cluster.processes[name].address
        headers = {"Authorization": f"Bearer {CREDENTIAL}"}
        body = {"model": model, "prompt": "kennel file", "max_tokens": 2}
        with contextlib.suppress(OSError, http.client.HTTPException):
            return request(
                address, "POST", "/v1/completions", body, headers, timeout_s=5.0
            ).status
        return 0

    def status(self, name: str) -> dict:
        """Return the status of an entry."""
        answer = self.cluster.processes[name].request("GET", "/v1/status")
        return answer.json()

    def held_groups(self, names) -> set[str]:
        """Return the groups whose lease is held by one of the entries."""
        statuses = [self.status(name)["groups"] for name in names]
        return {g for groups in statuses for g, item in groups.items() if item["held"]}

    def listed_entries(self, name: str) -> set[str]:
        """Return the entries that an entry lists for callers."""
        answer = self.cluster.processes[name].request("GET", "/v1/entries").json()
        return {item["id"] for item in answer["entries"]}

    def has_version(self, version: str, engines) -> bool:
        """Whether the engines have a model loaded per group, all in ``version``."""
        states = [
            self.cluster.processes[name].request("GET", "/orders").json()["models"]
            for name in engines
        ]
        held = [v for models in states for v in models.values()]
        return len(held) >= len(GROUPS) and set(held) == {version}

    def split(self) -> tuple[list[str], list[str]]:
        """Return the entries of the failing zone, and the others."""
        lost = [name for name, zone in self.entries.items() if zone == FAILING_ZONE]
        return lost, [name for name in self.entries if name not in lost]


class Stopwatch:
    """Prints the time from its creation until each condition is met."""

    def __init__(self):
        self._started_at_s = time.monotonic()

    def wait(self, what: str, condition) -> None:
        """Wait for a condition and print the elapsed time."""
        wait_until(condition, TIMEOUT_S)
        print(f"  {what}: {time.monotonic() - self._started_at_s:.1f} s", flush=True)


def lose_zone(site: Site) -> None:
    """Kill all processes of a zone at once."""
    lost, others = site.split()
    before = site.held_groups(lost)
    engines = [name for name, zone in site.engines.items() if zone != FAILING_ZONE]
    print(f"zone lost: {len(before)} of {len(GROUPS)} leases were held there")
    for name, zone in (site.entries | site.engines).items():
        if zone == FAILING_ZONE:
            site.cluster.processes[name].popen.kill()
    watch = Stopwatch()
    killed = set(lost)
    watch.wait(
        "no entry lists a killed one for callers",
        lambda: all(not killed & site.listed_entries(name) for name in others),
    )
    watch.wait("all leases held by others", lambda: len(site.held_groups(others)) == 3)
    watch.wait(
        "every other entry serves every model",
        lambda: all(site.serves(name) for name in others),
    )
    watch = Stopwatch()
    outcome = site.apply("v2")
    silent, pending = len(outcome["silent"]), outcome["not_in_force"]
    print(
        f"  apply: in force on {len(outcome['in_force'])}, silent {silent}, {pending}"
    )
    watch.wait("apply returned", lambda: True)
    watch.wait(
        "version exchanged (closures, orders)", lambda: site.has_version("v2", engines)
    )


def cut_region(site: Site) -> None:
    """Disconnect the entries of a zone from the platform and the other entries."""
    lost, others = site.split()
    print(f"region cut: {len(site.held_groups(lost))} of 3 leases were held there")
    site.views[FAILING_ZONE].cut.set()
    for name in site.proxies:
        site.cluster.set_proxy(name, mode="hold")
    watch = Stopwatch()
    watch.wait(
        "the disconnected region refuses new requests",
        lambda: all(site.complete(name) == 503 for name in lost),
    )
    watch.wait(
        "all leases held by the others", lambda: len(site.held_groups(others)) == 3
    )
    watch = Stopwatch()
    outcome = site.apply("v2", timeout_s=0)
    print(f"  apply at once: in force on {len(outcome['in_force'])}")
    watch.wait(
        "in force on the others",
        lambda: all(site.status(name)["revision"] == 2 for name in others),
    )
    watch.wait(
        "version exchanged (closures, orders)",
        lambda: site.has_version("v2", list(site.engines)),
    )
    refused = all(site.complete(name) == 503 for name in lost)
    print(f"  disconnected entries still refuse: {refused}")
    time.sleep(PARTITION_S)
    site.views[FAILING_ZONE].cut.clear()
    for name in site.proxies:
        site.cluster.set_proxy(name, mode="pass")
    watch = Stopwatch()
    watch.wait(
        "after the cut: every entry serves in the new revision",
        lambda: all(
            site.serves(name) and site.status(name)["revision"] == 2
            for name in site.entries
        ),
    )


def main() -> int:
    """Run the scenarios named on the command line, by default both."""
    chosen = sys.argv[1:] or ["zone", "region"]
    for name in chosen:
        with Cluster() as cluster:
            site = Site(cluster)
            site.start(regions=name == "region")
            {"zone": lose_zone, "region": cut_region}[name](site)
    return 0


if __name__ == "__main__":
    sys.exit(main())
