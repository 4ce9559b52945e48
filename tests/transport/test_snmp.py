"""The MIB compiles, and a walk of the agent gives what the MIB says, nothing more and nothing less."""

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
from tests.support.site_kit import ROOT, site, wait_until

COMMUNITY = "reading-room"


@pytest.fixture(scope="module")
def mib(tmp_path_factory):
    """The symbols of HAZELBEND-MIB, compiled from its text."""
    folder = tmp_path_factory.mktemp("mibs")
    compiler = MibCompiler(SmiStarParser(), PySnmpCodeGen(), PyFileWriter(str(folder)))
    compiler.add_sources(FileReader(str(ROOT / "mibs")), FileReader(str(ROOT / "tests/base_mibs")))
    compiler.add_searchers(StubSearcher(*PySnmpCodeGen.baseMibs))
    done = compiler.compile("HAZELBEND-MIB", rebuild=True)
    assert done["HAZELBEND-MIB"] == "compiled", done
    builder = MibBuilder()
    builder.add_mib_sources(DirMibSource(str(folder)))
    builder.load_texts = True
    builder.load_modules("HAZELBEND-MIB")
    return {name: each for name, each in builder.mibSymbols["HAZELBEND-MIB"].items() if hasattr(each, "name")}


def enable(folder, notify=""):
    lines = ["enabled = true", 'listen = "127.0.0.1:0"', f'community = "{COMMUNITY}"', f"notify = [{notify}]"]
    (folder / "snmp.toml").write_text("\n".join(lines))


def on_site(folder, work):
    enable(folder)

    async def run():
        async with site(folder, toys=2, stomp="") as (app, _):
            await work(app)

    asyncio.run(run())


def new_asker():
    """A manager's engine that looks for MIBs here only; by default pysnmp would ask the network for them."""
    asker = SnmpEngine()
    add_mib_compiler(asker.get_mib_builder(), sources=[f"file://{ROOT}/tests/base_mibs"])
    return asker


async def walk(port, community=COMMUNITY, oid=hazelbend_mib.BASE):
    asker, found = new_asker(), {}
    target = await UdpTransportTarget.create(("127.0.0.1", port), timeout=0.5, retries=0)
    start = ObjectType(ObjectIdentity(oid))
    async for error, status, _, rows in walk_cmd(
        asker, CommunityData(community), target, ContextData(), start
    ):
        if error or status:
            found["error"] = str(error or status)
            break
        found |= {tuple(row[0]): row[1] for row in rows}
    asker.close_dispatcher()
    return found


def test_a_walk_gives_every_object_of_the_mib_with_its_type(tmp_path, mib):
    async def work(app):
        found = await walk(app.agent.port)
        assert "error" not in found
        readable = {
            each.name: each
            for each in mib.values()
            if getattr(each, "maxAccess", "") in ("readonly", "read-only")
        }
        seen = {oid[: len(name)] for oid in found for name in readable if oid[: len(name)] == name}
        assert seen == set(readable), "an object of the MIB that the agent lacks, or the other way round"
        assert len(found) == len([oid for oid in found if any(oid[: len(name)] == name for name in readable)])
        for oid, value in found.items():
            [syntax] = [each.syntax for name, each in readable.items() if oid[: len(name)] == name]
            assert syntax.tagSet == value.tagSet, oid
        names = {str(value) for oid, value in found.items() if oid[:-1] == (*hazelbend_mib.SERVER_ENTRY, 2)}
        assert names == {"toy-0", "toy-1"}
        assert list(found) == sorted(found)
        system = await walk(app.agent.port, oid=hazelbend_mib.SYSTEM)
        assert any(oid[:-1] == (*hazelbend_mib.SYSTEM, 3) for oid in system), "sysUpTime"

    on_site(tmp_path, work)


def test_counters_follow_the_program(mib):
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
    found = {
        oid: int(value)
        for oid, value in hazelbend_mib.object_values(view).items()
        if not isinstance(value, OctetString)
    }
    want = {
        "hbUpTime": 500, "hbState": 2, "hbFlowsTaken": 100, "hbFlowsServed": 10, "hbFlowsFailed": 12,
        "hbFlowsAbandoned": 7, "hbSchedulingsError": 20, "hbSchedulingsServed": 21,
        "hbSchedulingsNotSent": 27,
        "hbSchedulingsConnectFailed": 24, "hbEdgeConnections": 3, "hbStompConnections": 0, "hbStompBoxes": 1,
        "hbFlowsOpen": 41, "hbForwards": 40, "hbDiscovered": 42, "hbEjected": 43,
        "hbNamesStale": 51, "hbNamesQueries": 52, "hbNamesFollowed": 0, "hbWaitingJobs": 53,
        "hbWaitingCancelled": 54, "hbWaitingReleased": 0,
    }  # fmt: skip
    assert {name: found[(*mib[name].name, 0)] for name in want} == want
    columns = ("hbClassSucceeded", "hbClassDeclined", "hbClassAborted", "hbClassLongest")
    assert [[found[(*mib[name].name, row)] for name in columns] for row in (1, 2)] == [
        [31, 32, 33, 0], [34, 35, 36, 55]
    ]  # fmt: skip


def test_a_stranger_gets_nothing_and_nobody_may_write(tmp_path):
    async def work(app):
        assert "error" in await walk(app.agent.port, "public")
        assert "error" in await walk(app.agent.port, "public", hazelbend_mib.SYSTEM)
        asker = new_asker()
        target = await UdpTransportTarget.create(("127.0.0.1", app.agent.port), timeout=0.5, retries=0)
        name = ObjectType(ObjectIdentity((*hazelbend_mib.OBJECTS, 1, 1, 0)), OctetString("x"))
        error, status, *_ = await set_cmd(asker, CommunityData(COMMUNITY), target, ContextData(), name)
        assert error or status
        asker.close_dispatcher()

    on_site(tmp_path, work)


def test_a_server_that_goes_down_and_up_is_notified(tmp_path, mib):
    async def listen():
        heard, receiver = [], engine.SnmpEngine()
        transport = udp.UdpAsyncioTransport().open_server_mode(("127.0.0.1", 0))
        await transport._lport
        config.add_transport(receiver, udp.DOMAIN_NAME, transport)
        config.add_v1_system(receiver, "anyone", COMMUNITY)
        ntfrcv.NotificationReceiver(
            receiver, lambda *given: heard.append({tuple(name): value for name, value in given[4]})
        )
        return heard, receiver, transport.transport.get_extra_info("sockname")[1]

    async def run():
        heard, receiver, port = await listen()
        enable(tmp_path, f'"127.0.0.1:{port}"')
        async with site(tmp_path, stomp="") as (app, _):
            app.router.set_manual_drain("toy-0", True)
            await wait_until(lambda: len(heard) == 1)
            app.router.set_manual_drain("toy-0", False)
            await wait_until(lambda: len(heard) == 2)
        receiver.close_dispatcher()
        kinds = [tuple(each[(1, 3, 6, 1, 6, 3, 1, 1, 4, 1, 0)]) for each in heard]
        assert kinds == [mib["hbServerDown"].name, mib["hbServerUp"].name]
        assert all(str(each[(*mib["hbServerName"].name, 1)]) == "toy-0" for each in heard)

    asyncio.run(run())
