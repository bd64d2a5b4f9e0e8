"""Digest exchange between hosts: finds and repairs what a copy of the configuration misses."""

from __future__ import annotations

import itertools
import typing as t

import msgspec

from radishbridge.peers import (
    BucketVersions,
    ObjectRequest,
    ObjectVersion,
    Peer,
    PeerMesh,
    PeerMessage,
    RelayedObject,
    ReplicaDifference,
    ReplicaDigest,
)
from radishbridge.store.digest import BUCKET_COUNT
from radishbridge.store.protocol import StoredObject
from radishbridge.store.replica import Replica

DIFFERENCE_VERSIONS = 2_000
REQUEST_OBJECTS = 256
REPLY_BYTES = 4_194_304

At = tuple[str, str]


class DigestExchange:
    """Compares the replica with those of other hosts and transfers what either misses.

    A host that has just started transfers a full copy the same way: all its buckets differ.

    :param taken: called with each object that was new to the replica, and the host it came from.
    :param completed: called with the host whose copy has made this one complete.
    """

    __slots__ = ("completed", "mesh", "replica", "taken", "wanted")

    def __init__(
        self,
        replica: Replica,
        mesh: PeerMesh,
        taken: t.Callable[[Peer, StoredObject], None],
        completed: t.Callable[[Peer], None],
    ) -> None:
        self.replica = replica
        self.mesh = mesh
        self.taken = taken
        self.completed = completed
        self.wanted: dict[At, int] = {}
        mesh.subscribe(ReplicaDigest, self.answer_digest)
        mesh.subscribe(ReplicaDifference, self.take_difference)
        mesh.subscribe(ObjectRequest, self.answer_request)
        mesh.subscribe(RelayedObject, self.take_object)

    def start(self, host: str) -> bool:
        """Ask a host what differs; ``False`` where it can't be reached."""
        return self.mesh.send(host, ReplicaDigest(buckets=list(self.replica.digest.buckets)))

    def answer_digest(self, peer: Peer, message: PeerMessage) -> None:
        """Answer with all that this host holds in the buckets that differ."""
        if not isinstance(message, ReplicaDigest) or len(message.buckets) != BUCKET_COUNT:
            return
        differing: list[BucketVersions] = []
        size = 0
        numbers = self.replica.digest.differing_buckets(message.buckets)
        for number in numbers:
            differing.append(BucketVersions(bucket=number, versions=self._versions(number)))
            size += len(differing[-1].versions)
            if size >= DIFFERENCE_VERSIONS:
                break
        answer = ReplicaDifference(
            revision=self.replica.revision,
            complete=self.replica.complete,
            differing=differing,
            more=len(differing) < len(numbers),
        )
        self.mesh.send(peer.name, answer)

    def take_difference(self, peer: Peer, message: PeerMessage) -> None:
        """Ask for what the other host has newer, send it what this one has newer."""
        if not isinstance(message, ReplicaDifference):
            return
        shown = _shown(message.differing)
        missing = [one for one in shown if self._version(one) < one.version]
        self._send_newer(peer, message.differing)
        if missing:
            self.wanted = {(one.kind, one.name): one.version for one in missing[:REQUEST_OBJECTS]}
            self.mesh.send(peer.name, ObjectRequest(objects=missing[:REQUEST_OBJECTS]))
        elif message.complete and not message.more:
            self.replica.advance(message.revision)
            if not self.replica.complete:
                self.replica.complete = True
                self.completed(peer)

    def answer_request(self, peer: Peer, message: PeerMessage) -> None:
        """Send the objects asked for, up to a limit of bytes."""
        if isinstance(message, ObjectRequest):
            held = (self.replica.objects.get((one.kind, one.name)) for one in message.objects)
            self._send(peer.name, [one for one in held if one is not None])

    def take_object(self, peer: Peer, message: PeerMessage) -> None:
        """Take in an object that another host has passed on."""
        if not isinstance(message, RelayedObject):
            return
        stored = StoredObject(
            kind=message.kind,
            name=message.name,
            version=message.version,
            value=msgspec.Raw(message.value),
        )
        if self.replica.apply(stored):
            self.taken(peer, stored)
        at = (message.kind, message.name)
        if self.wanted.get(at, message.version + 1) <= message.version:
            del self.wanted[at]
            if not self.wanted:
                self.start(peer.name)

    def _versions(self, bucket: int) -> list[ObjectVersion]:
        names = self.replica.digest.keys[bucket]
        return [
            ObjectVersion(kind=kind, name=name, version=self.replica.version(kind, name))
            for kind, name in sorted(names)
        ]

    def _version(self, one: ObjectVersion) -> int:
        return self.replica.version(one.kind, one.name)

    def _send_newer(self, peer: Peer, differing: list[BucketVersions]) -> None:
        shown = {(one.kind, one.name): one.version for one in _shown(differing)}
        held = [
            self.replica.objects[at]
            for bucket in differing
            if 0 <= bucket.bucket < BUCKET_COUNT
            for at in self.replica.digest.keys[bucket.bucket]
        ]
        newer = [one for one in held if one.version > shown.get((one.kind, one.name), 0)]
        self._send(peer.name, newer[:REQUEST_OBJECTS])

    def _send(self, host: str, objects: list[StoredObject]) -> None:
        left = REPLY_BYTES
        for stored in objects:
            left -= len(stored.value)
            if left < 0 or not self.mesh.send(host, relayed(stored)):
                return


def relayed(stored: StoredObject) -> RelayedObject:
    """Return the message that passes an object on."""
    return RelayedObject(
        kind=stored.kind, name=stored.name, version=stored.version, value=bytes(stored.value)
    )


def _shown(differing: list[BucketVersions]) -> list[ObjectVersion]:
    return list(itertools.chain.from_iterable(bucket.versions for bucket in differing))
