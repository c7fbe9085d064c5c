"""Log lines never wait for their reader."""

import os
import time
import unittest

from wisteriaarch.log_output import PENDING_MAX_BYTES, NonBlockingStream


class DroppingStreamTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.stream = NonBlockingStream(self.writer)

    def tearDown(self):
        os.close(self.writer)

    def read(self) -> bytes:
        return os.read(self.reader, 1 << 20)

    def test_lines_pass_while_they_are_read(self):
        self.stream.write("one\n")
        self.stream.write("two\n")
        self.stream.flush()
        self.assertEqual(self.read(), b"one\ntwo\n")

    def test_stalled_reader_loses_lines_and_delays_nothing(self):
        line = "x" * 99 + "\n"
        started_at_s = time.monotonic()
        for _ in range(20_000):
            self.stream.write(line)
        self.assertLess(time.monotonic() - started_at_s, 2.0)
        self.assertGreater(self.stream.dropped_lines, 10_000)
        self.assertLessEqual(len(self.stream._pending), PENDING_MAX_BYTES + len(line))

    def test_dropped_lines_are_counted_once_the_reader_continues(self):
        for _ in range(20_000):
            self.stream.write("x" * 99 + "\n")
        dropped = self.stream.dropped_lines
        received = b""
        for _ in range(10):
            received += self.read()
            self.stream.write("back\n")
            self.stream.flush()
        self.stream.flush()
        received += self.read()
        self.assertIn(f'"dropped": {dropped}'.encode(), received)
        self.assertIn(b"back\n", received)

    def test_closed_reader_is_no_error(self):
        reader, writer = os.pipe()
        stream = NonBlockingStream(writer)
        os.close(reader)
        stream.write("one\n")
        stream.flush()
        os.close(writer)
        self.assertEqual(stream.dropped_lines, 1)
