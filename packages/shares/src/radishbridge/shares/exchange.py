"""Moves units and tokens between hosts on demand, by loans and token transfers."""

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

MAX_REQUESTS_PER_ROUND = 8
# Number of hosts among which a request for tokens is divided.
TOKEN_REQUEST_FANOUT = 3
MIN_REQUEST_INTERVAL_S = 0.02
MAX_REQUEST_INTERVAL_S = 0.5
REQUEST_BACKOFF_FACTOR = 1.3
LOAN_EXTENSION_WINDOW_S = 0.5
SPARE_CAPACITY_TTL_S = 0.05
MAX_PENDING_REQUESTS = 4096


class PendingRequest:
    """A request whose answer is still accepted.

    :param host: name of the host that was asked.
    :param quantity: name of the rate limit, see ``ShareExchange``.
    :param renewed_request_id: the earlier request whose loan it extends, 0 for a new loan.
    :param requested_at: monotonic time just before the request was sent, in seconds.
    """

    __slots__ = ("host", "quantity", "renewed_request_id", "requested_at")

    def __init__(
        self, host: str, quantity: str, renewed_request_id: int, requested_at: float
    ) -> None:
        self.host = host
        self.quantity = quantity
        self.renewed_request_id = renewed_request_id
        self.requested_at = requested_at


class SpareCapacity:
    """The units and tokens that a host reported as spare in its last answer.

    :param received_at: monotonic time when the answer arrived, in seconds.
    """

    __slots__ = ("received_at", "tokens", "units")

    def __init__(self, units: int, tokens: float, received_at: float) -> None:
        self.units = units
        self.tokens = tokens
        self.received_at = received_at

    @property
    def rank(self) -> float:
        """Sort key for choosing lenders: tokens come first, as requests can use them at once."""
        return self.tokens + self.units / TOTAL_UNITS


class CapacityRequest:
    """The units and tokens to request from one host."""

    __slots__ = ("host", "tokens", "units")

    def __init__(self, host: str, units: int, tokens: float) -> None:
        self.host = host
        self.units = units
        self.tokens = tokens


class LastRequest:
    """The newest request received from a host, to detect duplicates.

    :param asker: incarnation of the process that sent it.
    """

    __slots__ = ("asker", "request_id")

    def __init__(self, asker: int, request_id: int) -> None:
        self.asker = asker
        self.request_id = request_id


class RequestState:
    """When a rate limit's units and tokens may be requested next, and from which hosts.

    :param interval_s: pause after the next request; grows until a request succeeds.
    :param next_host_index: rotates the hosts whose spare capacity isn't known.
    """

    __slots__ = ("interval_s", "next_host_index", "next_request_at", "spare_by_host")

    def __init__(self) -> None:
        self.spare_by_host: dict[str, SpareCapacity] = {}
        self.next_request_at = float("-inf")
        self.interval_s = MIN_REQUEST_INTERVAL_S
        self.next_host_index = 0


class ShareExchange:
    """Requests units and tokens from other holders, and answers their requests.

    A lender debits its account before it sends the answer. If the answer is lost, nobody uses
    its units until the loan expires. An answer that is duplicated, late or meant for another
    process is dropped.

    :param accounts: accounts by the name of their quantity, which is a rate limit: the
        workspace's name.
    :param clock: monotonic clock in seconds.
    :ivar closed: set while this host leaves; requests of other hosts are then not answered.
    """

    __slots__ = (
        "_next_id",
        "_request_states",
        "accounts",
        "clock",
        "closed",
        "last_requests",
        "lease",
        "mesh",
        "pending",
        "transfer_listeners",
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
        self.last_requests: dict[str, LastRequest] = {}
        self.transfer_listeners: list[t.Callable[[str], None]] = []
        self._request_states: dict[str, RequestState] = {}
        self._next_id = 0
        mesh.subscribe(TokenRequest, self.on_request)
        mesh.subscribe(TokenTransfer, self.on_transfer)
        mesh.subscribe(LoanReturned, self.on_return)

    def request_if_needed(self, quantity: str, now: float) -> None:
        """Request units and tokens if this host's demand needs more than it holds."""
        account = self.accounts[quantity]
        state = self._request_states.setdefault(quantity, RequestState())
        if now < state.next_request_at:
            return
        state.next_request_at = now + MIN_REQUEST_INTERVAL_S
        account.refresh(now)
        wanted = account.wanted_units(now)
        self._extend_loans(quantity, account, wanted, now)
        units = account.units_to_request(now)
        tokens = account.tokens_to_request(now)
        if units < MIN_LOAN_UNITS and tokens < MIN_TRANSFER_TOKENS:
            return
        state.next_request_at = now + state.interval_s
        state.interval_s = min(REQUEST_BACKOFF_FACTOR * state.interval_s, MAX_REQUEST_INTERVAL_S)
        for request in self._choose_lenders(state, units, tokens, now):
            self._send(request.host, quantity, request, 0, now)

    def awaits_transfer(self, quantity: str, now: float) -> bool:
        """Return whether an answer for a quantity may still arrive in time."""
        return any(
            pending.quantity == quantity and now <= pending.requested_at + TRANSFER_TIMEOUT_S
            for pending in self.pending.values()
        )

    def expire_requests(self, now: float) -> None:
        """Drop pending requests whose answers would be too late."""
        late = [
            request_id
            for request_id, pending in self.pending.items()
            if now > pending.requested_at + TRANSFER_TIMEOUT_S
        ]
        for request_id in late:
            del self.pending[request_id]

    def on_request(self, peer: Peer, message: PeerMessage) -> None:
        """Answer another host's request; a duplicate is dropped."""
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
        """Apply the answer to a request; one that is duplicated, late or malformed is dropped."""
        assert isinstance(message, TokenTransfer)
        now = self.clock()
        pending = self.pending.get(message.request_id)
        if pending is None or pending.host != peer.name or pending.quantity != message.quantity:
            return
        if message.asker != self.lease.key.incarnation or not _is_valid(message):
            return
        del self.pending[message.request_id]
        account = self.accounts.get(message.quantity)
        if account is None or now > pending.requested_at + TRANSFER_TIMEOUT_S:
            return
        units = self._apply_transfer(account, peer, message, pending, now)
        state = self._request_states.setdefault(message.quantity, RequestState())
        state.spare_by_host[peer.name] = SpareCapacity(
            message.spare_units, message.spare_tokens, now
        )
        if units > 0 or message.amount > 0.0:
            state.interval_s = MIN_REQUEST_INTERVAL_S
            state.next_request_at = min(state.next_request_at, now)
        for listener in self.transfer_listeners:
            listener(message.quantity)

    def return_unneeded_loans(self, quantity: str, now: float) -> None:
        """Return the loans that this host's demand no longer needs to their lenders."""
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
        """Take back a loan that its borrower ended early."""
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

    def _apply_transfer(
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
        if pending.renewed_request_id:
            return account.accept_extension(
                grant, peer.name, pending.renewed_request_id, request_id, requested_at, now
            )
        return account.borrow(grant, peer.name, request_id, requested_at, now)

    def _extend_loans(self, quantity: str, account: ShareAccount, wanted: int, now: float) -> None:
        ending = [
            loan
            for loan in account.borrowed_loans
            if loan.request_id and loan.expires_at - now < LOAN_EXTENSION_WINDOW_S
        ]
        requested_ids = {pending.renewed_request_id for pending in self.pending.values()}
        remaining = account.units() - sum(loan.units for loan in ending)
        needed = wanted - remaining
        for loan in ending[:MAX_REQUESTS_PER_ROUND]:
            if needed < MIN_LOAN_UNITS:
                return
            if loan.request_id not in requested_ids:
                request = CapacityRequest(loan.peer, min(needed, loan.units), 0.0)
                self._send(loan.peer, quantity, request, loan.request_id, now)
            needed -= loan.units

    def _choose_lenders(
        self, state: RequestState, units: int, tokens: float, now: float
    ) -> list[CapacityRequest]:
        names = [holder.name for holder in self.lease.table.holders]
        other_hosts = [name for name in names if name != self.lease.key.name]
        reported = {
            name: spare
            for name, spare in state.spare_by_host.items()
            if now - spare.received_at < SPARE_CAPACITY_TTL_S
        }
        requests: list[CapacityRequest] = []
        for name in sorted(reported, key=lambda name: reported[name].rank, reverse=True):
            request = CapacityRequest(
                name, min(reported[name].units, units), min(reported[name].tokens, tokens)
            )
            if request.units >= MIN_LOAN_UNITS or request.tokens >= MIN_TRANSFER_TOKENS:
                requests.append(request)
                units -= request.units
                tokens -= request.tokens
        unreported = _rotated(
            [name for name in other_hosts if name not in reported], state.next_host_index
        )
        average = TOTAL_UNITS // (len(other_hosts) + 1)
        count = max(math.ceil(units / average), TOKEN_REQUEST_FANOUT * (tokens > 0.0))
        hosts_to_ask = unreported[: max(0, min(count, MAX_REQUESTS_PER_ROUND - len(requests)))]
        state.next_host_index += len(hosts_to_ask)
        requests += [
            CapacityRequest(
                name, math.ceil(units / len(hosts_to_ask)), tokens / TOKEN_REQUEST_FANOUT
            )
            for name in hosts_to_ask
        ]
        return requests[:MAX_REQUESTS_PER_ROUND]

    def _send(
        self,
        host: str,
        quantity: str,
        request: CapacityRequest,
        renewed_request_id: int,
        now: float,
    ) -> None:
        if len(self.pending) >= MAX_PENDING_REQUESTS:
            return
        self._next_id += 1
        self.pending[self._next_id] = PendingRequest(host, quantity, renewed_request_id, now)
        message = TokenRequest(
            quantity=quantity,
            request_id=self._next_id,
            amount=request.tokens,
            deadline=now + TRANSFER_TIMEOUT_S,
            units=request.units,
            renews=renewed_request_id,
            asker=self.lease.key.incarnation,
        )
        if not self.mesh.send(host, message):
            del self.pending[self._next_id]

    def _is_new(self, peer: Peer, message: TokenRequest) -> bool:
        # Request ids of one process only increase. So a lower id is a duplicate, or was overtaken
        # by a later request and is treated as lost.
        last = self.last_requests.get(peer.name)
        is_duplicate = (
            last and last.asker == message.asker and message.request_id <= last.request_id
        )
        if is_duplicate:
            return False
        self.last_requests[peer.name] = LastRequest(message.asker, message.request_id)
        return True


def _is_valid(message: TokenTransfer) -> bool:
    amounts = [message.amount, message.piece_tokens, *(piece.valid_s for piece in message.pieces)]
    units = [piece.units for piece in message.pieces]
    return (
        len(units) <= MAX_PIECES_PER_TRANSFER
        and all(math.isfinite(amount) and amount >= 0.0 for amount in amounts)
        and all(count >= 0 for count in units)
        and sum(units) <= TOTAL_UNITS
    )


def _rotated(names: list[str], first_index: int) -> list[str]:
    start = first_index % len(names) if names else 0
    return names[start:] + names[:start]
