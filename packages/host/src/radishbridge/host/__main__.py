"""Runs ``radishbridged`` as ``python -m radishbridge.host``."""

from __future__ import annotations

from radishbridge.host.command import main

main()
