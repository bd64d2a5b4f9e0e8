"""The promises, checked against what callers and backend servers saw."""

from __future__ import annotations

import collections
import itertools
import typing as t

from soak.callers import Key
from soak.ledger import Ledger, Outcome

# Statuses that promise that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
# Bounds of the operators in seconds, and the time that a request may still wait at its server.
DRAIN_S = 2.5
REVOKE_S = 5.0
CONTACT_S = 3.0
# A rate's window in seconds, its overage and its slack.
QUOTA_S, QUOTA_OVERAGE, QUOTA_SLACK = 5.0, 0.1, 20
# Time in seconds after a caller's close in which servers stop, and how many may be later.
GONE_S, GONE_SLACK = 0.5, 3
# Part of the requests that have to be served once nothing is disturbed any more.
RECOVERED = 0.25


class Drain(t.NamedTuple):
    """A server reported that it leaves, at a time at which the store was well."""

    server: str
    at: float


def check(
    ledger: Ledger,
    keys: t.Mapping[str, Key],
    rates: t.Mapping[str, tuple[float, float]],
    drains: t.Iterable[Drain],
    calm_from: float,
    timed: bool = True,
) -> list[str]:
    """Return what broke a promise.

    :param rates: requests a second and burst by tenant.
    :param calm_from: time from which nothing was disturbed and recovery is due.
    :param timed: promises with a bound in time are checked too. CI leaves them out, whose verdict
        must not depend on how busy its machine is.
    """
    ended = {one.request_id: one for one in ledger.outcomes}
    found = itertools.chain(
        (note for note in ledger.notes if note.startswith("VIOLATION")),
        _twice(ledger, ended),
        _refused(ledger, ended),
        _mixed(ledger),
        _foreign(ledger, ended, keys),
        _denied(ledger, keys),
    )
    bound_in_time = itertools.chain(
        (note for note in ledger.notes if note.startswith("LATE")),
        _late_keys(ledger, ended, keys),
        _over_rate(ledger, rates),
        _drained(ledger, ended, drains),
        _gone(ledger, ended),
        _recovered(ledger, calm_from),
    )
    return [*found, *(bound_in_time if timed else ())]


def _twice(ledger: Ledger, ended: t.Mapping[str, Outcome]) -> t.Iterator[str]:
    counts = collections.Counter(run.request_id for run in ledger.runs)
    for request_id, count in counts.items():
        outcome = ended.get(request_id)
        if count > 1 and outcome is not None and outcome.unsafe:
            yield f"TWICE {request_id} ran {count} times"


def _refused(ledger: Ledger, ended: t.Mapping[str, Outcome]) -> t.Iterator[str]:
    for run in ledger.runs:
        outcome = ended.get(run.request_id)
        if outcome is not None and outcome.unsafe and outcome.status in NOT_RUN:
            yield f"REFUSED {run.request_id} was answered {outcome.status} and ran at {run.server}"


def _mixed(ledger: Ledger) -> t.Iterator[str]:
    return (f"MIXED {one.request_id}" for one in ledger.outcomes if not one.whole)


def _foreign(
    ledger: Ledger, ended: t.Mapping[str, Outcome], keys: t.Mapping[str, Key]
) -> t.Iterator[str]:
    for run in ledger.runs:
        outcome = ended.get(run.request_id)
        if outcome is not None and run.tenant != keys[outcome.key].tenant:
            yield f"UNASKED {run.request_id} ran for {run.tenant!r}"


def _late_keys(
    ledger: Ledger, ended: t.Mapping[str, Outcome], keys: t.Mapping[str, Key]
) -> t.Iterator[str]:
    for run in ledger.runs:
        outcome = ended.get(run.request_id)
        if outcome is None:
            continue
        revoked_at = keys[outcome.key].revoked_at
        late = revoked_at and outcome.sent_at > revoked_at + REVOKE_S
        start = revoked_at - CONTACT_S
        if late and _in_touch(ledger, outcome.host, start, outcome.sent_at):
            yield f"CONFIG {run.request_id} ran with a key withdrawn {REVOKE_S} s before"


def _over_rate(ledger: Ledger, rates: t.Mapping[str, tuple[float, float]]) -> t.Iterator[str]:
    for tenant, (rate, burst) in rates.items():
        times = sorted(run.at for run in ledger.runs if run.tenant == tenant)
        most = (rate * QUOTA_S + burst) * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK
        first = 0
        for last, at in enumerate(times):
            while times[first] < at - QUOTA_S:
                first += 1
            if last - first + 1 > most:
                yield f"QUOTA {tenant}: {last - first + 1} runs in {QUOTA_S} s, {most:.0f} allowed"
                break


def _drained(
    ledger: Ledger, ended: t.Mapping[str, Outcome], drains: t.Iterable[Drain]
) -> t.Iterator[str]:
    for drain in drains:
        for run in ledger.runs:
            outcome = ended.get(run.request_id)
            if run.server != drain.server or outcome is None or run.at < drain.at + DRAIN_S:
                continue
            start = drain.at - CONTACT_S
            if _in_touch(ledger, outcome.host, start, run.at) and outcome.sent_at > drain.at:
                yield f"DRAIN {run.request_id} ran at {drain.server} {run.at - drain.at:.2f} s late"


def _gone(ledger: Ledger, ended: t.Mapping[str, Outcome]) -> t.Iterator[str]:
    late = []
    for seen in (*ledger.runs, *ledger.ends):
        outcome = ended.get(seen.request_id)
        if outcome is None or not outcome.left or seen.at < outcome.ended_at + GONE_S:
            continue
        start = outcome.sent_at - CONTACT_S
        calm = (ledger.is_calm(what, start, seen.at) for what in (outcome.host, link(seen.server)))
        if all(calm):
            late.append(f"{seen.request_id} at {seen.server} {seen.at - outcome.ended_at:.2f} s")
    if len(late) > GONE_SLACK:
        yield f"GONE {len(late)} begun or still run after the caller's close, the first {late[0]}"


def link(server: str) -> str:
    """Return the name under which the disturbances of a server's link are noted."""
    return f"link to {server}"


def _denied(ledger: Ledger, keys: t.Mapping[str, Key]) -> t.Iterator[str]:
    denied = [
        one
        for one in ledger.outcomes
        if one.status in (400, 401, 403, 404) and not keys[one.key].revoked_at
    ]
    if len(denied) > 5 + len(ledger.outcomes) / 500:
        yield f"DENIED {len(denied)} proper requests, the first {denied[0].request_id}"


def _recovered(ledger: Ledger, calm_from: float) -> t.Iterator[str]:
    after = [
        one for one in ledger.outcomes if one.sent_at >= calm_from and one.status not in (401, 429)
    ]
    served = sum(one.status == 200 for one in after)
    if not after or served < RECOVERED * len(after):
        yield f"RECOVER {served} of {len(after)} requests were served at the end"


def _in_touch(ledger: Ledger, host: str, start: float, end: float) -> bool:
    return ledger.is_calm(host, start, end) and ledger.is_calm("store", start, end)
