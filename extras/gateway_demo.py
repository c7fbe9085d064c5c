"""End-to-end demo of the gateway with real processes; checks each step."""

import signal
import sys
from collections.abc import Callable

from extras.cluster import request, wait_until
from extras.demo import run_steps
from extras.gateway_cluster import HOST, GatewayCluster, configuration, is_ready
from wisteriaarch.events import Event

EVENTS = 4
STORE_CAME_BACK = f'"event": {Event.STORE_RESTORED.value.number},'


class GatewayDemo:
    """Steps of the demo; a failing step raises an exception."""

    def __init__(self, cluster: GatewayCluster):
        self.cluster = cluster
        self.address = ""

    def start_processes(self) -> None:
        """Start a store, engines of both stages, an application server, two entries."""
        self.cluster.start_store()
        self.cluster.start_server("app-1", "app")
        self.cluster.start_server("prefill-1", "llm", "prefill")
        self.cluster.start_server("decode-1", "llm", "decode")
        first = self.cluster.start_gateway(2)
        second = self.cluster.start_gateway(3, ports=first.ports)
        wait_until(lambda: is_ready(first) and is_ready(second))

    def resolve_addresses(self) -> None:
        """Resolve the addresses of the entries through an entry."""
        target = f"/api/resolve?name={HOST}&region=r&zone=z1"
        directory = self.cluster.processes["gateway-2"].directory_address

        def listed() -> list[str]:
            addresses = request(directory, "GET", target).json()["addresses"]
            return addresses if len(addresses) == 2 else []

        self.address = wait_until(listed)[-1]

    def call_service(self) -> None:
        """Call the application service."""
        wait_until(lambda: self.send("GET", "/get/x", "call-1").status == 200)

    def stream_short(self) -> None:
        """Stream a short prompt, prefilled on the engine that decodes it."""
        self.check_stream("short-1", 200)
        assert not self.was_prefilled("short-1")

    def stream_long(self) -> None:
        """Stream a long prompt, prefilled on an engine of the prefill stage."""
        self.check_stream("long-1", 12_000)
        assert self.was_prefilled("long-1")

    def change_configuration(self) -> None:
        """Write a configuration and check that it is in force."""
        self.cluster.processes["store"].request("POST", "/emulate", {"copy": True})
        content = configuration(2)
        content["routes"][0]["prefix"] = "/moved/"
        self.cluster.write("op", "config", content)
        wait_until(lambda: self.send("GET", "/moved/x", "call-2").status == 200)
        assert self.send("GET", "/get/x", "call-3").status == 404

    def restore_older_snapshot(self) -> None:
        """Restore the store from a snapshot older than the configuration in force."""
        store = self.cluster.processes["store"]
        store.request("POST", "/emulate", {"refuse": 503})
        store.request("POST", "/emulate", {"come-back": True})
        for entry in ("gateway-2", "gateway-3"):
            log_path = self.cluster.processes[entry].log_path
            wait_until(lambda path=log_path: STORE_CAME_BACK in path.read_text())
        assert self.send("GET", "/moved/x", "call-5").status == 200
        assert self.send("GET", "/get/x", "call-6").status == 404

    def stop_entry(self) -> None:
        """Stop an entry; it reports not ready and serves requests until it exits."""
        leaving = self.cluster.processes["gateway-2"]
        leaving.send_signal(signal.SIGTERM)
        wait_until(lambda: not is_ready(leaving))
        headers = {"Host": HOST, "Attempt-Id": "call-4"}
        answer = request(leaving.address, "GET", "/moved/x", None, headers)
        assert answer.status == 200, answer
        assert leaving.wait() == 0

    def send(self, method: str, path: str, attempt: str, **headers):
        """Send one request to the entry chosen from the resolved addresses."""
        headers = {"Host": HOST, "Attempt-Id": attempt, **headers}
        return request(self.address, method, path, None, headers)

    def check_stream(self, attempt: str, tokens: int) -> None:
        """Send a prompt and check that all events arrive."""
        headers = {"Token-Counts": f"{tokens},40", "Prefix-Hash": f"ab12:{tokens}"}
        answer = self.send("POST", "/chat/x", attempt, **headers)
        assert answer.status == 200, answer
        assert answer.body.count(b"data: ") == EVENTS, answer.body

    def was_prefilled(self, attempt: str) -> bool:
        """Whether an engine of the prefill stage has prefilled a request's prompt."""
        seen = self.cluster.control("prefill-1")["seen"]
        return any(item["attempt-id"] == attempt for item in seen)

    def steps(self) -> list[Callable[[], None]]:
        """Return the steps in order of execution."""
        return [
            self.start_processes,
            self.resolve_addresses,
            self.call_service,
            self.stream_short,
            self.stream_long,
            self.change_configuration,
            self.restore_older_snapshot,
            self.stop_entry,
        ]


def main() -> int:
    """Run the demo and return its exit code."""
    with GatewayCluster() as cluster:
        return run_steps("gateway demo", GatewayDemo(cluster).steps())


if __name__ == "__main__":
    sys.exit(main())
