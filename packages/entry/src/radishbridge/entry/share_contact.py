"""Contact to the other hosts and the store, as far as the shares of the rates depend on it."""

from __future__ import annotations

import logging
import typing as t

from radishbridge.entry.protocol import HostEntry
from radishbridge.steering.share_expiry import (
    QUESTION_AFTER_S,
    OwnShare,
    SilentShares,
    StoreContact,
    has_majority,
)

# Silence of a host in seconds from which on it matters whether the store is read: some seconds
# before its entry is questioned.
STORE_CONTACT_AFTER_S = 5.0
# Time in seconds after its start in which a host cannot know store followers for long enough. It
# has read the store itself then, unless a call has failed.
STARTING_S = 8.0

logger = logging.getLogger(__name__)


class ShareContact:
    """Which hosts may use their shares of the rates, this one included.

    :param own: this host's name.
    :param last_seen: monotonic time by host of its last sign of life in a message.
    :param is_expired: this host uses no share.
    :param is_questioned: other hosts ask by this host's entry whether it still runs.
    :param reads_store: this host or those in contact with it read the store.
    """

    __slots__ = (
        "is_expired",
        "is_questioned",
        "last_seen",
        "own",
        "own_share",
        "reads_store",
        "silent_shares",
        "started_at",
        "store_contact",
    )

    def __init__(self, own: str, last_seen: t.Mapping[str, float], now: float) -> None:
        self.own = own
        self.last_seen = last_seen
        self.started_at = now
        self.is_expired = False
        self.is_questioned = False
        self.reads_store = True
        self.own_share = OwnShare()
        self.silent_shares = SilentShares()
        self.store_contact = StoreContact()

    def update_entries(
        self, entries: t.Mapping[str, HostEntry], departing: t.Collection[str], now: float
    ) -> None:
        """Apply a list of the registered hosts.

        :param departing: hosts that were removed from the list while still in contact.
        """
        questioned = {name: entry.is_questioned for name, entry in entries.items()}
        self.is_questioned = questioned.get(self.own, False)
        # Their shares are in use already; reserving them once more would reduce the rates.
        registered = self.silent_shares.registered_at
        taken_over = [name for name in registered if not self.may_use_share(name, now)]
        self.silent_shares.update(questioned, {*departing, *taken_over}, now)

    def update_own_share(
        self,
        present: t.AbstractSet[str],
        reaching: t.Callable[[], t.Iterable[str]],
        reaches_store: bool,
        now: float,
    ) -> bool:
        """Return whether this host's share has expired.

        :param present: hosts in a recent summary; empty if there is none.
        :param reaching: returns the store followers that reach the store.
        :param reaches_store: the store answered this host's own recent calls, if it made any.
        """
        registered = self.silent_shares.registered_at.keys()
        known = {*registered, self.own}
        in_contact = self.own in present and has_majority(present & known, known)
        in_contact = in_contact or known == {self.own}
        others = (self.last_seen[name] for name in registered if name != self.own)
        silence_s = now - min(others, default=now)
        if in_contact and silence_s < STORE_CONTACT_AFTER_S:
            self.reads_store = True
        else:
            is_starting = now - self.started_at < STARTING_S
            is_read = self.store_contact.update(reaching(), now)
            self.reads_store = is_read or (is_starting and reaches_store)
        is_doubted = self.is_questioned or self.own not in registered
        is_expired = self.own_share.update(in_contact, silence_s, self.reads_store, is_doubted, now)
        if is_expired is not self.is_expired:
            self.is_expired = is_expired
            logger.info(
                "rate share stopped" if is_expired else "rate share used again",
                extra={"questioned": self.is_questioned, "reads_store": self.reads_store},
            )
        return is_expired

    def may_use_share(self, name: str, now: float) -> bool:
        """Return whether a registered host may be running and use its share."""
        return name == self.own or not self.silent_shares.is_taken_over(
            name, now - self.last_seen[name], self.reads_store, now
        )

    def silent_since(self, silence_s: float, now: float) -> list[str]:
        """Return the hosts without a message, and without a change of their entry, for longer."""
        return [
            name
            for name, answered_at in self.silent_shares.answered_at.items()
            if name != self.own and now - max(self.last_seen[name], answered_at) > silence_s
        ]

    def hosts_to_question(
        self, present: t.Collection[str], contacted: t.Container[str], now: float
    ) -> list[str]:
        """Return the silent hosts whose entry is to be marked as questioned.

        :param present: hosts in the last summary.
        :param contacted: hosts that this one had contact to: it knows when their silence began.
        """
        return [
            name
            for name in self.silent_since(QUESTION_AFTER_S, now)
            if name in contacted
            and name not in self.silent_shares.questioned_at
            and self.silent_shares.may_question(present, self.last_seen[name])
        ]
