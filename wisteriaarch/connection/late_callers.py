"""Keeps new callers from a listening socket that is about to be closed.

Connections that wait to be accepted are reset when their listening socket is closed. A
socket filter that drops the first packet of each new handshake lets those under way
end and be accepted before. Whoever comes meanwhile sends the packet again after about
one second and is then refused.
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
DROP, WHOLE_PACKET = 0, 0xFFFFFFFF
NO_NEW_HANDSHAKES = (
    (LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (AND, 0, 0, SYN_OR_ACK),
    (JUMP_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, DROP),
    (RETURN, 0, 0, WHOLE_PACKET),
)


def drop_new_handshakes(sock: Any) -> None:
    """Let no new handshake begin on a listening socket.

    Raises OSError where the system has no such filter.
    """
    if not sys.platform.startswith("linux"):
        raise OSError(errno.ENOPROTOOPT, "socket filters need Linux")
    code = b"".join(INSTRUCTION.pack(*item) for item in NO_NEW_HANDSHAKES)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = PROGRAM.pack(len(NO_NEW_HANDSHAKES), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
