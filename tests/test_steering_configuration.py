from __future__ import annotations

import pytest
from steering_world import make_route

from radishbridge.steering import Configuration, WeightedService, WorkspaceRule


class TestConfiguration:
    @pytest.fixture
    def configuration(self) -> Configuration:
        return Configuration(
            7,
            [make_route(name="short", prefix="/a/"), make_route(name="long", prefix="/a/b/")],
            [],
        )

    @pytest.mark.parametrize(
        ("host", "path", "name"),
        [
            ("one.example", "/a/x", "short"),
            ("one.example", "/a/b/x", "long"),
            ("one.example", "/a/b", "short"),
            ("one.example", "/b/", None),
            ("two.example", "/a/x", None),
        ],
    )
    def test_the_longest_matching_prefix_of_the_host_wins(self, configuration, host, path, name):
        route = configuration.match(host, path)
        assert (route.name if route else None) == name

    @pytest.mark.parametrize(
        ("route_regions", "workspace_regions", "allowed"),
        [
            ((), (), None),
            (("east",), (), {"east"}),
            ((), ("west",), {"west"}),
            (("east", "west"), ("west",), {"west"}),
            (("east",), ("west",), set()),
        ],
    )
    def test_only_home_regions_of_both_route_and_workspace_are_allowed(
        self, route_regions, workspace_regions, allowed
    ):
        workspace = WorkspaceRule(name="school", home_regions=frozenset(workspace_regions))
        route = make_route(home_regions=frozenset(route_regions))
        configuration = Configuration(1, [route], [], [workspace])
        assert configuration.allowed_regions(route, "school") == allowed


class TestTrafficSplit:
    @pytest.mark.parametrize(
        ("point", "service"), [(0.0, "a"), (0.29, "a"), (0.31, "b"), (0.9999, "b")]
    )
    def test_the_cumulative_weights_decide_the_service(self, point, service):
        route = make_route(services=(WeightedService("a", 30.0), WeightedService("b", 70.0)))
        assert route.pick_service(point) == service


class TestPriorities:
    @pytest.mark.parametrize(
        ("route", "workspace", "rank"),
        [
            ("urgent", "plain", 0),
            ("usual", "plain", 1),
            ("urgent", "late", 2),
            ("usual", "late", 3),
        ],
    )
    def test_a_workspaces_priority_takes_precedence_over_a_routes(self, route, workspace, rank):
        routes = {
            name: make_route(name=name, prefix=f"/{name}/", priority=priority)
            for name, priority in (("urgent", 1), ("usual", 2))
        }
        configuration = Configuration(
            1,
            routes.values(),
            [],
            [WorkspaceRule(name="plain"), WorkspaceRule(name="late", priority=3)],
        )
        assert configuration.rank("catalogue", routes[route], workspace) == rank

    def test_priorities_of_other_services_do_not_count(self):
        other = make_route(name="other", prefix="/o/", services=(WeightedService("orders", 1.0),))
        route = make_route(priority=7)
        assert Configuration(1, [other, route], []).rank("catalogue", route, "") == 0
