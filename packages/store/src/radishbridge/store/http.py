"""HTTP client of the object API; ``docs/STORE-API.md`` describes the wire format."""

from __future__ import annotations

import asyncio
import logging
import typing as t
import urllib.parse

import aiohttp
import msgspec
import yarl

from radishbridge.records import (
    DECODE_ERRORS,
    Failure,
    ResultCode,
    decode_or_none,
    shorten,
    split_array,
    split_object,
)
from radishbridge.store.protocol import HostList, Listing, StoredObject, WatchEvent

WATCH_READ_TIMEOUT_S = 5.0
# A read of the revision proves freshness as of the time it was sent, so a slow one still helps.
REVISION_READ_TIMEOUT_S = 5.0
VALUE_LIMIT_BYTES = 1_048_576
# A line contains one value and its envelope.
WATCH_LINE_LIMIT_BYTES = 2 * VALUE_LIMIT_BYTES
# Half of the memory that a host may use for control data.
RESPONSE_BYTES_MAX = 64 * 1_048_576

logger = logging.getLogger(__name__)


class HttpStore:
    """An ``ObjectStore`` that calls the platform over HTTP.

    :param session: client session; the caller closes it.
    :param url: base URL of the platform.
    :param timeout_s: timeout of a call, in seconds. Reads of the revision have their own.
    """

    __slots__ = ("_read_timeout", "_revision_read_timeout", "_watch_timeout", "session", "url")

    def __init__(self, session: aiohttp.ClientSession, url: str, timeout_s: float) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self._read_timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._revision_read_timeout = aiohttp.ClientTimeout(total=REVISION_READ_TIMEOUT_S)
        self._watch_timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=timeout_s, sock_read=WATCH_READ_TIMEOUT_S
        )

    async def get(self, kind: str, name: str) -> StoredObject | Failure:
        """Read an object; ``NOT_FOUND`` if it does not exist."""
        body = await self._read(_object_path(kind, name), {}, self._read_timeout)
        return body if isinstance(body, Failure) else _decode(body, StoredObject)

    async def list(self, kinds: t.Sequence[str]) -> Listing | Failure:
        """Read all objects of the kinds at one revision; without kinds, only the revision."""
        timeout = self._read_timeout if kinds else self._revision_read_timeout
        body = await self._read("/v1/objects", {"kinds": ",".join(kinds)}, timeout)
        return body if isinstance(body, Failure) else await _read_listing(body)

    async def hosts(self) -> HostList | Failure:
        """Read the platform's list of hosts."""
        body = await self._read("/v1/hosts", {}, self._read_timeout)
        return body if isinstance(body, Failure) else _decode(body, HostList)

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> StoredObject | Failure:
        """Write the object if its version is ``expected_version``; 0 if it must not exist yet.

        :return: the written object; ``VERSION_CONFLICT`` if it has another version;
            ``WRITE_UNCLEAR`` if the outcome is unknown.
        """
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
            ) as response:
                return _parse_write_response(response.status, await read_bounded(response))
        except aiohttp.ClientConnectorError as error:
            return Failure(ResultCode.STORE_UNAVAILABLE, str(error.os_error))
        except (TimeoutError, aiohttp.ClientError) as error:
            return Failure(ResultCode.WRITE_UNCLEAR, type(error).__name__)

    async def watch(
        self, kinds: t.Sequence[str], after_revision: int
    ) -> t.AsyncIterator[WatchEvent | Failure]:
        """Yield the changes after a revision; the iterator ends after it yields a ``Failure``."""
        params = {"kinds": ",".join(kinds), "after": str(after_revision)}
        try:
            async with self.session.get(
                f"{self.url}/v1/watch", params=params, timeout=self._watch_timeout
            ) as response:
                if response.status != 200:
                    yield _status_failure(response.status)
                    return
                async for line in _read_lines(response.content):
                    event = await _read_event(line)
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
            async with self.session.get(
                self.url + path, params=params, timeout=timeout
            ) as response:
                body = await read_bounded(response)
        except (TimeoutError, aiohttp.ClientError) as error:
            return Failure(ResultCode.STORE_UNAVAILABLE, type(error).__name__)
        return body if response.status == 200 else _status_failure(response.status)


def _object_path(kind: str, name: str) -> str:
    # Quoting keeps a slash or other reserved character in a name from changing the path.
    return "/v1/objects/" + "/".join(urllib.parse.quote(text, safe="") for text in (kind, name))


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that keeps aiohttp from sending a request a second time.

    aiohttp repeats a request if a persistent connection closes before the response. A first write
    may have taken effect; the second would then get a conflict, as if neither had.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientPayloadError(str(error)) from error


async def read_bounded(response: aiohttp.ClientResponse) -> bytes:
    """Return a response's body of at most ``RESPONSE_BYTES_MAX`` bytes.

    A larger body may be endless, so the connection is closed.

    :raises aiohttp.ClientPayloadError: the response is too large.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > RESPONSE_BYTES_MAX:
            response.close()
            raise aiohttp.ClientPayloadError("the response is too large")
    return bytes(body)


async def _read_lines(content: aiohttp.StreamReader) -> t.AsyncIterator[bytes]:
    # aiohttp's line iterator fails on lines above the reader's buffer limit of 128 KiB.
    pending = bytearray()
    async for chunk in content.iter_any():
        *line_ends, remainder = chunk.split(b"\n")
        for line_end in line_ends:
            yield bytes(pending + line_end)
            pending.clear()
        pending += remainder
        if len(pending) > WATCH_LINE_LIMIT_BYTES:
            raise aiohttp.ClientPayloadError("a line of the watch response is too long")


def _parse_write_response(status: int, body: bytes) -> StoredObject | Failure:
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
    except DECODE_ERRORS as error:
        return Failure(ResultCode.STORE_UNAVAILABLE, f"malformed response: {error}")


async def _read_listing(body: bytes) -> Listing | Failure:
    listing = _decode(body, Listing)
    if not isinstance(listing, Failure):
        return listing
    # Scanning a large odd object takes up to a second, in which requests go on.
    return await asyncio.to_thread(_scan_listing, body) or listing


def _scan_listing(body: bytes) -> Listing | None:
    try:
        members = split_object(body)
        objects = [_decode_object(text) for text in split_array(members.get("objects", b""))]
    except ValueError:
        return None
    revision = decode_or_none(members.get("revision", b""), int)
    if revision is None:
        return None
    return Listing(revision=revision, objects=[stored for stored in objects if stored is not None])


async def _read_event(line: bytes) -> WatchEvent | Failure:
    event = _decode(line, WatchEvent)
    if not isinstance(event, Failure):
        return event
    return await asyncio.to_thread(_scan_event, line) or event


def _scan_event(line: bytes) -> WatchEvent | None:
    try:
        members = split_object(line)
    except ValueError:
        return None
    revision = decode_or_none(members.get("revision", b""), int)
    if revision is None or "object" not in members:
        return None
    return WatchEvent(revision=revision, object=_decode_object(members["object"]))


def _decode_object(text: bytes) -> StoredObject | None:
    """Decode an object; one with an undecodable value gets ``null``, which replicas reject.

    Return ``None`` if the object cannot be identified.
    """
    stored = decode_or_none(text, StoredObject)
    if stored is not None:
        return stored
    try:
        members = split_object(text)
    except ValueError:
        return None
    kind = decode_or_none(members.get("kind", b""), str)
    name = decode_or_none(members.get("name", b""), str)
    version = decode_or_none(members.get("version", b""), int)
    if kind is None or name is None or version is None:
        logger.warning("object without kind, name or version skipped: %s", shorten(text))
        return None
    return StoredObject(kind=kind, name=name, version=version, value=msgspec.Raw(b"null"))
