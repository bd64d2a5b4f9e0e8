"""Runs ``radishbridge`` as ``python -m radishbridge.client``."""

from __future__ import annotations

from radishbridge.client.command import main

main()
