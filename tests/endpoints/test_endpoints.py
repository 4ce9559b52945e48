"""The merged view of endpoints: precedence in each case, invariants in any order of events, and the pools."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelbend.decisions.interface import WorkerState
from hazelbend.dns_discovery.answers import EndpointKey, SrvPreference
from hazelbend.endpoints.merger import EndpointMerger, Tombstone
from hazelbend.endpoints.precedence import (
    ListReport,
    PrecedenceResult,
    SrvReport,
    apply_precedence,
    srv_report,
)
from hazelbend.endpoints.priority_pool import PriorityPool
from hazelbend.endpoints.srv_claims import SrvClaim
from hazelbend.endpoints.view import LIST_SOURCE, STOMP_SOURCE
from hazelbend.routing.ports import Endpoint, EndpointList

READY, DRAINING, GONE = WorkerState.READY, WorkerState.DRAINING, WorkerState.GONE
KEY = EndpointKey("a.konya-1.example.org", 7101)
HOST, DIAL, NAME = "a.konya-1.example.org", "127.0.0.1:7101", "_arama._tcp.konya-1.example.org"
HOUR = 3_600_000_000


def entry(host=HOST, dial=DIAL, state=READY, weight=1.0, started_at=5):
    return Endpoint(host, dial, 0, 0, 0, state, weight, started_at)


def claim(priority=0, addresses=("127.0.0.1",), weight=2.0):
    return SrvClaim(SrvPreference(priority, 1), tuple(addresses), 1, 1, 0, weight)


def listing(*entries, whole=True):
    return EndpointList(tuple(entries), is_complete=whole)


@pytest.mark.parametrize("by_srv", SrvReport)
@pytest.mark.parametrize("failed", [False, True])
@pytest.mark.parametrize("by_list", ListReport)
def test_precedence_in_each_case(by_list, failed, by_srv):
    """Through the merger, not only the rule: what becomes of the endpoint, the list failing or not."""
    merger = EndpointMerger(HOUR)
    if by_list is not ListReport.NEVER_LISTED:
        merger.apply_list(listing(entry()), 1)
    if by_list is ListReport.DRAINING:
        merger.apply_list(listing(entry(state=DRAINING), whole=False), 2)
    if by_list is ListReport.REMOVED:
        merger.apply_list(listing(entry(state=GONE), whole=False), 2)
    if failed:
        merger.apply_list(EndpointList(failed=True), 3)
    # Unknown and stale leave the last good answer standing: it is what the resolver goes on reporting.
    boxes = {} if by_srv is SrvReport.NOT_LISTED else {KEY: claim()}
    merger.apply_srv(NAME, boxes, 10)
    found = {each.entry.host: each.entry for each in merger.view.members.values()}
    verdict = apply_precedence(by_list, by_srv)
    if by_list is ListReport.SERVING or by_list is ListReport.DRAINING:
        wanted = {HOST: entry(state=READY if by_list is ListReport.SERVING else DRAINING)}
        assert verdict is PrecedenceResult.AS_LISTED
    elif by_list is ListReport.NEVER_LISTED and by_srv is not SrvReport.NOT_LISTED:
        wanted = {str(KEY): Endpoint(str(KEY), DIAL, 1, 1, 0, READY, 2.0, 10)}
        assert verdict is PrecedenceResult.BY_SRV
    else:
        wanted = {}
        assert verdict in (PrecedenceResult.REMOVED, PrecedenceResult.ABSENT)
    assert found == wanted and merger.list_report(KEY) is by_list


def test_srv_report_of_a_name():
    assert srv_report(listed=True, failing=False, ttl_expired=False) is SrvReport.LISTED
    assert srv_report(listed=True, failing=True, ttl_expired=False) is SrvReport.UNKNOWN
    assert srv_report(listed=True, failing=True, ttl_expired=True) is SrvReport.STALE
    assert srv_report(listed=False, failing=True, ttl_expired=True) is SrvReport.NOT_LISTED


@pytest.mark.parametrize("dial, host", [(DIAL, "s-17"), ("127.0.0.9:7101", "A.Konya-1.Example.ORG.")])
def test_one_endpoint_by_its_host_or_by_its_address(dial, host):
    merger = EndpointMerger(HOUR)
    merger.apply_srv(NAME, {KEY: claim()}, 1)
    told = merger.apply_list(listing(entry(host, dial)), 2)
    assert [each.host for each in told.entries] == [host], "it has the host of the list, and is there once"
    assert merger.renamed == [(str(KEY), host)]
    assert merger.view.members[host].sources == (LIST_SOURCE, NAME)
    gone = merger.apply_list(listing(entry(host, dial, GONE), whole=False), 3)
    assert [(each.host, each.state) for each in gone.entries] == [(host, GONE)]


def test_the_same_host_with_another_port_is_another_endpoint():
    merger = EndpointMerger(HOUR)
    merger.apply_list(listing(entry()), 1)
    told = merger.apply_srv(NAME, {EndpointKey(HOST, 7102): claim()}, 2)
    assert [each.host for each in told.entries] == [f"{HOST}:7102"]


def test_a_tombstone_lasts_for_its_time_and_while_the_list_fails():
    merger = EndpointMerger(100)
    merger.apply_list(listing(entry()), 1)
    merger.apply_list(listing(), 10)
    assert merger.apply_srv(NAME, {KEY: claim()}, 20).entries == ()
    assert merger.expire_tombstones(109).entries == ()
    merger.apply_list(EndpointList(failed=True), 109)
    assert merger.expire_tombstones(200).entries == ()
    merger.apply_list(listing(), 201)
    [back] = merger.expire_tombstones(202).entries
    assert (back.host, back.started_at) == (str(KEY), 202), "as just started"
    assert merger.renamed == [(HOST, str(KEY))], "a drain by hand is carried over"


def test_an_endpoint_that_the_list_has_again_serves_at_once():
    merger = EndpointMerger(HOUR)
    merger.apply_list(listing(entry()), 1)
    merger.apply_srv(NAME, {KEY: claim()}, 2)
    merger.apply_list(listing(entry(state=GONE), whole=False), 3)
    [again] = merger.apply_list(listing(entry(started_at=9), whole=False), 4).entries
    assert (again.state, again.started_at) == (READY, 9) and not merger.tombstones


def test_an_endpoint_counts_as_just_started_when_it_returns_or_moves():
    merger = EndpointMerger(HOUR)
    two = claim(addresses=("127.0.0.1", "127.0.0.2"))
    assert [each.started_at for each in merger.apply_srv(NAME, {KEY: two}, 1).entries] == [1]
    assert merger.apply_srv(NAME, {KEY: claim(addresses=("127.0.0.0", "127.0.0.1"))}, 2).entries == (), (
        "it keeps the address that it has"
    )
    [moved] = merger.apply_srv(NAME, {KEY: claim(addresses=("127.0.0.0",))}, 3).entries
    assert (moved.dial, moved.started_at) == ("127.0.0.0:7101", 3)
    assert [each.state for each in merger.apply_srv(NAME, {}, 4).entries] == [GONE]
    [back] = merger.apply_srv(NAME, {KEY: claim(addresses=("::1",))}, 5).entries
    assert (back.dial, back.started_at) == ("[::1]:7101", 5)


def test_a_reader_never_sees_a_partial_version():
    merger = EndpointMerger(HOUR)
    keys = [EndpointKey(f"b{number}.example.org", 1) for number in range(50)]
    merger.apply_srv(NAME, {key: claim(addresses=(f"127.0.1.{n}",)) for n, key in enumerate(keys)}, 1)
    held = merger.view
    rows = dict(held.members)
    merger.apply_srv(NAME, {}, 2)
    assert dict(held.members) == rows and not merger.view.members
    assert merger.view.version == held.version + 1


HOSTS = [f"h{number}.example.org" for number in range(3)]
KEYS = [EndpointKey(host, 1) for host in HOSTS]
ADDRESSES = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
states = st.sampled_from([READY, DRAINING, GONE])
entries = st.builds(
    entry, st.sampled_from([*HOSTS, "s-9"]), st.sampled_from([f"{each}:1" for each in ADDRESSES]), states
)
claims = st.builds(
    claim, st.sampled_from([0, 10]), st.lists(st.sampled_from(ADDRESSES), min_size=1, max_size=2, unique=True)
)
events = st.one_of(
    st.tuples(
        st.just("list"), st.lists(entries, max_size=4, unique_by=lambda each: each.host), st.booleans()
    ),
    st.tuples(st.just("failed")),
    st.tuples(st.just("name"), st.sampled_from(["n1", "n2"]), st.dictionaries(st.sampled_from(KEYS), claims)),
    st.tuples(st.just("guest"), st.sampled_from([READY, GONE])),
    st.tuples(st.just("open"), st.sampled_from(["n1", "n2"]), st.sampled_from([None, 0, 10])),
    st.tuples(st.just("time"), st.integers(0, 150)),
)


@given(st.lists(events, max_size=25))
def test_the_invariants_hold_in_any_order_of_events(steps):
    """Against a plain model of what each source said last."""
    merger, now, told = EndpointMerger(100), 0, {}
    listed, off, names = {}, {}, {"n1": {}, "n2": {}}

    def hear(news):
        if news.failed:
            return
        if news.is_complete:
            told.clear()
        for each in news.entries:
            told.pop(each.host, None) if each.state is GONE else told.__setitem__(each.host, each)

    for step in steps:
        now += 1
        match step:
            case ("list", rows, whole):
                hear(merger.apply_list(listing(*rows, whole=whole), now))
                left = {row.host for row in rows if row.state is GONE}
                left |= {host for host in listed if whole and host not in {row.host for row in rows}}
                off |= {host: (now, listed.pop(host)) for host in left if host in listed}
                listed |= {row.host: row for row in rows if row.state is not GONE}
                ports = {(row.host, row.dial) for row in listed.values()}
                off = {
                    host: each
                    for host, each in off.items()
                    if not any(host == other or each[1].dial == dial for other, dial in ports)
                }
            case ("failed",):
                hear(merger.apply_list(EndpointList(failed=True), now))
            case ("name", name, boxes):
                names[name] = boxes
                hear(merger.apply_srv(name, boxes, now))
            case ("guest", state):
                merger.apply_connected(entry("stomp/box", "", state))
            case ("open", name, priority):
                hear(merger.open_priorities(name, priority, now))
            case ("time", by):
                now += by
                if not merger.list_failed:
                    off = {host: each for host, each in off.items() if each[0] + 100 > now}
                hear(merger.expire_tombstones(now))
        view = {host: each for host, each in merger.view.members.items() if each.sources != (STOMP_SOURCE,)}
        assert {host: each.entry for host, each in view.items()} == told, "4: the differences are the view"
        for host, each in listed.items():
            assert view[host].entry == each, "1, 2: the list has the last word"

        def same(key, host, dial):
            dials = {f"{each}:1" for boxes in names.values() if key in boxes for each in boxes[key].addresses}
            return key.target == host or dial in dials

        for key in KEYS:
            by_srv = any(key in boxes for boxes in names.values())
            by_list = any(same(key, each.host, each.dial) for each in listed.values())
            gone = any(same(key, host, each.dial) for host, (_, each) in off.items())
            assert (str(key) in view) is (by_srv and not by_list and not gone), "1, 3"


def state_of(merger: EndpointMerger) -> tuple[object, ...]:
    """All that decides what the merger will say."""
    listed = sorted(merger.listed(), key=lambda each: each.host)
    return dict(merger.view.members), merger.tombstones, listed


@given(st.lists(events, max_size=12), st.randoms(use_true_random=False))
def test_the_order_of_rows_in_a_list_does_not_matter(steps, chance):
    """Given any history, when the rows of its lists come in another order, then all is the same after it."""
    one, other = EndpointMerger(100), EndpointMerger(100)
    for now, step in enumerate(steps):
        if step[0] == "list":
            rows = list(step[1])
            one.apply_list(listing(*rows, whole=step[2]), now)
            chance.shuffle(rows)
            other.apply_list(listing(*rows, whole=step[2]), now)
        elif step[0] == "name":
            for merger in (one, other):
                merger.apply_srv(step[1], step[2], now)
        assert state_of(one) == state_of(other)


@pytest.mark.parametrize("is_first", [True, False])
def test_an_endpoint_that_takes_a_removed_ones_address_is_listed_in_either_order(is_first):
    """Given an endpoint of SRV that the list has under one host, when one list removes that host and has
    another at its address, then the other is the endpoint, and once it moves on, SRV's word counts."""
    merger = EndpointMerger(HOUR)
    merger.apply_list(listing(entry("s-1", DIAL)), 1)
    merger.apply_srv(NAME, {KEY: claim()}, 2)
    rows = [entry("s-1", DIAL, GONE), entry("s-2", DIAL)]
    merger.apply_list(listing(*(rows if is_first else rows[::-1]), whole=False), 3)
    assert set(merger.view.members) == {"s-2"} and not merger.tombstones
    merger.apply_list(listing(entry("s-2", "10.9.9.9:1"), whole=False), 4)
    assert set(merger.view.members) == {"s-2", str(KEY)}


def test_of_two_rows_of_one_host_the_last_one_counts():
    merger = EndpointMerger(HOUR)
    merger.apply_list(listing(entry(state=GONE), entry(state=DRAINING), whole=False), 1)
    assert [each.state for each in merger.listed()] == [DRAINING]
    merger.apply_list(listing(entry(), entry(state=GONE), whole=False), 2)
    assert merger.listed() == ()


def test_a_removal_that_is_restored_twice_counts_once_from_the_later_time():
    """Given two snapshots with a removal of one host, when it is listed elsewhere, then nothing is left."""
    merger = EndpointMerger(100)
    merger.restore({HOST: Tombstone(50, None, DIAL)}, {})
    merger.restore({HOST: Tombstone(10, None, "127.0.0.9:7101")}, {})
    assert merger.tombstones == {HOST: Tombstone(50, None, DIAL)}
    merger.restore({HOST: Tombstone(60, None, "127.0.0.9:7101")}, {})
    merger.expire_tombstones(160)
    merger.apply_srv(NAME, {KEY: claim()}, 161)
    assert set(merger.view.members) == {str(KEY)}, "the address of the first removal is forgotten as well"


@pytest.mark.parametrize("first, second", [(0, 10), (10, 0)])
def test_of_two_targets_at_one_host_the_preferred_priority_counts(first, second):
    merger = EndpointMerger(HOUR)
    merger.apply_list(listing(entry("s-1", DIAL)), 1)
    targets = [EndpointKey(f"{name}.example.org", KEY.port) for name in "ab"]
    merger.apply_srv(NAME, {targets[0]: claim(first), targets[1]: claim(second)}, 2)
    assert merger.priorities(NAME) == {"s-1": 0}


@given(st.permutations(range(4)), st.booleans())
def test_the_order_of_the_sources_does_not_matter(order, twice):
    merger = EndpointMerger(HOUR)
    steps = [
        lambda: merger.apply_list(listing(entry(), entry("s-2", "127.0.0.2:7101", DRAINING)), 1),
        lambda: merger.apply_srv("n1", {KEY: claim(), EndpointKey("b.example.org", 1): claim(10)}, 1),
        lambda: merger.apply_srv("n2", {EndpointKey("b.example.org", 1): claim(0)}, 1),
        lambda: merger.apply_connected(entry("stomp/box", "")),
    ]
    for number in itertools.chain.from_iterable((each,) * (1 + twice) for each in order):
        steps[number]()
    rows = {host: (each.entry, each.sources) for host, each in merger.view.members.items()}
    assert rows == {
        HOST: (entry(), (LIST_SOURCE, "n1")),
        "s-2": (entry("s-2", "127.0.0.2:7101", DRAINING), (LIST_SOURCE,)),
        "b.example.org:1": (
            Endpoint("b.example.org:1", "127.0.0.1:1", 1, 1, 0, READY, 2.0, 1), ("n1", "n2")
        ),
        "stomp/box": (entry("stomp/box", ""), (STOMP_SOURCE,)),
    }  # fmt: skip


def test_spare_endpoints_get_no_jobs_until_their_priority_opens():
    merger = EndpointMerger(HOUR)
    merger.open_priorities(NAME, 0, 0)
    first, spare = EndpointKey("a.example.org", 1), EndpointKey("b.example.org", 1)
    told = merger.apply_srv(NAME, {first: claim(0), spare: claim(10)}, 1)
    assert {each.host: each.state for each in told.entries} == {str(first): READY, str(spare): DRAINING}
    [opened] = merger.open_priorities(NAME, 10, 2).entries
    assert (opened.host, opened.state, opened.started_at) == (str(spare), READY, 1)
    [shut] = merger.open_priorities(NAME, 0, 3).entries
    assert (shut.host, shut.state) == (str(spare), DRAINING)


def test_failover_is_immediate_and_failback_is_delayed():
    pool = PriorityPool()
    assert pool.update({0: True, 10: True, 20: True}, 0, 50) == 0
    assert pool.update({0: False, 10: True, 20: True}, 1, 50) == 10
    assert pool.update({0: True, 10: True, 20: True}, 10, 50) == 10 and pool.failback_at(50) == 60
    assert pool.update({0: False, 10: True, 20: True}, 30, 50) == 10, "it left again: its time begins anew"
    assert pool.update({0: True, 10: True, 20: True}, 40, 50) == 10
    assert pool.update({0: True, 10: True, 20: True}, 89, 50) == 10
    assert pool.update({0: True, 10: True, 20: True}, 90, 50) == 0
    assert pool.update({0: False, 10: False, 20: False}, 91, 50) == 20, "none is able: all may be tried"
    assert pool.update({}, 92, 50) is None


@given(st.lists(st.tuples(st.integers(0, 30), st.booleans(), st.booleans(), st.booleans())))
def test_a_pool_always_has_an_available_endpoint_open_if_there_is_one(steps):
    pool, now = PriorityPool(), 0
    for wait, *able in steps:
        now += wait
        by_priority = dict(zip((0, 10, 20), able, strict=True))
        level = pool.update(by_priority, now, 50)
        able_open = [each for each, is_able in by_priority.items() if is_able and each <= level]
        assert able_open or not any(able)
