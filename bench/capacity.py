"""Works out ``docs/CAPACITY.md`` at the size to design for, from the slopes measured here.

``python -m bench.capacity`` reads ``bench/results/slopes.json`` and rewrites the tables between the
page's markers; ``--check`` only tells whether they are up to date.
"""

from __future__ import annotations

import argparse
import pathlib
import re
import sys
import typing as t

import msgspec

from bench._fit import Slope

RESULTS = pathlib.Path("bench/results/slopes.json")
PAGE = pathlib.Path("docs/CAPACITY.md")
MARKER = "<!-- table {name} -->"

HOSTS = 1_100
DATA_CENTERS = 40
CLIENT_BLOCKS = 2_800_000
LOOKUPS_PER_S = 1_100_000
CHANGES_PER_DAY = 3_500
REPLACED_PER_DAY = 410
# The letter names no number of workspaces; this one is assumed.
WORKSPACES = 4_000
RELAYS_PER_DATA_CENTER = 2
NEAR_HEARTBEAT_S = 2.0
FAR_HEARTBEAT_S = 5.0
RECORD_BYTES = 3_000
DIRECTORY_READ_S = 2.0
STORE_READS_S = 1.0
SHARE_HOLDERS_MAX = 32
SHARE_CALLS_PER_S = 2.0
# bench.shares ways: one workspace at 90 % of its rate, evenly over ten holders.
SHARE_MESSAGES_PER_S = 19.8
BUSY_WORKSPACES = 8
# bench.replica fleet 1100: most bytes that one host sent a second at rest, without headers.
RELAY_PROOF_BYTES_PER_S = 2_296
# bench.lookup: packed texts of the client blocks that the replica keeps.
PACKED_BLOCK_BYTES = 9_200_000
SECONDS_PER_DAY = 86_400
START_CALLS = 4

CORES_MAX = 0.048
MEMORY_MAX_BYTES = 128 * 10**6
BYTES_PER_S_MAX = 9_000
STORE_WRITES_MAX = 300
STORE_READS_MAX = 2_000


class Row(msgspec.Struct, kw_only=True):
    """One line of a table.

    :param limit: the target in the same unit; 0 where there is none.
    """

    what: str
    value: float
    unit: str
    how: str
    limit: float = 0.0

    def line(self) -> str:
        """Return the line in Markdown, marked where it is over its target."""
        target = f"{self.limit:,.4g}" if self.limit else "-"
        state = "" if not self.limit else ("**over**" if self.value > self.limit else "within")
        return f"| {self.what} | {self.value:,.4g} {self.unit} | {target} | {state} | {self.how} |"


class Slopes:
    """The measured slopes by role, quantity and driver."""

    __slots__ = ("slopes",)

    def __init__(self, slopes: list[Slope]) -> None:
        self.slopes = slopes

    def find(self, role: str, quantity: str, driver: str = "") -> Slope:
        """Return the slope of a quantity; raises ``LookupError`` where it was not measured."""
        for slope in self.slopes:
            if (slope.role, slope.quantity) == (role, quantity) and driver in slope.driver:
                return slope
        raise LookupError(f"no slope of {quantity} for {role}")


def near_peers() -> int:
    """Return the other hosts of a data centre."""
    return round(HOSTS / DATA_CENTERS) - 1


def memory_rows(slopes: Slopes) -> list[Row]:
    """Return the memory of a relay, which holds all that other hosts hold and more."""
    base = slopes.find("host", "resident bytes for each host", "one data centre").intercept
    blocks = slopes.find("look-up", "resident bytes").slope * CLIENT_BLOCKS
    state = slopes.find("configuration", "resident bytes").slope * WORKSPACES
    peers = near_peers() + DATA_CENTERS - 1
    mesh = slopes.find("mesh", "resident bytes").slope * peers
    total = base + blocks + PACKED_BLOCK_BYTES + state + mesh
    return [
        Row(what="the process at rest", value=base / 1e6, unit="MB", how="intercept of a host"),
        Row(what="client blocks", value=blocks / 1e6, unit="MB", how="packed columns, bisection"),
        Row(
            what="packed texts of the client blocks",
            value=PACKED_BLOCK_BYTES / 1e6,
            unit="MB",
            how="kept by the replica to pass on",
        ),
        Row(
            what=f"configuration of {WORKSPACES:,} workspaces (assumed)",
            value=state / 1e6,
            unit="MB",
            how="replica with each object's text and its decoded record",
        ),
        Row(
            what=f"{peers} connections", value=mesh / 1e6, unit="MB", how="a task and a queue each"
        ),
        Row(
            what="all of a relay",
            value=total / 1e6,
            unit="MB",
            limit=MEMORY_MAX_BYTES / 1e6,
            how="sum",
        ),
    ]


def traffic_rows(slopes: Slopes) -> list[Row]:
    """Return the bytes of an ordinary host and of a relay for each second."""
    pair = slopes.find("mesh", "wire bytes/s").slope
    near = near_peers() * pair / NEAR_HEARTBEAT_S
    far = (DATA_CENTERS - 1) * pair / FAR_HEARTBEAT_S
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY * RECORD_BYTES
    relayed = changes * (near_peers() + 1)
    shares = SHARE_MESSAGES_PER_S * pair / 2.0
    return [
        Row(
            what="heartbeats in the data centre", value=near, unit="B/s", how="every 2 s, both ways"
        ),
        Row(
            what="changes taken from two relays",
            value=RELAYS_PER_DATA_CENTER * changes,
            unit="B/s",
            how=f"{CHANGES_PER_DAY:,} a day of {RECORD_BYTES:,} bytes",
        ),
        Row(
            what="all of an ordinary host",
            value=near + RELAYS_PER_DATA_CENTER * changes,
            unit="B/s",
            limit=BYTES_PER_S_MAX,
            how="sum without shares",
        ),
        Row(what="a relay's far heartbeats", value=far, unit="B/s", how="every 5 s, both ways"),
        Row(what="a relay's passing on", value=relayed, unit="B/s", how="to each host of its own"),
        Row(
            what="a relay's proofs and digests",
            value=RELAY_PROOF_BYTES_PER_S,
            unit="B/s",
            how="sent, without headers",
        ),
        Row(
            what="all of a relay",
            value=near + far + relayed + RELAY_PROOF_BYTES_PER_S,
            unit="B/s",
            limit=BYTES_PER_S_MAX,
            how="sum without shares",
        ),
        Row(
            what=f"shares of {BUSY_WORKSPACES} busy workspaces on a holder",
            value=BUSY_WORKSPACES * shares,
            unit="B/s",
            limit=BYTES_PER_S_MAX,
            how=f"{SHARE_MESSAGES_PER_S:g} messages a second for each",
        ),
    ]


def processor_rows(slopes: Slopes) -> list[Row]:
    """Return the processor time of control on one host."""
    rest = slopes.find("host", "cores for each host", "one data centre").intercept
    each = slopes.find("mesh", "cores").slope
    near = near_peers() * each / NEAR_HEARTBEAT_S
    far = (DATA_CENTERS - 1) * each / FAR_HEARTBEAT_S
    apply_us = slopes.find("configuration", "microseconds for each record").points[-1].value
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY * apply_us / 1e6
    rank_us = slopes.find("look-up", "microseconds for each look-up").points[-1].value
    lookups = LOOKUPS_PER_S / HOSTS * rank_us / 1e6
    return [
        Row(what="the process at rest", value=100 * rest, unit="%", how="intercept of a host"),
        Row(
            what="heartbeats in the data centre",
            value=100 * near,
            unit="%",
            how="slope of the mesh",
        ),
        Row(what="a relay's far heartbeats", value=100 * far, unit="%", how="slope of the mesh"),
        Row(what="changes", value=100 * changes, unit="%", how="time to take in a record"),
        Row(
            what="control of a relay",
            value=100 * (rest + near + far + changes),
            unit="%",
            limit=100 * CORES_MAX,
            how="sum",
        ),
        Row(
            what="look-ups, the decision alone",
            value=100 * lookups,
            unit="%",
            how=f"{LOOKUPS_PER_S // HOSTS:,} a second on each host; HTTP is not in it",
        ),
    ]


def store_rows(slopes: Slopes) -> list[Row]:
    """Return the calls of the whole fleet for each second."""
    relays = RELAYS_PER_DATA_CENTER * DATA_CENTERS
    reads = relays * (1 / DIRECTORY_READ_S + 1 / STORE_READS_S) + relays
    share_calls = SHARE_HOLDERS_MAX * SHARE_CALLS_PER_S
    restarts = REPLACED_PER_DAY / SECONDS_PER_DAY * START_CALLS
    return [
        Row(
            what="relays: watch, host list, proof of freshness",
            value=reads,
            unit="calls/s",
            limit=STORE_READS_MAX,
            how="two relays a data centre; a watch counts as a call a second",
        ),
        Row(
            what="share table: renewals and reads",
            value=share_calls,
            unit="calls/s",
            limit=STORE_WRITES_MAX,
            how=f"at most {SHARE_HOLDERS_MAX} holders, all on one object",
        ),
        Row(
            what="replacements on an ordinary day",
            value=restarts,
            unit="calls/s",
            how=f"{REPLACED_PER_DAY} a day",
        ),
        *_recovery_rows(relays),
    ]


def _recovery_rows(relays: int) -> list[Row]:
    return [
        Row(
            what="a data centre returns",
            value=HOSTS / DATA_CENTERS * START_CALLS,
            unit="calls at once",
            limit=STORE_READS_MAX,
            how="each host lists once and reads the list of hosts",
        ),
        Row(
            what="after an outage of an hour",
            value=2 * relays + SHARE_HOLDERS_MAX,
            unit="calls in the first second",
            limit=STORE_READS_MAX,
            how="only relays and holders retry, with jitter",
        ),
    ]


def slope_lines(slopes: Slopes) -> list[str]:
    """Return the table of the slopes themselves."""
    return [
        "| role | quantity | driver | slope | intercept | residual | points |",
        "|---|---|---|---|---|---|---|",
        *(
            f"| {one.role} | {one.quantity} | {one.driver} | {one.slope:.4g} | "
            f"{one.intercept:.4g} | {100 * one.residual:.1f} % | "
            + ", ".join(f"{point.driver:g}: {point.value:.4g}" for point in one.points)
            + " |"
            for one in slopes.slopes
        ),
    ]


def render(page: str, slopes: Slopes) -> str:
    """Return the page with its tables written anew."""
    tables: dict[str, list[str]] = {"slopes": slope_lines(slopes)}
    makers: dict[str, t.Callable[[Slopes], list[Row]]] = {
        "memory": memory_rows,
        "traffic": traffic_rows,
        "processor": processor_rows,
        "store": store_rows,
    }
    head = ["| what | value | target | | how it is worked out |", "|---|---|---|---|---|"]
    tables |= {
        name: [*head, *(row.line() for row in make(slopes))] for name, make in makers.items()
    }
    for name, lines in tables.items():
        marker = re.escape(MARKER.format(name=name))
        body = f"{MARKER.format(name=name)}\n{chr(10).join(lines)}\n{MARKER.format(name='end')}"
        pattern = f"{marker}\n.*?{re.escape(MARKER.format(name='end'))}"
        page = re.sub(pattern, body.replace("\\", r"\\"), page, flags=re.DOTALL)
    return page


def main() -> None:
    """Rewrite the page, or check it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    slopes = Slopes(msgspec.json.decode(RESULTS.read_bytes(), type=list[Slope]))
    before = PAGE.read_text(encoding="utf-8")
    after = render(before, slopes)
    if parser.parse_args().check:
        sys.exit(0 if before == after else "docs/CAPACITY.md is out of date: run make capacity")
    PAGE.write_text(after, encoding="utf-8")


if __name__ == "__main__":
    main()
