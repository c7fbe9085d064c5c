"""Socket filter that drops new TCP handshakes on a listening socket before its close.

Closing a listening socket resets the connections in its accept queue. The filter drops
the SYN packet of each new handshake, so that handshakes in progress can complete and be
accepted before the close. The client of a dropped handshake retransmits its SYN after
about one second; by then the socket is closed and the connection is refused.
"""

import ctypes
import errno
import socket
import struct
import sys
from typing import Any

# Linux: <asm-generic/socket.h>, struct sock_fprog and struct sock_filter.
SO_ATTACH_FILTER = 26
INSTRUCTION = struct.Struct("HBBI")
PROGRAM = struct.Struct("@HP")

LOAD_BYTE, AND, JUMP_EQUAL, RETURN = 0x30, 0x54, 0x15, 0x06
FLAGS_OFFSET = 13
SYN, SYN_OR_ACK = 0x02, 0x12
DROP, ACCEPT = 0, 0xFFFFFFFF
DROP_SYN_FILTER = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (AND, 0, 0, SYN_OR_ACK),
    (JUMP_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, DROP),
    (RETURN, 0, 0, ACCEPT),
)


def drop_new_handshakes(sock: Any) -> None:
    """Drop all new handshakes on a listening socket.

    Raises OSError if the system doesn't support socket filters.
    """
    if not sys.platform.startswith("linux"):
        raise OSError(errno.ENOPROTOOPT, "socket filters need Linux")
    code = b"".join(INSTRUCTION.pack(*item) for item in DROP_SYN_FILTER)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = PROGRAM.pack(len(DROP_SYN_FILTER), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
