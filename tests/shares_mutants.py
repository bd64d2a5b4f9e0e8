"""Faults that are patched into the shares; ``test_shares_model`` has to detect each of them."""

from __future__ import annotations

import typing as t

import pytest

from radishbridge.peers import Peer, TokenTransfer
from radishbridge.shares import (
    TOTAL_UNITS,
    Loan,
    LoanGrant,
    ShareAccount,
    ShareExchange,
    ShareLease,
    ShareTable,
    TokenBucket,
    account,
    exchange,
)
from radishbridge_standin import memory

Mutate = t.Callable[[pytest.MonkeyPatch], None]


def no_lease_margin(patch: pytest.MonkeyPatch) -> None:
    """Reclaim units as soon as a lease ends by this clock.

    Leaves out the margin for clock drift and the wait for promises that may extend the lease.
    """
    original = ShareLease._update_silence

    def update_silence(self: ShareLease, sent_at: float, answered_at: float) -> None:
        original(self, sent_at + self.times.clock_margin_s, answered_at)
        for observation in self.observations.values():
            if observation.silent_since is not None:
                observation.silent_since = float("-inf")

    patch.setattr(ShareLease, "_update_silence", update_silence)


def no_loan_margin(patch: pytest.MonkeyPatch) -> None:
    """Let a loan end for the lender without the margin for a slower clock of the borrower."""
    patch.setattr(account, "MAX_CLOCK_SPEED_RATIO", 1.0)


def no_fencing(patch: pytest.MonkeyPatch) -> None:
    """Write the share table without checking its version."""
    original = memory.MemoryStore.write

    def write(self: memory.MemoryStore, kind: str, name: str, value: bytes, expected: int) -> t.Any:
        held = self.objects.get((kind, name))
        return original(self, kind, name, value, held.version if held else 0)

    patch.setattr(memory.MemoryStore, "write", write)


def credit_before_debit(patch: pytest.MonkeyPatch) -> None:
    """Lend units and tokens without debiting them from the lender's account."""
    original = ShareAccount.lend

    def lend(
        self: ShareAccount, requested_units: int, peer: str, request_id: int, now: float
    ) -> LoanGrant:
        self.refresh(now)
        lent, tokens = list(self.lent_loans), self.bucket.tokens
        grant = original(self, requested_units, peer, request_id, now)
        self.lent_loans, self.bucket.tokens = lent, tokens
        return grant

    patch.setattr(ShareAccount, "lend", lend)


def lease_counted_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    """Count a lease from the answer to its renewal instead of from sending it."""
    original = ShareLease.confirm_renewal

    def confirm_renewal(self: ShareLease, table: ShareTable, now: float) -> None:
        own = table.find(self.key)
        if (
            own is not None
            and own.renewals == self._renewal_number
            and self.renewed_at < self._renewal_sent_at
        ):
            self._renewal_sent_at = now
        original(self, table, now)

    patch.setattr(ShareLease, "confirm_renewal", confirm_renewal)


def new_holder_starts_full(patch: pytest.MonkeyPatch) -> None:
    """Fill the bucket of a host that gets its first units."""
    original = TokenBucket.resize

    def resize(self: TokenBucket, rate: float, burst: float, now: float) -> None:
        starts = self.burst == 0.0
        original(self, rate, burst, now)
        self.tokens = burst if starts else self.tokens

    patch.setattr(TokenBucket, "resize", resize)


def grow_before_shrink(patch: pytest.MonkeyPatch) -> None:
    """Use the target units before the other holders have given them up."""
    original = ShareLease.plan_renewal

    def plan_renewal(self: ShareLease, now: float, floor_units: int = 0) -> ShareTable | None:
        planned = original(self, now, floor_units)
        if planned is not None:
            self._set_units(TOTAL_UNITS // len(planned.holders), now)
        return planned

    patch.setattr(ShareLease, "plan_renewal", plan_renewal)


def shrink_after_the_answer(patch: pytest.MonkeyPatch) -> None:
    """Keep using units until the write that gives them up is answered."""
    original = ShareLease.plan_renewal

    def plan_renewal(self: ShareLease, now: float, floor_units: int = 0) -> ShareTable | None:
        units = self.units
        planned = original(self, now, floor_units)
        self._set_units(units, now)
        return planned

    patch.setattr(ShareLease, "plan_renewal", plan_renewal)


def duplicates_not_dropped(patch: pytest.MonkeyPatch) -> None:
    """Apply an answer each time it arrives."""
    original = ShareExchange.on_transfer

    def on_transfer(self: ShareExchange, peer: Peer, message: t.Any) -> None:
        pending = self.pending.get(message.request_id)
        original(self, peer, message)
        if pending is not None:
            self.pending[message.request_id] = pending

    patch.setattr(ShareExchange, "on_transfer", on_transfer)


def late_answer_accepted(patch: pytest.MonkeyPatch) -> None:
    """Count a loan from the arrival of its answer, and accept any delay."""
    patch.setattr(exchange, "TRANSFER_TIMEOUT_S", float("inf"))
    original = ShareAccount.borrow

    def borrow(
        self: ShareAccount,
        grant: LoanGrant,
        peer: str,
        request_id: int,
        requested_at: float,
        now: float,
    ) -> int:
        return original(self, grant, peer, request_id, now, now)

    patch.setattr(ShareAccount, "borrow", borrow)


def answer_to_a_former_process_accepted(patch: pytest.MonkeyPatch) -> None:
    """Accept an answer to a request of an earlier process of this host."""
    original = ShareExchange.on_transfer

    def on_transfer(self: ShareExchange, peer: Peer, message: t.Any) -> None:
        assert isinstance(message, TokenTransfer)
        message.asker = self.lease.key.incarnation
        original(self, peer, message)

    patch.setattr(ShareExchange, "on_transfer", on_transfer)


def lent_on_units_kept(patch: pytest.MonkeyPatch) -> None:
    """Lend borrowed units to another host and keep using them."""
    original = ShareAccount._lend_borrowed_units

    def lend_borrowed_units(self: ShareAccount, requested_units: int, now: float) -> t.Any:
        kept = [
            Loan(loan.units, loan.expires_at, loan.peer, loan.request_id)
            for loan in self.borrowed_loans
        ]
        pieces = original(self, requested_units, now)
        self.borrowed_loans = kept
        return pieces

    patch.setattr(ShareAccount, "_lend_borrowed_units", lend_borrowed_units)


def no_reservation_for_sent_tokens(patch: pytest.MonkeyPatch) -> None:
    """Refill the bucket while tokens sent from it are still in transit."""
    patch.setattr(ShareAccount, "reserved_units", lambda self: 0)


def loan_taken_back_twice(patch: pytest.MonkeyPatch) -> None:
    """Credit the tokens of a returned loan even if it was already returned."""
    original = ShareAccount.accept_returned_loan

    def accept_returned_loan(
        self: ShareAccount, units: int, tokens: float, peer: str, request_id: int, now: float
    ) -> None:
        original(self, units, tokens, peer, request_id, now)
        self.bucket.tokens += tokens

    patch.setattr(ShareAccount, "accept_returned_loan", accept_returned_loan)


def promise_while_renewing(patch: pytest.MonkeyPatch) -> None:
    """Promise not to write the table although the last renewal is recent, and keep renewing."""
    original = ShareLease.make_promise

    def make_promise(self: ShareLease, now: float) -> t.Any:
        self.last_write_at = float("-inf")
        self.store_reachable = False
        made = original(self, now)
        self.no_writes_until = float("-inf")
        return made

    patch.setattr(ShareLease, "make_promise", make_promise)


def expired_lease_extended(patch: pytest.MonkeyPatch) -> None:
    """Let promises extend a lease that has expired."""
    original = ShareLease.accept_promise

    def accept_promise(
        self: ShareLease, key: t.Any, units: int, valid_s: float, requested_at: float, now: float
    ) -> None:
        self.valid_until = max(self.valid_until, now + 1e-9)
        original(self, key, units, valid_s, requested_at, now)

    patch.setattr(ShareLease, "accept_promise", accept_promise)


def reclaim_without_a_majority(patch: pytest.MonkeyPatch) -> None:
    """Reclaim units of silent holders however few other holders renew."""
    patch.setattr(ShareLease, "_renewing_units", lambda self, now: TOTAL_UNITS)


MUTANTS: list[Mutate] = [
    no_lease_margin,
    no_loan_margin,
    no_fencing,
    credit_before_debit,
    lease_counted_from_the_answer,
    new_holder_starts_full,
    grow_before_shrink,
    shrink_after_the_answer,
    duplicates_not_dropped,
    late_answer_accepted,
    answer_to_a_former_process_accepted,
    lent_on_units_kept,
    no_reservation_for_sent_tokens,
    loan_taken_back_twice,
    promise_while_renewing,
    expired_lease_extended,
    reclaim_without_a_majority,
]
