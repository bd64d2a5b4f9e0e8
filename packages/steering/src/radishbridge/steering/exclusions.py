"""Why a server is no candidate for a request, whatever its load."""

from __future__ import annotations

import enum

from radishbridge.steering.servers import ServerState


class Exclusion(enum.Enum):
    """The first reason for which a server is no candidate."""

    DRAINING = "draining"
    LEAVING = "leaving"
    DATA_CENTER_DRAINED = "data centre drained"
    HOME_REGION = "excluded by home"
    VERSION = "other version"
    VERSION_SHARE = "not in the version's share"


def find_unusable(state: ServerState, drained: frozenset[str]) -> Exclusion | None:
    """Return why a server takes no requests at all; ``None`` if it does.

    :param drained: data centres that get no requests.
    """
    if state.server.draining:
        return Exclusion.DRAINING
    if state.is_leaving:
        return Exclusion.LEAVING
    return Exclusion.DATA_CENTER_DRAINED if state.server.data_center in drained else None


def find_unsuitable(
    state: ServerState,
    home_regions: frozenset[str] | None,
    versions: frozenset[str] | None,
    names: frozenset[str] | None,
) -> Exclusion | None:
    """Return why a server may not run a request; ``None`` if it may.

    :param home_regions: the only regions that may run it; ``None`` for all.
    :param versions: the only versions that may run it; ``None`` for all.
    :param names: the only servers that may run it; ``None`` for all.
    """
    server = state.server
    if home_regions is not None and server.region not in home_regions:
        return Exclusion.HOME_REGION
    if versions is not None and server.version not in versions:
        return Exclusion.VERSION
    return Exclusion.VERSION_SHARE if names is not None and server.name not in names else None
