"""Ports for the processes of a cluster.

A port that the kernel chose is free on one address only, and no longer reserved once
its socket is closed: clusters of two processes of this machine could get the same one.
"""

import itertools
import os
import socket
import threading
from socket import SOCK_DGRAM, SOCK_STREAM

# Below the ports that Linux gives to connections and to listeners without a port.
FIRST_PORT = 12_000
PORTS_PER_BLOCK = 400
BLOCKS = 50
LOCK_HOST = "127.0.0.1"
ANY_HOST = "0.0.0.0"


class PortBlock:
    """Consecutive ports of which only this process takes any.

    The first one is the lock: it stays bound until the process ends.
    """

    def __init__(self):
        first_number = os.getpid() % BLOCKS
        for number in range(first_number, first_number + BLOCKS):
            first_port = FIRST_PORT + number % BLOCKS * PORTS_PER_BLOCK
            if _lock(first_port):
                others = range(first_port + 1, first_port + PORTS_PER_BLOCK)
                self._next_ports = itertools.cycle(others)
                return
        raise RuntimeError(f"all {BLOCKS} blocks of ports are taken")

    def take(self) -> int:
        """Return the next port that is unused on all addresses."""
        candidates = itertools.islice(self._next_ports, PORTS_PER_BLOCK - 1)
        for port in candidates:
            if _is_free(port):
                return port
        raise RuntimeError("all ports of the block are in use")


class PortSource:
    """Takes ports from a block of this process, also where it was forked."""

    def __init__(self):
        self._blocks: dict[int, PortBlock] = {}
        self._mutex = threading.Lock()

    def take(self) -> int:
        """Return an unused port; a process is given all its ports before one twice."""
        with self._mutex:
            pid = os.getpid()
            if pid not in self._blocks:
                self._blocks[pid] = PortBlock()
            return self._blocks[pid].take()


_SOURCE = PortSource()


def free_port() -> int:
    """Return an unused port for TCP and UDP, which no other process is given."""
    return _SOURCE.take()


def _lock(port: int) -> bool:
    """Bind a port until the process ends; False if another process has done so."""
    with socket.socket() as sock:
        try:
            sock.bind((LOCK_HOST, port))
        except OSError:
            return False
        # The descriptor is never closed.
        sock.detach()
    return True


def _is_free(port: int) -> bool:
    return all(_can_bind(kind, port) for kind in (SOCK_STREAM, SOCK_DGRAM))


def _can_bind(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        if kind is SOCK_STREAM:
            # Connections that were closed lately don't keep the port in use.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ANY_HOST, port))
        except OSError:
            return False
    return True
