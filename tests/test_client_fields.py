from __future__ import annotations

import typing as t

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishbridge.client import compare_specs, three_way_merge

VALUES = st.one_of(st.integers(0, 3), st.text("ab", max_size=2), st.lists(st.integers(0, 2)))
SPECS = st.recursive(
    st.dictionaries(st.sampled_from("xyz"), VALUES, max_size=3),
    lambda inner: st.dictionaries(st.sampled_from("xyz"), VALUES | inner, max_size=3),
    max_leaves=6,
)
DETERMINISTIC = settings(derandomize=True, deadline=None)


class TestMerge:
    @DETERMINISTIC
    @given(SPECS, SPECS)
    def test_applies_a_change_of_one_side(self, base: t.Any, changed: t.Any) -> None:
        assert three_way_merge(base, changed, base) == changed
        assert three_way_merge(base, base, changed) == changed

    @DETERMINISTIC
    @given(SPECS, SPECS, SPECS)
    def test_a_merge_loses_no_change(self, base: t.Any, theirs: t.Any, yours: t.Any) -> None:
        merged = three_way_merge(base, theirs, yours)
        if isinstance(merged, list):
            swapped = three_way_merge(base, yours, theirs)
            assert isinstance(swapped, list)
            assert set(swapped) == set(merged)
            return
        merged_values = {change.field: change.new for change in compare_specs(base, merged)}
        for side in (theirs, yours):
            for change in compare_specs(base, side):
                if change.new:
                    assert merged_values[change.field] == change.new

    def test_items_of_a_list_are_merged_by_name(self) -> None:
        base = {"backends": [{"name": "a", "slots": 4}, {"name": "b", "slots": 4}]}
        theirs = {"backends": [{"name": "a", "slots": 5}, {"name": "b", "slots": 4}]}
        yours = {"backends": [{"name": "a", "slots": 4}, {"name": "b", "slots": 6}]}
        merged = {"backends": [{"name": "a", "slots": 5}, {"name": "b", "slots": 6}]}
        assert three_way_merge(base, theirs, yours) == merged

    def test_names_the_fields_in_conflict(self) -> None:
        base = {"routes": [{"prefix": "/a", "open": False}], "kept": 1}
        theirs = {"routes": [{"prefix": "/a", "open": True}], "kept": 1}
        yours: dict[str, t.Any] = {"routes": [{"prefix": "/a"}], "kept": 2}
        assert three_way_merge(base, theirs, yours) == ["routes[/a].open"]


class TestCompare:
    @pytest.mark.parametrize(
        ("old", "new", "lines"),
        [
            ({"a": 1}, {"a": 1}, []),
            ({"a": 1}, {"a": 2}, ["- a: 1", "+ a: 2"]),
            ({}, {"a": {"b": None}}, ["+ a.b: null"]),
            (
                {"l": [{"name": "x", "n": 1}]},
                {"l": []},
                ["- l[x].n: 1", '- l[x].name: "x"', "+ l: []"],
            ),
        ],
    )
    def test_shows_each_field(
        self, old: dict[str, t.Any], new: dict[str, t.Any], lines: list[str]
    ) -> None:
        shown = [line for change in compare_specs(old, new) for line in change.format_lines()]
        assert sorted(shown) == sorted(lines)
