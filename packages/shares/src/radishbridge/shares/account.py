"""This host's share of one rate limit: its token bucket, and the units it lent and borrowed."""

from __future__ import annotations

import itertools
import math

from radishbridge.peers import UnitLoan
from radishbridge.shares.bucket import TokenBucket
from radishbridge.shares.demand import Demand
from radishbridge.shares.lease import ShareLease
from radishbridge.shares.table import TOTAL_UNITS

LOAN_DURATION_S = 1.0
# Covers a borrower whose clock runs 2 % slow and a lender whose clock runs 2 % fast.
MAX_CLOCK_SPEED_RATIO = 1.045
MIN_LOAN_UNITS = 100
MIN_TRANSFER_TOKENS = 0.05
MAX_PIECES_PER_TRANSFER = 16
TRANSFER_TIMEOUT_S = 0.25
DEMAND_HEADROOM_FACTOR = 1.2
# Demand below this rate counts as none.
IDLE_THRESHOLD_REQUESTS_PER_S = 0.05
# A bucket runs low below MIN_READY_TOKENS plus DEMAND_LOOKAHEAD_S of demand, or below
# LOW_BUCKET_RATIO of its burst if that is less, and always below one token.
MIN_READY_TOKENS = 2.0
# Burst to hold at a host with demand; a burst below 1 would never admit a request.
MIN_LOCAL_BURST_TOKENS = 1.5
DEMAND_LOOKAHEAD_S = 0.3
LOW_BUCKET_RATIO = 0.4
LOAN_EXPIRY_LOOKAHEAD_S = 0.15


class Loan:
    """Units that this host lent or borrowed, or reserved for tokens in transit.

    :param expires_at: end of the loan on this process's monotonic clock, in seconds.
    :param peer: name of the lender, or ``name/incarnation`` of the borrower.
    :param request_id: id of the request that the loan answered; 0 where it can't be extended.
    """

    __slots__ = ("expires_at", "peer", "request_id", "units")

    def __init__(self, units: int, expires_at: float, peer: str, request_id: int) -> None:
        self.units = units
        self.expires_at = expires_at
        self.peer = peer
        self.request_id = request_id


class LoanGrant:
    """Contents of a lender's answer.

    :param pieces: the units lent, each with the time it may be used.
    :param tokens: tokens that go with the units; the lender has debited them already.
    """

    __slots__ = ("pieces", "tokens")

    def __init__(self, pieces: list[UnitLoan], tokens: float) -> None:
        self.pieces = pieces
        self.tokens = tokens


class LoanReturn:
    """A loan that the borrower ends early, and the tokens that it returns with it."""

    __slots__ = ("loan", "tokens")

    def __init__(self, loan: Loan, tokens: float) -> None:
        self.loan = loan
        self.tokens = tokens


class ShareAccount:
    """Admits requests of one rate limit within the units this host may use.

    Over all hosts, the units in use and in transit never exceed ``TOTAL_UNITS``, and a bucket
    never holds more tokens than its host's units of the burst allow. Tokens are sent either
    along with units, within the burst of these units, or alone. When they are sent alone, the
    sender reserves units for them until they have arrived or expired: its bucket may hold that
    much less. So the sum of all tokens never exceeds the burst.

    :param lease: this process's lease on units of the share table.
    :param rate: tokens per second over all hosts.
    :param burst: maximum number of tokens over all hosts.
    :param now: monotonic time in seconds, as in all methods.
    """

    __slots__ = (
        "_next_expiry",
        "borrowed_loans",
        "bucket",
        "burst",
        "demand",
        "lease",
        "leased_units",
        "lent_loans",
        "rate",
        "reservations",
    )

    def __init__(self, lease: ShareLease, rate: float, burst: float, now: float) -> None:
        self.lease = lease
        self.rate = rate
        self.burst = burst
        self.leased_units = 0
        self.lent_loans: list[Loan] = []
        self.reservations: list[Loan] = []
        self.borrowed_loans: list[Loan] = []
        self.bucket = TokenBucket(0.0, 0.0, now)
        self.demand = Demand(now)
        self._next_expiry = float("inf")
        self.refresh(now)

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Apply a changed rate and burst; tokens above the new burst are discarded."""
        self.refresh(now)
        self.rate = rate
        self.burst = burst
        self._resize(now)

    def admit(self, now: float, is_retry: bool = False) -> bool:
        """Consume a token for one request.

        :param is_retry: the request was refused before, so it isn't counted as demand again.
        :return: whether there was a token.
        """
        if not is_retry:
            self.demand.add(1.0, now)
        if now >= self._next_expiry or self.lease.usable_units(now) != self.leased_units:
            self.refresh(now)
        return self.bucket.try_consume(1.0, now)

    def units(self) -> int:
        """Return the units in use at this host as of the last refresh."""
        return (
            self.leased_units - self.lent_units() + sum(loan.units for loan in self.borrowed_loans)
        )

    def lent_units(self) -> int:
        """Return the leased units that are lent to other hosts as of the last refresh."""
        return sum(loan.units for loan in self.lent_loans)

    def reserved_units(self) -> int:
        """Return the leased units whose burst is reserved for tokens in transit."""
        return sum(loan.units for loan in self.reservations)

    def lendable_units(self) -> int:
        """Return the leased units that may be lent.

        Excludes units that are already lent, that are reserved for tokens in transit, or that
        this host is about to give up to other holders of the table.
        """
        retained = min(self.leased_units, self.lease.target_units)
        return max(0, retained - self.lent_units() - self.reserved_units())

    def expiring_units(self, time: float) -> int:
        """Return the borrowed units that expire before a time and can't be extended."""
        return sum(
            loan.units
            for loan in self.borrowed_loans
            if not loan.request_id and loan.expires_at < time
        )

    def refresh(self, now: float) -> None:
        """Remove expired loans and reservations, and apply the lease's current units.

        Each expiry resizes the bucket as of the time it happened, so that the bucket doesn't
        refill at the old rate after it.
        """
        lease_expiry = self.lease.valid_until
        expiries = [loan.expires_at for loan in self.borrowed_loans] + [lease_expiry]
        for expiry in sorted(
            expiry for expiry in expiries if self.bucket.refilled_at < expiry <= now
        ):
            self.borrowed_loans = [loan for loan in self.borrowed_loans if loan.expires_at > expiry]
            self.leased_units = 0 if expiry >= lease_expiry else self.leased_units
            self._resize(expiry)
        self.borrowed_loans = [
            loan for loan in self.borrowed_loans if loan.expires_at > now and loan.units > 0
        ]
        self.lent_loans = [
            loan for loan in self.lent_loans if loan.expires_at > now and loan.units > 0
        ]
        self.reservations = [loan for loan in self.reservations if loan.expires_at > now]
        self.leased_units = self.lease.usable_units(now)
        self._resize(now)

    def wanted_units(self, now: float) -> int:
        """Return the units that this host's demand needs, with headroom."""
        demand = self.demand.rate(now)
        if self.rate <= 0.0 or self.burst <= 0.0 or demand < IDLE_THRESHOLD_REQUESTS_PER_S:
            return 0
        fraction = max(
            demand * DEMAND_HEADROOM_FACTOR / self.rate, MIN_LOCAL_BURST_TOKENS / self.burst
        )
        return min(TOTAL_UNITS, math.ceil(fraction * TOTAL_UNITS))

    def units_to_request(self, now: float) -> int:
        """Return the units to request from other hosts.

        Nothing is requested while the held units sustain the demand, because tokens suffice for
        short peaks, or while the bucket isn't running low and no units are about to expire.
        Borrowed units that are about to expire, and can't be extended, don't count as held.
        """
        expiring = self.expiring_units(now + LOAN_EXPIRY_LOOKAHEAD_S)
        held_units = self.units() - expiring
        burst_suffices = self.burst * held_units / TOTAL_UNITS >= MIN_LOCAL_BURST_TOKENS
        is_covered = (
            burst_suffices and self.demand.rate(now) <= self.rate * held_units / TOTAL_UNITS
        )
        if is_covered or not (expiring or self.is_running_low(now)):
            return 0
        return max(0, self.wanted_units(now) - held_units)

    def tokens_to_request(self, now: float) -> float:
        """Return the tokens to request from other hosts: as many as fill the bucket."""
        return self.bucket.burst - self.bucket.tokens if self.is_running_low(now) else 0.0

    def is_running_low(self, now: float) -> bool:
        """Return whether the bucket will soon be empty at the current demand."""
        demand = self.demand.rate(now)
        if demand < IDLE_THRESHOLD_REQUESTS_PER_S:
            return False
        reserve = MIN_READY_TOKENS + demand * DEMAND_LOOKAHEAD_S
        return self.bucket.tokens < max(1.0, min(reserve, LOW_BUCKET_RATIO * self.bucket.burst))

    def spare_units(self, now: float) -> int:
        """Return the units in use at this host that its demand doesn't need."""
        demand = self.demand.rate(now) * DEMAND_HEADROOM_FACTOR
        needed = math.ceil(TOTAL_UNITS * demand / self.rate) if self.rate > 0.0 else 0
        return max(0, self.units() - self.reserved_units() - needed)

    def spare_tokens(self, now: float) -> float:
        """Return the tokens that may be sent to other hosts without units."""
        tokens = self.bucket.tokens
        in_use = self.demand.rate(now) >= IDLE_THRESHOLD_REQUESTS_PER_S
        kept_tokens = max(tokens / 2, LOW_BUCKET_RATIO * self.bucket.burst if in_use else 0.0)
        reservable_tokens = (
            self.burst * (self.lendable_units() - self.leased_units // 2) / TOTAL_UNITS
        )
        return max(0.0, min(tokens - kept_tokens, reservable_tokens))

    def debit_tokens(self, requested: float, now: float) -> float:
        """Debit tokens that are sent to another host without units.

        Units are reserved for them until they have arrived or expired, so that the tokens in
        transit and those refilled here in the meantime don't add up to more than the burst.

        :return: the number of tokens to send.
        """
        expires_at = now + TRANSFER_TIMEOUT_S * MAX_CLOCK_SPEED_RATIO
        self.refresh(now)
        sent = min(requested, self.spare_tokens(now))
        if sent < MIN_TRANSFER_TOKENS or expires_at > self.lease.valid_until:
            return 0.0
        units = math.ceil(sent * TOTAL_UNITS / self.burst)
        self.reservations.append(Loan(units, expires_at, "", 0))
        self.bucket.tokens -= sent
        self._resize(now)
        return sent

    def credit_tokens(self, tokens: float, now: float) -> None:
        """Credit tokens received without units; those above the burst are discarded."""
        self.refresh(now)
        self.bucket.add(tokens, now)

    def lend(self, requested_units: int, peer: str, request_id: int, now: float) -> LoanGrant:
        """Lend units that aren't needed at this host, and the tokens that belong to them.

        Leased units are lent no longer than this process's lease is valid, and borrowed units
        no longer than their own loan.

        :return: what to send; without pieces where nothing can be spared.
        """
        self.refresh(now)
        held_units = self.units()
        spare = min(requested_units, self.spare_units(now))
        if spare < MIN_LOAN_UNITS:
            return LoanGrant([], 0.0)
        pieces = self._lend_leased_units(spare, peer, request_id, now)
        pieces += self._lend_borrowed_units(spare - sum(piece.units for piece in pieces), now)
        lent = sum(piece.units for piece in pieces)
        tokens = self.bucket.tokens * lent / held_units
        self.bucket.tokens -= tokens
        self._resize(now)
        return LoanGrant(pieces, tokens)

    def extend_loan(
        self, requested_units: int, peer: str, renewed_request_id: int, request_id: int, now: float
    ) -> LoanGrant:
        """Extend a loan, except for units that this host or another holder now needs.

        :param renewed_request_id: the request that the present loan answered.
        :return: what to send; without pieces where nothing is extended.
        """
        self.refresh(now)
        expires_at = min(now + LOAN_DURATION_S * MAX_CLOCK_SPEED_RATIO, self.lease.valid_until)
        valid_s = (expires_at - now) / MAX_CLOCK_SPEED_RATIO
        loans = [
            loan
            for loan in self.lent_loans
            if (loan.peer, loan.request_id) == (peer, renewed_request_id)
        ]
        needed = max(0, self.wanted_units(now) - self.units())
        owed_units = max(0, self.lent_units() + self.reserved_units() - self.lease.target_units)
        granted = min(requested_units, sum(loan.units for loan in loans) - needed - owed_units)
        if granted < MIN_LOAN_UNITS or any(loan.expires_at >= expires_at for loan in loans):
            return LoanGrant([], 0.0)
        _deduct_units(loans, granted)
        self.lent_loans.append(Loan(granted, expires_at, peer, request_id))
        return LoanGrant([UnitLoan(units=granted, valid_s=valid_s)], 0.0)

    def borrow(
        self, grant: LoanGrant, peer: str, request_id: int, requested_at: float, now: float
    ) -> int:
        """Add borrowed units and the tokens that belong to them.

        :param requested_at: monotonic time just before the request was sent; the validity of
            the loan counts from it.
        :return: the number of units added.
        """
        self.refresh(now)
        loans = _unexpired_loans(grant, peer, request_id, requested_at, now)
        units = sum(loan.units for loan in loans)
        self.borrowed_loans += loans
        self._resize(now)
        self.bucket.add(min(grant.tokens, self.burst * units / TOTAL_UNITS), now)
        return units

    def accept_extension(
        self,
        grant: LoanGrant,
        peer: str,
        renewed_request_id: int,
        request_id: int,
        requested_at: float,
        now: float,
    ) -> int:
        """Apply the extension of a loan, to at most the units that are still held of it.

        :return: the number of units extended.
        """
        self.refresh(now)
        held_loans = [
            loan
            for loan in self.borrowed_loans
            if (loan.peer, loan.request_id) == (peer, renewed_request_id)
        ]
        loans = _unexpired_loans(grant, peer, request_id, requested_at, now)[:1]
        for loan in loans:
            loan.units = min(loan.units, sum(held.units for held in held_loans))
            _deduct_units(held_loans, loan.units)
        for loan in held_loans:
            loan.request_id = 0
        self.borrowed_loans += loans
        self._resize(now)
        return sum(loan.units for loan in loans)

    def return_unneeded_loans(self, now: float) -> list[LoanReturn]:
        """Remove loans that are no longer needed, with the tokens that belong to them."""
        self.refresh(now)
        returns: list[LoanReturn] = []
        for loan in [loan for loan in self.borrowed_loans if loan.request_id]:
            held_units = self.units()
            if loan.units > self.spare_units(now):
                continue
            tokens = self.bucket.tokens * loan.units / held_units
            self.bucket.tokens -= tokens
            self.borrowed_loans.remove(loan)
            self._resize(now)
            returns.append(LoanReturn(loan, tokens))
        return returns

    def accept_returned_loan(
        self, units: int, tokens: float, peer: str, request_id: int, now: float
    ) -> None:
        """Take back the units of a loan that its borrower ended early; a repeat has no effect."""
        self.refresh(now)
        loans = [
            loan for loan in self.lent_loans if (loan.peer, loan.request_id) == (peer, request_id)
        ]
        freed = min(units, sum(loan.units for loan in loans))
        _deduct_units(loans, freed)
        for loan in loans:
            loan.request_id = 0
        self._resize(now)
        self.bucket.add(min(tokens, self.burst * freed / TOTAL_UNITS), now)

    def _lend_leased_units(
        self, requested_units: int, peer: str, request_id: int, now: float
    ) -> list[UnitLoan]:
        expires_at = min(now + LOAN_DURATION_S * MAX_CLOCK_SPEED_RATIO, self.lease.valid_until)
        valid_s = (expires_at - now) / MAX_CLOCK_SPEED_RATIO
        units = min(requested_units, self.lendable_units())
        if units <= 0 or valid_s <= 0.0:
            return []
        self.lent_loans.append(Loan(units, expires_at, peer, request_id))
        return [UnitLoan(units=units, valid_s=valid_s)]

    def _lend_borrowed_units(self, requested_units: int, now: float) -> list[UnitLoan]:
        pieces: list[UnitLoan] = []
        for loan in sorted(self.borrowed_loans, key=lambda loan: loan.expires_at, reverse=True):
            units = min(requested_units, loan.units)
            valid_s = (loan.expires_at - now) / MAX_CLOCK_SPEED_RATIO
            if units <= 0 or valid_s <= 0.0 or len(pieces) >= MAX_PIECES_PER_TRANSFER - 1:
                continue
            loan.units -= units
            requested_units -= units
            pieces.append(UnitLoan(units=units, valid_s=valid_s, passed_on=True))
        return pieces

    def _resize(self, now: float) -> None:
        units = max(0, self.units())
        rate = self.rate * units / TOTAL_UNITS
        burst = self.burst * max(0, units - self.reserved_units()) / TOTAL_UNITS
        self.bucket.resize(rate, burst, now)
        expiries = (
            loan.expires_at
            for loan in itertools.chain(self.lent_loans, self.borrowed_loans, self.reservations)
        )
        self._next_expiry = min(expiries, default=float("inf"))


def _unexpired_loans(
    grant: LoanGrant, peer: str, request_id: int, requested_at: float, now: float
) -> list[Loan]:
    loans = (
        Loan(
            piece.units,
            requested_at + min(piece.valid_s, LOAN_DURATION_S),
            peer,
            0 if piece.passed_on else request_id,
        )
        for piece in grant.pieces
    )
    return [loan for loan in loans if loan.expires_at > now]


def _deduct_units(loans: list[Loan], units: int) -> None:
    for loan in loans:
        taken = min(units, loan.units)
        loan.units -= taken
        units -= taken
