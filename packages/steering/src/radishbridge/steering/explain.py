"""Explains which server a request would go to now, by the code that chooses it."""

from __future__ import annotations

import contextlib
import copy
import itertools
import typing as t

from radishbridge.steering.exclusions import find_unsuitable, find_unusable
from radishbridge.steering.load import Limits, has_room_in_time
from radishbridge.steering.selector import (
    FALLBACK_OCCUPANCY_LIMIT,
    SERVERS_PER_OBJECT,
    Selector,
    ServerCriteria,
    _occupancy_limit,
)
from radishbridge.steering.servers import ServerState

CHOSEN = "chosen"
ELIGIBLE = "eligible"
EJECTED = "ejected"
SILENT = "silent"
PAUSED = "paused"
FULL = "full"
COLD = "cold"


class Candidate(t.NamedTuple):
    """A server of the service, and what decides on it now.

    :param verdict: ``chosen``, ``eligible``, or why the server is passed over.
    :param place: id of its place; empty if the service's objects are ranked by server name.
    """

    state: ServerState
    verdict: str
    place: str


class ChoiceExplanation(t.NamedTuple):
    """The decision on a request.

    :param criteria: those by which the server was chosen, or the first ones if there is none.
    :param chosen: the server; ``None`` if the request would be refused.
    :param candidates: the service's servers, the ones of the ranking first and in its order.
    """

    criteria: ServerCriteria
    chosen: ServerState | None
    candidates: list[Candidate]


def explain_choice(
    selector: Selector, by_preference: t.Sequence[ServerCriteria], now: float
) -> ChoiceExplanation:
    """Return what ``Selector.choose`` decides now, without taking a cold server's turn.

    :param by_preference: criteria in order of preference, at least one.
    """
    for criteria in by_preference:
        with _unchanged_slow_start(selector):
            chosen = selector.preview(criteria, (), now).state
        if chosen is not None:
            break
    else:
        criteria = by_preference[0]
    ranking = selector._ranking(criteria)
    limits = itertools.chain(
        itertools.repeat(_occupancy_limit(criteria.rank), SERVERS_PER_OBJECT),
        itertools.repeat(FALLBACK_OCCUPANCY_LIMIT),
    )
    verdicts = [
        (
            state,
            (
                CHOSEN
                if state is chosen
                else _passed_over(selector, criteria, state, position, limit, now)
            ),
        )
        for position, (state, limit) in enumerate(zip(ranking, limits, strict=False))
    ]
    ranked = set(ranking)
    excluded = [
        (state, _exclusion(selector, criteria, state))
        for state in selector.states.values()
        if state.server.service == criteria.service and state not in ranked
    ]
    book = selector.places.books.get(criteria.service)
    candidates = [
        Candidate(state, verdict, (book.place_id(state.server.name) or "") if book else "")
        for state, verdict in verdicts + excluded
    ]
    return ChoiceExplanation(criteria, chosen, candidates)


@contextlib.contextmanager
def _unchanged_slow_start(selector: Selector) -> t.Iterator[None]:
    # Choosing a cold server counts a request to it; here it is counted on a copy.
    original = selector.slow_start
    selector.slow_start = copy.copy(original)
    selector.slow_start.next_at = dict(original.next_at)
    try:
        yield
    finally:
        selector.slow_start = original


def _passed_over(
    selector: Selector,
    criteria: ServerCriteria,
    state: ServerState,
    position: int,
    limit: float,
    now: float,
) -> str:
    median_s = selector.median_latencies.get(criteria.service, 0.0)
    if state.is_ejected(now):
        return EJECTED
    if state.is_silent(median_s, now):
        return SILENT
    if state.is_paused(now):
        return PAUSED
    if _is_full(selector, criteria, state, position, limit, now):
        return FULL
    with _unchanged_slow_start(selector):
        return ELIGIBLE if selector._admits(state, now) else COLD


def _is_full(
    selector: Selector,
    criteria: ServerCriteria,
    state: ServerState,
    position: int,
    limit: float,
    now: float,
) -> bool:
    load = selector.loads.get(criteria.service)
    if load is None or not load.is_known:
        return state.occupancy(now) >= limit
    key = criteria.key if criteria.has_affinity else ""
    estimate = load.estimate(state, min(position, SERVERS_PER_OBJECT), key, now)
    limits = Limits(criteria.target_s, criteria.remaining_s, criteria.rank)
    return not has_room_in_time(estimate, limits)


def _exclusion(selector: Selector, criteria: ServerCriteria, state: ServerState) -> str:
    exclusion = find_unusable(state, selector.drained) or find_unsuitable(
        state, criteria.home_regions, criteria.versions, criteria.names
    )
    return ELIGIBLE if exclusion is None else exclusion.value
