"""One host's part of one quantity: its bucket, what it lent and what it borrowed."""

from __future__ import annotations

import itertools
import math

from radishbridge.peers import UnitLoan
from radishbridge.shares.bucket import TokenBucket
from radishbridge.shares.demand import Demand
from radishbridge.shares.lease import ShareLease
from radishbridge.shares.table import TOTAL_UNITS

LOAN_S = 1.0
CLOCK_RATIO = 1.045
SMALLEST_LOAN_UNITS = 100
SMALLEST_GIFT_TOKENS = 0.05
MAX_PIECES = 16
ANSWER_DEADLINE_S = 0.25
HEADROOM = 1.2
IDLE_REQUESTS_PER_S = 0.05
READY_TOKENS = 2.0
READY_UNITS_TOKENS = 1.5
LOOK_AHEAD_S = 0.3
LOW_PART = 0.4
ASK_AHEAD_S = 0.15


class Loan:
    """Units lent or borrowed until a time on this process's clock, in seconds.

    :param peer: the other host.
    :param request_id: the request that the loan answered; 0 where it cannot be prolonged.
    """

    __slots__ = ("peer", "request_id", "units", "until")

    def __init__(self, units: int, until: float, peer: str, request_id: int) -> None:
        self.units = units
        self.until = until
        self.peer = peer
        self.request_id = request_id


class Parcel:
    """What a lender sends: units for a while, and tokens that it has debited."""

    __slots__ = ("pieces", "tokens")

    def __init__(self, pieces: list[UnitLoan], tokens: float) -> None:
        self.pieces = pieces
        self.tokens = tokens


class LoanReturn:
    """A loan given up before its end, and the tokens that go back with it."""

    __slots__ = ("loan", "tokens")

    def __init__(self, loan: Loan, tokens: float) -> None:
        self.loan = loan
        self.tokens = tokens


class ShareAccount:
    """Admits requests of one quantity within the units this host may use.

    Over all hosts the units in use and under way never exceed ``TOTAL_UNITS`` and a bucket
    never holds more than its host's units of the burst. Tokens travel either within the burst
    of units that travel with them, or alone; then the sender's bucket may hold that much less
    until they have arrived or are void. Hence the sum of all tokens never exceeds the burst.

    :param lease: this process's lease on its units of the table.
    :param rate: tokens per second over all hosts.
    :param burst: most tokens over all hosts.
    """

    __slots__ = (
        "_next_end",
        "base",
        "borrowed",
        "bucket",
        "burst",
        "demand",
        "lease",
        "lent",
        "rate",
        "sent",
    )

    def __init__(self, lease: ShareLease, rate: float, burst: float, now: float) -> None:
        self.lease = lease
        self.rate = rate
        self.burst = burst
        self.base = 0
        self.lent: list[Loan] = []
        self.sent: list[Loan] = []
        self.borrowed: list[Loan] = []
        self.bucket = TokenBucket(0.0, 0.0, now)
        self.demand = Demand(now)
        self._next_end = float("inf")
        self.settle(now)

    def set_rate(self, rate: float, burst: float, now: float) -> None:
        """Put a changed rate in force; tokens above the new burst are lost."""
        self.settle(now)
        self.rate = rate
        self.burst = burst
        self._resize(now)

    def admit(self, now: float, again: bool = False) -> bool:
        """Spend one token if there is one.

        :param again: the request was refused before and is not counted as demand once more.
        """
        if not again:
            self.demand.add(1.0, now)
        if now >= self._next_end or self.lease.usable(now) != self.base:
            self.settle(now)
        return self.bucket.try_consume(1.0, now)

    def units(self) -> int:
        """Return the units in use here as of the last settlement."""
        return self.base - self.lent_units() + sum(loan.units for loan in self.borrowed)

    def lent_units(self) -> int:
        """Return the units of the table that are lent out as of the last settlement."""
        return sum(loan.units for loan in self.lent)

    def sent_units(self) -> int:
        """Return the units of the table whose burst tokens under way may still use."""
        return sum(loan.units for loan in self.sent)

    def own_units(self) -> int:
        """Return the units of the table that may be lent.

        Neither those that are lent or kept for tokens under way, nor those that other holders
        wait for.
        """
        lasting = min(self.base, self.lease.target)
        return max(0, lasting - self.lent_units() - self.sent_units())

    def ending_units(self, time: float) -> int:
        """Return the borrowed units that end before a time and cannot be prolonged."""
        return sum(
            loan.units for loan in self.borrowed if not loan.request_id and loan.until < time
        )

    def settle(self, now: float) -> None:
        """Let what has ended take effect at the time it ended, then the lease's present units."""
        lease_end = self.lease.valid_until
        ends = [loan.until for loan in self.borrowed] + [lease_end]
        for end in sorted(end for end in ends if self.bucket.refilled_at < end <= now):
            self.borrowed = [loan for loan in self.borrowed if loan.until > end]
            self.base = 0 if end >= lease_end else self.base
            self._resize(end)
        self.borrowed = [loan for loan in self.borrowed if loan.until > now and loan.units > 0]
        self.lent = [loan for loan in self.lent if loan.until > now and loan.units > 0]
        self.sent = [loan for loan in self.sent if loan.until > now]
        self.base = self.lease.usable(now)
        self._resize(now)

    def wanted_units(self, now: float) -> int:
        """Return the units that the demand here needs, with headroom."""
        arriving = self.demand.rate(now)
        if self.rate <= 0.0 or self.burst <= 0.0 or arriving < IDLE_REQUESTS_PER_S:
            return 0
        part = max(arriving * HEADROOM / self.rate, READY_UNITS_TOKENS / self.burst)
        return min(TOTAL_UNITS, math.ceil(part * TOTAL_UNITS))

    def missing_units(self, now: float) -> int:
        """Return the units to ask for; small swings of the demand are left to tokens.

        Borrowed units that end soon count as gone already.
        """
        ending = self.ending_units(now + ASK_AHEAD_S)
        held = self.units() - ending
        ready = self.burst * held / TOTAL_UNITS >= READY_UNITS_TOKENS
        suffices = ready and self.demand.rate(now) <= self.rate * held / TOTAL_UNITS
        if suffices or not (ending or self.runs_short(now)):
            return 0
        return max(0, self.wanted_units(now) - held)

    def missing_tokens(self, now: float) -> float:
        """Return the tokens to ask for, which the bucket has room for."""
        return self.bucket.burst - self.bucket.tokens if self.runs_short(now) else 0.0

    def runs_short(self, now: float) -> bool:
        """Tell whether the tokens here will be used up soon at the present demand."""
        arriving = self.demand.rate(now)
        if arriving < IDLE_REQUESTS_PER_S:
            return False
        ahead = READY_TOKENS + arriving * LOOK_AHEAD_S
        return self.bucket.tokens < max(1.0, min(ahead, LOW_PART * self.bucket.burst))

    def spare_units(self, now: float) -> int:
        """Return the units in use here that the demand does not need."""
        arriving = self.demand.rate(now) * HEADROOM
        needed = math.ceil(TOTAL_UNITS * arriving / self.rate) if self.rate > 0.0 else 0
        return max(0, self.units() - self.sent_units() - needed)

    def spare_tokens(self, now: float) -> float:
        """Return the tokens that may be given away without units."""
        tokens = self.bucket.tokens
        in_use = self.demand.rate(now) >= IDLE_REQUESTS_PER_S
        kept = max(tokens / 2, LOW_PART * self.bucket.burst if in_use else 0.0)
        room = self.burst * (self.own_units() - self.base // 2) / TOTAL_UNITS
        return max(0.0, min(tokens - kept, room))

    def give(self, asked: float, now: float) -> float:
        """Debit tokens that travel without units.

        The bucket may hold that much less until they have arrived or are void, so that what
        is under way and what refills here meanwhile do not add up to more than the burst.
        """
        until = now + ANSWER_DEADLINE_S * CLOCK_RATIO
        self.settle(now)
        given = min(asked, self.spare_tokens(now))
        if given < SMALLEST_GIFT_TOKENS or until > self.lease.valid_until:
            return 0.0
        units = math.ceil(given * TOTAL_UNITS / self.burst)
        self.sent.append(Loan(units, until, "", 0))
        self.bucket.tokens -= given
        self._resize(now)
        return given

    def receive(self, tokens: float, now: float) -> None:
        """Credit tokens that came without units; what the bucket has no room for is lost."""
        self.settle(now)
        self.bucket.add(tokens, now)

    def lend(self, asked_units: int, peer: str, request_id: int, now: float) -> Parcel:
        """Give up units that are not needed here, and the tokens that go with them.

        What is passed on of borrowed units ends when the loan itself ends; what is lent of the
        table's units ends within this process's lease.

        :return: what to send; without pieces where nothing is to spare.
        """
        self.settle(now)
        held = self.units()
        spare = min(asked_units, self.spare_units(now))
        if spare < SMALLEST_LOAN_UNITS:
            return Parcel([], 0.0)
        pieces = self._lend_own(spare, peer, request_id, now)
        pieces += self._pass_on(spare - sum(piece.units for piece in pieces), now)
        lent = sum(piece.units for piece in pieces)
        tokens = self.bucket.tokens * lent / held
        self.bucket.tokens -= tokens
        self._resize(now)
        return Parcel(pieces, tokens)

    def prolong(
        self, asked_units: int, peer: str, renews: int, request_id: int, now: float
    ) -> Parcel:
        """Let a loan run on, as far as the demand here does not need its units back."""
        self.settle(now)
        until = min(now + LOAN_S * CLOCK_RATIO, self.lease.valid_until)
        valid_s = (until - now) / CLOCK_RATIO
        loans = [loan for loan in self.lent if (loan.peer, loan.request_id) == (peer, renews)]
        needed = max(0, self.wanted_units(now) - self.units())
        awaited = max(0, self.lent_units() + self.sent_units() - self.lease.target)
        granted = min(asked_units, sum(loan.units for loan in loans) - needed - awaited)
        if granted < SMALLEST_LOAN_UNITS or any(loan.until >= until for loan in loans):
            return Parcel([], 0.0)
        _deduct(loans, granted)
        self.lent.append(Loan(granted, until, peer, request_id))
        return Parcel([UnitLoan(units=granted, valid_s=valid_s)], 0.0)

    def borrow(
        self, parcel: Parcel, peer: str, request_id: int, asked_at: float, now: float
    ) -> int:
        """Use units of another host from now on.

        :param asked_at: monotonic time before the request was sent; the pieces count from it.
        :return: the units added.
        """
        self.settle(now)
        loans = _usable_loans(parcel, peer, request_id, asked_at, now)
        units = sum(loan.units for loan in loans)
        self.borrowed += loans
        self._resize(now)
        self.bucket.add(min(parcel.tokens, self.burst * units / TOTAL_UNITS), now)
        return units

    def run_on(
        self, parcel: Parcel, peer: str, renews: int, request_id: int, asked_at: float, now: float
    ) -> int:
        """Use a prolonged loan; no more of it than is still held here.

        :return: the units prolonged.
        """
        self.settle(now)
        held = [loan for loan in self.borrowed if (loan.peer, loan.request_id) == (peer, renews)]
        loans = _usable_loans(parcel, peer, request_id, asked_at, now)[:1]
        for loan in loans:
            loan.units = min(loan.units, sum(one.units for one in held))
            _deduct(held, loan.units)
        for loan in held:
            loan.request_id = 0
        self.borrowed += loans
        self._resize(now)
        return sum(loan.units for loan in loans)

    def hand_back(self, now: float) -> list[LoanReturn]:
        """Give up loans that are no longer needed, with the tokens that belong to them."""
        self.settle(now)
        returns: list[LoanReturn] = []
        for loan in [one for one in self.borrowed if one.request_id]:
            held = self.units()
            if loan.units > self.spare_units(now):
                continue
            tokens = self.bucket.tokens * loan.units / held
            self.bucket.tokens -= tokens
            self.borrowed.remove(loan)
            self._resize(now)
            returns.append(LoanReturn(loan, tokens))
        return returns

    def take_back(self, units: int, tokens: float, peer: str, request_id: int, now: float) -> None:
        """Use units again that a borrower has given up; a loan comes back only once."""
        self.settle(now)
        loans = [loan for loan in self.lent if (loan.peer, loan.request_id) == (peer, request_id)]
        freed = min(units, sum(loan.units for loan in loans))
        _deduct(loans, freed)
        for loan in loans:
            loan.request_id = 0
        self._resize(now)
        self.bucket.add(min(tokens, self.burst * freed / TOTAL_UNITS), now)

    def _lend_own(self, asked_units: int, peer: str, request_id: int, now: float) -> list[UnitLoan]:
        until = min(now + LOAN_S * CLOCK_RATIO, self.lease.valid_until)
        valid_s = (until - now) / CLOCK_RATIO
        units = min(asked_units, self.own_units())
        if units <= 0 or valid_s <= 0.0:
            return []
        self.lent.append(Loan(units, until, peer, request_id))
        return [UnitLoan(units=units, valid_s=valid_s)]

    def _pass_on(self, asked_units: int, now: float) -> list[UnitLoan]:
        pieces: list[UnitLoan] = []
        for loan in sorted(self.borrowed, key=lambda loan: loan.until, reverse=True):
            units = min(asked_units, loan.units)
            valid_s = (loan.until - now) / CLOCK_RATIO
            if units <= 0 or valid_s <= 0.0 or len(pieces) >= MAX_PIECES - 1:
                continue
            loan.units -= units
            asked_units -= units
            pieces.append(UnitLoan(units=units, valid_s=valid_s, passed_on=True))
        return pieces

    def _resize(self, now: float) -> None:
        units = max(0, self.units())
        rate = self.rate * units / TOTAL_UNITS
        burst = self.burst * max(0, units - self.sent_units()) / TOTAL_UNITS
        self.bucket.resize(rate, burst, now)
        ends = (loan.until for loan in itertools.chain(self.lent, self.borrowed, self.sent))
        self._next_end = min(ends, default=float("inf"))


def _usable_loans(
    parcel: Parcel, peer: str, request_id: int, asked_at: float, now: float
) -> list[Loan]:
    loans = (
        Loan(
            piece.units,
            asked_at + min(piece.valid_s, LOAN_S),
            peer,
            0 if piece.passed_on else request_id,
        )
        for piece in parcel.pieces
    )
    return [loan for loan in loans if loan.until > now]


def _deduct(loans: list[Loan], units: int) -> None:
    for loan in loans:
        taken = min(units, loan.units)
        loan.units -= taken
        units -= taken
