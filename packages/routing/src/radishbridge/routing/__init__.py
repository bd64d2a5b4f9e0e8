"""Choice of region and backend server for each request."""

from __future__ import annotations

from radishbridge.routing.protocol import AttemptOutcome, Permit, Router, ServiceRoute
from radishbridge.routing.router import LocalRouter

__all__ = ["AttemptOutcome", "LocalRouter", "Permit", "Router", "ServiceRoute"]
