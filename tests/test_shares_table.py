from __future__ import annotations

import pytest
from shares_scenarios import cut_off, world_with_divided_units
from shares_world import WORKSPACE

from radishbridge.peers import Peer, TokenRequest, TokenTransfer, UnitLoan
from radishbridge.records import Failure, ResultCode
from radishbridge.shares import (
    TABLE_KIND,
    TABLE_NAME,
    TOTAL_UNITS,
    CapacityRequest,
    Holder,
    HolderKey,
    ShareLease,
    ShareTable,
    ShareTimes,
    decode_table,
    encode_table,
)


class TestTable:
    """Guards against malformed or oversized share tables."""

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"[]",
            b'{"holders": [{"name": "a"}]}',
            b'{"holders": [{"name": "a", "incarnation": 1, "renewals": 1, "units": -1}]}',
            b'{"holders": [{"name": "a", "incarnation": 1, "renewals": 1, "units": 1000001}]}',
            b'{"holders": [{"name": "a", "incarnation": 1, "renewals": 1, "units": 1},'
            b'{"name": "a", "incarnation": 1, "renewals": 2, "units": 1}]}',
        ],
    )
    def test_malformed_is_refused(self, value: bytes) -> None:
        table = decode_table(value)
        assert isinstance(table, Failure)
        assert table.code is ResultCode.RECORD_INVALID

    def test_thirty_two_holders_fit_in_a_value(self) -> None:
        holders = [
            Holder(name=f"host-{index}", incarnation=2**62, renewals=2**40, units=31_250)
            for index in range(32)
        ]
        assert len(encode_table(ShareTable(epoch=2**40, holders=holders))) < 10_000

    def test_full_table_takes_no_more_holders(self) -> None:
        lease = ShareLease(HolderKey("late", 1), ShareTimes())
        holders = [
            Holder(name=f"host-{index}", incarnation=1, renewals=1, units=31_250)
            for index in range(32)
        ]
        lease.observe(ShareTable(holders=holders), 0.0, 0.0)
        assert lease.plan_renewal(0.0) is None

    def test_malformed_table_is_not_overwritten(self) -> None:
        world = world_with_divided_units(2)
        world.store.write(TABLE_KIND, TABLE_NAME, b"{}x", world.store.revision)
        revision = world.store.revision
        world.run(12.0)
        assert world.store.revision == revision


class TestOutage:
    """Guards against hosts losing or duplicating units while the store is unreachable."""

    def test_all_keep_their_units_while_the_store_is_down(self) -> None:
        world = world_with_divided_units(4)
        for host in world.hosts.values():
            host.client.reachable = False
        world.run(60.0)
        assert sum(host.units() for host in world.hosts.values()) == TOTAL_UNITS

    def test_the_others_keep_theirs_when_one_crashes_meanwhile(self) -> None:
        world = world_with_divided_units(4)
        for host in world.hosts.values():
            host.client.reachable = False
        world.run(10.0)
        world.crash("host-1")
        world.run(60.0)
        assert [host.units() for host in world.hosts.values()] == [250_000] * 3

    def test_host_cut_off_from_all_stops_and_the_others_take_over(self) -> None:
        world = world_with_divided_units(4)
        cut_off(world, "host-1")
        world.run(14.0)
        assert [host.units() for host in world.hosts.values()] == [0, 333_333, 333_333, 333_333]

    def test_promises_for_half_of_the_units_are_not_enough(self) -> None:
        world = world_with_divided_units(4)
        for host in world.hosts.values():
            host.client.reachable = False
        world.crash("host-1")
        world.crash("host-2")
        world.run(12.0)
        assert [host.units() for host in world.hosts.values()] == [0, 0]


class TestExchange:
    """Guards against accounts changed by malformed, duplicated or misdirected messages."""

    def transfer(self, **fields: object) -> TokenTransfer:
        values = {
            "quantity": WORKSPACE,
            "request_id": 1,
            "amount": 1.0,
            "deadline": 0.0,
            "pieces": [UnitLoan(units=1000, valid_s=1.0)],
            "asker": 1,
        }
        return TokenTransfer(**(values | fields))  # type: ignore[arg-type]

    @pytest.mark.parametrize(
        ("fields", "borrowed"),
        [
            ({}, 1000),
            ({"asker": 9}, 0),
            ({"request_id": 9}, 0),
            ({"quantity": "other"}, 0),
            ({"amount": float("nan")}, 0),
            ({"amount": -1.0}, 0),
            ({"pieces": [UnitLoan(units=-5, valid_s=1.0)]}, 0),
            ({"pieces": [UnitLoan(units=TOTAL_UNITS + 1, valid_s=1.0)]}, 0),
            ({"pieces": [UnitLoan(units=10, valid_s=float("inf"))]}, 0),
            ({"pieces": [UnitLoan(units=1, valid_s=1.0)] * 17}, 0),
        ],
    )
    def test_only_valid_answers_to_a_pending_request_are_applied(
        self, fields: dict[str, object], borrowed: int
    ) -> None:
        world = world_with_divided_units(2)
        host = world.hosts["host-1"]
        host.admission.exchange._send(
            "host-2", WORKSPACE, CapacityRequest("host-2", 1000, 0.0), 0, host.clock()
        )
        for _ in range(2):
            host.admission.exchange.on_transfer(Peer("host-2", "r", "d"), self.transfer(**fields))
        assert sum(loan.units for loan in host.account.borrowed_loans) == borrowed

    @pytest.mark.parametrize(("units", "lent"), [(-7, 0), (10**12, 500_000), (1000, 1000)])
    def test_request_is_answered_once_and_within_what_is_held(self, units: int, lent: int) -> None:
        world = world_with_divided_units(2)
        host = world.hosts["host-2"]
        request = TokenRequest(
            quantity=WORKSPACE, request_id=1, amount=0.0, deadline=0.0, units=units, asker=1
        )
        for _ in range(2):
            host.admission.exchange.on_request(Peer("host-1", "r", "d"), request)
        assert host.account.lent_units() == lent
