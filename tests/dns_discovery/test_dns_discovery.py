"""The resolver on a clock of the test: votes, refreshes, budgets, snapshots, settings."""

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
from tests.support.srv_kit import NAME, SECOND, settings

A, B, C = (EndpointKey(f"{each}.konya-1.example.org", 7101) for each in "abc")
ROOT = Question(NAME, RecordType.SRV)
TIMED_OUT = QueryFailure("no answer in time", server_unreachable=True)
RECORDS = {A: SrvPreference(0, 1), B: SrvPreference(0, 1)}


def srv_answer(items, ttl=30, addresses=True):
    """An SRV answer with its targets' addresses in the additional section."""
    extra = {}
    if addresses:
        extra = {
            Question(key.target, RecordType.A): PositiveAnswer({"127.0.0.1": None}, ttl) for key in items
        }
    return PositiveAnswer(items, ttl, extra)


class Run:
    """A resolver, nameservers that answer by a script after `delay`, and the time."""

    def __init__(self, answer, count=1, names=(NAME,), dispatcher="d-1", delay=1_000, **more):
        self.resolver = Resolver(settings(count, **more), dispatcher)
        self.answer, self.delay, self.now = answer, delay, 10**15
        self.out, self.asked = [], []
        self.resolver.track_only(names, self.now)

    def until(self, seconds):
        """Let this much time go by."""
        end = self.now + round(seconds * SECOND)
        while True:
            self.send(self.resolver.take_due_queries(self.now))
            times = [at for at, _ in self.out]
            if (at := self.resolver.next_due_at(self.now)) is not None:
                times.append(max(at, self.now))
            self.now = min([*times, end])
            if self.now >= end and not any(at <= end for at, _ in self.out):
                return self
            for at, query in [each for each in self.out if each[0] <= self.now]:
                self.out.remove((at, query))
                self.send(self.resolver.handle_result(query.id, self.answered(query), self.now))

    def answered(self, query):
        """By the script; if that has only SRV, addresses come from its additional section."""
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
            self.asked.append((self.now, query))
            self.out.append((self.now + self.delay, query))

    @property
    def endpoints(self):
        return set(self.resolver.names.endpoints(NAME))

    def count(self, kind=None):
        return sum(kind in (None, query.question.record_type) for _, query in self.asked)


# --- votes ---


def vote(quorum, *votes, now=0, until=100):
    for server, items in votes:
        quorum.add_vote(server, dict.fromkeys(items, 1), until, now)
    return set(quorum.accepted)


def test_one_wrong_nameserver_of_three_neither_removes_nor_adds_records():
    for wrong in ("", "AC", "C", "ABC"):
        quorum = AnswerQuorum(3)
        assert vote(quorum, (0, "AB"), (2, "AB"), now=0, until=10) == set("AB")
        assert vote(quorum, (1, wrong), now=20) == set("AB") and quorum.is_disputed(20)
        assert vote(quorum, (2, "AB"), now=21) == set("AB")
        assert vote(quorum, (0, "AB"), now=22) == set("AB") and not quorum.is_disputed(22)
        assert quorum.outvoted_servers == {1}


def test_two_nameservers_remove_what_both_lack():
    quorum = AnswerQuorum(3)
    vote(quorum, (0, "AB"), (1, "AB"), until=10)
    assert vote(quorum, (0, "A"), now=20) == set("AB")
    assert vote(quorum, (1, "A"), now=21) == {"A"} and not quorum.is_disputed(21)


def test_with_one_nameserver_two_answers_in_a_row_remove():
    quorum = AnswerQuorum(1)
    vote(quorum, (0, "AB"))
    assert vote(quorum, (0, "")) == set("AB") and not quorum.is_disputed(0)
    assert vote(quorum, (0, "AB")) == set("AB")
    assert vote(quorum, (0, "A")) == set("AB")
    assert vote(quorum, (0, "A")) == {"A"}


def test_a_tie_changes_nothing():
    quorum = AnswerQuorum(2)
    vote(quorum, (0, "A"), (1, "A"), until=10)
    assert vote(quorum, (1, "AC"), now=20) == {"A"} and quorum.is_disputed(20), "it brings one more, alone"
    vote(quorum, (0, "A"), now=20)
    assert not quorum.tally(21, final=True) and set(quorum.accepted) == {"A"}
    start = AnswerQuorum(2)
    vote(start, (0, ""), (1, "A"))
    start.tally(1, final=True)
    assert set(start.accepted) == {"A"}, "nothing was listed: one that lists is believed"


def test_records_not_renewed_are_dropped_at_the_stale_bound():
    quorum = AnswerQuorum(1)
    vote(quorum, (0, "AB"), until=100)
    vote(quorum, (0, "A"), now=50, until=150)
    assert (
        not quorum.drop_stale(1_099, 1_000)
        and quorum.drop_stale(1_100, 1_000)
        and set(quorum.accepted) == {"A"}
    )


votes_strategy = st.lists(
    st.tuples(st.integers(0, 2), st.frozensets(st.sampled_from("ABCD")), st.integers(0, 60)), max_size=30
)


@given(votes_strategy, st.integers(0, 2))
def test_no_answer_of_one_nameserver_removes_what_the_others_list(script, wrong_server):
    """The others answer AB in each round; the wrong one anything, at any time."""
    quorum, now = AnswerQuorum(3), 0
    honest = [each for each in range(3) if each != wrong_server]
    vote(quorum, *((each, "AB") for each in honest), until=50)
    for server, items, wait in script:
        now += wait
        said = items if server == wrong_server else "AB"
        vote(quorum, (server, said), now=now, until=now + 50)
        if quorum.is_disputed(now):
            vote(quorum, *((each, "AB") for each in honest), now=now, until=now + 50)
            quorum.tally(now, final=True)
            assert set(quorum.accepted) == set("AB")
        assert {"A", "B"} <= set(quorum.accepted)


# --- refreshes ---


def test_a_name_is_queried_once_per_ttl():
    run = Run(lambda query: srv_answer(RECORDS, 30)).until(3_000)
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

    run = Run(answer, count=3).until(5)
    # Two nameservers must list each record, once; NODATA for AAAA is no cause for doubt.
    assert run.endpoints == {A, B} and (
        run.count(RecordType.SRV),
        run.count(RecordType.A),
        run.count(RecordType.AAAA),
    ) == (2, 4, 2)
    run.until(115)
    assert run.count(RecordType.SRV) <= 2 + 4, "from then on one answer per TTL is enough"


def test_equal_questions_are_queried_once():
    names = [f"_n{number}._tcp.konya-1.example.org" for number in range(50)]
    conf = [{"name": each, "zone": "konya-1", "kind": "big-box"} for each in names]

    def answer(query):
        if query.question.record_type is RecordType.SRV:
            return srv_answer({A: SrvPreference(0, 1)}, addresses=False)
        return PositiveAnswer({"127.0.0.1": None}, 30)

    run = Run(answer, names=names, name=conf).until(5)
    assert (run.count(RecordType.SRV), run.count(RecordType.A)) == (50, 1)
    assert all(run.resolver.names.endpoints(each) for each in names)


def test_ttls_are_clamped():
    for ttl, least, most in ((0, 90, 112), (10**9, 1, 2)):
        run = Run(lambda query, ttl=ttl: srv_answer(RECORDS, ttl), lifetimes={"least_s": 10, "most_s": 900})
        assert least <= run.until(1_000).count() <= most


def test_dispatchers_that_start_together_do_not_query_in_step():
    firsts, later = [], []
    for number in range(100):
        run = Run(
            lambda query: srv_answer(RECORDS), dispatcher=f"d-{number}", budgets={"start_spread_s": 1.0}
        ).until(40)
        firsts.append(run.asked[0][0] - 10**15)
        later.append(run.asked[1][0] - run.asked[0][0])
    assert max(sum(at // 100_000 == slot for at in firsts) for slot in range(10)) <= 20
    assert max(later) - min(later) > 2 * SECOND


def test_a_truncated_answer_is_retried_over_tcp_and_then_fails():
    run = Run(lambda query: srv_answer(RECORDS) if query.over_tcp else TruncatedAnswer()).until(1)
    assert run.endpoints == {A, B} and [query.over_tcp for _, query in run.asked] == [False, True]
    run = Run(lambda query: TruncatedAnswer(), budgets={"tries": 1}).until(0.5)
    assert run.resolver.names.by_srv_name[NAME].last_error.endswith("truncated over TCP")


def test_cname_chains_are_followed_to_a_bound():
    away = "_arama._tcp.elsewhere.example"
    run = Run(lambda query: srv_answer(RECORDS) if query.name == away else CnameAlias(away)).until(1)
    assert run.endpoints == {A, B}
    run = Run(lambda query: CnameAlias(f"x{query.id}.example"), budgets={"tries": 1}).until(0.5)
    assert run.count() == MAX_CNAME_CHAIN + 1 and "aliases" in run.resolver.names.by_srv_name[NAME].last_error


def test_a_server_without_edns_is_queried_without_it():
    run = Run(
        lambda query: QueryFailure("FORMERR", edns_suspected=True) if query.edns else srv_answer(RECORDS)
    ).until(100)
    assert run.endpoints == {A, B} and [query.edns for _, query in run.asked[:3]] == [True, False, False]


@pytest.mark.parametrize(
    "failure", [QueryFailure("SERVFAIL"), QueryFailure("no answer in time", server_unreachable=True)]
)
def test_failures_leave_the_accepted_records_until_the_stale_bound(failure):
    bad = []
    run = Run(
        lambda query: failure if bad else srv_answer(RECORDS), count=2, lifetimes={"stale_s": 600}
    ).until(10)
    bad.append(True)
    run.until(600)
    assert run.endpoints == {A, B} and run.resolver.names.by_srv_name[NAME].failing_since
    asked = run.count()
    run.until(100)
    assert run.endpoints == set() and run.count() - asked < 30, "it backs off between rounds"
    bad.clear()
    run.until(60)
    assert run.endpoints == {A, B} and not run.resolver.names.by_srv_name[NAME].failing_since


def test_the_next_nameserver_is_queried_and_a_failing_one_backs_off():
    run = Run(lambda query: TIMED_OUT if query.server == 0 else srv_answer(RECORDS, 5), count=3).until(600)
    assert run.endpoints == {A, B} and not run.resolver.names.by_srv_name[NAME].failing_since
    assert run.resolver.nameservers.health[0].queries < 30


OLD_ZONE = srv_answer({A: SrvPreference(0, 1), C: SrvPreference(0, 1)}, 5)


@pytest.mark.parametrize("wrong", [NegativeAnswer("NXDOMAIN", 5), NegativeAnswer("NODATA", 5), OLD_ZONE])
@pytest.mark.parametrize("wrong_server", range(3))
def test_a_wrong_nameserver_empties_no_name(wrong, wrong_server):
    seen = set()

    def answer(query):
        seen.add(frozenset(run.endpoints))
        return wrong if query.server == wrong_server else srv_answer(RECORDS, 5)

    run = Run(answer, count=3)
    run.until(600)
    assert seen == {frozenset(), frozenset(RECORDS)}, seen


def test_a_nameserver_that_is_wrong_from_the_start_is_outvoted():
    run = Run(
        lambda query: NegativeAnswer("NXDOMAIN", 300) if query.server == 0 else srv_answer(RECORDS), count=3
    )
    assert run.until(5).endpoints == {A, B}


def test_an_endpoint_is_removed_when_two_nameservers_lack_it():
    items = dict(RECORDS)
    run = Run(lambda query: srv_answer(items, 30), count=3).until(10)
    del items[B]
    assert run.until(30).endpoints == {A}
    items.clear()
    assert run.until(35).endpoints == set()


def test_all_dispatchers_choose_the_same_of_too_many_targets():
    items = {
        EndpointKey(f"b{number}.konya-1.example.org", 1): SrvPreference(number % 3, 1)
        for number in range(500)
    }
    conf = [{"name": NAME, "zone": "konya-1", "kind": "big-box", "most_targets": 100}]
    shuffled = list(items.items())
    random.Random(1).shuffle(shuffled)
    found = [
        Run(lambda query, m=dict(rows): srv_answer(m), name=conf).until(1).endpoints
        for rows in (items.items(), shuffled)
    ]
    assert found[0] == found[1] and len(found[0]) == 100
    assert {items[key].priority for key in found[0]} == {0}


# --- budgets ---


def test_queries_keep_to_their_budgets_and_recovery_brings_no_burst():
    names = [f"_n{number}._tcp.konya-1.example.org" for number in range(2_000)]
    conf = [{"name": each, "zone": "konya-1", "kind": "big-box"} for each in names]
    dead = []
    run = Run(
        lambda query: TIMED_OUT if dead else srv_answer({A: SrvPreference(0, 1)}, 30),
        names=names, name=conf, delay=20_000, budgets={"per_s": 100, "at_once": 8, "start_spread_s": 30},
    )  # fmt: skip
    run.until(60)
    dead.append(True)
    run.until(300)
    in_outage = [at for at, _ in run.asked if at > 10**15 + 100 * SECOND]
    assert len(in_outage) < 60, "one query tries the nameserver now and then"
    dead.clear()
    back = run.now
    run.until(60)
    slots = [0] * 61
    for at, _ in run.asked:
        if at >= back:
            slots[(at - back) // SECOND] += 1
    assert max(slots) <= 111, "the budget, and a tenth of a second's worth at once"
    assert all(run.resolver.names.endpoints(each) for each in names)


def test_a_budget_counts_queries_in_debt():
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
    run = Run(lambda query: srv_answer(RECORDS), count=1).until(5)
    run.resolver.reconfigure(settings(3), run.now)
    assert run.endpoints == {A, B}
    run.until(40)
    assert run.endpoints == {A, B} and {query.server for _, query in run.asked} - {0}
    run.resolver.track_only([], run.now)
    assert (
        run.resolver.names.changed == {NAME}
        and not run.resolver.names.by_question
        and not run.resolver.names.endpoints(NAME)
    )
    assert run.until(500).count() < 10


# --- snapshots ---


def encoded_snapshot(run):
    return snapshot.encode(snapshot.capture(run.resolver, [], {"x:1": 5}, run.now))


def test_a_start_without_nameservers_uses_a_snapshot_within_the_stale_bound(tmp_path):
    data = encoded_snapshot(Run(lambda query: srv_answer(RECORDS)).until(5))
    snapshot.write_file(tmp_path / "names.json", data)
    for later, boxes in ((3_600, {A, B}), (86_300, {A, B}), (86_500, set())):
        run = Run(lambda query: TIMED_OUT)
        run.now += later * SECOND
        body = snapshot.read_file(tmp_path / "names.json")
        snapshot.restore(run.resolver, body, run.now)
        assert run.endpoints == boxes and body.started == {"x:1": 5}
        assert run.until(10).endpoints == boxes
    assert run.until(86_400).endpoints == set()


def test_times_beyond_the_longest_ttl_are_clamped():
    body = snapshot.decode(encoded_snapshot(Run(lambda query: srv_answer(RECORDS)).until(5)))
    for each in [*body.srv_records, *body.address_records]:
        for row in each.records:
            row.expires_at += 10**18
    run = Run(lambda query: QueryFailure("SERVFAIL"))
    snapshot.restore(run.resolver, body, run.now)
    assert run.endpoints == {A, B} and run.until(3_600 + 86_500).endpoints == set()


def test_a_torn_old_or_foreign_snapshot_is_rejected(tmp_path):
    data = encoded_snapshot(Run(lambda query: srv_answer(RECORDS)).until(5))
    path = tmp_path / "names.json"
    assert snapshot.read_file(path) is None
    other = msgspec.json.decode(data)
    for bad, why in (
        (data[:-20], "torn"), (b"", "torn"), (b"\x00\xff" * 40, "torn"), (b"[]", "torn"),
        (data.replace(b"a.konya", b"z.konya"), "damaged"),
        (msgspec.json.encode(other | {"version": 2}), "version 2"),
        (msgspec.json.encode(other | {"format": "else"}), "foreign"),
    ):  # fmt: skip
        path.write_bytes(bad)
        with pytest.raises(snapshot.SnapshotError, match=why):
            snapshot.read_file(path)


@given(st.integers(0, 10**6), st.integers(0, 255))
def test_no_truncated_and_no_corrupted_snapshot_is_accepted(place, byte):
    data = encoded_snapshot(Run(lambda query: srv_answer(RECORDS)).until(1))
    place %= len(data)
    for bad in (data[:place], data[:place] + bytes([byte]) + data[place + 1 :]):
        try:
            body = snapshot.decode(bad)
        except snapshot.SnapshotError:
            continue
        assert msgspec.json.encode(body) == msgspec.json.encode(snapshot.decode(data))


# --- settings ---


def read(**change):
    table = {
        "enabled": True,
        "nameserver": [{"address": "127.0.0.1:53"}],
        "name": [{"name": NAME, "zone": "konya-1", "kind": "big-box"}],
    }
    return read_settings(table | change, ("konya-1",), ("big-box",))


@pytest.mark.parametrize(
    "change, fault",
    [
        ({"nameserver": []}, "nameserver: none"),
        ({"nameserver": [{"address": "ns.example.org:53"}]}, r"nameserver\[0\].address: .* is no address"),
        ({"nameserver": [{"address": "127.0.0.1:0"}]}, r"nameserver\[0\].address"),
        ({"nameserver": [{"address": "127.0.0.1:53"}] * 2}, r"nameserver\[1\].address: .* twice"),
        ({"nameserver": [{"port": 1}]}, r"nameserver\[0\]: Object"),
        ({"name": [{"name": NAME, "zone": "izmir", "kind": "big-box"}]}, r"name\[0\].zone: 'izmir'"),
        ({"name": [{"name": NAME, "zone": "konya-1", "kind": "x"}]}, r"name\[0\].kind: 'x'"),
        ({"name": [{"name": "konya.example.org", "zone": "konya-1", "kind": "big-box"}]}, r"name\[0\].name"),
        ({"name": [{"name": "_a." + "x" * 64, "zone": "konya-1", "kind": "big-box"}]}, r"name\[0\].name"),
        ({"name": [{"name": "_a..b", "zone": "konya-1", "kind": "big-box"}]}, r"name\[0\].name"),
        ({"name": [{"name": n, "zone": "konya-1", "kind": "big-box"} for n in (NAME, NAME.upper() + ".")]},
         r"name\[1\].name: .* twice"),
        ({"name": [{"name": NAME, "zone": "konya-1", "kind": "big-box", "weight_scale": 0}]},
         r"name\[0\].weight_scale"),
        ({"lifetimes": {"least_s": 10, "most_s": 5}}, "lifetimes.least_s"),
        ({"lifetimes": {"least_s": "x"}}, "lifetimes.least_s: Expected"),
        ({"budgets": {"rest_s": 60}}, "budgets.rest_s"),
        ({"budgets": {"per_s": -1}}, "budgets.per_s"),
        ({"snapshot": {"path": ""}}, "snapshot.path"),
        ({"nameservers": []}, "unknown field `nameservers`"),
    ],
)  # fmt: skip
def test_each_fault_in_the_settings_names_its_key(change, fault):
    with pytest.raises(ValueError, match=fault):
        read(**change)


def test_defaults_are_valid():
    assert read().ttl_bounds.stale_s == 86_400
