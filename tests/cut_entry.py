"""Entry whose links to some addresses can be cut; run by the tests.

The file named by ``CUT_FILE`` holds the mode and the cut ports: ``hang`` (bytes get
nowhere, new connections time out), ``reset`` (open connections are reset, new ones time
out), ``refuse`` (open connections live on, new ones are refused), ``refuse all`` (open
connections are reset, new ones refused), or nothing. Datagrams to and from cut ports
are lost in every mode. Connections accepted at a port in ``listening`` are cut too.
"""

import json
import os
import sys
from pathlib import Path

import curio

from wisteriaarch import sockets

POLL_S = 0.01
CUT_FILE = Path(os.environ["CUT_FILE"])
open_real_socket = sockets.open_socket
accept_real_client = sockets.accept_client
make_real_socket = curio.socket.socket


def read_cuts():
    return json.loads(CUT_FILE.read_text(encoding="utf-8"))


def read_mode(port):
    content = read_cuts()
    return content["mode"] if port in content["ports"] else ""


async def pass_link(port, mode_at_start=""):
    """Wait while a link hangs; raises ConnectionResetError where it is reset."""
    while (mode := read_mode(port)) in ("hang", "reset", "refuse all"):
        if mode != "hang" and mode_at_start != "reset":
            raise ConnectionResetError("the link was cut")
        await curio.sleep(POLL_S)


class CutSocket:
    """Socket whose bytes pass only while its link isn't cut."""

    def __init__(self, sock, port):
        self._sock = sock
        self._port = port

    def __getattr__(self, name):
        return getattr(self._sock, name)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.close()

    async def close(self):
        await self._sock.close()

    async def recv(self, size, flags=0):
        await pass_link(self._port)
        received = curio.Event()
        result = []

        async def receive():
            try:
                result.append(await self._sock.recv(size, flags))
            except OSError as exc:
                result.append(exc)
            await received.set()

        task = await curio.spawn(receive, daemon=True)
        try:
            while not received.is_set():
                async with curio.ignore_after(POLL_S):
                    await received.wait()
                await pass_link(self._port)
        finally:
            await task.cancel()
        await pass_link(self._port)
        if isinstance(result[0], OSError):
            raise result[0]
        return result[0]

    async def sendall(self, data, flags=0):
        await pass_link(self._port)
        return await self._sock.sendall(data, flags)


async def open_cut_socket(address, timeout_s=sockets.CONNECT_TIMEOUT_S):
    if read_mode(address.port).startswith("refuse"):
        raise ConnectionRefusedError("the link is cut")
    try:
        async with curio.timeout_after(timeout_s):
            await pass_link(address.port, mode_at_start="reset")
    except curio.TaskTimeout as exc:
        raise TimeoutError("the link is cut") from exc
    return CutSocket(await open_real_socket(address, timeout_s), address.port)


class CutDatagramSocket:
    """Datagram socket whose datagrams pass only while their link isn't cut."""

    def __init__(self, sock):
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self._sock.close()

    async def sendto(self, data, address):
        if read_mode(address[1]):
            return len(data)
        return await self._sock.sendto(data, address)

    async def recvfrom(self, size):
        while True:
            data, address = await self._sock.recvfrom(size)
            if not read_mode(address[1]):
                return data, address


async def accept_cut_client(sock, log):
    client = await accept_real_client(sock, log)
    port = client.getsockname()[1]
    return (
        CutSocket(client, port) if port in read_cuts().get("listening", ()) else client
    )


def make_cut_socket(family, kind):
    sock = make_real_socket(family, kind)
    return CutDatagramSocket(sock) if kind == curio.socket.SOCK_DGRAM else sock


sockets.open_socket = open_cut_socket
sockets.accept_client = accept_cut_client
curio.socket.socket = make_cut_socket

if __name__ == "__main__":
    from wisteriaarch.__main__ import main

    sys.exit(main())
