"""The object API over HTTP; ``docs/STORE-API.md`` gives the wire form."""

from __future__ import annotations

import typing as t
import urllib.parse

import aiohttp
import msgspec
import yarl

from radishbridge.records import Failure, ResultCode
from radishbridge.store.protocol import HostList, Listing, StoredObject, WatchEvent

WATCH_SILENCE_S = 5.0
# A proof of freshness may be slow, since its age counts from before it was sent.
REVISION_READ_TIMEOUT_S = 5.0
VALUE_LIMIT_BYTES = 1_048_576
# A line holds one value and its envelope.
LINE_LIMIT_BYTES = 2 * VALUE_LIMIT_BYTES
# Largest answer that is read, in bytes: half of what a host may use for control.
RESPONSE_BYTES_MAX = 64 * 1_048_576


class HttpStore:
    """An ``ObjectStore`` that speaks to the platform over HTTP.

    :param session: client session, owned by the caller.
    :param url: base URL of the platform.
    :param timeout_s: longest wait for one call, in seconds.
    """

    __slots__ = ("_read_timeout", "_revision_read_timeout", "_watch_timeout", "session", "url")

    def __init__(self, session: aiohttp.ClientSession, url: str, timeout_s: float) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self._read_timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._revision_read_timeout = aiohttp.ClientTimeout(total=REVISION_READ_TIMEOUT_S)
        self._watch_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=timeout_s, sock_read=WATCH_SILENCE_S
        )

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Read one object."""
        body = await self._read(_object_path(kind, name), {}, self._read_timeout)
        return body if isinstance(body, Failure) else _decode(body, StoredObject)

    async def list(self, kinds: t.Sequence[str]) -> Listing | Failure:
        """Read all objects of the kinds; without kinds only the revision."""
        timeout = self._read_timeout if kinds else self._revision_read_timeout
        body = await self._read("/v1/objects", {"kinds": ",".join(kinds)}, timeout)
        return body if isinstance(body, Failure) else _decode(body, Listing)

    async def hosts(self) -> HostList | Failure:
        """Read the platform's list of hosts."""
        body = await self._read("/v1/hosts", {}, self._read_timeout)
        return body if isinstance(body, Failure) else _decode(body, HostList)

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> StoredObject | Failure:
        """Write conditionally; an unclear write gives ``WRITE_UNCLEAR``."""
        if len(value) > VALUE_LIMIT_BYTES:
            return Failure(ResultCode.RECORD_INVALID, f"{kind}/{name} exceeds 1 MB")
        headers = {"If-Match": f'"{expected_version}"', "Content-Type": "application/json"}
        try:
            async with self.session.put(
                yarl.URL(self.url + _object_path(kind, name), encoded=True),
                data=value,
                headers=headers,
                timeout=self._read_timeout,
                middlewares=(send_once,),
            ) as answer:
                return _written(answer.status, await read_bounded(answer))
        except aiohttp.ClientConnectorError as error:
            return Failure(ResultCode.STORE_UNAVAILABLE, str(error.os_error))
        except (TimeoutError, aiohttp.ClientError) as error:
            return Failure(ResultCode.WRITE_UNCLEAR, type(error).__name__)

    async def watch(
        self, kinds: t.Sequence[str], after_revision: int
    ) -> t.AsyncIterator[WatchEvent | Failure]:
        """Yield the lines of a watch as they come."""
        params = {"kinds": ",".join(kinds), "after": str(after_revision)}
        try:
            async with self.session.get(
                f"{self.url}/v1/watch", params=params, timeout=self._watch_timeout
            ) as answer:
                if answer.status != 200:
                    yield _status_failure(answer.status)
                    return
                async for line in _lines(answer.content):
                    event = _decode(line, WatchEvent)
                    yield event
                    if isinstance(event, Failure):
                        return
        except (TimeoutError, aiohttp.ClientError) as error:
            yield Failure(ResultCode.STORE_UNAVAILABLE, type(error).__name__)
            return
        yield Failure(ResultCode.STORE_UNAVAILABLE, "the watch ended")

    async def _read(
        self, path: str, params: dict[str, str], timeout: aiohttp.ClientTimeout
    ) -> bytes | Failure:
        try:
            async with self.session.get(self.url + path, params=params, timeout=timeout) as answer:
                body = await read_bounded(answer)
        except (TimeoutError, aiohttp.ClientError) as error:
            return Failure(ResultCode.STORE_UNAVAILABLE, type(error).__name__)
        return body if answer.status == 200 else _status_failure(answer.status)


def _object_path(kind: str, name: str) -> str:
    # A name must not reach another path, whatever is in it.
    return "/v1/objects/" + "/".join(urllib.parse.quote(part, safe="") for part in (kind, name))


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that keeps aiohttp from sending a write a second time.

    It does so where a kept connection ends without an answer. The first write may have taken
    effect, and the second would then be answered by a conflict as if neither had.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientPayloadError(str(error)) from error


async def read_bounded(answer: aiohttp.ClientResponse) -> bytes:
    """Return an answer's body; one over the bound may have no end and is not read on.

    :raises aiohttp.ClientPayloadError: the answer is too large.
    """
    body = bytearray()
    async for part in answer.content.iter_any():
        body += part
        if len(body) > RESPONSE_BYTES_MAX:
            answer.close()
            raise aiohttp.ClientPayloadError("the answer is too large")
    return bytes(body)


async def _lines(content: aiohttp.StreamReader) -> t.AsyncIterator[bytes]:
    # The reader's own line iterator fails on lines above its buffer's limit of 128 KiB.
    pending = bytearray()
    async for chunk in content.iter_any():
        *ends, rest = chunk.split(b"\n")
        for end in ends:
            yield bytes(pending + end)
            pending.clear()
        pending += rest
        if len(pending) > LINE_LIMIT_BYTES:
            raise aiohttp.ClientPayloadError("a line of the watch is too long")


def _written(status: int, body: bytes) -> StoredObject | Failure:
    if status == 200:
        stored = _decode(body, StoredObject)
        if isinstance(stored, Failure):
            return Failure(ResultCode.WRITE_UNCLEAR, stored.reason)
        return stored
    if status == 412:
        return Failure(ResultCode.VERSION_CONFLICT, "the object has another version")
    if status == 503:
        return Failure(ResultCode.STORE_UNAVAILABLE, "the store answered 503")
    if status in (400, 413):
        return Failure(ResultCode.RECORD_INVALID, f"the store answered {status}")
    return Failure(ResultCode.WRITE_UNCLEAR, f"the store answered {status}")


def _status_failure(status: int) -> Failure:
    if status == 404:
        return Failure(ResultCode.NOT_FOUND, "no such object")
    if status == 410:
        return Failure(ResultCode.WATCH_EXPIRED, "the revision is no longer kept")
    return Failure(ResultCode.STORE_UNAVAILABLE, f"the store answered {status}")


_T = t.TypeVar("_T")


def _decode(body: bytes, type_: type[_T]) -> _T | Failure:
    try:
        return msgspec.json.decode(body, type=type_)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(ResultCode.STORE_UNAVAILABLE, f"malformed answer: {error}")
