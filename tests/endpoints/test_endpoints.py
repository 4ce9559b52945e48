"""The merged view of endpoints: precedence, invariants under random orders of events, and SRV priorities."""

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


def listing(*entries, is_complete=True):
    return EndpointList(tuple(entries), is_complete=is_complete)


@pytest.mark.parametrize("by_srv", SrvReport)
@pytest.mark.parametrize("failed", [False, True])
@pytest.mark.parametrize("by_list", ListReport)
def test_merger_applies_the_precedence_rule_in_each_case(by_list, failed, by_srv):
    """Checks the view of the merger, with and without a failed call for the list, and not only the rule."""
    merger = EndpointMerger(HOUR)
    if by_list is not ListReport.NEVER_LISTED:
        merger.apply_list(listing(entry()), 1)
    if by_list is ListReport.DRAINING:
        merger.apply_list(listing(entry(state=DRAINING), is_complete=False), 2)
    if by_list is ListReport.REMOVED:
        merger.apply_list(listing(entry(state=GONE), is_complete=False), 2)
    if failed:
        merger.apply_list(EndpointList(failed=True), 3)
    # If SRV is unknown or stale, the resolver continues to report its last accepted records.
    claimed = {} if by_srv is SrvReport.NOT_LISTED else {KEY: claim()}
    merger.apply_srv(NAME, claimed, 10)
    found = {member.entry.host: member.entry for member in merger.view.members.values()}
    result = apply_precedence(by_list, by_srv)
    if by_list is ListReport.SERVING or by_list is ListReport.DRAINING:
        expected = {HOST: entry(state=READY if by_list is ListReport.SERVING else DRAINING)}
        assert result is PrecedenceResult.AS_LISTED
    elif by_list is ListReport.NEVER_LISTED and by_srv is not SrvReport.NOT_LISTED:
        expected = {str(KEY): Endpoint(str(KEY), DIAL, 1, 1, 0, READY, 2.0, 10)}
        assert result is PrecedenceResult.BY_SRV
    else:
        expected = {}
        assert result in (PrecedenceResult.REMOVED, PrecedenceResult.ABSENT)
    assert found == expected and merger.list_report(KEY) is by_list


def test_srv_report_by_listed_failing_and_expired_ttl():
    assert srv_report(listed=True, failing=False, ttl_expired=False) is SrvReport.LISTED
    assert srv_report(listed=True, failing=True, ttl_expired=False) is SrvReport.UNKNOWN
    assert srv_report(listed=True, failing=True, ttl_expired=True) is SrvReport.STALE
    assert srv_report(listed=False, failing=True, ttl_expired=True) is SrvReport.NOT_LISTED


@pytest.mark.parametrize("dial, host", [(DIAL, "s-17"), ("127.0.0.9:7101", "A.Konya-1.Example.ORG.")])
def test_list_entry_and_srv_record_are_one_endpoint_if_host_or_address_match(dial, host):
    merger = EndpointMerger(HOUR)
    merger.apply_srv(NAME, {KEY: claim()}, 1)
    update = merger.apply_list(listing(entry(host, dial)), 2)
    assert [endpoint.host for endpoint in update.entries] == [host], (
        "the endpoint is in the view once, with the host of the list"
    )
    assert merger.renamed == [(str(KEY), host)]
    assert merger.view.members[host].sources == (LIST_SOURCE, NAME)
    gone = merger.apply_list(listing(entry(host, dial, GONE), is_complete=False), 3)
    assert [(endpoint.host, endpoint.state) for endpoint in gone.entries] == [(host, GONE)]


def test_same_host_with_another_port_is_another_endpoint():
    merger = EndpointMerger(HOUR)
    merger.apply_list(listing(entry()), 1)
    update = merger.apply_srv(NAME, {EndpointKey(HOST, 7102): claim()}, 2)
    assert [endpoint.host for endpoint in update.entries] == [f"{HOST}:7102"]


def test_tombstone_expires_only_while_the_list_does_not_fail():
    merger = EndpointMerger(100)
    merger.apply_list(listing(entry()), 1)
    merger.apply_list(listing(), 10)
    assert merger.apply_srv(NAME, {KEY: claim()}, 20).entries == ()
    assert merger.expire_tombstones(109).entries == ()
    merger.apply_list(EndpointList(failed=True), 109)
    assert merger.expire_tombstones(200).entries == ()
    merger.apply_list(listing(), 201)
    [returned] = merger.expire_tombstones(202).entries
    assert (returned.host, returned.started_at) == (str(KEY), 202), "it counts as just started"
    assert merger.renamed == [(HOST, str(KEY))], "a manual drain is carried over"


def test_endpoint_that_returns_to_the_list_is_ready_at_once():
    merger = EndpointMerger(HOUR)
    merger.apply_list(listing(entry()), 1)
    merger.apply_srv(NAME, {KEY: claim()}, 2)
    merger.apply_list(listing(entry(state=GONE), is_complete=False), 3)
    [returned] = merger.apply_list(listing(entry(started_at=9), is_complete=False), 4).entries
    assert (returned.state, returned.started_at) == (READY, 9) and not merger.tombstones


def test_srv_endpoint_counts_as_just_started_when_it_returns_or_changes_address():
    merger = EndpointMerger(HOUR)
    two_addresses = claim(addresses=("127.0.0.1", "127.0.0.2"))
    assert [endpoint.started_at for endpoint in merger.apply_srv(NAME, {KEY: two_addresses}, 1).entries] == [
        1
    ]
    assert merger.apply_srv(NAME, {KEY: claim(addresses=("127.0.0.0", "127.0.0.1"))}, 2).entries == (), (
        "it keeps its address as long as that is listed"
    )
    [moved] = merger.apply_srv(NAME, {KEY: claim(addresses=("127.0.0.0",))}, 3).entries
    assert (moved.dial, moved.started_at) == ("127.0.0.0:7101", 3)
    assert [endpoint.state for endpoint in merger.apply_srv(NAME, {}, 4).entries] == [GONE]
    [returned] = merger.apply_srv(NAME, {KEY: claim(addresses=("::1",))}, 5).entries
    assert (returned.dial, returned.started_at) == ("[::1]:7101", 5)


def test_earlier_version_of_the_view_does_not_change():
    merger = EndpointMerger(HOUR)
    keys = [EndpointKey(f"b{number}.example.org", 1) for number in range(50)]
    merger.apply_srv(NAME, {key: claim(addresses=(f"127.0.1.{n}",)) for n, key in enumerate(keys)}, 1)
    earlier = merger.view
    members = dict(earlier.members)
    merger.apply_srv(NAME, {}, 2)
    assert dict(earlier.members) == members and not merger.view.members
    assert merger.view.version == earlier.version + 1


HOSTS = [f"h{number}.example.org" for number in range(3)]
KEYS = [EndpointKey(host, 1) for host in HOSTS]
ADDRESSES = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
states = st.sampled_from([READY, DRAINING, GONE])
entries = st.builds(
    entry,
    st.sampled_from([*HOSTS, "s-9"]),
    st.sampled_from([f"{address}:1" for address in ADDRESSES]),
    states,
)
claims = st.builds(
    claim, st.sampled_from([0, 10]), st.lists(st.sampled_from(ADDRESSES), min_size=1, max_size=2, unique=True)
)
events = st.one_of(
    st.tuples(st.just("list"), st.lists(entries, max_size=4, unique_by=lambda row: row.host), st.booleans()),
    st.tuples(st.just("failed")),
    st.tuples(st.just("srv"), st.sampled_from(["n1", "n2"]), st.dictionaries(st.sampled_from(KEYS), claims)),
    st.tuples(st.just("connected"), st.sampled_from([READY, GONE])),
    st.tuples(st.just("open"), st.sampled_from(["n1", "n2"]), st.sampled_from([None, 0, 10])),
    st.tuples(st.just("time"), st.integers(0, 150)),
)


@given(st.lists(events, max_size=25))
def test_invariants_hold_in_any_order_of_events(steps):
    """Compares the merger with a simple model of the last report of each source.

    The numbers of the invariants are those in the docstring of `hazelbend.endpoints.merger`.
    """
    merger, now, view_by_changes = EndpointMerger(100), 0, {}
    listed, tombstones, names = {}, {}, {"n1": {}, "n2": {}}

    def apply(changes):
        if changes.failed:
            return
        if changes.is_complete:
            view_by_changes.clear()
        for row in changes.entries:
            view_by_changes.pop(row.host, None) if row.state is GONE else view_by_changes.__setitem__(
                row.host, row
            )

    for step in steps:
        now += 1
        match step:
            case ("list", rows, is_complete):
                apply(merger.apply_list(listing(*rows, is_complete=is_complete), now))
                removed = {row.host for row in rows if row.state is GONE}
                removed |= {host for host in listed if is_complete and host not in {row.host for row in rows}}
                tombstones |= {host: (now, listed.pop(host)) for host in removed if host in listed}
                listed |= {row.host: row for row in rows if row.state is not GONE}
                addresses = {(row.host, row.dial) for row in listed.values()}
                tombstones = {
                    host: tombstone
                    for host, tombstone in tombstones.items()
                    if not any(host == other or tombstone[1].dial == dial for other, dial in addresses)
                }
            case ("failed",):
                apply(merger.apply_list(EndpointList(failed=True), now))
            case ("srv", name, claimed):
                names[name] = claimed
                apply(merger.apply_srv(name, claimed, now))
            case ("connected", state):
                merger.apply_connected(entry("stomp/box", "", state))
            case ("open", name, priority):
                apply(merger.open_priorities(name, priority, now))
            case ("time", elapsed):
                now += elapsed
                if not merger.list_failed:
                    tombstones = {
                        host: tombstone for host, tombstone in tombstones.items() if tombstone[0] + 100 > now
                    }
                apply(merger.expire_tombstones(now))
        view = {
            host: member for host, member in merger.view.members.items() if member.sources != (STOMP_SOURCE,)
        }
        assert {host: member.entry for host, member in view.items()} == view_by_changes, "invariant 4"
        for host, listed_entry in listed.items():
            assert view[host].entry == listed_entry, "invariants 1, 2: the list takes precedence"

        def is_same(key, host, dial):
            dials = {
                f"{address}:1"
                for claimed in names.values()
                if key in claimed
                for address in claimed[key].addresses
            }
            return key.target == host or dial in dials

        for key in KEYS:
            by_srv = any(key in claimed for claimed in names.values())
            by_list = any(is_same(key, row.host, row.dial) for row in listed.values())
            gone = any(is_same(key, host, row.dial) for host, (_, row) in tombstones.items())
            assert (str(key) in view) is (by_srv and not by_list and not gone), "invariants 1, 3"


def state_of(merger: EndpointMerger) -> tuple[object, ...]:
    """Return the state on which all later reports of the merger depend."""
    listed = sorted(merger.listed(), key=lambda row: row.host)
    return dict(merger.view.members), merger.tombstones, listed


@given(st.lists(events, max_size=12), st.randoms(use_true_random=False))
def test_order_of_rows_in_a_list_does_not_matter(steps, random):
    """Two mergers that get the same lists with the rows in different orders have the same state."""
    one, other = EndpointMerger(100), EndpointMerger(100)
    for now, step in enumerate(steps):
        if step[0] == "list":
            rows = list(step[1])
            one.apply_list(listing(*rows, is_complete=step[2]), now)
            random.shuffle(rows)
            other.apply_list(listing(*rows, is_complete=step[2]), now)
        elif step[0] == "srv":
            for merger in (one, other):
                merger.apply_srv(step[1], step[2], now)
        assert state_of(one) == state_of(other)


@pytest.mark.parametrize("is_first", [True, False])
def test_endpoint_that_takes_over_the_address_of_a_removed_one_replaces_it(is_first):
    """One list removes a host and has another one at its address, in either order of the rows.

    The other host then is the SRV endpoint of that address. Once it moves to another address, the endpoint is
    in the view as SRV lists it, because no tombstone is left.
    """
    merger = EndpointMerger(HOUR)
    merger.apply_list(listing(entry("s-1", DIAL)), 1)
    merger.apply_srv(NAME, {KEY: claim()}, 2)
    rows = [entry("s-1", DIAL, GONE), entry("s-2", DIAL)]
    merger.apply_list(listing(*(rows if is_first else rows[::-1]), is_complete=False), 3)
    assert set(merger.view.members) == {"s-2"} and not merger.tombstones
    merger.apply_list(listing(entry("s-2", "10.9.9.9:1"), is_complete=False), 4)
    assert set(merger.view.members) == {"s-2", str(KEY)}


def test_last_of_two_rows_for_one_host_counts():
    merger = EndpointMerger(HOUR)
    merger.apply_list(listing(entry(state=GONE), entry(state=DRAINING), is_complete=False), 1)
    assert [endpoint.state for endpoint in merger.listed()] == [DRAINING]
    merger.apply_list(listing(entry(), entry(state=GONE), is_complete=False), 2)
    assert merger.listed() == ()


def test_tombstone_that_is_restored_twice_keeps_the_later_time():
    """Two snapshots have a tombstone for the same host with different addresses; only one may remain."""
    merger = EndpointMerger(100)
    merger.restore({HOST: Tombstone(50, None, DIAL)}, {})
    merger.restore({HOST: Tombstone(10, None, "127.0.0.9:7101")}, {})
    assert merger.tombstones == {HOST: Tombstone(50, None, DIAL)}
    merger.restore({HOST: Tombstone(60, None, "127.0.0.9:7101")}, {})
    merger.expire_tombstones(160)
    merger.apply_srv(NAME, {KEY: claim()}, 161)
    assert set(merger.view.members) == {str(KEY)}, "the address of the first tombstone is dropped as well"


@pytest.mark.parametrize("first, second", [(0, 10), (10, 0)])
def test_host_of_two_targets_has_the_lower_priority_number(first, second):
    merger = EndpointMerger(HOUR)
    merger.apply_list(listing(entry("s-1", DIAL)), 1)
    targets = [EndpointKey(f"{name}.example.org", KEY.port) for name in "ab"]
    merger.apply_srv(NAME, {targets[0]: claim(first), targets[1]: claim(second)}, 2)
    assert merger.priorities(NAME) == {"s-1": 0}


@given(st.permutations(range(4)), st.booleans())
def test_order_of_the_sources_does_not_matter(order, twice):
    merger = EndpointMerger(HOUR)
    steps = [
        lambda: merger.apply_list(listing(entry(), entry("s-2", "127.0.0.2:7101", DRAINING)), 1),
        lambda: merger.apply_srv("n1", {KEY: claim(), EndpointKey("b.example.org", 1): claim(10)}, 1),
        lambda: merger.apply_srv("n2", {EndpointKey("b.example.org", 1): claim(0)}, 1),
        lambda: merger.apply_connected(entry("stomp/box", "")),
    ]
    for index in itertools.chain.from_iterable((index,) * (1 + twice) for index in order):
        steps[index]()
    view = {host: (member.entry, member.sources) for host, member in merger.view.members.items()}
    assert view == {
        HOST: (entry(), (LIST_SOURCE, "n1")),
        "s-2": (entry("s-2", "127.0.0.2:7101", DRAINING), (LIST_SOURCE,)),
        "b.example.org:1": (
            Endpoint("b.example.org:1", "127.0.0.1:1", 1, 1, 0, READY, 2.0, 1), ("n1", "n2")
        ),
        "stomp/box": (entry("stomp/box", ""), (STOMP_SOURCE,)),
    }  # fmt: skip


def test_spare_endpoints_are_draining_until_their_priority_opens():
    merger = EndpointMerger(HOUR)
    merger.open_priorities(NAME, 0, 0)
    first, spare = EndpointKey("a.example.org", 1), EndpointKey("b.example.org", 1)
    update = merger.apply_srv(NAME, {first: claim(0), spare: claim(10)}, 1)
    assert {endpoint.host: endpoint.state for endpoint in update.entries} == {
        str(first): READY,
        str(spare): DRAINING,
    }
    [opened] = merger.open_priorities(NAME, 10, 2).entries
    assert (opened.host, opened.state, opened.started_at) == (str(spare), READY, 1)
    [closed] = merger.open_priorities(NAME, 0, 3).entries
    assert (closed.host, closed.state) == (str(spare), DRAINING)


def test_failover_is_immediate_and_failback_is_delayed():
    pool = PriorityPool()
    assert pool.update({0: True, 10: True, 20: True}, 0, 50) == 0
    assert pool.update({0: False, 10: True, 20: True}, 1, 50) == 10
    assert pool.update({0: True, 10: True, 20: True}, 10, 50) == 10 and pool.failback_at(50) == 60
    assert pool.update({0: False, 10: True, 20: True}, 30, 50) == 10, (
        "it became unavailable, so the delay starts again"
    )
    assert pool.update({0: True, 10: True, 20: True}, 40, 50) == 10
    assert pool.update({0: True, 10: True, 20: True}, 89, 50) == 10
    assert pool.update({0: True, 10: True, 20: True}, 90, 50) == 0
    assert pool.update({0: False, 10: False, 20: False}, 91, 50) == 20, "none is available, so all are open"
    assert pool.update({}, 92, 50) is None


@given(st.lists(st.tuples(st.integers(0, 30), st.booleans(), st.booleans(), st.booleans())))
def test_pool_has_an_open_available_priority_whenever_there_is_an_available_one(steps):
    pool, now = PriorityPool(), 0
    for elapsed, *available in steps:
        now += elapsed
        by_priority = dict(zip((0, 10, 20), available, strict=True))
        level = pool.update(by_priority, now, 50)
        open_available = [
            priority for priority, is_available in by_priority.items() if is_available and priority <= level
        ]
        assert open_available or not any(available)
