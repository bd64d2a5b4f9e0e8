"""Stand-ins for the platform's object API and for backend servers, for the demo and tests."""

from __future__ import annotations
