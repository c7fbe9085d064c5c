"""Clients pipeline requests and read no answers, against one real entry.

Guards against buffers and connections without a bound: a process ran out of memory.
No times and no share of served requests are checked. The tests are of one class since
they must not run beside each other.
"""

import itertools

from extras.cluster import wait_until
from extras.gateway_cluster import HOST, GatewayCluster, is_ready
from tests.endless_support import peak_kb
from tests.gateway_support import RouteCluster
from tests.unread_support import UnreadClient, most_descriptors

# The smallest instances have this memory. The number of descriptors is lowered, so
# that fewer connections than elsewhere exceed it.
MEMORY_MB = 160
MAX_FDS = 120
PEAK_MAX_KB = MEMORY_MB * 1_000_000 // 1024
CONNECTIONS = 120
BYTES_EACH = 4_000_000
FEW_CONNECTIONS = 12
FEW_BYTES_EACH = 32_000_000
BLOCK_REQUESTS = 100
BODY = b"x" * 262_144
ANSWERED_WITHIN_S = 60.0
LIMITS = {"head_bytes": 16_384, "body_bytes": 4_194_304, "idle_timeout_s": 15.0}
HOST_LINE = f"Host: {HOST}\r\n".encode()
CALL = HOST_LINE + b"Deadline-Remaining: 1500\r\nAttempt-Id: %d-%d\r\n"
PROMPT = b"Model: m\r\nToken-Counts: 2000,400\r\nPrefix-Hash: ab12:1000,%08x:1000\r\n"


def get_blocks(path: bytes):
    """Return a function of the blocks that ask for one path again and again."""
    block = (b"GET %b HTTP/1.1\r\n" % path + HOST_LINE + b"\r\n") * BLOCK_REQUESTS
    return lambda _number: itertools.repeat(block)


def served_blocks(number: int):
    """Yield calls of one kind: plain ones, such with long bodies, or streams."""
    for index in itertools.count():
        call = CALL % (number, index)
        if number % 3 == 0:
            yield b"GET /get/x HTTP/1.1\r\n" + call + b"\r\n"
        elif number % 3 == 1:
            length = b"Content-Length: %d\r\n\r\n" % len(BODY)
            yield b"POST /post/x HTTP/1.1\r\n" + call + length + BODY
        else:
            prompt = PROMPT % (number * 1_000_000 + index)
            length = b"Content-Length: 2\r\n\r\n{}"
            yield b"POST /chat/x HTTP/1.1\r\n" + call + prompt + length


class UnreadAnswersTest(RouteCluster):
    """One entry before two plain servers and an engine of each stage."""

    def setUp(self):
        self.cluster = self.enterContext(GatewayCluster())
        self.cluster.start_store()
        for name in ("app-1", "app-2"):
            self.cluster.start_server(name, "app")
        self.cluster.start_server("pre-1", "llm", "prefill")
        self.cluster.start_server("dec-1", "llm", "decode")
        self.entry = self.cluster.start_gateway(
            memory_mb=MEMORY_MB, max_fds=MAX_FDS, limits=LIMITS
        )
        wait_until(lambda: is_ready(self.entry))
        wait_until(self.is_served)

    def is_served(self) -> bool:
        try:
            return self.ask("GET", "/get/x", "ordinary", self.entry).status == 200
        except OSError:
            return False

    def assert_withstood(self, address, count, bytes_each, blocks):
        pid = self.entry.popen.pid
        client = UnreadClient(address, count, bytes_each, blocks)
        self.addCleanup(client.close)
        descriptors = most_descriptors(self.entry, client)
        self.assertIsNone(self.entry.popen.poll())
        peak = peak_kb(self.entry)
        seen = f"sent={client.sent_bytes} peak_kb={peak} descriptors={descriptors}"
        print(f"{self.id()}: {seen}")
        with self.subTest("memory", seen=seen):
            self.assertLess(peak, PEAK_MAX_KB)
        with self.subTest("descriptors", seen=seen):
            self.assertLessEqual(descriptors, MAX_FDS)
        with self.subTest("ordinary request", seen=seen):
            wait_until(self.is_served, ANSWERED_WITHIN_S)
            wait_until(lambda: is_ready(self.entry), ANSWERED_WITHIN_S)
        self.assertEqual(self.entry.popen.pid, pid)
        self.assertIsNone(self.entry.popen.poll())

    def test_readiness_path_at_the_ready_address(self):
        blocks = get_blocks(b"/api/readiness")
        address = self.entry.control_address
        self.assert_withstood(address, CONNECTIONS, BYTES_EACH, blocks)

    def test_readiness_path_at_the_callers_address(self):
        blocks = get_blocks(b"/api/readiness")
        self.assert_withstood(self.entry.address, CONNECTIONS, BYTES_EACH, blocks)

    def test_paths_without_a_route(self):
        blocks = get_blocks(b"/no/such/path")
        self.assert_withstood(self.entry.address, CONNECTIONS, BYTES_EACH, blocks)

    def test_few_connections_at_served_paths(self):
        address = self.entry.address
        self.assert_withstood(address, FEW_CONNECTIONS, FEW_BYTES_EACH, served_blocks)
