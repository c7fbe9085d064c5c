"""Processes that start clusters at the same time get different ports."""

import multiprocessing
import socket
import unittest

from extras.ports import PORTS_PER_BLOCK, free_port

PROCESSES = 3
PORTS = 60


def take_ports(results, told):
    """Take ports and go on running until told to end."""
    results.put([free_port() for _ in range(PORTS)])
    told.wait()


class PortsTest(unittest.TestCase):
    def taken_by_others(self, start_method):
        """Return the ports of other processes, all of which still run."""
        context = multiprocessing.get_context(start_method)
        results, told = context.Queue(), context.Event()
        processes = [
            context.Process(target=take_ports, args=(results, told))
            for _ in range(PROCESSES)
        ]
        for process in processes:
            process.start()
        self.addCleanup(lambda: [process.join() for process in processes])
        self.addCleanup(told.set)
        return [port for _ in processes for port in results.get(timeout=20)]

    def test_processes_get_different_ports(self):
        for start_method in ("spawn", "fork"):
            with self.subTest(start_method):
                ports = [free_port() for _ in range(PORTS)]
                ports += self.taken_by_others(start_method)
                self.assertEqual(len(set(ports)), (PROCESSES + 1) * PORTS)

    def test_port_in_use_on_another_address_is_not_given(self):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            taken = free_port()
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.bind(("127.0.0.3", taken))
                given = {free_port() for _ in range(PORTS_PER_BLOCK)}
                self.assertNotIn(taken, given)

    def test_no_port_is_given_twice_in_a_row(self):
        ports = [free_port() for _ in range(PORTS_PER_BLOCK // 2)]
        self.assertEqual(len(set(ports)), len(ports))
