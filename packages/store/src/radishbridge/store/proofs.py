"""Exchanges proofs of freshness with other hosts."""

from __future__ import annotations

import typing as t

from radishbridge.peers import Peer, PeerMesh, PeerMessage, ProofAnswer, ProofRequest
from radishbridge.store.feed import StoreContact
from radishbridge.store.freshness import Freshness, StoreReport

MAX_PENDING_REQUESTS = 64


class ProofExchange:
    """Requests proofs of freshness from other hosts and answers their requests.

    The age of a proof is counted from before its request was sent, so that an answer that arrives
    late, after a pause or through a full queue, never looks newer than it is.

    :param store_contact: returns whether the store answered this host's last calls.
    :param is_watching: returns whether this host follows the store itself.
    :param answer_listener: called with the peer, its answer, and whether both copies are the same.
    """

    __slots__ = (
        "answer_listener",
        "clock",
        "freshness",
        "is_watching",
        "mesh",
        "next_id",
        "pending_requests",
        "store_contact",
    )

    def __init__(
        self,
        freshness: Freshness,
        mesh: PeerMesh,
        clock: t.Callable[[], float],
        store_contact: t.Callable[[], StoreContact],
        is_watching: t.Callable[[], bool],
        answer_listener: t.Callable[[Peer, ProofAnswer, bool], None],
    ) -> None:
        self.freshness = freshness
        self.mesh = mesh
        self.clock = clock
        self.store_contact = store_contact
        self.is_watching = is_watching
        self.answer_listener = answer_listener
        self.next_id = 1
        self.pending_requests: dict[int, float] = {}
        mesh.subscribe(ProofRequest, self.on_request)
        mesh.subscribe(ProofAnswer, self.on_answer)

    def request_proof(self, host: str) -> bool:
        """Request a proof from a host.

        :return: whether the request was queued.
        """
        request_id = self.next_id
        self.next_id += 1
        self.pending_requests[request_id] = self.clock()
        for oldest_id in list(self.pending_requests)[:-MAX_PENDING_REQUESTS]:
            del self.pending_requests[oldest_id]
        return self.mesh.send(host, ProofRequest(request_id=request_id))

    def on_request(self, peer: Peer, message: PeerMessage) -> None:
        """Answer with this host's proofs and their ages."""
        if not isinstance(message, ProofRequest):
            return
        now = self.clock()
        replica = self.freshness.replica
        contact = self.store_contact()
        self.mesh.send(
            peer.name,
            ProofAnswer(
                request_id=message.request_id,
                revision=replica.revision,
                root=replica.digest.root(),
                complete=replica.complete,
                watching=self.is_watching(),
                age_s=self.freshness.read_age_s(now),
                store_answers=contact.store_answers,
                contact_age_s=(
                    max(0.0, now - contact.observed_at)
                    if contact.store_answers is not None
                    else 0.0
                ),
                outage_age_s=self.freshness.outage_age_s(now),
            ),
        )

    def on_answer(self, peer: Peer, message: PeerMessage) -> None:
        """Accept the proofs of an answer if the sender holds the same copy."""
        if not isinstance(message, ProofAnswer):
            return
        requested_at = self.pending_requests.pop(message.request_id, None)
        if requested_at is None:
            return
        same_copy = message.root == self.freshness.replica.digest.root()
        if same_copy and message.complete:
            self._accept_proofs(message, requested_at)
        if message.store_answers is not None:
            report = StoreReport(
                store_answers=message.store_answers,
                same_copy=same_copy and message.complete,
                observed_at=requested_at - message.contact_age_s,
            )
            self.freshness.record_report(peer.name, peer.region, report)
        self.answer_listener(peer, message, same_copy)

    def _accept_proofs(self, answer: ProofAnswer, requested_at: float) -> None:
        replica = self.freshness.replica
        proved_at = float("-inf") if answer.age_s is None else requested_at - answer.age_s
        replica.accept_peer_proof(answer.revision, answer.root, proved_at)
        replica.complete = True
        if answer.outage_age_s is not None:
            self.freshness.accept_outage_proof(requested_at - answer.outage_age_s)
