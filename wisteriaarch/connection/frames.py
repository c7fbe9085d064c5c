"""Length-prefixed frames: a 4-byte big-endian length, then the content."""

from typing import Any

from ..errors import ConnectionClosed, FrameError

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024


def encode_frame(content: bytes) -> bytes:
    """Return the content with its length prefix."""
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


class FrameReader:
    """Reads frames from a socket, with buffering.

    Frames that arrive together need only one read of the socket. ``received`` are bytes
    that were read from it before.
    """

    def __init__(self, sock: Any, received: bytes = b""):
        self._sock = sock
        self._buffer = bytearray(received)

    async def read(self) -> bytes:
        """Return the content of the next frame.

        Raises FrameError if the frame is oversized, ConnectionClosed if the peer closed
        the connection, or OSError.
        """
        await self._fill(LENGTH_BYTES)
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if length > MAX_FRAME_BYTES:
            raise FrameError(
                f"frame of {length} bytes; expected at most {MAX_FRAME_BYTES}"
            )
        end = LENGTH_BYTES + length
        await self._fill(end)
        content = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return content

    async def _fill(self, size: int) -> None:
        while len(self._buffer) < size:
            block = await self._sock.recv(READ_BYTES)
            if not block:
                raise ConnectionClosed("the peer closed the connection")
            self._buffer += block
