"""Orders for servers from real entries, also after their scheduler was killed."""

import signal
import time

from extras.cluster import wait_until
from extras.gateway_cluster import GatewayCluster, configuration, is_ready

from .gateway_support import RouteCluster

NUMBERS = (2, 3)
SCALING = {
    "min-replicas": 1,
    "max-replicas": 6,
    "boot-s": 1.0,
    "spot-price": 0.15,
    "zone-prices": {"z1": 1.0, "z2": 0.8},
}


def scaled(version, **changes):
    content = configuration(version)
    content["services"][0]["autoscaling"] = {**SCALING, **changes}
    return content


class ScaleOrdersTest(RouteCluster):
    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store(scaled(1))
        self.app = self.cluster.start_server("app-1", "app")
        self.cluster.start_server("llm-1", "llm", "prefill")
        self.cluster.start_server("llm-2", "llm", "decode")
        self.duties = self.cluster.start("duties", "emulate", "duties")
        self.entries = {}

    def start_entries(self, names=("autoscale",)):
        for number in NUMBERS:
            ports = next(iter(self.entries.values())).ports if self.entries else None
            self.entries[number] = self.cluster.start_gateway(
                number,
                ports,
                node=f"node-{number}",
                seeds=[f"127.0.0.{NUMBERS[0]}:{ports[3] if ports else 0}"],
                lease_term_ms=1000,
                duties={
                    "address": self.duties.address,
                    "names": list(names),
                    "calls_per_s": 20,
                    "require_fence": False,
                },
            )
        for entry in self.entries.values():
            wait_until(lambda entry=entry: is_ready(entry))

    def calls(self):
        answer = self.duties.request("POST", "/emulate", {})
        return answer.json()["calls"]

    def wait_for_order(self, zone, count, after=0):
        def is_ordered():
            contents = [call["content"] for call in self.calls()[after:]]
            wanted = {}
            for item in contents:
                wanted[item["zone"], item.get("spot", False)] = item["desired"]
            return sum(n for (z, _), n in wanted.items() if z == zone) >= count

        wait_until(is_ordered, timeout_s=25)

    def register(self, name, zone, **more):
        row = {
            "service": "app",
            "address": self.app.address,
            "zone": zone,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 0,
            **more,
        }
        self.cluster.write("servers", name, row)

    def test_successor_orders_with_a_higher_token(self):
        """The scheduler's entry is killed; nothing must be ordered with its token."""
        self.start_entries()
        self.wait_for_order("z2", 1)
        first = self.calls()
        self.assertEqual({call["content"]["service"] for call in first}, {"app"})
        self.register("app-2", "z2", spot=True)
        holder = first[-1]["holder"]
        self.entries[int(holder.rpartition("-")[2])].popen.send_signal(signal.SIGKILL)
        before = len(self.calls())
        self.cluster.write("op", "config", scaled(2, **{"min-replicas": 3}))
        self.wait_for_order("z2", 3, before)
        self.wait_for_order("z1", 2, before)
        later = self.calls()[before:]
        self.assertNotIn(holder, {call["holder"] for call in later})
        tokens = [call["token"] for call in self.calls()]
        self.assertEqual(tokens, sorted(tokens))
        self.assertGreater(later[-1]["token"], first[0]["token"])

    def test_settings_without_the_duty_order_nothing(self):
        self.start_entries(names=())
        self.register("app-2", "z2")
        wait_until(
            lambda: self.ask("GET", "/get/a", "a", self.entries[2]).status == 200
        )
        # With the duty, the first order arrives within two seconds.
        time.sleep(4.0)
        self.assertEqual(self.calls(), [])
