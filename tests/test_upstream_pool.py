"""Idle connections to upstreams and the calls that may use them, without a network."""

import unittest

import curio

from wisteriaarch.connection.upstream_pool import UpstreamPool
from wisteriaarch.wire import Address

ADDRESS = Address("127.0.0.1", 1)


class FakeConnection:
    def __init__(self):
        self.address = ADDRESS
        self.request_ids = []
        self.is_closed = False

    def has_unexpected_input(self):
        return False

    def start_next_cycle(self):
        return True

    async def close(self):
        self.is_closed = True


class FakeConnector:
    """Opens a connection for each request for one."""

    def __init__(self):
        self.connections = []

    def is_usable(self, conn):
        return not conn.is_closed

    async def connect(self, _address, _timeout_s):
        conn = FakeConnection()
        self.connections.append(conn)
        return conn

    @property
    def open_connections(self):
        return sum(not conn.is_closed for conn in self.connections)


class RepeatedIdTest(unittest.TestCase):
    def setUp(self):
        self.connector = FakeConnector()
        self.pool = UpstreamPool(self.connector)

    def send(self, request_id):
        async def run():
            conn = await self.pool.acquire(ADDRESS, fresh=False, request_id=request_id)
            self.assertNotIn(request_id, conn.request_ids)
            conn.request_ids.append(request_id)
            await self.pool.release(conn)

        curio.run(run)

    def test_calls_with_one_id_leave_few_connections_open(self):
        """Guards against descriptors used up by a caller that repeats an id."""
        for _ in range(40):
            self.send("a")
        self.assertEqual(self.connector.open_connections, 1)

    def test_calls_with_ids_of_their_own_share_a_connection(self):
        for number in range(40):
            self.send(f"c{number}")
        self.assertEqual(len(self.connector.connections), 1)


if __name__ == "__main__":
    unittest.main()
