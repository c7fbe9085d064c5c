"""A server wrote an earlier refusal once more, and it was taken for the next answer."""

import unittest
from unittest import mock

import curio
from curio import socket

from wisteriaarch.connection.upstream_pool import UpstreamPool
from wisteriaarch.errors import Ran, UpstreamRefused
from wisteriaarch.platform.upstreams import PlatformUpstreams
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.upstreams import Upstream
from wisteriaarch.request.attempt import Attempt, CallProgress
from wisteriaarch.request.attempt_failures import AttemptFailed
from wisteriaarch.request.exchange import Exchange
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.request.upstream_protocol import AttemptOptions
from wisteriaarch.version.route_table import CallKind, Route
from wisteriaarch.wire import Address, HttpResponse

TIMEOUT_S = 2.0


def answer(status, attempt=None, refused=False):
    lines = [f"HTTP/1.1 {status} x", "Content-Length: 2"]
    if attempt:
        lines.append(f"Attempt-Id: {attempt}")
    if refused:
        lines.append("Not-Executed: 1")
    return ("\r\n".join(lines) + "\r\n\r\nok").encode()


class Server:
    """Answers the requests of each connection with the given bytes, in order."""

    def __init__(self, *scripts):
        self._scripts = [list(script) for script in scripts]
        self.connections = 0

    async def __aenter__(self):
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(5)
        self.address = Address(*self._sock.getsockname())
        self._task = await curio.spawn(self._accept, daemon=True)
        return self

    async def __aexit__(self, *exc_info):
        await self._task.cancel()
        await self._sock.close()

    async def _accept(self):
        while True:
            client, _address = await self._sock.accept()
            script = self._scripts[self.connections]
            self.connections += 1
            await curio.spawn(self._serve, client, script, daemon=True)

    async def _serve(self, client, script):
        async with client:
            for data in script:
                if not await client.recv(65536):
                    return
                await client.sendall(data)
            await client.recv(65536)


class RepeatedRefusalTest(unittest.TestCase):
    def setUp(self):
        self.pool = UpstreamPool()

    async def send(self, server, attempt):
        """Send a request and return its status, or the error of the attempt."""
        route = Route("r", "h", "/", CallKind.NON_IDEMPOTENT, (), 5.0, 1.0)
        now = now_s()
        call = RoutedCall(
            attempt,
            route,
            "s",
            "POST",
            "/x",
            [("Attempt-Id", attempt)],
            b"{}",
            now,
            now + 5,
        )
        upstream = Upstream("i-1", "s", server.address, "z1", 4)
        protocol = PlatformUpstreams()
        req = protocol.run_request(call, upstream, AttemptOptions())
        async with Exchange(self.pool, protocol, call, upstream) as exchange:
            head = await exchange.send(req, TIMEOUT_S)
            await exchange.read_body()
            return head

    def play(self, attempts, *scripts):
        """Send attempts one after the other; return their results and connections."""

        async def run():
            results = []
            async with Server(*scripts) as server:
                for attempt in attempts:
                    try:
                        results.append(await self.send(server, attempt))
                    except AttemptFailed as exc:
                        results.append(exc)
                await self.pool.close()
                return results, server.connections

        return curio.run(run)

    def test_refusal_of_another_request_is_skipped(self):
        refusal = answer(503, "a", refused=True)
        results, connections = self.play("ab", [refusal, refusal + answer(200, "b")])
        self.assertEqual([item.status for item in results], [503, 200])
        self.assertEqual(connections, 1)

    def test_refusal_without_an_id_on_a_used_connection_promises_nothing(self):
        refusal = answer(503, refused=True)
        results, _connections = self.play("ab", [refusal, refusal + answer(200, "b")])
        self.assertTrue(results[0].not_run)
        self.assertIsInstance(results[1], AttemptFailed)
        self.assertIs(results[1].ran, Ran.UNKNOWN)

    def test_wrong_instance_without_an_id_on_a_used_connection_promises_nothing(self):
        first, second = answer(200, "a"), answer(421)
        results, _connections = self.play("ab", [first, second + answer(200, "b")])
        self.assertIs(results[1].ran, Ran.UNKNOWN)

    def test_request_that_was_refused_is_repeated_on_another_connection(self):
        refusal = answer(503, "a", refused=True)
        results, connections = self.play(
            "aa", [refusal, refusal + answer(200, "a")], [answer(200, "a")]
        )
        self.assertEqual([item.status for item in results], [503, 200])
        self.assertEqual(connections, 2)

    def test_refusal_without_an_id_on_a_new_connection_is_believed(self):
        results, _connections = self.play("a", [answer(503, refused=True)])
        self.assertTrue(results[0].not_run)


class OwnInterfaceTest(unittest.TestCase):
    def ran_after_refusal(self, is_reused):
        conn = mock.Mock(
            is_reused=is_reused, read_body=mock.AsyncMock(return_value=b"")
        )
        head = HttpResponse(409, {"x-ran": "no"})
        progress = CallProgress(ran=Ran.UNKNOWN)
        attempt = Attempt(mock.Mock(), mock.Mock(), mock.Mock(), mock.Mock())
        with self.assertRaises(UpstreamRefused):
            curio.run(attempt._raise_failure, conn, head, progress, Ran.NO)
        return progress.ran

    def test_refusal_is_believed_on_a_new_connection_only(self):
        self.assertIs(self.ran_after_refusal(is_reused=False), Ran.NO)
        self.assertIs(self.ran_after_refusal(is_reused=True), Ran.UNKNOWN)
