"""Asks other hosts how fresh their copies are, and answers them."""

from __future__ import annotations

import typing as t

from radishbridge.peers import Peer, PeerMesh, PeerMessage, ProofAnswer, ProofRequest
from radishbridge.store.feed import StoreContact
from radishbridge.store.freshness import Freshness, Witness

OPEN_REQUESTS = 64


class ProofExchange:
    """Requests and answers that carry proofs of freshness.

    An answer is dated from before its request was sent, so that one that comes late, after a
    pause or through a full queue, never looks younger than it is.

    :param contact: returns what this host's last call to the store told.
    :param watching: returns whether this host follows the store itself.
    :param answered: called with each peer that answered, and its answer.
    """

    __slots__ = ("answered", "clock", "contact", "freshness", "mesh", "next_id", "open", "watching")

    def __init__(
        self,
        freshness: Freshness,
        mesh: PeerMesh,
        clock: t.Callable[[], float],
        contact: t.Callable[[], StoreContact],
        watching: t.Callable[[], bool],
        answered: t.Callable[[Peer, ProofAnswer, bool], None],
    ) -> None:
        self.freshness = freshness
        self.mesh = mesh
        self.clock = clock
        self.contact = contact
        self.watching = watching
        self.answered = answered
        self.next_id = 1
        self.open: dict[int, float] = {}
        mesh.subscribe(ProofRequest, self.answer)
        mesh.subscribe(ProofAnswer, self.take)

    def ask(self, host: str) -> bool:
        """Ask a host; ``False`` where it can't be reached."""
        request_id = self.next_id
        self.next_id += 1
        self.open[request_id] = self.clock()
        for old in list(self.open)[:-OPEN_REQUESTS]:
            del self.open[old]
        return self.mesh.send(host, ProofRequest(request_id=request_id))

    def answer(self, peer: Peer, message: PeerMessage) -> None:
        """Answer with this host's proofs and their ages."""
        if not isinstance(message, ProofRequest):
            return
        now = self.clock()
        replica = self.freshness.replica
        contact = self.contact()
        self.mesh.send(
            peer.name,
            ProofAnswer(
                request_id=message.request_id,
                revision=replica.revision,
                root=replica.digest.root(),
                complete=replica.complete,
                watching=self.watching(),
                age_s=self.freshness.read_age_s(now),
                store_answers=contact.answers,
                contact_age_s=max(0.0, now - contact.at) if contact.answers is not None else 0.0,
                outage_age_s=self.freshness.outage_age_s(now),
            ),
        )

    def take(self, peer: Peer, message: PeerMessage) -> None:
        """Take over the proofs of an answer if the sender holds the same copy."""
        if not isinstance(message, ProofAnswer):
            return
        asked_at = self.open.pop(message.request_id, None)
        if asked_at is None:
            return
        same = message.root == self.freshness.replica.digest.root()
        if same and message.complete:
            self._take_proofs(message, asked_at)
        if message.store_answers is not None:
            witness = Witness(
                store_answers=message.store_answers,
                same_copy=same and message.complete,
                at=asked_at - message.contact_age_s,
            )
            self.freshness.note_witness(peer.name, peer.region, witness)
        self.answered(peer, message, same)

    def _take_proofs(self, answer: ProofAnswer, asked_at: float) -> None:
        replica = self.freshness.replica
        proved_at = float("-inf") if answer.age_s is None else asked_at - answer.age_s
        replica.note_peer_proof(answer.revision, answer.root, proved_at)
        replica.complete = True
        if answer.outage_age_s is not None:
            self.freshness.note_outage(asked_at - answer.outage_age_s)
