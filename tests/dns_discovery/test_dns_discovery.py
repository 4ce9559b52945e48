"""The resolver on a simulated clock: votes, refreshes, budgets, snapshots and settings."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelbend.dns_discovery import snapshot
from hazelbend.dns_discovery.answers import (
    MAX_CNAME_CHAIN,
    CnameAlias,
    EndpointKey,
    NegativeAnswer,
    PositiveAnswer,
    QueryFailure,
    Question,
    RecordType,
    SrvPreference,
    TruncatedAnswer,
)
from hazelbend.dns_discovery.query_budget import QueryBudget
from hazelbend.dns_discovery.quorum import AnswerQuorum
from hazelbend.dns_discovery.resolver import Resolver
from hazelbend.dns_discovery.settings import read_settings
from tests.support.srv_kit import SECOND_US, SRV_NAME, settings

A, B, C = (EndpointKey(f"{label}.konya-1.example.org", 7101) for label in "abc")
ROOT = Question(SRV_NAME, RecordType.SRV)
TIMED_OUT = QueryFailure("no answer in time", server_unreachable=True)
RECORDS = {A: SrvPreference(0, 1), B: SrvPreference(0, 1)}


def srv_answer(records, ttl=30, addresses=True):
    """Return an SRV answer, with the targets' addresses in the additional section if `addresses` is set."""
    additional = {}
    if addresses:
        additional = {
            Question(key.target, RecordType.A): PositiveAnswer({"127.0.0.1": None}, ttl) for key in records
        }
    return PositiveAnswer(records, ttl, additional)


class ResolverRun:
    """A resolver on a simulated clock. The nameservers answer by `answer` after `delay` microseconds."""

    def __init__(self, answer, count=1, names=(SRV_NAME,), dispatcher="d-1", delay=1_000, **more):
        self.resolver = Resolver(settings(count, **more), dispatcher)
        self.answer, self.delay, self.now = answer, delay, 10**15
        self.in_flight, self.sent = [], []  # pairs of a time and a query
        self.resolver.track_only(names, self.now)

    def advance(self, seconds):
        """Run the resolver for this much simulated time."""
        end = self.now + round(seconds * SECOND_US)
        while True:
            self.send(self.resolver.take_due_queries(self.now))
            times = [at for at, _ in self.in_flight]
            if (at := self.resolver.next_due_at(self.now)) is not None:
                times.append(max(at, self.now))
            self.now = min([*times, end])
            if self.now >= end and not any(at <= end for at, _ in self.in_flight):
                return self
            for at, query in [entry for entry in self.in_flight if entry[0] <= self.now]:
                self.in_flight.remove((at, query))
                self.send(self.resolver.handle_result(query.id, self.result_of(query), self.now))

    def result_of(self, query):
        """Return the result of a query; for an address query, the additional section of an SRV answer."""
        result = self.answer(query)
        if (
            isinstance(result, PositiveAnswer)
            and result.additional
            and query.question.record_type is not RecordType.SRV
        ):
            return result.additional.get(query.question) or NegativeAnswer("NODATA", 5)
        return result

    def send(self, queries):
        for query in queries:
            self.sent.append((self.now, query))
            self.in_flight.append((self.now + self.delay, query))

    @property
    def endpoints(self):
        return set(self.resolver.names.endpoints(SRV_NAME))

    def count(self, record_type=None):
        """Return the number of queries sent, of this type or of all types."""
        return sum(record_type in (None, query.question.record_type) for _, query in self.sent)


# --- votes ---


def vote(quorum, *votes, now=0, expires_at=100):
    """Add votes, as pairs of a nameserver and its records; return the accepted records."""
    for server, records in votes:
        quorum.add_vote(server, dict.fromkeys(records, 1), expires_at, now)
    return set(quorum.accepted)


def test_one_wrong_nameserver_of_three_neither_removes_nor_adds_records():
    for wrong in ("", "AC", "C", "ABC"):
        quorum = AnswerQuorum(3)
        assert vote(quorum, (0, "AB"), (2, "AB"), now=0, expires_at=10) == set("AB")
        assert vote(quorum, (1, wrong), now=20) == set("AB") and quorum.is_disputed(20)
        assert vote(quorum, (2, "AB"), now=21) == set("AB")
        assert vote(quorum, (0, "AB"), now=22) == set("AB") and not quorum.is_disputed(22)
        assert quorum.outvoted_servers == {1}


def test_two_nameservers_remove_a_record_that_both_lack():
    quorum = AnswerQuorum(3)
    vote(quorum, (0, "AB"), (1, "AB"), expires_at=10)
    assert vote(quorum, (0, "A"), now=20) == set("AB")
    assert vote(quorum, (1, "A"), now=21) == {"A"} and not quorum.is_disputed(21)


def test_single_nameserver_removes_a_record_by_two_answers_in_a_row():
    quorum = AnswerQuorum(1)
    vote(quorum, (0, "AB"))
    assert vote(quorum, (0, "")) == set("AB") and not quorum.is_disputed(0)
    assert vote(quorum, (0, "AB")) == set("AB")
    assert vote(quorum, (0, "A")) == set("AB")
    assert vote(quorum, (0, "A")) == {"A"}


def test_tie_does_not_change_the_accepted_records():
    quorum = AnswerQuorum(2)
    vote(quorum, (0, "A"), (1, "A"), expires_at=10)
    assert vote(quorum, (1, "AC"), now=20) == {"A"} and quorum.is_disputed(20), "only one nameserver lists C"
    vote(quorum, (0, "A"), now=20)
    assert not quorum.tally(21, final=True) and set(quorum.accepted) == {"A"}
    empty = AnswerQuorum(2)
    vote(empty, (0, ""), (1, "A"))
    empty.tally(1, final=True)
    assert set(empty.accepted) == {"A"}, "without accepted records a single vote is enough in a tie"


def test_records_not_renewed_are_dropped_at_the_stale_bound():
    quorum = AnswerQuorum(1)
    vote(quorum, (0, "AB"), expires_at=100)
    vote(quorum, (0, "A"), now=50, expires_at=150)
    assert (
        not quorum.drop_stale(1_099, 1_000)
        and quorum.drop_stale(1_100, 1_000)
        and set(quorum.accepted) == {"A"}
    )


VOTES = st.lists(
    st.tuples(st.integers(0, 2), st.frozensets(st.sampled_from("ABCD")), st.integers(0, 60)), max_size=30
)


@given(VOTES, st.integers(0, 2))
def test_one_wrong_nameserver_never_removes_records_that_the_others_list(votes, wrong_server):
    """The correct nameservers always answer AB; the wrong one gives any answer at any time."""
    quorum, now = AnswerQuorum(3), 0
    correct = [server for server in range(3) if server != wrong_server]
    vote(quorum, *((server, "AB") for server in correct), expires_at=50)
    for server, wrong_records, elapsed in votes:
        now += elapsed
        records = wrong_records if server == wrong_server else "AB"
        vote(quorum, (server, records), now=now, expires_at=now + 50)
        if quorum.is_disputed(now):
            vote(quorum, *((server, "AB") for server in correct), now=now, expires_at=now + 50)
            quorum.tally(now, final=True)
            assert set(quorum.accepted) == set("AB")
        assert {"A", "B"} <= set(quorum.accepted)


# --- refreshes ---


def test_name_is_queried_once_per_ttl():
    run = ResolverRun(lambda query: srv_answer(RECORDS, 30)).advance(3_000)
    assert run.endpoints == {A, B}
    assert 100 <= run.count() <= 100 / 0.9 + 1 and run.count(RecordType.SRV) == run.count()


def test_addresses_are_queried_if_the_additional_section_has_none():
    def answer(query):
        match query.question.record_type:
            case RecordType.SRV:
                return srv_answer(RECORDS, 30, addresses=False)
            case RecordType.A:
                return PositiveAnswer({"127.0.0.1": None}, 60)
        return NegativeAnswer("NODATA", 60)

    run = ResolverRun(answer, count=3).advance(5)
    # Two nameservers must confirm each record once. NODATA for AAAA needs no confirmation.
    assert run.endpoints == {A, B} and (
        run.count(RecordType.SRV),
        run.count(RecordType.A),
        run.count(RecordType.AAAA),
    ) == (2, 4, 2)
    run.advance(115)
    assert run.count(RecordType.SRV) <= 2 + 4, "once it is confirmed, one answer per TTL is enough"


def test_address_of_a_target_of_several_names_is_queried_once():
    names = [f"_n{number}._tcp.konya-1.example.org" for number in range(50)]
    conf = [{"name": name, "zone": "konya-1", "kind": "big-box"} for name in names]

    def answer(query):
        if query.question.record_type is RecordType.SRV:
            return srv_answer({A: SrvPreference(0, 1)}, addresses=False)
        return PositiveAnswer({"127.0.0.1": None}, 30)

    run = ResolverRun(answer, names=names, name=conf).advance(5)
    assert (run.count(RecordType.SRV), run.count(RecordType.A)) == (50, 1)
    assert all(run.resolver.names.endpoints(name) for name in names)


def test_ttls_are_clamped():
    for ttl, min_queries, max_queries in ((0, 90, 112), (10**9, 1, 2)):
        run = ResolverRun(
            lambda query, ttl=ttl: srv_answer(RECORDS, ttl), lifetimes={"least_s": 10, "most_s": 900}
        )
        assert min_queries <= run.advance(1_000).count() <= max_queries


def test_dispatchers_that_start_together_do_not_query_in_step():
    first_delays, second_delays = [], []
    for number in range(100):
        run = ResolverRun(
            lambda query: srv_answer(RECORDS), dispatcher=f"d-{number}", budgets={"start_spread_s": 1.0}
        ).advance(40)
        first_delays.append(run.sent[0][0] - 10**15)
        second_delays.append(run.sent[1][0] - run.sent[0][0])
    assert max(sum(delay // 100_000 == slot for delay in first_delays) for slot in range(10)) <= 20
    assert max(second_delays) - min(second_delays) > 2 * SECOND_US


def test_truncated_answer_is_retried_over_tcp_and_then_fails():
    run = ResolverRun(lambda query: srv_answer(RECORDS) if query.over_tcp else TruncatedAnswer()).advance(1)
    assert run.endpoints == {A, B} and [query.over_tcp for _, query in run.sent] == [False, True]
    run = ResolverRun(lambda query: TruncatedAnswer(), budgets={"tries": 1}).advance(0.5)
    assert run.resolver.names.by_srv_name[SRV_NAME].last_error.endswith("truncated over TCP")


def test_cname_chains_are_followed_up_to_the_maximum():
    alias = "_arama._tcp.elsewhere.example"
    run = ResolverRun(
        lambda query: srv_answer(RECORDS) if query.name == alias else CnameAlias(alias)
    ).advance(1)
    assert run.endpoints == {A, B}
    run = ResolverRun(lambda query: CnameAlias(f"x{query.id}.example"), budgets={"tries": 1}).advance(0.5)
    assert (
        run.count() == MAX_CNAME_CHAIN + 1
        and "aliases" in run.resolver.names.by_srv_name[SRV_NAME].last_error
    )


def test_nameserver_that_rejects_edns_is_queried_without_it():
    run = ResolverRun(
        lambda query: QueryFailure("FORMERR", edns_suspected=True) if query.edns else srv_answer(RECORDS)
    ).advance(100)
    assert run.endpoints == {A, B} and [query.edns for _, query in run.sent[:3]] == [True, False, False]


@pytest.mark.parametrize(
    "failure", [QueryFailure("SERVFAIL"), QueryFailure("no answer in time", server_unreachable=True)]
)
def test_failures_leave_the_accepted_records_until_the_stale_bound(failure):
    failing = []
    run = ResolverRun(
        lambda query: failure if failing else srv_answer(RECORDS), count=2, lifetimes={"stale_s": 600}
    ).advance(10)
    failing.append(True)
    run.advance(600)
    assert run.endpoints == {A, B} and run.resolver.names.by_srv_name[SRV_NAME].failing_since
    before = run.count()
    run.advance(100)
    assert run.endpoints == set() and run.count() - before < 30, "it backs off between rounds"
    failing.clear()
    run.advance(60)
    assert run.endpoints == {A, B} and not run.resolver.names.by_srv_name[SRV_NAME].failing_since


def test_next_nameserver_is_queried_and_a_failing_one_backs_off():
    run = ResolverRun(
        lambda query: TIMED_OUT if query.server == 0 else srv_answer(RECORDS, 5), count=3
    ).advance(600)
    assert run.endpoints == {A, B} and not run.resolver.names.by_srv_name[SRV_NAME].failing_since
    assert run.resolver.nameservers.health[0].queries < 30


OLD_ZONE = srv_answer({A: SrvPreference(0, 1), C: SrvPreference(0, 1)}, 5)


@pytest.mark.parametrize("wrong", [NegativeAnswer("NXDOMAIN", 5), NegativeAnswer("NODATA", 5), OLD_ZONE])
@pytest.mark.parametrize("wrong_server", range(3))
def test_one_wrong_nameserver_of_three_does_not_change_the_endpoints(wrong, wrong_server):
    seen = set()

    def answer(query):
        seen.add(frozenset(run.endpoints))
        return wrong if query.server == wrong_server else srv_answer(RECORDS, 5)

    run = ResolverRun(answer, count=3)
    run.advance(600)
    assert seen == {frozenset(), frozenset(RECORDS)}, seen


def test_nameserver_that_is_wrong_from_the_start_is_outvoted():
    run = ResolverRun(
        lambda query: NegativeAnswer("NXDOMAIN", 300) if query.server == 0 else srv_answer(RECORDS), count=3
    )
    assert run.advance(5).endpoints == {A, B}


def test_endpoint_is_removed_when_two_nameservers_lack_it():
    records = dict(RECORDS)
    run = ResolverRun(lambda query: srv_answer(records, 30), count=3).advance(10)
    del records[B]
    assert run.advance(30).endpoints == {A}
    records.clear()
    assert run.advance(35).endpoints == set()


def test_all_dispatchers_choose_the_same_of_too_many_targets():
    records = {
        EndpointKey(f"b{number}.konya-1.example.org", 1): SrvPreference(number % 3, 1)
        for number in range(500)
    }
    conf = [{"name": SRV_NAME, "zone": "konya-1", "kind": "big-box", "most_targets": 100}]
    shuffled = list(records.items())
    random.Random(1).shuffle(shuffled)
    found = [
        ResolverRun(lambda query, ordered=dict(items): srv_answer(ordered), name=conf).advance(1).endpoints
        for items in (records.items(), shuffled)
    ]
    assert found[0] == found[1] and len(found[0]) == 100
    assert {records[key].priority for key in found[0]} == {0}


# --- budgets ---


def test_queries_stay_within_their_budget_in_an_outage_and_after_it():
    names = [f"_n{number}._tcp.konya-1.example.org" for number in range(2_000)]
    conf = [{"name": name, "zone": "konya-1", "kind": "big-box"} for name in names]
    outage = []
    run = ResolverRun(
        lambda query: TIMED_OUT if outage else srv_answer({A: SrvPreference(0, 1)}, 30),
        names=names, name=conf, delay=20_000, budgets={"per_s": 100, "at_once": 8, "start_spread_s": 30},
    )  # fmt: skip
    run.advance(60)
    outage.append(True)
    run.advance(300)
    in_outage = [at for at, _ in run.sent if at > 10**15 + 100 * SECOND_US]
    assert len(in_outage) < 60, "only single trial queries are sent to the nameserver"
    outage.clear()
    outage_end = run.now
    run.advance(60)
    queries_per_s = [0] * 61
    for at, _ in run.sent:
        if at >= outage_end:
            queries_per_s[(at - outage_end) // SECOND_US] += 1
    assert max(queries_per_s) <= 111, "the budget of a second, and a burst of a tenth of it"
    assert all(run.resolver.names.endpoints(name) for name in names)


def test_query_budget_waits_for_its_debt_and_limits_retries():
    budget = QueryBudget(10.0, 0.2)
    assert budget.try_acquire(0) and not budget.try_acquire(0)
    budget.acquire_in_debt(100_000)
    assert (
        not budget.try_acquire(150_000)
        and budget.next_token_at(150_000) > 150_000
        and budget.try_acquire(budget.next_token_at(150_000))
    )
    assert sum(budget.try_retry() for _ in range(100)) == 10
    for _ in range(5):
        budget.record_first_attempt()
    assert budget.try_retry() and not budget.try_retry()


def test_changed_nameservers_and_names_keep_the_accepted_records():
    run = ResolverRun(lambda query: srv_answer(RECORDS), count=1).advance(5)
    run.resolver.reconfigure(settings(3), run.now)
    assert run.endpoints == {A, B}
    run.advance(40)
    assert run.endpoints == {A, B} and {query.server for _, query in run.sent} - {0}
    run.resolver.track_only([], run.now)
    assert (
        run.resolver.names.changed == {SRV_NAME}
        and not run.resolver.names.by_question
        and not run.resolver.names.endpoints(SRV_NAME)
    )
    assert run.advance(500).count() < 10


# --- snapshots ---


def encoded_snapshot(run):
    return snapshot.encode(snapshot.capture(run.resolver, [], {"x:1": 5}, run.now))


def test_start_without_nameservers_uses_a_snapshot_within_the_stale_bound(tmp_path):
    data = encoded_snapshot(ResolverRun(lambda query: srv_answer(RECORDS)).advance(5))
    snapshot.write_file(tmp_path / "names.json", data)
    for age_s, expected in ((3_600, {A, B}), (86_300, {A, B}), (86_500, set())):
        run = ResolverRun(lambda query: TIMED_OUT)
        run.now += age_s * SECOND_US
        body = snapshot.read_file(tmp_path / "names.json")
        snapshot.restore(run.resolver, body, run.now)
        assert run.endpoints == expected and body.started == {"x:1": 5}
        assert run.advance(10).endpoints == expected
    assert run.advance(86_400).endpoints == set()


def test_restored_expiry_times_are_limited_to_the_longest_ttl():
    body = snapshot.decode(encoded_snapshot(ResolverRun(lambda query: srv_answer(RECORDS)).advance(5)))
    for name in [*body.srv_records, *body.address_records]:
        for record in name.records:
            record.expires_at += 10**18
    run = ResolverRun(lambda query: QueryFailure("SERVFAIL"))
    snapshot.restore(run.resolver, body, run.now)
    assert run.endpoints == {A, B} and run.advance(3_600 + 86_500).endpoints == set()


def test_truncated_damaged_or_foreign_snapshot_is_rejected(tmp_path):
    data = encoded_snapshot(ResolverRun(lambda query: srv_answer(RECORDS)).advance(5))
    path = tmp_path / "names.json"
    assert snapshot.read_file(path) is None
    other = msgspec.json.decode(data)
    for invalid, message in (
        (data[:-20], "torn"), (b"", "torn"), (b"\x00\xff" * 40, "torn"), (b"[]", "torn"),
        (data.replace(b"a.konya", b"z.konya"), "damaged"),
        (msgspec.json.encode(other | {"version": 2}), "version 2"),
        (msgspec.json.encode(other | {"format": "else"}), "foreign"),
    ):  # fmt: skip
        path.write_bytes(invalid)
        with pytest.raises(snapshot.SnapshotError, match=message):
            snapshot.read_file(path)


@given(st.integers(0, 10**6), st.integers(0, 255))
def test_truncated_or_corrupted_snapshot_is_not_accepted(offset, byte):
    data = encoded_snapshot(ResolverRun(lambda query: srv_answer(RECORDS)).advance(1))
    offset %= len(data)
    for invalid in (data[:offset], data[:offset] + bytes([byte]) + data[offset + 1 :]):
        try:
            body = snapshot.decode(invalid)
        except snapshot.SnapshotError:
            continue
        assert msgspec.json.encode(body) == msgspec.json.encode(snapshot.decode(data))


# --- settings ---


def read_changed(**change):
    """Read valid settings with these keys changed."""
    table = {
        "enabled": True,
        "nameserver": [{"address": "127.0.0.1:53"}],
        "name": [{"name": SRV_NAME, "zone": "konya-1", "kind": "big-box"}],
    }
    return read_settings(table | change, ("konya-1",), ("big-box",))


@pytest.mark.parametrize(
    "change, message",
    [
        ({"nameserver": []}, "nameserver: none"),
        ({"nameserver": [{"address": "ns.example.org:53"}]}, r"nameserver\[0\].address: .* is no address"),
        ({"nameserver": [{"address": "127.0.0.1:0"}]}, r"nameserver\[0\].address"),
        ({"nameserver": [{"address": "127.0.0.1:53"}] * 2}, r"nameserver\[1\].address: .* twice"),
        ({"nameserver": [{"port": 1}]}, r"nameserver\[0\]: Object"),
        ({"name": [{"name": SRV_NAME, "zone": "izmir", "kind": "big-box"}]}, r"name\[0\].zone: 'izmir'"),
        ({"name": [{"name": SRV_NAME, "zone": "konya-1", "kind": "x"}]}, r"name\[0\].kind: 'x'"),
        ({"name": [{"name": "konya.example.org", "zone": "konya-1", "kind": "big-box"}]}, r"name\[0\].name"),
        ({"name": [{"name": "_a." + "x" * 64, "zone": "konya-1", "kind": "big-box"}]}, r"name\[0\].name"),
        ({"name": [{"name": "_a..b", "zone": "konya-1", "kind": "big-box"}]}, r"name\[0\].name"),
        ({"name": [{"name": n, "zone": "konya-1", "kind": "big-box"}
                   for n in (SRV_NAME, SRV_NAME.upper() + ".")]},
         r"name\[1\].name: .* twice"),
        ({"name": [{"name": SRV_NAME, "zone": "konya-1", "kind": "big-box", "weight_scale": 0}]},
         r"name\[0\].weight_scale"),
        ({"lifetimes": {"least_s": 10, "most_s": 5}}, "lifetimes.least_s"),
        ({"lifetimes": {"least_s": "x"}}, "lifetimes.least_s: Expected"),
        ({"budgets": {"rest_s": 60}}, "budgets.rest_s"),
        ({"budgets": {"per_s": -1}}, "budgets.per_s"),
        ({"snapshot": {"path": ""}}, "snapshot.path"),
        ({"nameservers": []}, "unknown field `nameservers`"),
    ],
)  # fmt: skip
def test_error_in_the_settings_names_its_key(change, message):
    with pytest.raises(ValueError, match=message):
        read_changed(**change)


def test_defaults_are_valid():
    assert read_changed().ttl_bounds.stale_s == 86_400
