"""Lost value of one day by cause, kind of request, data centre and time.

    python -m bench.losses REPORT [--log LOG] [--json] [--picture FILE]

``REPORT`` is what the users' bench writes with ``--report``; ``LOG`` is its output with
``--log all``, which contains the hosts' own log lines. Without them the reasons of refusals are
unknown. Reports count all requests; log lines are sampled, so that their counts only compare.
"""

from __future__ import annotations

import argparse
import collections
import json
import pathlib
import re
import sys
import typing as t

import msgspec

# A host's line of a request in the output of the bench: the line's JSON object follows a prefix.
_REQUEST_LINE = re.compile(r"\{.*\"request\".*\}")


class Row(msgspec.Struct, kw_only=True):
    """Outcomes of the requests of one group.

    :param group: ``kind``, ``data centre``, ``second`` or ``day``.
    :param name: name of the kind or data centre, or first second of the window.
    :param value: share of the owed value that was earned, 0 to 1.
    """

    group: str
    name: str
    requests: int
    in_time: int
    late: int
    refused: int
    failed: int
    value: float

    @property
    def lost(self) -> dict[str, float]:
        """Shares of the requests that were late, refused and failed."""
        total = max(1, self.requests)
        return {
            "late": self.late / total,
            "refused": self.refused / total,
            "failed": self.failed / total,
        }


class Losses(msgspec.Struct, kw_only=True):
    """Where the value of a day was lost.

    :param rows: outcomes by group.
    :param prices: the prices that were taken off, by name, as shares of the day's value.
    :param refusals: log lines of refused or failed requests, by service and reason.
    """

    rows: list[Row]
    prices: dict[str, float]
    refusals: dict[str, dict[str, int]] = {}


def read_report(text: str) -> Losses:
    """Return the losses that a report of the bench shows."""
    report = json.loads(text)
    groups = (
        ("day", [report["all"]]),
        ("kind", report["classes"]),
        ("data centre", report["zones"]),
        ("second", report["windows"]),
    )
    return Losses(
        rows=[_read_row(group, counts) for group, entries in groups for counts in entries],
        prices={name: price for name, _, price in report["prices"] if price > 0.0005},
    )


def read_refusals(lines: t.Iterable[str]) -> dict[str, dict[str, int]]:
    """Count the hosts' log lines of requests that were not served, by service and reason."""
    refusals: dict[str, collections.Counter[str]] = {}
    for line in lines:
        match = _REQUEST_LINE.search(line)
        if match is None:
            continue
        try:
            fields = json.loads(match.group())
        except ValueError:
            continue
        if fields.get("code"):
            service = str(fields.get("service") or "none")
            refusals.setdefault(service, collections.Counter())[str(fields.get("reason"))] += 1
    return {service: dict(counts.most_common()) for service, counts in refusals.items()}


def format_table(losses: Losses) -> str:
    """Return the losses as text, the worst group of each sort first, seconds in their order."""
    lines = [f"{'':12}{'':22}{'requests':>9}{'in time':>9}{'late':>7}{'refused':>9}{'failed':>8}"]
    for row in sorted(losses.rows, key=_row_order):
        in_time = row.in_time / max(1, row.requests)
        late, refused, failed = row.lost.values()
        lines.append(
            f"{row.group:12}{row.name:22}{row.requests:>9}{in_time:>9.3f}{late:>7.3f}"
            f"{refused:>9.3f}{failed:>8.3f}  value {row.value:.3f}"
        )
    lines += [f"price {price:.4f}  {name}" for name, price in _by_size(losses.prices)]
    for service, reasons in losses.refusals.items():
        lines += [f"refused {service}: {count} {reason}" for reason, count in _by_size(reasons)]
    return "\n".join(lines)


def draw(losses: Losses, file: pathlib.Path) -> None:
    """Write a picture of the outcomes by time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = [row for row in losses.rows if row.group == "second"]
    figure, axes = pyplot.subplots(figsize=(9.0, 4.0))
    bottom = [0.0] * len(rows)
    for cause in ("failed", "refused", "late"):
        shares = [row.lost[cause] for row in rows]
        axes.bar([row.name for row in rows], shares, bottom=bottom, label=cause)
        bottom = [low + share for low, share in zip(bottom, shares, strict=True)]
    axes.set_xlabel("second of the day")
    axes.set_ylabel("share of requests")
    axes.legend()
    figure.savefig(file)


def _read_row(group: str, counts: dict[str, t.Any]) -> Row:
    return Row(
        group=group,
        name=str(counts["name"]),
        requests=counts["n"],
        in_time=counts["in_aim"],
        late=counts["late"],
        refused=counts["refused"],
        failed=counts["failed"],
        value=counts["worth"],
    )


def _row_order(row: Row) -> tuple[str, float]:
    return row.group, float(row.name) if row.group == "second" else row.value


def _by_size(counts: t.Mapping[str, float]) -> list[tuple[str, float]]:
    return sorted(counts.items(), key=lambda item: -item[1])


def main() -> None:
    """Print the losses of a day."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("report", type=pathlib.Path)
    parser.add_argument("--log", type=pathlib.Path)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--picture", type=pathlib.Path)
    arguments = parser.parse_args()
    losses = read_report(arguments.report.read_text())
    if arguments.log is not None:
        with arguments.log.open(errors="replace") as lines:
            losses.refusals = read_refusals(lines)
    if arguments.picture is not None:
        draw(losses, arguments.picture)
    text = msgspec.json.encode(losses).decode() if arguments.json else format_table(losses)
    sys.stdout.write(text + "\n")


if __name__ == "__main__":
    main()
