"""Computes the tables of ``docs/CAPACITY.md`` for the design size from the measured slopes.

``python -m bench.capacity`` reads ``bench/results/slopes.json`` and rewrites the tables between the
page's markers. ``--check`` only checks whether they are up to date.
"""

from __future__ import annotations

import argparse
import pathlib
import re
import sys
import typing as t

import msgspec

from bench._fit import Slope

RESULTS_PATH = pathlib.Path("bench/results/slopes.json")
PAGE_PATH = pathlib.Path("docs/CAPACITY.md")
MARKER = "<!-- table {name} -->"

HOSTS = 1_100
DATA_CENTERS = 40
CLIENT_BLOCKS = 2_800_000
LOOKUPS_PER_S = 1_100_000
CHANGES_PER_DAY = 3_500
REPLACED_HOSTS_PER_DAY = 410
# The brief gives no number of workspaces; this is an assumption.
WORKSPACES = 4_000
RELAYS_PER_DATA_CENTER = 2
LOCAL_HEARTBEAT_INTERVAL_S = 2.0
REMOTE_HEARTBEAT_INTERVAL_S = 5.0
RECORD_BYTES = 3_000
HOST_LIST_READ_INTERVAL_S = 2.0
FRESHNESS_PROOF_INTERVAL_S = 1.0
SHARE_HOLDERS_MAX = 32
SHARE_CALLS_PER_HOLDER_PER_S = 2.0
# From "bench.shares ways": one workspace at 90 % of its rate, spread evenly over ten holders.
SHARE_MESSAGES_PER_WORKSPACE_PER_S = 19.8
BUSY_WORKSPACES = 8
# From "bench/replica.py fleet 1100": most bytes per second sent by an idle host, without headers.
RELAY_PROOF_BYTES_PER_S = 2_296
# From "bench/lookup.py": packed texts of the client blocks in the replica.
PACKED_BLOCK_BYTES = 9_200_000
SECONDS_PER_DAY = 86_400
STORE_CALLS_PER_START = 4

CONTROL_CORES_MAX = 0.048
MEMORY_BYTES_MAX = 128 * 10**6
CONTROL_BYTES_PER_S_MAX = 9_000
STORE_WRITES_PER_S_MAX = 300
STORE_READS_PER_S_MAX = 2_000


class Row(msgspec.Struct, kw_only=True):
    """One row of a table.

    :param derivation: how the value is computed.
    :param limit: target in the unit of the value; 0 if there is none.
    """

    quantity: str
    value: float
    unit: str
    derivation: str
    limit: float = 0.0

    def to_markdown(self) -> str:
        """Return the row in Markdown, marked if the value is over its target."""
        target = f"{self.limit:,.4g}" if self.limit else "-"
        state = "" if not self.limit else ("**over**" if self.value > self.limit else "within")
        return (
            f"| {self.quantity} | {self.value:,.4g} {self.unit} | {target} | {state} | "
            f"{self.derivation} |"
        )


class Slopes:
    """The measured slopes by role, quantity and driver."""

    __slots__ = ("slopes",)

    def __init__(self, slopes: list[Slope]) -> None:
        self.slopes = slopes

    def find(self, role: str, quantity: str, driver: str = "") -> Slope:
        """Return the slope of a quantity.

        :param driver: text that the driver's name must contain.
        :raises LookupError: if the quantity wasn't measured.
        """
        for slope in self.slopes:
            if (slope.role, slope.quantity) == (role, quantity) and driver in slope.driver:
                return slope
        raise LookupError(f"no slope of {quantity} for {role}")


def local_peers() -> int:
    """Return the number of other hosts in a host's data centre."""
    return round(HOSTS / DATA_CENTERS) - 1


def memory_rows(slopes: Slopes) -> list[Row]:
    """Return the memory of a relay, which holds everything that other hosts hold and more."""
    base = slopes.find("host", "resident bytes for each host", "one data centre").intercept
    blocks = slopes.find("look-up", "resident bytes").slope * CLIENT_BLOCKS
    state = slopes.find("configuration", "resident bytes").slope * WORKSPACES
    peers = local_peers() + DATA_CENTERS - 1
    mesh = slopes.find("mesh", "resident bytes").slope * peers
    total = base + blocks + PACKED_BLOCK_BYTES + state + mesh
    return [
        Row(
            quantity="the process at rest",
            value=base / 1e6,
            unit="MB",
            derivation="intercept of a host",
        ),
        Row(
            quantity="client blocks",
            value=blocks / 1e6,
            unit="MB",
            derivation="packed columns, bisection",
        ),
        Row(
            quantity="packed texts of the client blocks",
            value=PACKED_BLOCK_BYTES / 1e6,
            unit="MB",
            derivation="kept by the replica to pass on",
        ),
        Row(
            quantity=f"configuration of {WORKSPACES:,} workspaces (assumed)",
            value=state / 1e6,
            unit="MB",
            derivation="replica with each object's text and its decoded record",
        ),
        Row(
            quantity=f"{peers} connections",
            value=mesh / 1e6,
            unit="MB",
            derivation="a task and a queue each",
        ),
        Row(
            quantity="all of a relay",
            value=total / 1e6,
            unit="MB",
            limit=MEMORY_BYTES_MAX / 1e6,
            derivation="sum",
        ),
    ]


def traffic_rows(slopes: Slopes) -> list[Row]:
    """Return the bytes per second of an ordinary host and of a relay."""
    bytes_per_peer_per_s = slopes.find("mesh", "wire bytes/s").slope
    local = local_peers() * bytes_per_peer_per_s / LOCAL_HEARTBEAT_INTERVAL_S
    remote = (DATA_CENTERS - 1) * bytes_per_peer_per_s / REMOTE_HEARTBEAT_INTERVAL_S
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY * RECORD_BYTES
    relayed = changes * (local_peers() + 1)
    shares = SHARE_MESSAGES_PER_WORKSPACE_PER_S * bytes_per_peer_per_s / 2.0
    return [
        Row(
            quantity="heartbeats in the data centre",
            value=local,
            unit="B/s",
            derivation="every 2 s, both ways",
        ),
        Row(
            quantity="changes taken from two relays",
            value=RELAYS_PER_DATA_CENTER * changes,
            unit="B/s",
            derivation=f"{CHANGES_PER_DAY:,} a day of {RECORD_BYTES:,} bytes",
        ),
        Row(
            quantity="all of an ordinary host",
            value=local + RELAYS_PER_DATA_CENTER * changes,
            unit="B/s",
            limit=CONTROL_BYTES_PER_S_MAX,
            derivation="sum without shares",
        ),
        Row(
            quantity="a relay's far heartbeats",
            value=remote,
            unit="B/s",
            derivation="every 5 s, both ways",
        ),
        Row(
            quantity="a relay's passing on",
            value=relayed,
            unit="B/s",
            derivation="to each host of its own",
        ),
        Row(
            quantity="a relay's proofs and digests",
            value=RELAY_PROOF_BYTES_PER_S,
            unit="B/s",
            derivation="sent, without headers",
        ),
        Row(
            quantity="all of a relay",
            value=local + remote + relayed + RELAY_PROOF_BYTES_PER_S,
            unit="B/s",
            limit=CONTROL_BYTES_PER_S_MAX,
            derivation="sum without shares",
        ),
        Row(
            quantity=f"shares of {BUSY_WORKSPACES} busy workspaces on a holder",
            value=BUSY_WORKSPACES * shares,
            unit="B/s",
            limit=CONTROL_BYTES_PER_S_MAX,
            derivation=f"{SHARE_MESSAGES_PER_WORKSPACE_PER_S:g} messages a second for each",
        ),
    ]


def processor_rows(slopes: Slopes) -> list[Row]:
    """Return the processor time of control tasks and look-ups on one host."""
    idle_cores = slopes.find("host", "cores for each host", "one data centre").intercept
    cores_per_peer = slopes.find("mesh", "cores").slope
    local = local_peers() * cores_per_peer / LOCAL_HEARTBEAT_INTERVAL_S
    remote = (DATA_CENTERS - 1) * cores_per_peer / REMOTE_HEARTBEAT_INTERVAL_S
    apply_us = slopes.find("configuration", "microseconds for each record").points[-1].value
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY * apply_us / 1e6
    rank_us = slopes.find("look-up", "microseconds for each look-up").points[-1].value
    lookups = LOOKUPS_PER_S / HOSTS * rank_us / 1e6
    return [
        Row(
            quantity="the process at rest",
            value=100 * idle_cores,
            unit="%",
            derivation="intercept of a host",
        ),
        Row(
            quantity="heartbeats in the data centre",
            value=100 * local,
            unit="%",
            derivation="slope of the mesh",
        ),
        Row(
            quantity="a relay's far heartbeats",
            value=100 * remote,
            unit="%",
            derivation="slope of the mesh",
        ),
        Row(
            quantity="changes", value=100 * changes, unit="%", derivation="time to take in a record"
        ),
        Row(
            quantity="control of a relay",
            value=100 * (idle_cores + local + remote + changes),
            unit="%",
            limit=100 * CONTROL_CORES_MAX,
            derivation="sum",
        ),
        Row(
            quantity="look-ups, the decision alone",
            value=100 * lookups,
            unit="%",
            derivation=f"{LOOKUPS_PER_S // HOSTS:,} a second on each host; HTTP is not in it",
        ),
    ]


def store_rows(slopes: Slopes) -> list[Row]:
    """Return the store calls per second of the whole fleet."""
    relays = RELAYS_PER_DATA_CENTER * DATA_CENTERS
    reads = relays * (1 / HOST_LIST_READ_INTERVAL_S + 1 / FRESHNESS_PROOF_INTERVAL_S) + relays
    share_calls = SHARE_HOLDERS_MAX * SHARE_CALLS_PER_HOLDER_PER_S
    restarts = REPLACED_HOSTS_PER_DAY / SECONDS_PER_DAY * STORE_CALLS_PER_START
    return [
        Row(
            quantity="relays: watch, host list, proof of freshness",
            value=reads,
            unit="calls/s",
            limit=STORE_READS_PER_S_MAX,
            derivation="two relays a data centre; a watch counts as a call a second",
        ),
        Row(
            quantity="share table: renewals and reads",
            value=share_calls,
            unit="calls/s",
            limit=STORE_WRITES_PER_S_MAX,
            derivation=f"at most {SHARE_HOLDERS_MAX} holders, all on one object",
        ),
        Row(
            quantity="replacements on an ordinary day",
            value=restarts,
            unit="calls/s",
            derivation=f"{REPLACED_HOSTS_PER_DAY} a day",
        ),
        *_recovery_rows(relays),
    ]


def _recovery_rows(relays: int) -> list[Row]:
    return [
        Row(
            quantity="a data centre returns",
            value=HOSTS / DATA_CENTERS * STORE_CALLS_PER_START,
            unit="calls at once",
            limit=STORE_READS_PER_S_MAX,
            derivation="each host lists once and reads the list of hosts",
        ),
        Row(
            quantity="after an outage of an hour",
            value=2 * relays + SHARE_HOLDERS_MAX,
            unit="calls in the first second",
            limit=STORE_READS_PER_S_MAX,
            derivation="only relays and holders retry, with jitter",
        ),
    ]


def slope_lines(slopes: Slopes) -> list[str]:
    """Return the Markdown lines of the table of slopes."""
    return [
        "| role | quantity | driver | slope | intercept | residual | points |",
        "|---|---|---|---|---|---|---|",
        *(
            f"| {slope.role} | {slope.quantity} | {slope.driver} | {slope.slope:.4g} | "
            f"{slope.intercept:.4g} | {100 * slope.residual:.1f} % | "
            + ", ".join(f"{point.driver:g}: {point.value:.4g}" for point in slope.points)
            + " |"
            for slope in slopes.slopes
        ),
    ]


def render(page: str, slopes: Slopes) -> str:
    """Return the page with its tables replaced."""
    tables: dict[str, list[str]] = {"slopes": slope_lines(slopes)}
    row_makers: dict[str, t.Callable[[Slopes], list[Row]]] = {
        "memory": memory_rows,
        "traffic": traffic_rows,
        "processor": processor_rows,
        "store": store_rows,
    }
    head = ["| what | value | target | | how it is worked out |", "|---|---|---|---|---|"]
    tables |= {
        name: [*head, *(row.to_markdown() for row in make_rows(slopes))]
        for name, make_rows in row_makers.items()
    }
    for name, lines in tables.items():
        marker = re.escape(MARKER.format(name=name))
        body = f"{MARKER.format(name=name)}\n{chr(10).join(lines)}\n{MARKER.format(name='end')}"
        pattern = f"{marker}\n.*?{re.escape(MARKER.format(name='end'))}"
        page = re.sub(pattern, body.replace("\\", r"\\"), page, flags=re.DOTALL)
    return page


def main() -> None:
    """Rewrite the page, or check that it is up to date."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    slopes = Slopes(msgspec.json.decode(RESULTS_PATH.read_bytes(), type=list[Slope]))
    before = PAGE_PATH.read_text(encoding="utf-8")
    after = render(before, slopes)
    if parser.parse_args().check:
        sys.exit(0 if before == after else "docs/CAPACITY.md is out of date: run make capacity")
    PAGE_PATH.write_text(after, encoding="utf-8")


if __name__ == "__main__":
    main()
