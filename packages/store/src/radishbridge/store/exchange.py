"""Anti-entropy between hosts: compares digests of their replicas and transfers what is missing."""

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

# A difference ends with the bucket that reaches this number of versions.
MAX_DIFFERENCE_VERSIONS = 2_000
MAX_TRANSFERRED_OBJECTS = 256
MAX_REPLY_BYTES = 4_194_304

ObjectKey = tuple[str, str]


class DigestExchange:
    """Compares the replica with those of other hosts and transfers what either of them lacks.

    A starting host gets its full copy in the same way, since all its buckets differ.

    :param object_listener: called with the sender and each object that changed the replica.
    :param completion_listener: called with the host whose copy completed the replica.
    """

    __slots__ = ("completion_listener", "mesh", "object_listener", "replica", "requested")

    def __init__(
        self,
        replica: Replica,
        mesh: PeerMesh,
        object_listener: t.Callable[[Peer, StoredObject], None],
        completion_listener: t.Callable[[Peer], None],
    ) -> None:
        self.replica = replica
        self.mesh = mesh
        self.object_listener = object_listener
        self.completion_listener = completion_listener
        self.requested: dict[ObjectKey, int] = {}
        mesh.subscribe(ReplicaDigest, self.on_digest)
        mesh.subscribe(ReplicaDifference, self.on_difference)
        mesh.subscribe(ObjectRequest, self.on_object_request)
        mesh.subscribe(RelayedObject, self.on_object)

    def send_digest(self, host: str) -> bool:
        """Send the replica's digest to a host, which replies with the versions that differ.

        :return: whether the message was queued.
        """
        return self.mesh.send(host, ReplicaDigest(buckets=list(self.replica.digest.buckets)))

    def on_digest(self, peer: Peer, message: PeerMessage) -> None:
        """Reply with the versions that this host holds in the buckets that differ."""
        if not isinstance(message, ReplicaDigest) or len(message.buckets) != BUCKET_COUNT:
            return
        differing: list[BucketVersions] = []
        version_count = 0
        bucket_numbers = self.replica.digest.differing(message.buckets)
        for number in bucket_numbers:
            differing.append(BucketVersions(bucket=number, versions=self._bucket_versions(number)))
            version_count += len(differing[-1].versions)
            if version_count >= MAX_DIFFERENCE_VERSIONS:
                break
        answer = ReplicaDifference(
            revision=self.replica.revision,
            complete=self.replica.complete,
            differing=differing,
            more=len(differing) < len(bucket_numbers),
        )
        self.mesh.send(peer.name, answer)

    def on_difference(self, peer: Peer, message: PeerMessage) -> None:
        """Request objects that are newer on the other host, and send those that are newer here.

        If this host lacks nothing, it adopts the revision of a peer whose copy is complete.
        """
        if not isinstance(message, ReplicaDifference):
            return
        peer_versions = _flatten_versions(message.differing)
        missing = [entry for entry in peer_versions if self._own_version(entry) < entry.version]
        self._send_newer(peer, message.differing)
        if missing:
            self.requested = {
                (entry.kind, entry.name): entry.version
                for entry in missing[:MAX_TRANSFERRED_OBJECTS]
            }
            self.mesh.send(peer.name, ObjectRequest(objects=missing[:MAX_TRANSFERRED_OBJECTS]))
        elif message.complete and not message.more:
            self.replica.advance(message.revision)
            if not self.replica.complete:
                self.replica.complete = True
                self.completion_listener(peer)

    def on_object_request(self, peer: Peer, message: PeerMessage) -> None:
        """Send the requested objects, up to ``MAX_REPLY_BYTES``."""
        if isinstance(message, ObjectRequest):
            found = (
                self.replica.objects.get((entry.kind, entry.name)) for entry in message.objects
            )
            self._send(peer.name, [stored for stored in found if stored is not None])

    def on_object(self, peer: Peer, message: PeerMessage) -> None:
        """Apply an object from another host; after the last requested one, compare again."""
        if not isinstance(message, RelayedObject):
            return
        stored = StoredObject(
            kind=message.kind,
            name=message.name,
            version=message.version,
            value=msgspec.Raw(message.value),
        )
        if self.replica.apply(stored):
            self.object_listener(peer, stored)
        key = (message.kind, message.name)
        if self.requested.get(key, message.version + 1) <= message.version:
            del self.requested[key]
            if not self.requested:
                self.send_digest(peer.name)

    def _bucket_versions(self, bucket: int) -> list[ObjectVersion]:
        keys = self.replica.digest.keys[bucket]
        return [
            ObjectVersion(kind=kind, name=name, version=self.replica.version(kind, name))
            for kind, name in sorted(keys)
        ]

    def _own_version(self, entry: ObjectVersion) -> int:
        return self.replica.version(entry.kind, entry.name)

    def _send_newer(self, peer: Peer, differing: list[BucketVersions]) -> None:
        peer_versions = {
            (entry.kind, entry.name): entry.version for entry in _flatten_versions(differing)
        }
        stored_objects = [
            self.replica.objects[key]
            for bucket in differing
            if 0 <= bucket.bucket < BUCKET_COUNT
            for key in self.replica.digest.keys[bucket.bucket]
        ]
        newer = [
            stored
            for stored in stored_objects
            if stored.version > peer_versions.get((stored.kind, stored.name), 0)
        ]
        self._send(peer.name, newer[:MAX_TRANSFERRED_OBJECTS])

    def _send(self, host: str, objects: list[StoredObject]) -> None:
        remaining_bytes = MAX_REPLY_BYTES
        for stored in objects:
            remaining_bytes -= len(stored.value)
            if remaining_bytes < 0 or not self.mesh.send(host, make_relay_message(stored)):
                return


def make_relay_message(stored: StoredObject) -> RelayedObject:
    """Return the message that sends an object to another host."""
    return RelayedObject(
        kind=stored.kind, name=stored.name, version=stored.version, value=bytes(stored.value)
    )


def _flatten_versions(differing: list[BucketVersions]) -> list[ObjectVersion]:
    return list(itertools.chain.from_iterable(bucket.versions for bucket in differing))
