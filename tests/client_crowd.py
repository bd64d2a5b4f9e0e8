"""Clients that send bytes beyond the limits to one host process, and what the process uses then.

The number of clients and the bounds were fixed before the limits were enforced. They are those of
the smallest host (200 MB); the settings lower the limits so that few clients suffice.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import random
import struct
import time
import typing as t

import aiohttp
from soak.callers import HOST_NAME
from soak.hosts import SETTINGS_TEMPLATE, Host
from soak.world import World

CLIENTS = 64
# Bytes that a client sends on one connection at most, and how many connections it opens.
BYTES_PER_CONNECTION = 1_048_576
CONNECTIONS_PER_CLIENT = 4
# How long a client waits for the host to close a connection, in seconds, before it closes it.
HOLD_S = 0.5
SEND_TIMEOUT_S = 1.0
# Memory in bytes that the process may use over its memory at rest: the smallest host has 200 MB,
# of which 70 MB are for the process, 50 MB for responses of servers, and 48 MB for bodies.
MEMORY_GROWTH_MAX = 32 * 1_048_576
# Descriptors that the process may have open, as in its settings.
DESCRIPTORS_MAX = 100
SAMPLE_INTERVAL_S = 0.01
# Time in seconds within which something has to happen, far above the bounds of the platform.
PATIENCE_S = 20.0
HEADER_BYTES_MAX = 8_000
BODY_BYTES_MAX = 262_144
LIMITS = {
    "maxHeaderBytes": HEADER_BYTES_MAX,
    "maxBodyBytes": BODY_BYTES_MAX,
    "headerTimeout": "1s",
    "idleTimeout": "2s",
}
REQUEST = f"GET /devices/7 HTTP/1.1\r\nHost: {HOST_NAME}\r\n".encode()
AUTHORIZATION = b"Authorization: Bearer salon-0\r\n"
LOOKUP = b"GET /v1/resolve HTTP/1.1\r\nHost: h\r\n\r\n"
POST = f"POST /devices/7 HTTP/1.1\r\nHost: {HOST_NAME}\r\n".encode()
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
PIECE = 65_536
# The greeting and the READY command of ZMTP 3.0 with the NULL mechanism, as a DEALER sends them.
ZMTP_GREETING = b"\xff" + bytes(8) + b"\x7f\x03\x00NULL" + bytes(48)
ZMTP_READY = b"\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER"

Pieces = t.Callable[[random.Random], t.Iterator[bytes]]


class Form(t.NamedTuple):
    """What a client sends on each of its connections.

    :param pieces: the bytes in order; the client stops after ``BYTES_PER_CONNECTION``.
    :param pause_s: pause in seconds after each piece.
    :param reads: whether the client reads responses.
    :param holds: whether it keeps its earlier connections open when it opens another one.
    """

    pieces: Pieces
    pause_s: float = 0.0
    reads: bool = True
    holds: bool = False


def endless(piece: bytes, first: bytes = b"") -> Pieces:
    """Return a function that yields ``first`` and then a piece without end."""
    return lambda rng: itertools.chain([first], itertools.repeat(piece))


def once(*pieces: bytes) -> Pieces:
    """Return a function that yields pieces once."""
    return lambda rng: iter(pieces)


def random_bytes(rng: random.Random) -> t.Iterator[bytes]:
    """Yield random bytes without end."""
    while True:
        yield rng.randbytes(rng.randrange(1, PIECE))


def zmtp_frame(flags: int, body: bytes) -> bytes:
    """Return a long frame of ZMTP."""
    return struct.pack(">BQ", flags | 2, len(body)) + body


def head_of(size: int, line: bytes = b"x" * 98) -> bytes:
    """Return the head of a request with this size in bytes, of fields with the value ``line``."""
    padding = size - len(REQUEST) - 2
    field = b"A:" + line + b"\r\n"
    count = padding // len(field) - 1
    rest = padding - count * len(field) - len(b"B:\r\n")
    return REQUEST + count * field + b"B:" + b"x" * rest + b"\r\n\r\n"


CALLER_FORMS = {
    "one header line without end": Form(endless(b"a" * PIECE, REQUEST + b"A: ")),
    "header lines without end": Form(endless(b"A: " + b"b" * 1_000 + b"\r\n", REQUEST)),
    "many header lines at once": Form(endless((b"A: " + b"b" * 60 + b"\r\n") * 1_000, REQUEST)),
    "request line without end": Form(endless(b"a" * PIECE, b"GET /")),
    "method without end": Form(endless(b"GET" * 20_000)),
    "head slightly over the limit": Form(once(head_of(HEADER_BYTES_MAX + 1)), reads=False),
    "fields of one byte": Form(endless(b"a:\r\n" * 1_000, REQUEST), holds=True),
    "heads of many fields that stay incomplete": Form(once(REQUEST, b"a:\r\n" * 1_900), holds=True),
    "empty lines": Form(endless(b"\r\n" * 32_768)),
    "empty lines of LF": Form(endless(b"\n" * PIECE)),
    "empty lines between requests": Form(endless(b"\r\n" * 32_768, REQUEST + b"\r\n")),
    "chunk extension without end": Form(endless(b"e" * PIECE, CHUNKED + b"1;")),
    "trailers without end": Form(endless(b"T: " + b"b" * 1_000 + b"\r\n", CHUNKED + b"0\r\n")),
    "one trailer without end": Form(endless(b"b" * PIECE, CHUNKED + b"0\r\nT: ")),
    "chunk size without end": Form(endless(b"0" * PIECE, CHUNKED)),
    "chunks of one byte": Form(endless(b"1\r\nx\r\n" * 10_000, CHUNKED)),
    "pipelined requests, responses not read": Form(
        endless((REQUEST + b"\r\n") * 500), reads=False, holds=True
    ),
    "pipelined requests with a key, responses not read": Form(
        endless((REQUEST + AUTHORIZATION + b"\r\n") * 500), reads=False, holds=True
    ),
    "pipelined heads of many fields": Form(
        endless(head_of(HEADER_BYTES_MAX, b"") * 8), reads=False, holds=True
    ),
    "response not read": Form(once(REQUEST + b"\r\n"), reads=False, holds=True),
    "nothing": Form(once(), holds=True),
    "half a head": Form(once(REQUEST), holds=True),
    "bytes like TLS": Form(endless(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 5_000)),
    "random bytes": Form(random_bytes),
    "huge Content-Length": Form(
        endless(b"x" * PIECE, POST + b"Content-Length: 99999999999999999\r\n\r\n")
    ),
    "odd Content-Length": Form(endless(b"x" * PIECE, POST + b"Content-Length: +5_0\r\n\r\n")),
    "Content-Length of thousands of digits": Form(
        endless(b"x" * PIECE, POST + b"Content-Length: " + b"9" * 5_000 + b"\r\n\r\n")
    ),
    "huge Content-Length with Expect": Form(
        endless(
            b"x" * PIECE,
            POST + b"Expect: 100-continue\r\nContent-Length: 9999999999\r\n\r\n",
        )
    ),
    "bodies at the limit that stay incomplete": Form(
        once(
            POST + b"Content-Length: %d\r\n\r\n" % BODY_BYTES_MAX,
            b"x" * (BODY_BYTES_MAX - 1),
        ),
        holds=True,
    ),
}
ENDPOINT_FORMS = {
    "one header line without end": Form(endless(b"a" * PIECE, LOOKUP[:-2] + b"A: ")),
    "header lines without end": Form(endless(b"A: " + b"b" * 1_000 + b"\r\n", LOOKUP[:-2])),
    "fields of one byte": Form(endless(b"a:\r\n" * 1_000, LOOKUP[:-2]), holds=True),
    "empty lines": Form(endless(b"\r\n" * 32_768)),
    "pipelined requests, responses not read": Form(
        endless(LOOKUP * 1_000), reads=False, holds=True
    ),
    "body without end": Form(
        endless(
            b"x" * PIECE, b"POST /v1/ready HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n"
        )
    ),
    "nothing": Form(once(), holds=True),
    "random bytes": Form(random_bytes),
}
PEER_FORMS = {
    "one line without end": Form(endless(b"a" * PIECE, REQUEST + b"A: ")),
    "header lines without end": Form(endless(b"A: " + b"b" * 1_000 + b"\r\n", REQUEST)),
    "random bytes": Form(random_bytes),
    "bytes like TLS": Form(endless(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 5_000)),
    "parts of a message without end": Form(
        endless(zmtp_frame(1, b"x" * 1_000) * 60, ZMTP_GREETING + ZMTP_READY)
    ),
    "empty parts of a message without end": Form(
        endless(b"\x01\x00" * 30_000, ZMTP_GREETING + ZMTP_READY)
    ),
    "messages that mean nothing": Form(
        endless(zmtp_frame(0, b"x" * 1_000) * 60, ZMTP_GREETING + ZMTP_READY)
    ),
    "large messages that stay incomplete": Form(
        once(ZMTP_GREETING + ZMTP_READY + zmtp_frame(0, b"x" * 1_900_000)[:1_000_000]), holds=True
    ),
    "a message over any size": Form(
        endless(b"x" * PIECE, ZMTP_GREETING + ZMTP_READY + struct.pack(">BQ", 2, 1 << 62))
    ),
    "commands without end": Form(
        endless(b"\x04\xff\x04PING" + b"x" * 250, ZMTP_GREETING + ZMTP_READY), reads=False
    ),
    "nothing": Form(once(), holds=True),
}


class Crowd:
    """Clients that connect to one address and send a form.

    :param closed_by_host: connections that the host closed or reset.
    """

    def __init__(self, form: Form, address: str) -> None:
        self.form = form
        self.address = address
        self.closed_by_host = 0

    async def run(self, clients: int = CLIENTS, connections: int = CONNECTIONS_PER_CLIENT) -> None:
        """Run all clients to their end."""
        await asyncio.gather(*(self._client(number, connections) for number in range(clients)))

    async def _client(self, number: int, connections: int) -> None:
        rng = random.Random(f"client-{number}")
        async with contextlib.AsyncExitStack() as held:
            for _ in range(connections):
                async with contextlib.AsyncExitStack() as own:
                    await self._use_connection(held if self.form.holds else own, rng)

    async def _use_connection(self, stack: contextlib.AsyncExitStack, rng: random.Random) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                # A limit of one byte keeps the client from reading more than one block.
                reader, writer = await asyncio.open_connection(
                    host, int(port), limit=PIECE if self.form.reads else 1
                )
        except (OSError, TimeoutError):
            return
        # A writer that is no longer referenced closes its connection.
        stack.callback(_abort, writer)
        reading = asyncio.create_task(self._read(reader))
        stack.callback(reading.cancel)
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self._send(writer, rng)
        await asyncio.wait([reading], timeout=HOLD_S)

    async def _send(self, writer: asyncio.StreamWriter, rng: random.Random) -> None:
        sent = 0
        for piece in self.form.pieces(rng):
            writer.write(piece)
            await writer.drain()
            if self.form.pause_s:
                await asyncio.sleep(self.form.pause_s)
            sent += len(piece)
            if sent >= BYTES_PER_CONNECTION or writer.transport.is_closing():
                return

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while not self.form.reads or await reader.read(PIECE):
                if not self.form.reads:
                    await asyncio.sleep(HOLD_S)
        self.closed_by_host += 1


def _abort(writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


class ProcessUse:
    """Peak memory and descriptors of a process.

    :param at_rest_bytes: memory at the start.
    :param descriptors: the most descriptors seen open.
    """

    def __init__(self, pid: int) -> None:
        self.directory = pathlib.Path(f"/proc/{pid}")
        self.at_rest_bytes = self._status("VmRSS")
        self.peak_bytes = 0
        self.descriptors = 0

    @property
    def growth_bytes(self) -> int:
        """The peak over the memory at rest."""
        return self.peak_bytes - self.at_rest_bytes

    @property
    def is_alive(self) -> bool:
        """Whether the process runs, and is no zombie."""
        try:
            return "\nState:\tZ" not in (self.directory / "status").read_text()
        except OSError:
            return False

    def open_descriptors(self) -> int:
        """Return the number of descriptors that are open now."""
        return len(list((self.directory / "fd").iterdir()))

    async def watch(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Update the peaks."""
        self.peak_bytes = max(self.peak_bytes, self._status("VmRSS"))
        self.descriptors = max(self.descriptors, self.open_descriptors())

    def _status(self, field: str) -> int:
        text = (self.directory / "status").read_text()
        line = next(line for line in text.splitlines() if line.startswith(f"{field}:"))
        return int(line.split()[1]) * 1_024


class LimitedHost(Host):
    """A host process with the memory and descriptors of the tests."""

    async def prepare(self) -> None:
        await super().prepare()
        lines = f"[limits]\nmemoryMb = 200\nmaxFds = {DESCRIPTORS_MAX}"
        text = self.settings_path.read_text()
        assert "[limits]" in SETTINGS_TEMPLATE
        text = text.replace("[limits]", lines)
        # The readiness address is its own one, so that each can be tried.
        ready = f'ready = "{self.ip}:{self.base_port + 5}"'
        assert ready in text
        self.settings_path.write_text(text.replace(ready, f'ready = "{self.readiness_address}"'))

    @property
    def readiness_address(self) -> str:
        return f"{self.ip}:{self.base_port + 6}"

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses that the process listens on, by use."""
        return {
            "readiness": self.readiness_address,
            "look-up": self.lookup_address,
            "metrics": f"{self.ip}:{self.base_port + 1}",
            "peers": f"{self.ip}:{self.base_port}",
        }


class LimitedWorld(World):
    """One host process in front of stand-in servers, with lowered limits.

    :param limits: changes of ``LIMITS``.
    """

    host_type = LimitedHost

    def __init__(self, directory: pathlib.Path, **limits: t.Any) -> None:
        super().__init__(1, 1, directory, check_timing=False)
        self.limits = LIMITS | limits

    def configuration(self) -> dict[str, t.Any]:
        found = super().configuration()
        found["resources"].append(
            {"resourceKind": "limits", "metadata": {"name": "limits"}, "spec": self.limits}
        )
        return found

    @property
    def host(self) -> LimitedHost:
        host = self.hosts[0]
        assert isinstance(host, LimitedHost)
        return host

    @contextlib.asynccontextmanager
    async def serving(self) -> t.AsyncIterator[ProcessUse]:
        """Start everything, wait until a request is answered, and watch the process."""
        async with self.running():
            await self.wait_until(self.answers)
            assert self.host.process is not None
            use = ProcessUse(self.host.process.pid)
            watching = asyncio.create_task(use.watch())
            try:
                yield use
            finally:
                watching.cancel()

    def authorization(self) -> bytes:
        """Return the header line with a valid key."""
        return AUTHORIZATION

    async def answers(self) -> bool:
        """Send an ordinary request; return whether it is answered with 200."""
        headers = {"Host": HOST_NAME, "Authorization": f"Bearer {next(iter(self.keys))}"}
        timeout = aiohttp.ClientTimeout(total=5.0)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                url = f"http://{self.host.caller_address}/devices/7"
                async with session.get(url, headers=headers) as response:
                    return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_until(self, condition: t.Callable[[], t.Awaitable[bool]]) -> None:
        """Wait until a condition holds."""
        end = time.monotonic() + PATIENCE_S
        while not await condition():
            assert time.monotonic() < end, self.host.log_path.read_text()[-2_000:]
            await asyncio.sleep(0.05)
