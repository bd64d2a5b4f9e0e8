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
from bench._served import Play, ServiceShape, Shape, TrafficShape  # noqa: E402
from bench.lab import EXIT_USAGE, measure, read_shape  # noqa: E402
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


def play(policy: str, shape: Shape = SMALL, seed: int = 1):
    ended = Play(shape, POLICIES[policy], seed).run()
    return measure(policy, ended, shape.traffic.aim_s)


class TestModel:
    def test_a_seed_plays_the_same_each_time(self):
        assert play("steering") == play("steering")
        assert play("steering") != play("steering", seed=2)

    @pytest.mark.parametrize("policy", list(POLICIES))
    def test_each_request_ends_once(self, policy):
        found = play(policy)
        parts = found.in_aim + found.late + found.refused + found.failed
        assert parts == pytest.approx(1.0)
        assert found.requests == play("random").requests

    def test_an_idle_system_answers_at_the_speed_of_its_runs(self):
        traffic = msgspec.structs.replace(SMALL.traffic, per_s={"east": 2.0, "west": 2.0})
        found = play("steering", msgspec.structs.replace(SMALL, traffic=traffic, seconds=30.0))
        assert found.failed == found.refused == 0.0
        assert 0.05 < found.p50_s < 0.25


class TestRanking:
    """Load pattern: servers bear their load only while they know their objects."""

    def test_objects_that_keep_their_servers_are_served_sooner(self):
        assert play("steering").worth > play("nearest").worth > 0.0

    def test_silent_servers_cost_less_than_without_the_decisions_on_them(self):
        shape = msgspec.structs.replace(SMALL, lost=0.25, lost_at_s=3.0)
        assert play("steering", shape).failed < play("unbounded", shape).failed


class TestTool:
    @pytest.mark.parametrize("shape", sorted((ROOT / "bench" / "shapes").iterdir()))
    def test_shapes_can_be_read(self, shape):
        assert isinstance(read_shape(shape), Shape)

    @pytest.mark.parametrize(
        ("text", "told"), [("{", ""), ('{"hosts": 1}', "service"), ('{"hots": 1}', "hots")]
    )
    def test_settings_that_are_wrong_are_refused_with_the_field(self, tmp_path, text, told):
        path = tmp_path / "shape.jsonc"
        path.write_text(text)
        failure = read_shape(path)
        assert isinstance(failure, Failure)
        assert failure.code in (ResultCode.SETTINGS_INVALID, ResultCode.FILE_UNREADABLE)
        assert told in failure.reason

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "bench.lab", *arguments]
        return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120)

    def test_a_report(self, tmp_path):
        shape, out = tmp_path / "small.jsonc", tmp_path / "out.json"
        shape.write_bytes(msgspec.json.encode(SMALL))
        done = self.run(str(shape), "--seeds", "1", "--policies", "steering", "--json", str(out))
        assert done.returncode == 0
        assert "steering" in done.stdout
        assert json.loads(out.read_text())[0]["policy"] == "steering"

    def test_a_missing_file(self):
        done = self.run("nowhere.jsonc")
        assert done.returncode == EXIT_USAGE
        assert "nowhere.jsonc" in done.stderr
