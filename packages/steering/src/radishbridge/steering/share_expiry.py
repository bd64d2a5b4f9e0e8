"""When the share of the rates ends that a host without contact to the others has.

Load pattern: in a network split callers send to all sides, so a share that two sides count is a
rate exceeded. The side with a majority of the hosts may take over the shares of the others. It
first marks their entries in the store as questioned. A host that reads the store answers and keeps
its share; one that does not read it stops by its own clock before the others take its share over.
"""

from __future__ import annotations

import math
import typing as t

# Silence in seconds of a host after which the others question its entry, and silence after which
# they use its share if it has not answered. The second was the time of taking over before there
# were questions, and the first leaves ANSWER_TIME_S and the time of a write before it.
QUESTION_AFTER_S = 17.0
TAKEOVER_AFTER_S = 30.0
# Time in seconds between learning of a question, or of a removed entry, and using the share. A host
# that does not read the store stops within 8 s, one that does learns of it within 9 s (two watches
# of 4 s) and stops DOUBT_MAX_S later.
ANSWER_TIME_S = 12.0
DOUBT_MAX_S = 2.5
# Time in seconds without contact to a majority after which a host that does not read the store uses
# no share. It may learn that contact is lost 2.5 s later than the others: two ages of messages.
MINORITY_MAX_S = 25.0
# Time in seconds without reading the store, and without contact to some host, after which hosts
# with a majority use no share: the others remove their entries after 120 s.
MAJORITY_UNREAD_MAX_S = 60.0
MAJORITY_SILENCE_MAX_S = 100.0
# Time in seconds for which a host has to be a store follower without failed calls to show that the
# store is read: its longest watch, 4.5 s, and the interval between summaries. A gap up to
# UNREAD_MAX_S is ignored.
FOLLOWER_PROVEN_S = 6.0
UNREAD_MAX_S = 1.0
# Pause in seconds before a share is used again: until all have a summary that covers this host, or,
# while they are apart, until those that used the share have read the answer or stopped reading.
RESUME_IN_CONTACT_S = 3.0
RESUME_APART_S = 10.0


def has_majority(present: t.Collection[str], registered: t.Collection[str]) -> bool:
    """Return whether some of the registered hosts are more than the rest.

    Of two halves the one with the first name counts as the larger one.
    """
    count = len(present)
    if 2 * count == len(registered):
        return min(registered) in present
    return 2 * count > len(registered)


class StoreContact:
    """Whether the hosts in contact with this one read the store.

    :param following_since: monotonic time by host since which it follows the store without failure.
    """

    __slots__ = ("following_since",)

    def __init__(self) -> None:
        self.following_since: dict[str, float] = {}

    def update(self, followers: t.Iterable[str], now: float) -> bool:
        """Return whether the store is read.

        :param followers: the store followers that reach the store, by the last summary.
        """
        self.following_since = {name: self.following_since.get(name, now) for name in followers}
        return any(now - since >= FOLLOWER_PROVEN_S for since in self.following_since.values())


class OwnShare:
    """Whether this host may use its share of the rates.

    Times are monotonic, in seconds.

    :param has_joined: this host has been in contact with a majority since its start.
    :param minority_at: start of the time without contact to a majority; ``None`` in contact.
    :param unread_at: start of the time in which the store is not read.
    :param doubted_at: start of the time in which this host's entry is questioned or missing.
    :param stopped_at: last time at which it had to use no share.
    """

    __slots__ = ("doubted_at", "has_joined", "minority_at", "stopped_at", "unread_at")

    def __init__(self) -> None:
        self.has_joined = False
        # A host that starts apart from the others may follow one whose share they have taken over.
        self.minority_at: float | None = -math.inf
        self.unread_at: float | None = None
        self.doubted_at: float | None = None
        self.stopped_at = -math.inf

    def update(
        self, in_contact: bool, silence_s: float, reads_store: bool, is_doubted: bool, now: float
    ) -> bool:
        """Return whether the share has expired.

        :param in_contact: a recent summary covers this host and a majority of the hosts.
        :param silence_s: time in seconds since the last contact to the host that is silent longest.
        :param reads_store: hosts in contact with this one, or itself, read the store.
        :param is_doubted: this host's entry is questioned or missing.
        """
        self.minority_at = None if in_contact else _first(self.minority_at, now)
        self.unread_at = None if reads_store else _first(self.unread_at, now)
        self.doubted_at = _first(self.doubted_at, now) if is_doubted else None
        if self._must_stop(silence_s, now):
            self.stopped_at = now
        if in_contact and not self.has_joined:
            self.has_joined = True
            self.stopped_at = -math.inf
        pause_s = RESUME_IN_CONTACT_S if in_contact else RESUME_APART_S
        return now - self.stopped_at < pause_s

    def _must_stop(self, silence_s: float, now: float) -> bool:
        unread_s = 0.0 if self.unread_at is None else now - self.unread_at
        if self.minority_at is None:
            return unread_s >= MAJORITY_UNREAD_MAX_S and silence_s >= MAJORITY_SILENCE_MAX_S
        if now - self.minority_at < MINORITY_MAX_S:
            return False
        doubt_max_s = DOUBT_MAX_S if self.has_joined else 0.0
        is_doubted = self.doubted_at is not None and now - self.doubted_at >= doubt_max_s
        return is_doubted or unread_s >= UNREAD_MAX_S


class SilentShares:
    """Which silent hosts may still use their share of the rates, as this host knows from the store.

    Times are monotonic, in seconds.

    :param registered_at: time by host at which this host learned of its entry.
    :param answered_at: time by host at which it registered or answered a question.
    :param questioned_at: time by host at which this host learned that its entry is questioned.
    :param removed_at: time by host of the removal of its entry, while it may not know of that.
    """

    __slots__ = ("answered_at", "questioned_at", "registered_at", "removed_at")

    def __init__(self) -> None:
        self.registered_at: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.questioned_at: dict[str, float] = {}
        self.removed_at: dict[str, float] = {}

    def update(
        self, questioned: t.Mapping[str, bool], not_reserved: t.Container[str], now: float
    ) -> None:
        """Apply a list of the registered hosts.

        :param questioned: by host whether its entry is questioned.
        :param not_reserved: hosts whose share is not reserved when their entry is removed: they
            are in contact, or their share has been taken over.
        """
        for name in self.registered_at.keys() - questioned.keys():
            del self.registered_at[name], self.answered_at[name]
            self.questioned_at.pop(name, None)
            if name not in not_reserved:
                self.removed_at[name] = now
        for name, is_questioned in questioned.items():
            self.removed_at.pop(name, None)
            if name not in self.registered_at:
                self.registered_at[name] = self.answered_at[name] = now
            if is_questioned:
                self.questioned_at.setdefault(name, now)
            elif self.questioned_at.pop(name, None) is not None:
                self.answered_at[name] = now

    def is_taken_over(self, name: str, silent_s: float, reads_store: bool, now: float) -> bool:
        """Return whether a silent host has no share any more.

        :param silent_s: time in seconds since its last sign of life in a message.
        :param reads_store: hosts in contact with this one read the store, so that an answer would
            be known.
        """
        questioned_at = self.questioned_at.get(name, math.inf)
        is_unanswered = now - questioned_at >= ANSWER_TIME_S
        return is_unanswered and reads_store and silent_s >= TAKEOVER_AFTER_S

    def removed_hosts(self, now: float) -> t.Collection[str]:
        """Return the hosts that may not know yet that their entry was removed."""
        self.removed_at = {
            name: at for name, at in self.removed_at.items() if now - at < ANSWER_TIME_S
        }
        return self.removed_at

    def may_question(self, present: t.Iterable[str], last_seen_at: float) -> bool:
        """Return whether the hosts in contact are a majority that may question a silent host.

        Hosts in contact that registered during its silence count on neither side: it may not know
        of them, but they cannot be part of a majority with it.

        :param last_seen_at: time of the last contact to the silent host.
        """
        in_contact = set(present)
        known = {
            name for name in in_contact if self.registered_at.get(name, math.inf) <= last_seen_at
        }
        return has_majority(known, self.registered_at.keys() - (in_contact - known))


def _first(since: float | None, now: float) -> float:
    return now if since is None else since
