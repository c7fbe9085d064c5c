"""Length-prefixed frames: a 4-byte big-endian length, then the content."""

from typing import Any

from ..errors import ConnectionClosed, FrameError, MemoryExhausted
from ..memory_budget import PROCESS_BUDGET, Reservation
from ..read_turn import ReadTurn
from ..sockets import stop_reading

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024
# Share of a frame, with the handling of its message, in the work of a turn.
FRAME_UNITS = 8


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
        self._turn = ReadTurn()

    async def read(self) -> bytes:
        """Return the content of the next frame.

        Raises FrameError if the frame is oversized or given up for lack of memory,
        ConnectionClosed if the peer closed the connection, or OSError.
        """
        self._turn.count_event(FRAME_UNITS)
        await self._turn.end_if_long()
        await self._fill(LENGTH_BYTES)
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if length > MAX_FRAME_BYTES:
            raise FrameError(
                f"frame of {length} bytes; expected at most {MAX_FRAME_BYTES}"
            )
        end = LENGTH_BYTES + length
        reservation = Reservation(lambda: stop_reading(self._sock))
        try:
            await self._fill(end, reservation)
        except (MemoryExhausted, ConnectionClosed) as exc:
            # The exception still refers to the buffer.
            self._buffer.clear()
            if not reservation.is_revoked:
                raise
            raise FrameError(f"no memory for a frame of {length} bytes") from exc
        finally:
            PROCESS_BUDGET.release(reservation)
        content = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return content

    async def _fill(self, size: int, reservation: Reservation | None = None) -> None:
        while len(self._buffer) < size:
            await self._turn.end_if_long()
            block = await self._sock.recv(READ_BYTES)
            if not block:
                raise ConnectionClosed("the peer closed the connection")
            self._turn.count_read(len(block))
            if reservation is not None:
                held = len(self._buffer) + len(block)
                await PROCESS_BUDGET.resize(reservation, held)
            self._buffer += block
