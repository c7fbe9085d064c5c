"""HTTP edge cases on a caller's connection."""

import json
import socket
import threading
import time

from extras.cluster import request, wait_until
from wisteriaarch.emulator.scheduler import expected_text

from .support import AUTHORIZATION, MODEL, ClusterTestCase

HOST_LINE = b"Host: entry\r\n"
AUTHORIZATION_LINE = f"Authorization: {AUTHORIZATION['Authorization']}\r\n".encode()
STREAM_END = b"data: [DONE]\n\n"
MIB = 1024 * 1024


def completion_bytes(prompt: str, **more) -> bytes:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 3, **more}
    content = json.dumps(body).encode()
    head = b"POST /v1/completions HTTP/1.1\r\n" + HOST_LINE + AUTHORIZATION_LINE
    return head + f"Content-Length: {len(content)}\r\n\r\n".encode() + content


class HttpTest(ClusterTestCase):
    def connect(self) -> socket.socket:
        host, _, port = self.process("entry-1").address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=20)
        self.addCleanup(sock.close)
        return sock

    def exchange(self, data: bytes) -> bytes:
        """Send raw bytes and read until the entry closes."""
        sock = self.connect()
        sock.sendall(data)
        return b"".join(iter(lambda: sock.recv(MIB), b""))

    def assert_problem(self, data: bytes, status: int, kind: str, field: str):
        head, _, body = self.exchange(data).partition(b"\r\n\r\n")
        problem = json.loads(body)
        self.assertTrue(head.startswith(f"HTTP/1.1 {status}".encode()), head)
        self.assertEqual((problem["kind"], problem["field"]), (kind, field))
        self.assertEqual(problem["ran"], "no")
        self.assertIn("expected", problem)

    def test_conflicting_lengths_are_refused(self):
        head = b"POST /v1/completions HTTP/1.1\r\n" + HOST_LINE + AUTHORIZATION_LINE
        both = (
            head + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        )
        twice = head + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\n{}{}"
        self.assert_problem(both, 400, "malformed_request", "Content-Length")
        self.assert_problem(twice, 400, "malformed_request", "request")

    def test_oversized_head_and_body_are_refused(self):
        head = b"GET /healthz HTTP/1.1\r\n" + HOST_LINE + b"X-Long: " + b"a" * 70_000
        self.assert_problem(head, 431, "head_too_large", "head")
        announced = b"POST /v1/completions HTTP/1.1\r\n" + HOST_LINE
        announced += f"Content-Length: {64 * MIB}\r\n\r\n".encode()
        self.assert_problem(announced, 413, "body_too_large", "body")
        block = b"100000\r\n" + b"a" * MIB + b"\r\n"
        chunked = b"POST /v1/completions HTTP/1.1\r\n" + HOST_LINE
        chunked += b"Transfer-Encoding: chunked\r\n\r\n" + block * 17
        self.assert_problem(chunked, 413, "body_too_large", "body")

    def test_invalid_bodies_name_the_field(self):
        for body, field in (
            ({"max_tokens": 0}, "max_tokens"),
            ({"prompt": 7}, "prompt"),
            ({"unheard_of": True}, "unheard_of"),
        ):
            with self.subTest(field=field):
                problem = self.complete(body).json()
                self.assertEqual(problem["kind"], "invalid_field")
                self.assertEqual(problem["field"], field)
        answer = self.complete(headers={"X-Deadline-Ms": "soon"})
        self.assertEqual(answer.json()["field"], "X-Deadline-Ms")

    def test_deeply_nested_body_is_the_callers_fault(self):
        path = "/v1/completions"
        address = self.process("entry-1").address
        answer = request(address, "POST", path, b"[" * 50_000, AUTHORIZATION)
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.json()["ran"], "no")

    def test_error_repeats_little_of_a_malformed_request(self):
        answer = self.exchange(b"GET /" + b" x" * 2000 + b" HTTP/1.1\r\n\r\n")
        self.assertIn(b" 400 ", answer.partition(b"\r\n")[0])
        self.assertLess(len(answer), 1000)

    def test_pipelined_and_chunked_requests_are_answered_in_order(self):
        body = json.dumps({"model": MODEL, "prompt": "third", "max_tokens": 3}).encode()
        chunked = b"POST /v1/completions HTTP/1.1\r\n" + HOST_LINE + AUTHORIZATION_LINE
        chunked += b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        for start in range(0, len(body), 10):
            block = body[start : start + 10]
            chunked += f"{len(block):x}\r\n".encode() + block + b"\r\n"
        data = completion_bytes("first") + completion_bytes("second") + chunked
        answers = self.exchange(data + b"0\r\n\r\n")
        places = [
            answers.find(expected_text(prompt, 3).encode())
            for prompt in ("first", "second", "third")
        ]
        self.assertNotIn(-1, places)
        self.assertEqual(places, sorted(places))

    def test_body_of_several_megabytes_arrives_whole(self):
        answer = self.call_service("/notes", b"x" * (8 * MIB))
        self.assertEqual(answer.status, 200, answer.body[:200])

    def test_service_headers_pass_but_for_those_of_one_connection(self):
        service = self.process("portal-1")
        self.addCleanup(service.request, "POST", "/control", {"headers": []})
        sent = [
            ("Set-Cookie", "a=1"),
            ("Set-Cookie", "b=2"),
            ("Retry-After", "7"),
            ("X-Ran", "no"),
            ("X-Hop", "1"),
            ("Connection", "X-Hop"),
            ("Proxy-Authenticate", "Basic"),
        ]
        service.request("POST", "/control", {"headers": sent})
        data = b"GET /services/portal/notes HTTP/1.1\r\n" + HOST_LINE
        data += AUTHORIZATION_LINE + b"Cookie: c=3\r\nX-Many: 1\r\nX-Many: 2\r\n"
        data += b"TE: trailers\r\nX-Own-Hop: 1\r\nProxy-Authorization: Basic x\r\n"
        data += b"Connection: X-Own-Hop, close\r\n\r\n"
        head, _, body = self.exchange(data).partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")[1:]
        returned = {"Set-Cookie: a=1", "Set-Cookie: b=2", "Retry-After: 7"}
        own = {"Content-Type: application/json", f"Content-Length: {len(body)}"}
        self.assertEqual(set(lines), returned | own | {"Connection: close"})
        seen = [(name, value) for name, value in json.loads(body)["headers"]]
        names = {name for name, _value in seen}
        self.assertEqual(names, {"Host", "Cookie", "X-Many", "X-Request-Id"})
        self.assertEqual([v for name, v in seen if name == "X-Many"], ["1", "2"])
        self.assertIn(("Cookie", "c=3"), seen)

    def test_stream_has_chunks_only_where_the_caller_knows_them(self):
        request = completion_bytes("framed", max_tokens=40, stream=True)
        old = self.exchange(request.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        request = request.replace(
            b"Content-Length", b"Connection: close\r\nContent-Length"
        )
        new = self.exchange(request)
        head, _, body = old.partition(b"\r\n\r\n")
        self.assertNotIn(b"chunked", head)
        self.assertTrue(body.startswith(b"data: {") and body.endswith(STREAM_END))
        chunks = new.partition(b"\r\n\r\n")[2]
        rebuilt = b""
        while chunks != b"0\r\n\r\n":
            size, _, chunks = chunks.partition(b"\r\n")
            end = int(size, 16)
            rebuilt += chunks[:end]
            self.assertEqual(chunks[end : end + 2], b"\r\n")
            chunks = chunks[end + 2 :]
        texts = [self.texts(stream) for stream in (body, rebuilt)]
        self.assertEqual(texts[0], texts[1])
        self.assertEqual("".join(texts[0]), expected_text("framed", 40))

    def texts(self, stream: bytes) -> list[str]:
        events = stream.removesuffix(STREAM_END).split(b"\n\n")[:-1]
        contents = [json.loads(event.removeprefix(b"data: ")) for event in events]
        return [content["choices"][0]["text"] for content in contents]

    def test_head_requests_are_answered_without_a_body(self):
        line = b" HTTP/1.1\r\n" + HOST_LINE + AUTHORIZATION_LINE
        found = b"HEAD /services/portal/notes" + line + b"\r\n"
        absent = b"HEAD /services/absent" + line + b"Connection: close\r\n\r\n"
        heads = self.exchange(found + absent).split(b"\r\n\r\n")
        self.assertEqual(len(heads), 3, heads)
        for head, status in zip(heads, (b"200", b"404"), strict=False):
            self.assertTrue(head.startswith(b"HTTP/1.1 " + status), head)
            length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
            self.assertGreater(int(length), 0)
        self.assertEqual(heads[2], b"")

    def test_vanished_caller_cancels_the_upstream_stream(self):
        sock = self.connect()
        sock.sendall(completion_bytes("long", max_tokens=2000, stream=True))
        self.assertIn(b"200", sock.recv(4096))
        self.assertEqual(self.streams_running(), 1)
        sock.close()
        wait_until(lambda: self.streams_running() == 0)

    def test_slow_reader_holds_back_the_upstream_and_not_the_entry(self):
        sock = self.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        prompt = "slow"
        sock.sendall(completion_bytes(prompt, max_tokens=400, stream=True))
        results = []
        others = [
            threading.Thread(target=lambda: results.append(self.complete().status))
            for _ in range(5)
        ]
        for thread in others:
            thread.start()
        for thread in others:
            thread.join()
        self.assertEqual(results, [200] * 5)
        received = b""
        while b"[DONE]" not in received:
            received += sock.recv(2048)
            time.sleep(0.001)
        self.assertEqual(received.count(b'"text"'), 400)

    def streams_running(self) -> int:
        state = self.process("engine-1").request("GET", "/orders").json()
        return sum(state["streams"].values())
