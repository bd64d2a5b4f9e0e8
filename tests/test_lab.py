from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import msgspec
import pytest

ROOT = pathlib.Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from bench._policies import POLICIES  # noqa: E402
from bench._simulation import ServiceShape, Shape, Simulation, TrafficShape  # noqa: E402
from bench.lab import EXIT_USAGE, build_report, read_shape  # noqa: E402
from radishbridge.records import Failure, ResultCode  # noqa: E402

SMALL = Shape(
    service=ServiceShape(servers={"east": 4, "west": 4}, slots=4, queue=12, work_s=0.2, keeps=40),
    traffic=TrafficShape(
        per_s={"east": 60.0, "west": 60.0}, objects=80, skew=0.2, aim_s=0.18, deadline_s=1.0
    ),
    hosts=2,
    between_s=0.02,
    seconds=8.0,
)


def run_policy(policy: str, shape: Shape = SMALL, seed: int = 1):
    results = Simulation(shape, POLICIES[policy], seed).run()
    return build_report(policy, results, shape.traffic.aim_s)


class TestSimulation:
    def test_same_seed_gives_same_results(self):
        assert run_policy("steering") == run_policy("steering")
        assert run_policy("steering") != run_policy("steering", seed=2)

    @pytest.mark.parametrize("policy", list(POLICIES))
    def test_each_request_has_exactly_one_result(self, policy):
        report = run_policy(policy)
        parts = report.in_aim + report.late + report.refused + report.failed
        assert parts == pytest.approx(1.0)
        assert report.requests == run_policy("random").requests

    def test_latency_of_idle_system_is_processing_time(self):
        traffic = msgspec.structs.replace(SMALL.traffic, per_s={"east": 2.0, "west": 2.0})
        report = run_policy(
            "steering", msgspec.structs.replace(SMALL, traffic=traffic, seconds=30.0)
        )
        assert report.failed == report.refused == 0.0
        assert 0.05 < report.p50_s < 0.25


class TestPolicies:
    """The load exceeds the servers' capacity unless most objects are warm on them."""

    def test_affinity_to_warm_servers_increases_worth(self):
        assert run_policy("steering").worth > run_policy("nearest").worth > 0.0

    def test_steering_limits_failures_from_unresponsive_servers(self):
        shape = msgspec.structs.replace(SMALL, lost=0.25, lost_at_s=3.0)
        assert run_policy("steering", shape).failed < run_policy("unbounded", shape).failed


class TestPolicyWithPace:
    """Servers' queues last for seconds, and each of many hosts hears of a server only rarely."""

    SHAPE = Shape(
        service=ServiceShape(
            servers={"one": 2, "two": 8, "three": 12},
            slots=9,
            queue=27,
            work_s=1.32,
            keeps=23,
            reports_pace=True,
        ),
        traffic=TrafficShape(
            per_s={"one": 63.0, "two": 63.0, "three": 63.0},
            objects=700,
            skew=0.7,
            aim_s=0.82,
            deadline_s=6.1,
            wave=0.55,
        ),
        hosts=8,
        between_s=0.02,
        seconds=24.0,
        share_interval_s=0.5,
    )

    def in_aim(self, policy: str, shape: Shape = SHAPE) -> float:
        return sum(run_policy(policy, shape, seed).in_aim for seed in (1, 2)) / 2.0

    def test_selection_by_time_serves_more_in_time_than_by_occupancy(self):
        assert self.in_aim("steering") > self.in_aim("occupancy")

    def test_reports_of_other_hosts_help(self):
        alone = msgspec.structs.replace(self.SHAPE, share_interval_s=0.0)
        assert self.in_aim("steering") > self.in_aim("steering", alone) + 0.02

    def test_unheard_servers_fail_few_requests(self):
        shape = msgspec.structs.replace(self.SHAPE, lost=0.15, lost_at_s=6.0)
        reports = {name: run_policy(name, shape) for name in ("steering", "occupancy")}
        assert reports["steering"].failed < 0.8 * reports["occupancy"].failed
        assert reports["steering"].worth > reports["occupancy"].worth


class TestCommandLine:
    @pytest.mark.parametrize("shape", sorted((ROOT / "bench" / "shapes").iterdir()))
    def test_provided_shapes_are_valid(self, shape):
        assert isinstance(read_shape(shape), Shape)

    @pytest.mark.parametrize(
        ("text", "expected_text"), [("{", ""), ('{"hosts": 1}', "service"), ('{"hots": 1}', "hots")]
    )
    def test_invalid_settings_are_rejected_with_field_name(self, tmp_path, text, expected_text):
        path = tmp_path / "shape.jsonc"
        path.write_text(text)
        failure = read_shape(path)
        assert isinstance(failure, Failure)
        assert failure.code in (ResultCode.SETTINGS_INVALID, ResultCode.FILE_UNREADABLE)
        assert expected_text in failure.reason

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "bench.lab", *arguments]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)

    def test_report_is_printed_and_written(self, tmp_path):
        shape, out = tmp_path / "small.jsonc", tmp_path / "out.json"
        shape.write_bytes(msgspec.json.encode(SMALL))
        done = self.run(str(shape), "--seeds", "1", "--policies", "steering", "--json", str(out))
        assert done.returncode == 0
        assert "steering" in done.stdout
        assert json.loads(out.read_text())[0]["policy"] == "steering"

    def test_missing_file_is_a_usage_error(self):
        done = self.run("nowhere.jsonc")
        assert done.returncode == EXIT_USAGE
        assert "nowhere.jsonc" in done.stderr
