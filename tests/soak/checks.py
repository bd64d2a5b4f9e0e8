"""Checks of the promises against what callers and backend servers observed."""

from __future__ import annotations

import collections
import itertools
import typing as t

from soak.callers import Key
from soak.history import (
    NOT_EXECUTED_STATUSES,
    Arrival,
    History,
    Notice,
    Outcome,
    process_name,
)

# Time bounds set by the operators, plus the time that a request may still wait at its server.
DRAIN_BOUND_S = 2.5
REVOCATION_BOUND_S = 5.0
CONTACT_BOUND_S = 3.0
# A rate holds over a window, with a relative overage and an absolute slack.
RATE_WINDOW_S, RATE_OVERAGE, RATE_SLACK_REQUESTS = 5.0, 0.1, 20
# Time within which servers stop executing requests whose caller disconnected, and how many may
# take longer.
CANCELLATION_BOUND_S, CANCELLATION_SLACK_REQUESTS = 0.5, 3
# Time after a server has asked for a pause in which requests may still reach it, and the number of
# requests of one host that may reach it in the rest of the pause.
PAUSE_NOTICED_BOUND_S, PAUSE_SLACK_REQUESTS = 0.5, 2
# Minimum fraction of the requests that succeed once nothing is disturbed any more.
RECOVERED_FRACTION_MIN = 0.25


class Drain(t.NamedTuple):
    """A server's report that it is draining, at a time at which the store was undisturbed."""

    server: str
    at: float


def check(
    history: History,
    keys: t.Mapping[str, Key],
    rates: t.Mapping[str, tuple[float, float]],
    drains: t.Iterable[Drain],
    undisturbed_from: float,
    check_timing: bool = True,
) -> list[str]:
    """Return the broken promises, each as a code with its details.

    :param rates: requests per second and burst by tenant.
    :param undisturbed_from: time from which nothing is disturbed and the fleet must have recovered.
    :param check_timing: whether to check the promises with a time bound too. CI doesn't, so that
        its result does not depend on the load of its machine.
    """
    outcome_by_tag = {outcome.tag: outcome for outcome in history.outcomes}
    always_checked = itertools.chain(
        (note for note in history.notes if note.startswith("VIOLATION")),
        _executed_twice(history, outcome_by_tag),
        _executed_though_refused(history, outcome_by_tag),
        _executed_unasked(history, outcome_by_tag),
        _mixed_responses(history),
        _executed_for_other_tenant(history, outcome_by_tag, keys),
        _wrongly_denied(history, keys),
    )
    time_bounded = itertools.chain(
        (note for note in history.notes if note.startswith("LATE")),
        _executed_with_revoked_key(history, outcome_by_tag, keys),
        _executed_over_rate(history, rates),
        _executed_on_drained_server(history, outcome_by_tag, drains),
        _executed_after_disconnect(history, outcome_by_tag),
        _sent_to_leaving_server(history, outcome_by_tag),
        _sent_to_paused_server(history, outcome_by_tag),
        _not_recovered(history, undisturbed_from),
    )
    return [*always_checked, *(time_bounded if check_timing else ())]


def _executed_twice(history: History, outcome_by_tag: t.Mapping[str, Outcome]) -> t.Iterator[str]:
    counts = collections.Counter(execution.tag for execution in history.executions)
    for tag, count in counts.items():
        outcome = outcome_by_tag.get(tag)
        if count > 1 and outcome is not None and outcome.unsafe:
            yield f"TWICE {tag} (id {outcome.request_id!r}) ran {count} times"


def _executed_though_refused(
    history: History, outcome_by_tag: t.Mapping[str, Outcome]
) -> t.Iterator[str]:
    for execution in history.executions:
        outcome = outcome_by_tag.get(execution.tag)
        if outcome is not None and outcome.status in NOT_EXECUTED_STATUSES:
            yield (
                f"REFUSED {execution.tag} (id {outcome.request_id!r}, "
                f"{'unsafe' if outcome.unsafe else 'safe'}) was answered {outcome.status} by "
                f"{outcome.host} and ran at {execution.server}, "
                f"{execution.at - outcome.ended_at:+.3f} s from the answer"
            )


def _executed_unasked(history: History, outcome_by_tag: t.Mapping[str, Outcome]) -> t.Iterator[str]:
    for execution in history.executions:
        if execution.tag not in outcome_by_tag:
            yield f"UNASKED {execution.tag!r} ran at {execution.server} and nobody sent it"


def _mixed_responses(history: History) -> t.Iterator[str]:
    return (f"MIXED {outcome.tag}" for outcome in history.outcomes if not outcome.is_intact)


def _executed_for_other_tenant(
    history: History, outcome_by_tag: t.Mapping[str, Outcome], keys: t.Mapping[str, Key]
) -> t.Iterator[str]:
    for execution in history.executions:
        outcome = outcome_by_tag.get(execution.tag)
        if outcome is not None and execution.tenant != keys[outcome.key].tenant:
            yield f"UNASKED {execution.tag} ran for {execution.tenant!r}"


def _executed_with_revoked_key(
    history: History, outcome_by_tag: t.Mapping[str, Outcome], keys: t.Mapping[str, Key]
) -> t.Iterator[str]:
    for execution in history.executions:
        outcome = outcome_by_tag.get(execution.tag)
        if outcome is None:
            continue
        revoked_at = keys[outcome.key].revoked_at
        late = revoked_at and outcome.sent_at > revoked_at + REVOCATION_BOUND_S
        start = revoked_at - CONTACT_BOUND_S
        if late and _had_store_contact(history, outcome.host, start, outcome.sent_at):
            yield (
                f"CONFIG {execution.tag} ran with a key revoked more than "
                f"{REVOCATION_BOUND_S} s before"
            )


def _executed_over_rate(
    history: History, rates: t.Mapping[str, tuple[float, float]]
) -> t.Iterator[str]:
    for tenant, (rate, burst) in rates.items():
        times = sorted(
            execution.at for execution in history.executions if execution.tenant == tenant
        )
        limit = (rate * RATE_WINDOW_S + burst) * (1.0 + RATE_OVERAGE) + RATE_SLACK_REQUESTS
        first = 0
        for last, at in enumerate(times):
            while times[first] < at - RATE_WINDOW_S:
                first += 1
            if last - first + 1 > limit:
                yield (
                    f"QUOTA {tenant}: {last - first + 1} executions in {RATE_WINDOW_S} s, "
                    f"{limit:.0f} allowed"
                )
                break


def _executed_on_drained_server(
    history: History, outcome_by_tag: t.Mapping[str, Outcome], drains: t.Iterable[Drain]
) -> t.Iterator[str]:
    for drain in drains:
        for execution in history.executions:
            outcome = outcome_by_tag.get(execution.tag)
            if (
                execution.server != drain.server
                or outcome is None
                or execution.at < drain.at + DRAIN_BOUND_S
            ):
                continue
            start = drain.at - CONTACT_BOUND_S
            if (
                _had_store_contact(history, outcome.host, start, execution.at)
                and outcome.sent_at > drain.at
            ):
                yield (
                    f"DRAIN {execution.tag} ran at {drain.server} "
                    f"{execution.at - drain.at:.2f} s after its drain"
                )


def _executed_after_disconnect(
    history: History, outcome_by_tag: t.Mapping[str, Outcome]
) -> t.Iterator[str]:
    late = []
    for event in (*history.executions, *history.execution_ends):
        outcome = outcome_by_tag.get(event.tag)
        if (
            outcome is None
            or not outcome.caller_disconnected
            or event.at < outcome.ended_at + CANCELLATION_BOUND_S
        ):
            continue
        start = outcome.sent_at - CONTACT_BOUND_S
        undisturbed = (
            history.is_undisturbed(component, start, event.at)
            for component in (outcome.host, link_name(event.server))
        )
        if all(undisturbed):
            late.append(f"{event.tag} at {event.server} {event.at - outcome.ended_at:.2f} s")
    if len(late) > CANCELLATION_SLACK_REQUESTS:
        yield f"GONE {len(late)} executions after the caller disconnected, the first {late[0]}"


def _sent_to_leaving_server(
    history: History, outcome_by_tag: t.Mapping[str, Outcome]
) -> t.Iterator[str]:
    """Find requests to a server that were sent after their host had passed on that it leaves."""
    passed_on: dict[tuple[str, str, int], float] = {}
    for notice in history.notices:
        outcome = outcome_by_tag.get(notice.tag)
        if notice.pause_s or outcome is None or not outcome.status:
            continue
        key = (outcome.host, notice.server, notice.incarnation)
        passed_on[key] = min(outcome.ended_at, passed_on.get(key, outcome.ended_at))
    for host, arrival, sent_at in _arrivals_by_host(history, outcome_by_tag):
        at = passed_on.get((host, arrival.server, arrival.incarnation))
        if at is None or sent_at <= at + DRAIN_BOUND_S:
            continue
        if history.is_undisturbed(process_name(host), at, arrival.at):
            yield (
                f"DRAIN {arrival.tag} of {host} reached {arrival.server} "
                f"{sent_at - at:.2f} s after it said that it leaves"
            )


def _sent_to_paused_server(
    history: History, outcome_by_tag: t.Mapping[str, Outcome]
) -> t.Iterator[str]:
    """Find pauses in which more than two requests of the host reached the server."""
    arrivals: dict[tuple[str, str, int], list[Arrival]] = collections.defaultdict(list)
    for host, arrival, _ in _arrivals_by_host(history, outcome_by_tag):
        arrivals[host, arrival.server, arrival.incarnation].append(arrival)
    for notice in history.notices:
        outcome = outcome_by_tag.get(notice.tag)
        if not notice.pause_s or outcome is None:
            continue
        early = [
            arrival
            for arrival in arrivals[outcome.host, notice.server, notice.incarnation]
            if notice.at + PAUSE_NOTICED_BOUND_S < arrival.at < notice.at + notice.pause_s
        ]
        if len(early) > PAUSE_SLACK_REQUESTS and _could_notice(history, outcome.host, notice):
            yield (
                f"BUDGET {len(early)} requests of {outcome.host} reached {notice.server} in a "
                f"pause of {notice.pause_s:.2f} s, the first {early[0].tag}"
            )


def _could_notice(history: History, host: str, notice: Notice) -> bool:
    end = notice.at + notice.pause_s
    return all(
        history.is_undisturbed(component, notice.at, end)
        for component in (process_name(host), link_name(notice.server))
    )


def _arrivals_by_host(
    history: History, outcome_by_tag: t.Mapping[str, Outcome]
) -> t.Iterator[tuple[str, Arrival, float]]:
    """Return arrivals with the host that sent the request and the time the caller sent it."""
    for arrival in history.arrivals:
        outcome = outcome_by_tag.get(arrival.tag)
        if outcome is not None:
            yield outcome.host, arrival, outcome.sent_at


def link_name(server: str) -> str:
    """Return the name under which disturbances of the link to a server are recorded."""
    return f"link to {server}"


def _wrongly_denied(history: History, keys: t.Mapping[str, Key]) -> t.Iterator[str]:
    denied = [
        outcome
        for outcome in history.outcomes
        if outcome.status in (400, 401, 403, 404) and not keys[outcome.key].revoked_at
    ]
    if len(denied) > 5 + len(history.outcomes) / 500:
        yield f"DENIED {len(denied)} valid requests, the first {denied[0].tag}"


def _not_recovered(history: History, undisturbed_from: float) -> t.Iterator[str]:
    after = [
        outcome
        for outcome in history.outcomes
        if outcome.sent_at >= undisturbed_from and outcome.status not in (401, 429)
    ]
    served = sum(outcome.status == 200 for outcome in after)
    if not after or served < RECOVERED_FRACTION_MIN * len(after):
        yield f"RECOVER {served} of {len(after)} requests were served at the end"


def _had_store_contact(history: History, host: str, start: float, end: float) -> bool:
    return history.is_undisturbed(host, start, end) and history.is_undisturbed("store", start, end)
