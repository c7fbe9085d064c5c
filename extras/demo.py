"""End-to-end demo with real processes; checks the outcome of each step."""

import hashlib
import http.client
import json
import subprocess
import sys
import traceback
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from extras.cluster import Cluster, Process, request, wait_until

CREDENTIAL = "demo-credential"
MODEL = "citation-large"
ENTRIES = ("entry-1", "entry-2", "entry-3")
STEP_FAILURES = (
    AssertionError,
    LookupError,
    OSError,
    RuntimeError,
    ValueError,
    http.client.HTTPException,
    subprocess.SubprocessError,
)
STREAMS = 8
STREAM_TOKENS = 100
STREAM_END = b"data: [DONE]\n\n"
AUTHORIZATION = {"Authorization": f"Bearer {CREDENTIAL}"}


def build_manifest(*, priority: int = 1) -> dict:
    """Return the manifest of the demo."""
    return {
        "site": "demo",
        "groups": [{"name": "bogota", "upstreams": ["engine-1", "engine-2"]}],
        "models": [{"name": MODEL, "version": "v1", "replicas": 2, "group": "bogota"}],
        "services": [{"name": "portal", "upstreams": ["portal-1"]}],
        "callers": [
            {
                "name": "demo-caller",
                "credential_sha256": hashlib.sha256(CREDENTIAL.encode()).hexdigest(),
                "models": [MODEL],
                "services": ["portal"],
                "priority": priority,
            }
        ],
    }


class Demo:
    """Steps of the demo; a failing step raises one of STEP_FAILURES."""

    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        self.address = ""

    def start_processes(self) -> None:
        """Start platform, engines, a plain service and entries."""
        self.cluster.start_platform()
        for name in ("engine-1", "engine-2"):
            self.cluster.start_engine(name)
        self.cluster.start_service("portal-1")
        for name in ENTRIES:
            self.cluster.start_entry(name)

    def apply_manifest(self) -> None:
        """Apply the first manifest and check that it is in force."""
        done = self.cluster.apply(build_manifest())
        assert done.returncode == 0, done.stderr + done.stdout

    def list_entries(self) -> None:
        """Request the list of usable entries from an entry."""

        def all_listed() -> list:
            answer = self.entry("entry-1").request("GET", "/v1/entries")
            entries = answer.json()["entries"]
            return entries if len(entries) == len(ENTRIES) else []

        self.address = wait_until(all_listed)[-1]["address"]

    def wait_for_models(self) -> None:
        """Wait until the lease holder has loaded the models."""
        wait_until(lambda: self.post("/v1/completions", {"prompt": "x"}).status == 200)

    def complete_json(self) -> None:
        """Send a completion request that is answered with one JSON document."""
        answer = self.post("/v1/completions", {"prompt": "Restrepo, 1998"})
        assert answer.status == 200, answer.body
        assert len(answer.json()["choices"][0]["text"].split()) == 8

    def complete_stream(self) -> None:
        """Send a chat request that is answered with a stream."""
        messages = [{"role": "user", "content": "format this"}]
        answer = self.post(
            "/v1/chat/completions", {"messages": messages, "stream": True}
        )
        assert answer.status == 200, answer.body
        assert answer.body.endswith(STREAM_END), answer.body[-80:]

    def stream_long(self):
        """Return the answer to a long streamed request."""
        body = {"prompt": "a kennel file", "max_tokens": STREAM_TOKENS, "stream": True}
        return self.post("/v1/completions", body)

    def call_service(self) -> None:
        """Call the plain service."""
        answer = request(
            self.address, "POST", "/services/portal/export", b"{}", AUTHORIZATION
        )
        assert answer.json()["target"] == "/export", answer.body

    def apply_next_manifest(self) -> None:
        """Apply another manifest and check that it is in force on every entry."""
        done = self.cluster.apply(build_manifest(priority=2), "--json")
        assert done.returncode == 0, done.stderr + done.stdout
        revision = json.loads(done.stdout)["revision"]
        for name in ENTRIES:
            status = self.entry(name).request("GET", "/v1/status").json()
            assert status["revision"] == revision, status

    def drain_engine(self) -> None:
        """Drain an engine under load: no stream is cut, no new request arrives."""
        leaving = self.cluster.processes["engine-1"]
        with ThreadPoolExecutor(STREAMS) as pool:
            streams = [pool.submit(self.stream_long) for _ in range(STREAMS)]
            wait_until(lambda: leaving.request("GET", "/orders").json()["streams"])
            platform = ("--platform", self.cluster.platform.address)
            done = self.cluster.run_cli("drain", leaving.name, *platform)
        assert done.returncode == 0, done.stderr + done.stdout
        runs = leaving.request("GET", "/journal").json()["runs"]
        for stream in streams:
            answer = stream.result()
            assert answer.body.count(b"data: ") == STREAM_TOKENS + 1, answer.body
            assert answer.body.endswith(STREAM_END), answer.body[-80:]
        self.complete_json()
        assert leaving.request("GET", "/journal").json()["runs"] == runs

    def stop_all(self) -> None:
        """Stop every process gracefully."""
        for name in reversed(self.cluster.processes):
            assert self.cluster.stop(name) == 0, name

    def entry(self, name: str) -> Process:
        """Return the process of an entry."""
        return self.cluster.processes[name]

    def post(self, target: str, body: dict):
        """Send a completion request to the entry chosen from the list of entries."""
        body = {"model": MODEL, "max_tokens": 8, **body}
        return request(self.address, "POST", target, body, AUTHORIZATION)

    def steps(self) -> list[Callable[[], None]]:
        """Return the steps in order of execution."""
        return [
            self.start_processes,
            self.apply_manifest,
            self.list_entries,
            self.wait_for_models,
            self.complete_json,
            self.complete_stream,
            self.call_service,
            self.apply_next_manifest,
            self.drain_engine,
            self.stop_all,
        ]


def run_steps(name: str, steps: Iterable[Callable[[], None]]) -> int:
    """Run steps until one fails, print each outcome and return the exit code."""
    passed = failed = 0
    for step in steps:
        try:
            step()
        except STEP_FAILURES:
            failed += 1
            print(f"FAILED  {step.__doc__}")
            traceback.print_exc()
            break
        passed += 1
        print(f"ok      {step.__doc__}")
    print(f"{name}: {passed} passed, {failed} failed")
    return 1 if failed else 0


def main() -> int:
    """Run the demo and return its exit code."""
    with Cluster() as cluster:
        return run_steps("demo", Demo(cluster).steps())


if __name__ == "__main__":
    sys.exit(main())
