"""The resolver's decisions on a clock of the test's own: votes, plans, budgets, snapshots, settings."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from srv_kit import NAME, SECOND, settings

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

A, B, C = (EndpointKey(f"{each}.konya-1.example.org", 7101) for each in "abc")
ROOT = Question(NAME, RecordType.SRV)
TIMED_OUT = QueryFailure("no answer in time", server_unreachable=True)
TRUE = {A: SrvPreference(0, 1), B: SrvPreference(0, 1)}


def good(items, lifetime=30, addresses=True):
    """An SRV answer with its targets' addresses beside it."""
    extra = {}
    if addresses:
        extra = {
            Question(key.target, RecordType.A): PositiveAnswer({"127.0.0.1": None}, lifetime) for key in items
        }
    return PositiveAnswer(items, lifetime, extra)


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
            self.send(self.resolver.due(self.now))
            times = [at for at, _ in self.out]
            if (at := self.resolver.next_at(self.now)) is not None:
                times.append(max(at, self.now))
            self.now = min([*times, end])
            if self.now >= end and not any(at <= end for at, _ in self.out):
                return self
            for at, query in [each for each in self.out if each[0] <= self.now]:
                self.out.remove((at, query))
                self.send(self.resolver.query_done(query.id, self.answered(query), self.now))

    def answered(self, query):
        """By the script; where it speaks of SRV alone, addresses are what it has beside the records."""
        meaning = self.answer(query)
        if (
            isinstance(meaning, PositiveAnswer)
            and meaning.additional
            and query.question.record_type is not RecordType.SRV
        ):
            return meaning.additional.get(query.question) or NegativeAnswer("NODATA", 5)
        return meaning

    def send(self, queries):
        for query in queries:
            self.asked.append((self.now, query))
            self.out.append((self.now + self.delay, query))

    @property
    def boxes(self):
        return set(self.resolver.names.endpoints(NAME))

    def count(self, kind=None):
        return sum(kind in (None, query.question.record_type) for _, query in self.asked)


# --- votes ---


def vote(quorum, *votes, now=0, until=100):
    for server, items in votes:
        quorum.add_vote(server, dict.fromkeys(items, 1), until, now)
    return set(quorum.accepted)


def test_one_confused_nameserver_of_three_takes_nothing_away_and_adds_nothing():
    for lie in ("", "AC", "C", "ABC"):
        quorum = AnswerQuorum(3)
        assert vote(quorum, (0, "AB"), (2, "AB"), now=0, until=10) == set("AB")
        assert vote(quorum, (1, lie), now=20) == set("AB") and quorum.is_disputed(20)
        assert vote(quorum, (2, "AB"), now=21) == set("AB")
        assert vote(quorum, (0, "AB"), now=22) == set("AB") and not quorum.is_disputed(22)
        assert quorum.outvoted_servers == {1}


def test_two_nameservers_take_away_what_both_lack():
    quorum = AnswerQuorum(3)
    vote(quorum, (0, "AB"), (1, "AB"), until=10)
    assert vote(quorum, (0, "A"), now=20) == set("AB")
    assert vote(quorum, (1, "A"), now=21) == {"A"} and not quorum.is_disputed(21)


def test_with_one_nameserver_two_answers_in_a_row_take_away():
    quorum = AnswerQuorum(1)
    vote(quorum, (0, "AB"))
    assert vote(quorum, (0, "")) == set("AB") and not quorum.is_disputed(0)
    assert vote(quorum, (0, "AB")) == set("AB")
    assert vote(quorum, (0, "A")) == set("AB")
    assert vote(quorum, (0, "A")) == {"A"}


def test_a_tie_leaves_all_as_it_was():
    quorum = AnswerQuorum(2)
    vote(quorum, (0, "A"), (1, "A"), until=10)
    assert vote(quorum, (1, "AC"), now=20) == {"A"} and quorum.is_disputed(20), "it brings one more, alone"
    vote(quorum, (0, "A"), now=20)
    assert not quorum.tally(21, final=True) and set(quorum.accepted) == {"A"}
    start = AnswerQuorum(2)
    vote(start, (0, ""), (1, "A"))
    start.tally(1, final=True)
    assert set(start.accepted) == {"A"}, "nothing was listed: one that lists is believed"


def test_what_nobody_renews_is_dropped_at_the_stale_bound():
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
def test_whatever_one_nameserver_says_what_the_others_list_stays(script, liar):
    """The others tell the truth, AB, in each round; the liar anything, at any time."""
    quorum, now = AnswerQuorum(3), 0
    honest = [each for each in range(3) if each != liar]
    vote(quorum, *((each, "AB") for each in honest), until=50)
    for server, items, wait in script:
        now += wait
        said = items if server == liar else "AB"
        vote(quorum, (server, said), now=now, until=now + 50)
        if quorum.is_disputed(now):
            vote(quorum, *((each, "AB") for each in honest), now=now, until=now + 50)
            quorum.tally(now, final=True)
            assert set(quorum.accepted) == set("AB")
        assert {"A", "B"} <= set(quorum.accepted)


# --- plans ---


def test_a_name_is_asked_once_a_lifetime_and_no_more():
    run = Run(lambda query: good(TRUE, 30)).until(3_000)
    assert run.boxes == {A, B}
    assert 100 <= run.count() <= 100 / 0.9 + 1 and run.count(RecordType.SRV) == run.count()


def test_addresses_are_asked_for_where_none_came_beside():
    def answer(query):
        match query.question.record_type:
            case RecordType.SRV:
                return good(TRUE, 30, addresses=False)
            case RecordType.A:
                return PositiveAnswer({"127.0.0.1": None}, 60)
        return NegativeAnswer("NODATA", 60)

    run = Run(answer, count=3).until(5)
    # Two nameservers must list each record, once; NODATA for AAAA is no cause for doubt.
    assert run.boxes == {A, B} and (
        run.count(RecordType.SRV),
        run.count(RecordType.A),
        run.count(RecordType.AAAA),
    ) == (2, 4, 2)
    run.until(115)
    assert run.count(RecordType.SRV) <= 2 + 4, "from then on one answer a lifetime will do"


def test_equal_questions_are_one():
    names = [f"_n{number}._tcp.konya-1.example.org" for number in range(50)]
    conf = [{"name": each, "zone": "konya-1", "kind": "big-box"} for each in names]

    def answer(query):
        if query.question.record_type is RecordType.SRV:
            return good({A: SrvPreference(0, 1)}, addresses=False)
        return PositiveAnswer({"127.0.0.1": None}, 30)

    run = Run(answer, names=names, name=conf).until(5)
    assert (run.count(RecordType.SRV), run.count(RecordType.A)) == (50, 1)
    assert all(run.resolver.names.endpoints(each) for each in names)


def test_lifetimes_are_clamped():
    for lifetime, least, most in ((0, 90, 112), (10**9, 1, 2)):
        run = Run(
            lambda query, lifetime=lifetime: good(TRUE, lifetime), lifetimes={"least_s": 10, "most_s": 900}
        )
        assert least <= run.until(1_000).count() <= most


def test_dispatchers_that_start_together_do_not_ask_in_step():
    firsts, later = [], []
    for number in range(100):
        run = Run(lambda query: good(TRUE), dispatcher=f"d-{number}", budgets={"start_spread_s": 1.0}).until(
            40
        )
        firsts.append(run.asked[0][0] - 10**15)
        later.append(run.asked[1][0] - run.asked[0][0])
    assert max(sum(at // 100_000 == slot for at in firsts) for slot in range(10)) <= 20
    assert max(later) - min(later) > 2 * SECOND


def test_truncated_goes_over_tcp_and_that_failing_is_unknown():
    run = Run(lambda query: good(TRUE) if query.over_tcp else TruncatedAnswer()).until(1)
    assert run.boxes == {A, B} and [query.over_tcp for _, query in run.asked] == [False, True]
    run = Run(lambda query: TruncatedAnswer(), budgets={"tries": 1}).until(0.5)
    assert run.resolver.names.roots[NAME].last_error.endswith("truncated over TCP")


def test_aliases_are_followed_to_a_bound():
    away = "_arama._tcp.elsewhere.example"
    run = Run(lambda query: good(TRUE) if query.name == away else CnameAlias(away)).until(1)
    assert run.boxes == {A, B}
    run = Run(lambda query: CnameAlias(f"x{query.id}.example"), budgets={"tries": 1}).until(0.5)
    assert run.count() == MAX_CNAME_CHAIN + 1 and "aliases" in run.resolver.names.roots[NAME].last_error


def test_without_edns_where_the_server_does_not_know_it():
    run = Run(lambda query: QueryFailure("FORMERR", edns_suspected=True) if query.edns else good(TRUE)).until(
        100
    )
    assert run.boxes == {A, B} and [query.edns for _, query in run.asked[:3]] == [True, False, False]


@pytest.mark.parametrize(
    "failure", [QueryFailure("SERVFAIL"), QueryFailure("no answer in time", server_unreachable=True)]
)
def test_unknown_leaves_what_is_listed_until_the_stale_bound(failure):
    bad = []
    run = Run(lambda query: failure if bad else good(TRUE), count=2, lifetimes={"stale_s": 600}).until(10)
    bad.append(True)
    run.until(600)
    assert run.boxes == {A, B} and run.resolver.names.roots[NAME].failing_since
    asked = run.count()
    run.until(100)
    assert run.boxes == set() and run.count() - asked < 30, "it rests between rounds"
    bad.clear()
    run.until(60)
    assert run.boxes == {A, B} and not run.resolver.names.roots[NAME].failing_since


def test_the_next_nameserver_is_tried_and_one_that_fails_rests():
    run = Run(lambda query: TIMED_OUT if query.server == 0 else good(TRUE, 5), count=3).until(600)
    assert run.boxes == {A, B} and not run.resolver.names.roots[NAME].failing_since
    assert run.resolver.nameservers.health[0].queries < 30


OLD_ZONE = good({A: SrvPreference(0, 1), C: SrvPreference(0, 1)}, 5)


@pytest.mark.parametrize("lie", [NegativeAnswer("NXDOMAIN", 5), NegativeAnswer("NODATA", 5), OLD_ZONE])
@pytest.mark.parametrize("liar", range(3))
def test_a_nameserver_that_lies_empties_nothing(lie, liar):
    seen = set()

    def answer(query):
        seen.add(frozenset(run.boxes))
        return lie if query.server == liar else good(TRUE, 5)

    run = Run(answer, count=3)
    run.until(600)
    assert seen == {frozenset(), frozenset(TRUE)}, seen


def test_a_nameserver_that_lies_from_the_start_is_found_out():
    run = Run(lambda query: NegativeAnswer("NXDOMAIN", 300) if query.server == 0 else good(TRUE), count=3)
    assert run.until(5).boxes == {A, B}


def test_a_box_that_leaves_is_gone_when_two_nameservers_say_so():
    items = dict(TRUE)
    run = Run(lambda query: good(items, 30), count=3).until(10)
    del items[B]
    assert run.until(30).boxes == {A}
    items.clear()
    assert run.until(35).boxes == set()


def test_many_targets_are_bounded_alike():
    items = {
        EndpointKey(f"b{number}.konya-1.example.org", 1): SrvPreference(number % 3, 1)
        for number in range(500)
    }
    conf = [{"name": NAME, "zone": "konya-1", "kind": "big-box", "most_targets": 100}]
    shuffled = list(items.items())
    random.Random(1).shuffle(shuffled)
    found = [
        Run(lambda query, m=dict(rows): good(m), name=conf).until(1).boxes
        for rows in (items.items(), shuffled)
    ]
    assert found[0] == found[1] and len(found[0]) == 100
    assert {items[key].priority for key in found[0]} == {0}


# --- budgets ---


def test_queries_keep_to_their_budgets_and_a_return_brings_no_burst():
    names = [f"_n{number}._tcp.konya-1.example.org" for number in range(2_000)]
    conf = [{"name": each, "zone": "konya-1", "kind": "big-box"} for each in names]
    dead = []
    run = Run(
        lambda query: TIMED_OUT if dead else good({A: SrvPreference(0, 1)}, 30),
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


def test_a_budget_counts_what_goes_past_it():
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
        budget.first_attempt()
    assert budget.try_retry() and not budget.try_retry()


def test_other_nameservers_and_other_names_take_over_what_is_known():
    run = Run(lambda query: good(TRUE), count=1).until(5)
    run.resolver.reconfigure(settings(3), run.now)
    assert run.boxes == {A, B}
    run.until(40)
    assert run.boxes == {A, B} and {query.server for _, query in run.asked} - {0}
    run.resolver.track_only([], run.now)
    assert (
        run.resolver.names.changed == {NAME}
        and not run.resolver.names.by_question
        and not run.resolver.names.endpoints(NAME)
    )
    assert run.until(500).count() < 10


# --- snapshots ---


def snap(run):
    return snapshot.encode(snapshot.capture(run.resolver, [], {"x:1": 5}, run.now))


def test_a_start_without_nameservers_serves_from_a_snapshot_within_the_bound(tmp_path):
    data = snap(Run(lambda query: good(TRUE)).until(5))
    snapshot.write_file(tmp_path / "names.json", data)
    for later, boxes in ((3_600, {A, B}), (86_300, {A, B}), (86_500, set())):
        run = Run(lambda query: TIMED_OUT)
        run.now += later * SECOND
        body = snapshot.read_file(tmp_path / "names.json")
        snapshot.restore(run.resolver, body, run.now)
        assert run.boxes == boxes and body.started == {"x:1": 5}
        assert run.until(10).boxes == boxes
    assert run.until(86_400).boxes == set()


def test_times_too_far_ahead_are_brought_back():
    body = snapshot.decode(snap(Run(lambda query: good(TRUE)).until(5)))
    for each in [*body.srv_records, *body.address_records]:
        for row in each.records:
            row.expires_at += 10**18
    run = Run(lambda query: QueryFailure("SERVFAIL"))
    snapshot.restore(run.resolver, body, run.now)
    assert run.boxes == {A, B} and run.until(3_600 + 86_500).boxes == set()


def test_a_torn_old_or_foreign_snapshot_is_refused(tmp_path):
    data = snap(Run(lambda query: good(TRUE)).until(5))
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
def test_no_cut_and_no_flipped_byte_gets_through(place, byte):
    data = snap(Run(lambda query: good(TRUE)).until(1))
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
def test_every_fault_is_named_by_its_key(change, fault):
    with pytest.raises(ValueError, match=fault):
        read(**change)


def test_defaults_are_good():
    assert read().ttl_bounds.stale_s == 86_400
