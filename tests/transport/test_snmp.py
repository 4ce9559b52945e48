"""The MIB compiles, and a walk of the agent returns exactly the objects that the MIB defines."""

import asyncio

import pytest
from pysmi.codegen import PySnmpCodeGen
from pysmi.compiler import MibCompiler
from pysmi.parser import SmiStarParser
from pysmi.reader import FileReader
from pysmi.searcher import StubSearcher
from pysmi.writer import PyFileWriter
from pysnmp.carrier.asyncio.dgram import udp
from pysnmp.entity import config, engine
from pysnmp.entity.rfc3413 import ntfrcv
from pysnmp.hlapi.v3arch.asyncio import (
    CommunityData,
    ContextData,
    ObjectIdentity,
    ObjectType,
    SnmpEngine,
    UdpTransportTarget,
    set_cmd,
    walk_cmd,
)
from pysnmp.proto.rfc1902 import OctetString
from pysnmp.smi.builder import DirMibSource, MibBuilder
from pysnmp.smi.compiler import add_mib_compiler

from hazelbend.transport.snmp import hazelbend_mib
from tests.support.site_kit import ROOT, running_app, wait_until

COMMUNITY = "reading-room"


@pytest.fixture(scope="module")
def mib(tmp_path_factory):
    """The symbols of HAZELBEND-MIB, compiled from its source."""
    folder = tmp_path_factory.mktemp("mibs")
    compiler = MibCompiler(SmiStarParser(), PySnmpCodeGen(), PyFileWriter(str(folder)))
    compiler.add_sources(FileReader(str(ROOT / "mibs")), FileReader(str(ROOT / "tests/base_mibs")))
    compiler.add_searchers(StubSearcher(*PySnmpCodeGen.baseMibs))
    compiled = compiler.compile("HAZELBEND-MIB", rebuild=True)
    assert compiled["HAZELBEND-MIB"] == "compiled", compiled
    builder = MibBuilder()
    builder.add_mib_sources(DirMibSource(str(folder)))
    builder.load_texts = True
    builder.load_modules("HAZELBEND-MIB")
    return {
        name: symbol
        for name, symbol in builder.mibSymbols["HAZELBEND-MIB"].items()
        if hasattr(symbol, "name")
    }


def enable(folder, notify=""):
    lines = ["enabled = true", 'listen = "127.0.0.1:0"', f'community = "{COMMUNITY}"', f"notify = [{notify}]"]
    (folder / "snmp.toml").write_text("\n".join(lines))


def run_on_site(folder, check):
    enable(folder)

    async def run():
        async with running_app(folder, server_count=2, stomp="") as (app, _):
            await check(app)

    asyncio.run(run())


def new_manager():
    """Return a manager's engine that uses local MIBs only; by default pysnmp would download them."""
    manager = SnmpEngine()
    add_mib_compiler(manager.get_mib_builder(), sources=[f"file://{ROOT}/tests/base_mibs"])
    return manager


async def walk(port, community=COMMUNITY, oid=hazelbend_mib.BASE):
    manager, values = new_manager(), {}
    target = await UdpTransportTarget.create(("127.0.0.1", port), timeout=0.5, retries=0)
    start = ObjectType(ObjectIdentity(oid))
    async for error, status, _, rows in walk_cmd(
        manager, CommunityData(community), target, ContextData(), start
    ):
        if error or status:
            values["error"] = str(error or status)
            break
        values |= {tuple(row[0]): row[1] for row in rows}
    manager.close_dispatcher()
    return values


def test_walk_returns_every_object_of_the_mib_with_its_type(tmp_path, mib):
    async def check(app):
        values = await walk(app.agent.port)
        assert "error" not in values
        readable = {
            symbol.name: symbol
            for symbol in mib.values()
            if getattr(symbol, "maxAccess", "") in ("readonly", "read-only")
        }
        seen = {oid[: len(name)] for oid in values for name in readable if oid[: len(name)] == name}
        assert seen == set(readable), "the MIB and the agent differ in their objects"
        assert len(values) == len(
            [oid for oid in values if any(oid[: len(name)] == name for name in readable)]
        )
        for oid, value in values.items():
            [syntax] = [symbol.syntax for name, symbol in readable.items() if oid[: len(name)] == name]
            assert syntax.tagSet == value.tagSet, oid
        names = {str(value) for oid, value in values.items() if oid[:-1] == (*hazelbend_mib.SERVER_ENTRY, 2)}
        assert names == {"toy-0", "toy-1"}
        assert list(values) == sorted(values)
        system = await walk(app.agent.port, oid=hazelbend_mib.SYSTEM)
        assert any(oid[:-1] == (*hazelbend_mib.SYSTEM, 3) for oid in system), "sysUpTime"

    run_on_site(tmp_path, check)


def test_counters_have_the_values_of_the_overview(mib):
    from hazelbend.decisions.interface import Outcome
    from hazelbend.routing.overview import ClassFigures, Figures, Overview
    from hazelbend.routing.ports import Verdict

    verdicts = {verdict: 10 + number for number, verdict in enumerate(Verdict)}
    outcomes = {outcome: 20 + number for number, outcome in enumerate(Outcome)}
    figures = Figures(
        (ClassFigures("nearby", 31, 32, 33), ClassFigures("reserve", 34, 35, 36)), 40, 41, 42, 43,
        {"names.stale": 51, "names.queries": 52, "waiting.jobs": 53, "waiting.cancelled": 54,
         "waiting.longest_ms.reserve": 55},
    )  # fmt: skip
    fronts = {"edge": 3, "boxes": 1}
    view = Overview("n", 5_000_000, "leaving", 100, 7, verdicts, figures, outcomes, (), (), fronts)
    values = {
        oid: int(value)
        for oid, value in hazelbend_mib.object_values(view).items()
        if not isinstance(value, OctetString)
    }
    expected = {
        "hbUpTime": 500, "hbState": 2, "hbFlowsTaken": 100, "hbFlowsServed": 10, "hbFlowsFailed": 12,
        "hbFlowsAbandoned": 7, "hbSchedulingsError": 20, "hbSchedulingsServed": 21,
        "hbSchedulingsNotSent": 27,
        "hbSchedulingsConnectFailed": 24, "hbEdgeConnections": 3, "hbStompConnections": 0, "hbStompBoxes": 1,
        "hbFlowsOpen": 41, "hbForwards": 40, "hbDiscovered": 42, "hbEjected": 43,
        "hbNamesStale": 51, "hbNamesQueries": 52, "hbNamesFollowed": 0, "hbWaitingJobs": 53,
        "hbWaitingCancelled": 54, "hbWaitingReleased": 0,
    }  # fmt: skip
    assert {name: values[(*mib[name].name, 0)] for name in expected} == expected
    columns = ("hbClassSucceeded", "hbClassDeclined", "hbClassAborted", "hbClassLongest")
    assert [[values[(*mib[name].name, row)] for name in columns] for row in (1, 2)] == [
        [31, 32, 33, 0], [34, 35, 36, 55]
    ]  # fmt: skip


def test_unknown_community_gets_nothing_and_writes_are_rejected(tmp_path):
    async def check(app):
        assert "error" in await walk(app.agent.port, "public")
        assert "error" in await walk(app.agent.port, "public", hazelbend_mib.SYSTEM)
        manager = new_manager()
        target = await UdpTransportTarget.create(("127.0.0.1", app.agent.port), timeout=0.5, retries=0)
        name = ObjectType(ObjectIdentity((*hazelbend_mib.OBJECTS, 1, 1, 0)), OctetString("x"))
        error, status, *_ = await set_cmd(manager, CommunityData(COMMUNITY), target, ContextData(), name)
        assert error or status
        manager.close_dispatcher()

    run_on_site(tmp_path, check)


def test_targets_are_notified_of_a_server_going_down_and_up(tmp_path, mib):
    async def listen():
        notifications, receiver = [], engine.SnmpEngine()
        transport = udp.UdpAsyncioTransport().open_server_mode(("127.0.0.1", 0))
        await transport._lport
        config.add_transport(receiver, udp.DOMAIN_NAME, transport)
        config.add_v1_system(receiver, "anyone", COMMUNITY)
        ntfrcv.NotificationReceiver(
            receiver, lambda *given: notifications.append({tuple(name): value for name, value in given[4]})
        )
        return notifications, receiver, transport.transport.get_extra_info("sockname")[1]

    async def run():
        notifications, receiver, port = await listen()
        enable(tmp_path, f'"127.0.0.1:{port}"')
        async with running_app(tmp_path, stomp="") as (app, _):
            app.router.set_manual_drain("toy-0", True)
            await wait_until(lambda: len(notifications) == 1)
            app.router.set_manual_drain("toy-0", False)
            await wait_until(lambda: len(notifications) == 2)
        receiver.close_dispatcher()
        kinds = [tuple(notification[(1, 3, 6, 1, 6, 3, 1, 1, 4, 1, 0)]) for notification in notifications]
        assert kinds == [mib["hbServerDown"].name, mib["hbServerUp"].name]
        assert all(
            str(notification[(*mib["hbServerName"].name, 1)]) == "toy-0" for notification in notifications
        )

    asyncio.run(run())
