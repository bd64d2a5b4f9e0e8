"""Processor time, memory and network traffic of processes, read from the kernel."""

from __future__ import annotations

import contextlib
import os
import pathlib
import socket
import struct

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_TICKS = 11
_SYSTEM_TICKS = 12
_TCP_INFO_BYTES = 144
# Fields bytes_acked, bytes_received, segs_out and segs_in of the kernel's struct tcp_info.
_TCP_INFO_TRAFFIC = struct.Struct("=QQII")
_TCP_INFO_TRAFFIC_OFFSET = 120
_IP_TCP_HEADER_BYTES = 52


def cpu_seconds(pid: int) -> float:
    """Return the processor time a process has used, in seconds."""
    # The command name is in parentheses and may contain spaces, so fields are counted after it.
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])) / _TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * _PAGE_BYTES


def wire_bytes() -> int:
    """Return the bytes sent and received on this process's open TCP connections, with headers."""
    return sum(map(_socket_wire_bytes, os.listdir("/proc/self/fd")))


def _socket_wire_bytes(descriptor: str) -> int:
    with contextlib.suppress(OSError), socket.socket(fileno=os.dup(int(descriptor))) as connection:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
        if len(info) == _TCP_INFO_BYTES:
            sent, received, segments_out, segments_in = _TCP_INFO_TRAFFIC.unpack_from(
                info, _TCP_INFO_TRAFFIC_OFFSET
            )
            return int(sent + received + _IP_TCP_HEADER_BYTES * (segments_out + segments_in))
    return 0
