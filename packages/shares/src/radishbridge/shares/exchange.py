"""Moves units and tokens between hosts on demand."""

from __future__ import annotations

import math
import typing as t

from radishbridge.peers import (
    LoanReturned,
    Peer,
    PeerMesh,
    PeerMessage,
    TokenRequest,
    TokenTransfer,
)
from radishbridge.shares.account import (
    MAX_PIECES_PER_TRANSFER,
    MIN_LOAN_UNITS,
    MIN_TRANSFER_TOKENS,
    TRANSFER_TIMEOUT_S,
    LoanGrant,
    ShareAccount,
)
from radishbridge.shares.lease import ShareLease
from radishbridge.shares.table import TOTAL_UNITS

MAX_ASKED = 8
ASKED_FOR_TOKENS = 3
ASK_PAUSE_S = 0.02
LONGEST_ASK_PAUSE_S = 0.5
ASK_BACKOFF = 1.3
RENEW_BEFORE_S = 0.5
HINT_VALID_S = 0.05
MAX_PENDING = 4096


class PendingRequest:
    """A request whose answer is still accepted.

    :param requested_at: monotonic time before the request was sent.
    :param renews: the earlier request whose loan it prolongs, 0 for a new loan.
    """

    __slots__ = ("host", "quantity", "renews", "requested_at")

    def __init__(self, host: str, quantity: str, renews: int, requested_at: float) -> None:
        self.host = host
        self.quantity = quantity
        self.renews = renews
        self.requested_at = requested_at


class Hint:
    """What a host said it could still lend and give."""

    __slots__ = ("at", "tokens", "units")

    def __init__(self, units: int, tokens: float, at: float) -> None:
        self.units = units
        self.tokens = tokens
        self.at = at

    @property
    def rank(self) -> float:
        """What decides whom to ask first: tokens serve at once."""
        return self.tokens + self.units / TOTAL_UNITS


class Want:
    """What to ask one host for."""

    __slots__ = ("host", "tokens", "units")

    def __init__(self, host: str, units: int, tokens: float) -> None:
        self.host = host
        self.units = units
        self.tokens = tokens


class LastRequest:
    """The newest request that a host has sent, to drop doubled ones."""

    __slots__ = ("asker", "request_id")

    def __init__(self, asker: int, request_id: int) -> None:
        self.asker = asker
        self.request_id = request_id


class AskState:
    """When a quantity's units may next be asked for, and of whom."""

    __slots__ = ("hints", "next_at", "pause_s", "turn")

    def __init__(self) -> None:
        self.hints: dict[str, Hint] = {}
        self.next_at = float("-inf")
        self.pause_s = ASK_PAUSE_S
        self.turn = 0


class ShareExchange:
    """Asks other holders for units, and answers their requests.

    A lender debits before it sends; an answer that is lost costs its units until the loan's
    end; one that is doubled, late or meant for another process is dropped.

    :param accounts: the quantities by name.
    :param clock: monotonic clock in seconds.
    """

    __slots__ = (
        "_asks",
        "_next_id",
        "accounts",
        "answered",
        "clock",
        "closed",
        "lease",
        "mesh",
        "pending",
        "received",
    )

    def __init__(
        self,
        mesh: PeerMesh,
        lease: ShareLease,
        accounts: dict[str, ShareAccount],
        clock: t.Callable[[], float],
    ) -> None:
        self.mesh = mesh
        self.lease = lease
        self.accounts = accounts
        self.clock = clock
        self.closed = False
        self.pending: dict[int, PendingRequest] = {}
        self.answered: dict[str, LastRequest] = {}
        self.received: list[t.Callable[[str], None]] = []
        self._asks: dict[str, AskState] = {}
        self._next_id = 0
        mesh.subscribe(TokenRequest, self.on_request)
        mesh.subscribe(TokenTransfer, self.on_transfer)
        mesh.subscribe(LoanReturned, self.on_return)

    def consider(self, quantity: str, now: float) -> None:
        """Ask for units where the demand here needs more than are held."""
        account = self.accounts[quantity]
        ask = self._asks.setdefault(quantity, AskState())
        if now < ask.next_at:
            return
        ask.next_at = now + ASK_PAUSE_S
        account.refresh(now)
        wanted = account.wanted_units(now)
        self._renew(quantity, account, wanted, now)
        units = account.units_to_request(now)
        tokens = account.tokens_to_request(now)
        if units < MIN_LOAN_UNITS and tokens < MIN_TRANSFER_TOKENS:
            return
        ask.next_at = now + ask.pause_s
        ask.pause_s = min(ASK_BACKOFF * ask.pause_s, LONGEST_ASK_PAUSE_S)
        for want in self._whom_to_ask(ask, units, tokens, now):
            self._send(want.host, quantity, want, 0, now)

    def expects_answer(self, quantity: str, now: float) -> bool:
        """Tell whether an answer for a quantity may still come."""
        return any(
            pending.quantity == quantity and now <= pending.requested_at + TRANSFER_TIMEOUT_S
            for pending in self.pending.values()
        )

    def expire(self, now: float) -> None:
        """Forget requests whose answers would be late."""
        late = [
            request_id
            for request_id, pending in self.pending.items()
            if now > pending.requested_at + TRANSFER_TIMEOUT_S
        ]
        for request_id in late:
            del self.pending[request_id]

    def on_request(self, peer: Peer, message: PeerMessage) -> None:
        """Answer another host's request; a doubled one is dropped."""
        assert isinstance(message, TokenRequest)
        account = self.accounts.get(message.quantity)
        if account is None or self.closed or not self._is_new(peer, message):
            return
        now = self.clock()
        units = max(0, min(message.units, TOTAL_UNITS))
        name, request_id = f"{peer.name}/{message.asker}", message.request_id
        if message.renews:
            grant = account.extend_loan(units, name, message.renews, request_id, now)
        else:
            grant = account.lend(units, name, request_id, now)
        tokens = account.debit_tokens(message.amount, now) if message.amount > 0.0 else 0.0
        self.mesh.send(
            peer.name,
            TokenTransfer(
                quantity=message.quantity,
                request_id=request_id,
                amount=tokens,
                deadline=message.deadline,
                pieces=grant.pieces,
                piece_tokens=grant.tokens,
                asker=message.asker,
                spare_units=account.spare_units(now),
                spare_tokens=account.spare_tokens(now),
            ),
        )

    def on_transfer(self, peer: Peer, message: PeerMessage) -> None:
        """Take an answer in; one that is doubled, late or malformed is dropped."""
        assert isinstance(message, TokenTransfer)
        now = self.clock()
        pending = self.pending.get(message.request_id)
        if pending is None or pending.host != peer.name or pending.quantity != message.quantity:
            return
        if message.asker != self.lease.key.incarnation or not _is_sound(message):
            return
        del self.pending[message.request_id]
        account = self.accounts.get(message.quantity)
        if account is None or now > pending.requested_at + TRANSFER_TIMEOUT_S:
            return
        units = self._accept(account, peer, message, pending, now)
        ask = self._asks.setdefault(message.quantity, AskState())
        ask.hints[peer.name] = Hint(message.spare_units, message.spare_tokens, now)
        if units > 0 or message.amount > 0.0:
            ask.pause_s = ASK_PAUSE_S
            ask.next_at = min(ask.next_at, now)
        for listener in self.received:
            listener(message.quantity)

    def return_unneeded_loans(self, quantity: str, now: float) -> None:
        """Return the loans that the demand here no longer needs."""
        for returned in self.accounts[quantity].return_unneeded_loans(now):
            message = LoanReturned(
                quantity=quantity,
                request_id=returned.loan.request_id,
                asker=self.lease.key.incarnation,
                units=returned.loan.units,
                amount=returned.tokens,
            )
            self.mesh.send(returned.loan.peer, message)

    def on_return(self, peer: Peer, message: PeerMessage) -> None:
        """Take a returned loan back."""
        assert isinstance(message, LoanReturned)
        account = self.accounts.get(message.quantity)
        if account is None or message.units < 0:
            return
        if not math.isfinite(message.amount) or message.amount < 0.0:
            return
        borrower = f"{peer.name}/{message.asker}"
        now = self.clock()
        account.accept_returned_loan(
            message.units, message.amount, borrower, message.request_id, now
        )

    def _accept(
        self,
        account: ShareAccount,
        peer: Peer,
        message: TokenTransfer,
        pending: PendingRequest,
        now: float,
    ) -> int:
        if message.amount > 0.0:
            account.credit_tokens(message.amount, now)
        grant = LoanGrant(message.pieces, message.piece_tokens)
        request_id, requested_at = message.request_id, pending.requested_at
        if pending.renews:
            return account.accept_extension(
                grant, peer.name, pending.renews, request_id, requested_at, now
            )
        return account.borrow(grant, peer.name, request_id, requested_at, now)

    def _renew(self, quantity: str, account: ShareAccount, wanted: int, now: float) -> None:
        ending = [
            loan
            for loan in account.borrowed_loans
            if loan.request_id and loan.expires_at - now < RENEW_BEFORE_S
        ]
        asked = {pending.renews for pending in self.pending.values()}
        lasting = account.units() - sum(loan.units for loan in ending)
        needed = wanted - lasting
        for loan in ending[:MAX_ASKED]:
            if needed < MIN_LOAN_UNITS:
                return
            if loan.request_id not in asked:
                want = Want(loan.peer, min(needed, loan.units), 0.0)
                self._send(loan.peer, quantity, want, loan.request_id, now)
            needed -= loan.units

    def _whom_to_ask(self, ask: AskState, units: int, tokens: float, now: float) -> list[Want]:
        names = [holder.name for holder in self.lease.table.holders]
        others = [name for name in names if name != self.lease.key.name]
        known = {name: hint for name, hint in ask.hints.items() if now - hint.at < HINT_VALID_S}
        wants: list[Want] = []
        for name in sorted(known, key=lambda name: known[name].rank, reverse=True):
            want = Want(name, min(known[name].units, units), min(known[name].tokens, tokens))
            if want.units >= MIN_LOAN_UNITS or want.tokens >= MIN_TRANSFER_TOKENS:
                wants.append(want)
                units -= want.units
                tokens -= want.tokens
        unknown = _rotated([name for name in others if name not in known], ask.turn)
        average = TOTAL_UNITS // (len(others) + 1)
        count = max(math.ceil(units / average), ASKED_FOR_TOKENS * (tokens > 0.0))
        asked = unknown[: max(0, min(count, MAX_ASKED - len(wants)))]
        ask.turn += len(asked)
        wants += [
            Want(name, math.ceil(units / len(asked)), tokens / ASKED_FOR_TOKENS) for name in asked
        ]
        return wants[:MAX_ASKED]

    def _send(self, host: str, quantity: str, want: Want, renews: int, now: float) -> None:
        if len(self.pending) >= MAX_PENDING:
            return
        self._next_id += 1
        self.pending[self._next_id] = PendingRequest(host, quantity, renews, now)
        request = TokenRequest(
            quantity=quantity,
            request_id=self._next_id,
            amount=want.tokens,
            deadline=now + TRANSFER_TIMEOUT_S,
            units=want.units,
            renews=renews,
            asker=self.lease.key.incarnation,
        )
        if not self.mesh.send(host, request):
            del self.pending[self._next_id]

    def _is_new(self, peer: Peer, message: TokenRequest) -> bool:
        # Ids of one process only grow; an overtaken request is as good as lost.
        last = self.answered.get(peer.name)
        doubled = last and last.asker == message.asker and message.request_id <= last.request_id
        if doubled:
            return False
        self.answered[peer.name] = LastRequest(message.asker, message.request_id)
        return True


def _is_sound(message: TokenTransfer) -> bool:
    numbers = [message.amount, message.piece_tokens, *(piece.valid_s for piece in message.pieces)]
    units = [piece.units for piece in message.pieces]
    return (
        len(units) <= MAX_PIECES_PER_TRANSFER
        and all(math.isfinite(number) and number >= 0.0 for number in numbers)
        and all(one >= 0 for one in units)
        and sum(units) <= TOTAL_UNITS
    )


def _rotated(names: list[str], turn: int) -> list[str]:
    start = turn % len(names) if names else 0
    return names[start:] + names[:start]
