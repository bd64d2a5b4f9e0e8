"""``explain-request``: where hosts on the users' platform would send a request now."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import typing as t
import urllib.parse

import cappa
import msgspec

from radishbridge.client.console import flatten, format_table
from radishbridge.client.context import Context
from radishbridge.client.exit_codes import ExitCode
from radishbridge.records import Failure, RequestExplanation, ResultCode, is_address

# Header that carries the caller's key to the host; the query would show it in logs of proxies.
KEY_HEADER = "Explain-Key"


class HostAnswer(msgspec.Struct, kw_only=True):
    """The answer of one host.

    :param explanation: ``None`` if the host did not respond.
    :param error: why it did not respond.
    """

    address: str
    explanation: RequestExplanation | None = None
    error: str = ""


class Comparison(msgspec.Struct, kw_only=True):
    """The answers of all hosts.

    :param differences: fields in which hosts that responded differ, with the value by address.
    """

    hosts: list[HostAnswer]
    differences: dict[str, dict[str, str]]


@cappa.command(name="explain-request")
@dataclasses.dataclass(slots=True)
class ExplainRequest:
    """Explain where hosts on the users' platform would send a request; it is not sent."""

    method: t.Annotated[str, cappa.Arg(help="Method of the request.")]
    url: t.Annotated[str, cappa.Arg(help="URL of the request.")]
    host: t.Annotated[
        list[str], cappa.Arg(long=True, help="IP:port of a host's metrics address; repeatable.")
    ]
    key: t.Annotated[str, cappa.Arg(long=True, help="Key of the caller; never shown.")] = ""
    workspace: t.Annotated[str, cappa.Arg(long=True, help="Workspace instead of a key.")] = ""
    object: t.Annotated[str, cappa.Arg(long=True, help="Affinity key of the request.")] = ""
    request_id: t.Annotated[
        str, cappa.Arg(long="request-id", help="Id of the request; decides on split traffic.")
    ] = ""

    async def run(self, context: Context) -> int:
        """Run the command and return its exit code."""
        failure = self._check()
        if failure is not None:
            return context.console.fail([failure])
        params = {
            "method": self.method.upper(),
            "url": self.url,
            "workspace": self.workspace,
            "object": self.object,
            "request_id": self.request_id,
        }
        headers = {KEY_HEADER: self.key} if self.key else {}
        results = await asyncio.gather(
            *(
                context.fleet.fetch_from(
                    address, "/v1/explain", RequestExplanation, params, headers
                )
                for address in self.host
            )
        )
        failures = [result for result in results if isinstance(result, Failure)]
        if len(failures) == len(results):
            return context.console.fail(failures)
        comparison = compare(self.host, results)
        context.console.print_result(comparison, _format(comparison))
        return ExitCode.DEGRADED if failures else ExitCode.OK

    def _check(self) -> Failure | None:
        if not self.host:
            return Failure(ResultCode.USAGE, "name at least one host", field="--host")
        wrong = next((address for address in self.host if not is_address(address)), None)
        if wrong is not None:
            return Failure(ResultCode.USAGE, f"{wrong} is not IP:port", field="--host")
        if self.key and self.workspace:
            return Failure(ResultCode.USAGE, "give a key or a workspace", field="--workspace")
        if not _names_host(self.url):
            return Failure(ResultCode.USAGE, "the URL names no host", field="URL")
        return None


def _names_host(url: str) -> bool:
    try:
        return bool(urllib.parse.urlsplit(url).hostname)
    except ValueError:
        return False


def compare(
    addresses: t.Sequence[str], results: t.Sequence[RequestExplanation | Failure]
) -> Comparison:
    """Return the answers of hosts, and the fields in which they differ."""
    answers = [
        (
            HostAnswer(address=address, error=result.reason)
            if isinstance(result, Failure)
            else HostAnswer(address=address, explanation=result)
        )
        for address, result in zip(addresses, results, strict=True)
    ]
    rows = {
        answer.address: _compared_fields(answer.explanation)
        for answer in answers
        if answer.explanation is not None
    }
    names = next(iter(rows.values()), {}).keys()
    differences = {
        name: {address: fields[name] for address, fields in rows.items()}
        for name in names
        if len({fields[name] for fields in rows.values()}) > 1
    }
    return Comparison(hosts=answers, differences=differences)


def _compared_fields(explanation: RequestExplanation) -> dict[str, str]:
    passed_over = sorted(
        f"{one.server}: {one.verdict}"
        for one in explanation.servers
        if one.verdict not in ("chosen", "eligible")
    )
    homes = explanation.home_regions
    return {
        "code": str(explanation.code),
        "configuration": str(explanation.configuration_version),
        "route": explanation.route,
        "service": explanation.service,
        "versions": "; ".join(",".join(group) or "all" for group in explanation.versions),
        "home regions": "all" if homes is None else ",".join(homes),
        "server": explanation.chosen,
        "passed over": ", ".join(passed_over),
    }


def _format(comparison: Comparison) -> list[str]:
    blocks = [_format_answer(answer) for answer in comparison.hosts]
    lines = flatten(itertools.chain.from_iterable(([block, [""]]) for block in blocks))[:-1]
    if len(comparison.hosts) < 2:
        return lines
    if not comparison.differences:
        return [*lines, "", "no differences"]
    rows = [
        (name, address, value)
        for name, by_address in comparison.differences.items()
        for address, value in by_address.items()
    ]
    return [*lines, "", *format_table(("DIFFERENCE", "HOST", "VALUE"), rows)]


def _format_answer(answer: HostAnswer) -> list[str]:
    explanation = answer.explanation
    if explanation is None:
        return [f"{answer.address}: {answer.error}"]
    if explanation.code:
        known = explanation.code in list(ResultCode)
        name = ResultCode(explanation.code).name if known else "newer"
        outcome = f"would be refused: error {explanation.code} ({name}): {explanation.reason}"
    else:
        outcome = f"would go to {explanation.chosen}"
    fields = _compared_fields(explanation)
    ages, rate = explanation.ages, explanation.rate
    summary = "none" if ages.summary_s is None else f"{ages.summary_s:.1f} s old"
    store = "answers" if ages.reaches_store else "does not answer"
    shown = {
        **{name: fields[name] for name in ("configuration", "route", "service", "versions")},
        "home regions": fields["home regions"],
        "admitted in the home region": (
            f"{explanation.admitted_fraction:.0%}" if explanation.admitted_fraction < 1.0 else ""
        ),
        "workspace": explanation.workspace,
        "rate": "" if rate is None else _format_rate(rate.per_s, rate.burst, rate.tokens),
        "data": f"summary {summary}, store {store}",
    }
    rows = [
        (
            one.server,
            one.region,
            one.data_center,
            one.version,
            one.place,
            f"{one.in_flight}/{one.slots}",
            f"{one.occupancy:.2f}",
            "none" if one.load_age_s is None else f"{one.load_age_s:.1f}",
            one.verdict,
        )
        for one in explanation.servers
    ]
    headers = ("SERVER", "REGION", "DATA CENTRE", "VERSION", "PLACE", "IN FLIGHT", "OCCUPANCY")
    table = format_table((*headers, "LOAD AGE_S", "VERDICT"), rows) if rows else []
    lines = [f"{name}: {value}" for name, value in shown.items() if value]
    return [f"{explanation.host}: {outcome}", *lines, *table]


def _format_rate(per_s: float, burst: float, tokens: float | None) -> str:
    if not per_s:
        return "no limit"
    left = "unknown here" if tokens is None else f"{tokens:g} left at this host"
    return f"{per_s:g} per second, burst {burst:g}; {left}"
