"""A request crashed servers; real entries remember it beyond their own ends."""

import signal
import time
import unittest

from extras.cluster import wait_until
from extras.gateway_cluster import GatewayCluster, is_ready

from .gateway_support import RouteCluster

ENTRIES = (2, 3)
SERVERS = 5
CRASHES = 3
# Crashes are told to the writer, and written, within this time.
WRITTEN_S = 2.0
BORN_MS = 1_800_000_000_000


class CrashingRequestTest(RouteCluster):
    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store()
        self.servers = [
            self.cluster.start_server(f"app-{number}", "app")
            for number in range(SERVERS)
        ]
        self.ports = None
        self.start_entries()

    def start_entries(self):
        self.entries = []
        for number in ENTRIES:
            entry = self.cluster.start_gateway(number, self.ports)
            self.ports = entry.ports
            self.entries.append(entry)
        for entry in self.entries:
            wait_until(lambda entry=entry: is_ready(entry))

    def crashes(self):
        """Return the number of servers that have ended."""
        return sum(server.popen.poll() is not None for server in self.servers)

    def send_crashing(self, attempt, entry):
        return self.ask("GET", "/get/sick", attempt, entry, Crash="1").status

    def test_request_is_refused_after_all_entries_were_killed(self):
        """Guards against entries that crash three more servers after each restart."""
        for number in range(SERVERS):
            if self.crashes() < CRASHES:
                entry = self.entries[number % len(ENTRIES)]
                self.send_crashing(f"sick-{number}", entry)
        time.sleep(WRITTEN_S)
        crashed = self.crashes()
        for entry in self.entries:
            entry.send_signal(signal.SIGKILL)
            entry.popen.wait()
            entry.popen.stdout.close()
        self.start_entries()
        for index, entry in enumerate(self.entries):
            wait_until(
                lambda entry=entry, index=index: (
                    self.ask("GET", "/get/sound", f"sound-{index}", entry).status == 200
                )
            )
            self.assertEqual(self.send_crashing(f"again-{index}", entry), 503)
        self.assertEqual(self.crashes(), crashed)


class RestartedServerTest(RouteCluster):
    """Two servers that start again under the ids that they had."""

    SERVERS = ("app-1", "app-2")
    STARTS_MAX = 6

    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store()
        self.starts = 0
        self.servers = {}
        for name in self.SERVERS:
            self.start_server(name)
        self.entry = self.cluster.start_gateway()
        wait_until(lambda: is_ready(self.entry))

    def start_server(self, name):
        self.starts += 1
        born = BORN_MS + self.starts
        self.servers[name] = self.cluster.start_server(name, "app", born=born)

    def restart_crashed(self):
        """Start the servers that have ended again, each under its id."""
        for name, server in list(self.servers.items()):
            if server.popen.poll() is not None:
                server.popen.stdout.close()
                self.start_server(name)

    def test_crashes_of_one_server_under_one_id_add_up(self):
        """Guards against servers that keep their ids and are crashed without end."""
        status = None
        while status != 503 and self.starts < self.STARTS_MAX:
            number = self.starts
            status = self.ask(
                "GET", "/get/sick", f"sick-{number}", self.entry, Crash="1"
            ).status
            self.restart_crashed()
            wait_until(
                lambda number=number: (
                    self.ask("GET", "/get/sound", f"sound-{number}", self.entry).status
                    == 200
                )
            )
        self.assertEqual(status, 503)
        crashed = self.starts - len(self.SERVERS)
        self.assertEqual(crashed, CRASHES)


if __name__ == "__main__":
    unittest.main()
