"""Leases: the log, the state machine, both sides of time, and fleets with faults on virtual time."""

from __future__ import annotations

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from benchmarks.fleet_history import Call, linearizable
from benchmarks.fleet_search import RemainingSteps, search
from benchmarks.fleet_sim import simulate
from hazelbend.consensus import state_codec
from hazelbend.consensus.errors import CorruptStateError
from hazelbend.consensus.messages import AppendEntries, AppendResponse, Entry, Message
from hazelbend.consensus.persistent_state import PersistentState, next_epoch
from hazelbend.consensus.raft import RaftConfig, RaftNode
from hazelbend.consensus.voters import next_voters
from hazelbend.leases.client import LeaseClient, Stage
from hazelbend.leases.expiry_watcher import ExpiryWatcher
from hazelbend.leases.fencing import TOKEN_BITS
from hazelbend.leases.lease_node import LeaseNode, LeaseNodeSettings, Reply
from hazelbend.leases.lease_table import LeaseLimits, LeaseTable
from hazelbend.leases.operations import (
    Acquire,
    Expire,
    ExpireWaiter,
    ForceRelease,
    HandOver,
    LeaseResponse,
    LeaveQueue,
    OpenEpoch,
    Operation,
    Release,
    Renew,
    encode,
)
from hazelbend.transport.storage.fleet_store import FleetStore

S = 1_000_000
LIMITS = LeaseLimits(max_leases=3, max_waiters=2, min_ttl_us=S, max_ttl_us=10 * S)


def open_table() -> LeaseTable:
    table = LeaseTable(LIMITS)
    table.begin(7)
    apply(table, OpenEpoch())
    return table


def apply(to: LeaseTable, operation: Operation) -> LeaseResponse:
    return to.apply(0, encode(operation))


def acquire(
    to: LeaseTable, holder: str, name: str = "a", request_id: int = 1, ttl_us: int = 2 * S, wait_us: int = 0
) -> LeaseResponse:
    return apply(to, Acquire(name, holder, request_id, ttl_us, wait_us))


# --- the state machine ---


def test_waiters_get_the_lease_in_order_and_tokens_grow():
    table = open_table()
    first = acquire(table, "x").token
    assert first >> TOKEN_BITS == 7
    assert acquire(table, "y").reason == "held"
    assert (
        acquire(table, "y", request_id=2, wait_us=S).queue_position == 1
        and acquire(table, "z", wait_us=S).queue_position == 2
    )
    assert acquire(table, "w", wait_us=S).reason == "too many wait"
    assert apply(table, Release("a", first)).reason == "released"
    second = acquire(table, "y", request_id=2, wait_us=S).token
    assert second == first + 1
    assert apply(table, Release("a", first)).reason == "lost", "an old token releases nothing"
    assert apply(table, HandOver("a", second, "w")).reason == "it does not wait"
    assert apply(table, LeaveQueue("a", "z")).reason == "left"
    assert apply(table, ForceRelease("a")).reason == "released" and table.state.leases == {}
    assert acquire(table, "w").token == second + 1


def test_acquire_is_idempotent_and_a_second_request_of_one_holder_is_rejected():
    table = open_table()
    token = acquire(table, "x").token
    assert acquire(table, "x").token == token and table.state.leases["a"].renewals == 1
    assert acquire(table, "x", request_id=2, wait_us=S).reason == "another wish of the same holder"
    acquire(table, "y", wait_us=S)
    assert acquire(table, "y", wait_us=S).queue_position == 1 and len(table.state.leases["a"].waiters) == 1


def test_a_renewal_ordered_before_an_expiry_makes_it_void():
    table = open_table()
    token = acquire(table, "x").token
    apply(table, Renew("a", token))
    assert apply(table, Expire("a", token, 0)).reason == "renewed" and table.state.leases["a"].token == token
    assert apply(table, Expire("a", token, 1)).reason == "released"
    assert apply(table, Renew("a", token)).reason == "free"


def test_limits_and_an_epoch_that_is_not_open_are_reported():
    table = open_table()
    assert [acquire(table, "x", name=name).reason for name in ("a", "b", "c", "d")] == [
        "",
        "",
        "",
        "too many leases",
    ]
    assert (
        acquire(table, "y", ttl_us=S // 2).reason == "ttl"
        and acquire(table, "y", ttl_us=11 * S).reason == "ttl"
    )
    assert acquire(table, "", name="b").reason == acquire(table, "y", name="n" * 201).reason == "name"
    table.begin(8)
    assert acquire(table, "x").reason == "not open yet" and table.state.grants == 0
    apply(table, OpenEpoch())
    assert acquire(table, "x").token >> TOKEN_BITS == 8


def test_a_snapshot_holds_the_complete_state():
    table, other = open_table(), LeaseTable(LIMITS)
    acquire(table, "x"), acquire(table, "y", wait_us=S)
    other.restore(table.snapshot())
    assert other.state == table.state
    assert apply(other, Release("a", acquire(other, "x").token)).reason == "released"
    assert acquire(other, "y", wait_us=S).token == table.state.leases["a"].token + 1


def test_the_expiry_watcher_counts_from_what_it_applied_itself():
    table, watcher = open_table(), ExpiryWatcher(LIMITS)
    watcher.observe(table, 0)
    token = acquire(table, "x").token
    acquire(table, "y", wait_us=S)
    watcher.observe(table, 5 * S)
    apply(table, Renew("a", token))
    watcher.observe(table, 6 * S)
    assert watcher.expired(table, 8 * S - 1) == []
    assert watcher.expired(table, 8 * S) == [Expire("a", token, 1)]
    assert ExpireWaiter("a", "y", 1, 1) in watcher.expired(table, 15 * S), "a waiter polls again, or is gone"
    table.begin(9)
    watcher.observe(table, 20 * S)
    assert watcher.expired(table, 30 * S) == [] and watcher.expired(table, watcher.opens_at()) == [
        OpenEpoch()
    ]
    assert watcher.opens_at() > 30 * S


# --- the client ---


@given(
    ttl=st.integers(S, 10 * S),
    delay=st.integers(0, 20 * S),
    rates=st.tuples(*[st.sampled_from((0.95, 1.0, 1.05))] * 2),
)
@example(ttl=1_048_576, delay=252_444, rates=(0.95, 1.05))  # 0.4 us too long, when it was rounded
def test_a_client_stops_before_any_grantor_may_expire_its_lease(ttl, delay, rates):
    """The request leaves at true time 0, is applied at once, and its answer is as late as it may be."""
    client = LeaseClient(Acquire("a", "x", 1, ttl), LIMITS, 0)
    [request] = client.tick(0)
    client.handle_response(request.number, LeaseResponse(token=5), round(delay * rates[0]))
    over = ttl / rates[1]
    assert not client.may_act(round(over * rates[0]))
    assert client.may_act(round(delay * rates[0])) == (round(delay * rates[0]) < client.expires_at)
    assert client.expires_at <= over * rates[0]


def test_a_client_renews_in_time_and_ends_when_its_lease_is_lost():
    client = LeaseClient(Acquire("a", "x", 1, 6 * S, 20 * S), LIMITS, 0)
    [first] = client.tick(0)
    client.handle_response(first.number, LeaseResponse(queue_position=1), 1_000)
    assert client.stage is Stage.WAITING and not client.may_act(1_000)
    at = client.next_at
    [again] = client.tick(at)
    client.handle_response(again.number, LeaseResponse(token=9), 2 * S)
    assert client.may_act(2 * S) and client.expires_at == at + client.holder_ttl_us
    assert client.tick(2 * S) == []
    [renewal] = client.tick(client.next_at)
    assert renewal.operation == Renew("a", 9)
    before = client.expires_at
    client.handle_response(renewal.number, None, 3 * S)
    client.handle_response(again.number, LeaseResponse(token=9), 3 * S)
    assert client.expires_at == before, "neither a missing nor a repeated response extends the lease"
    [renewal] = client.tick(client.next_at)
    client.handle_response(renewal.number, LeaseResponse(token=9), 4 * S)
    assert client.expires_at > before
    [renewal] = client.tick(client.next_at)
    client.handle_response(renewal.number, LeaseResponse(reason="lost"), 5 * S)
    assert (client.stage, client.reason) == (Stage.ENDED, "lost") and not client.may_act(5 * S)


def test_a_client_that_releases_acts_no_more_and_retries_the_release():
    client = LeaseClient(Acquire("a", "x", 1, 6 * S), LIMITS, 0)
    [first] = client.tick(0)
    client.handle_response(first.number, LeaseResponse(token=9), 10)
    client.release(S)
    assert not client.may_act(S)
    [release] = client.tick(S)
    client.handle_response(release.number, None, S)
    [release] = client.tick(client.next_at)
    assert release.operation == Release("a", 9)
    client.handle_response(release.number, LeaseResponse(reason="released"), 2 * S)
    assert (client.stage, client.reason) == (Stage.ENDED, "")


def test_a_client_without_responses_ends_by_itself():
    client = LeaseClient(Acquire("a", "x", 1, 6 * S), LIMITS, 0)
    [first] = client.tick(0)
    client.handle_response(first.number, LeaseResponse(token=9), 10)
    client.tick(client.expires_at)
    assert (client.stage, client.reason) == (Stage.ENDED, "lost")
    other = LeaseClient(Acquire("a", "y", 1, 6 * S, S), LIMITS, 0)
    other.tick(0)
    [last] = other.tick(7 * S)
    assert (other.stage, other.reason) == (Stage.ENDED, "no answer") and last.operation == LeaveQueue(
        "a", "y"
    )


# --- the log ---


def raft_node(identity: str = "a.1") -> RaftNode:
    return RaftNode(PersistentState(identity), LeaseTable(LIMITS), RaftConfig(), 1, 0)


def test_one_voter_starts_an_epoch_and_never_a_lower_one():
    alone = raft_node()
    assert alone.propose(encode(OpenEpoch()), 0) is None, "there is no epoch yet"
    alone.force_new_cluster(5, 0)
    proposal_id = alone.propose(encode(OpenEpoch()), 0)
    assert alone.has_committed_in_term
    assert [each.proposal_id for each in alone.outcomes if each.committed] == [proposal_id]
    with pytest.raises(ValueError, match="not higher"):
        alone.force_new_cluster(5, 0)
    assert alone.hard_state_changed and alone.first_unsaved_index == 1
    first, second = next_epoch(0, 1.9e9, "a"), next_epoch(0, 1.9e9, "b")
    assert max(first, second) << TOKEN_BITS < 1 << 63, "tokens fit into what is sent"
    assert first != second and next_epoch(second, 3.0, "a") > second, "also after a step of the wall clock"


def test_missing_entries_are_sent_and_an_old_response_causes_no_retransmission():
    leader, new = raft_node("a.1"), raft_node("b.1")
    leader.force_new_cluster(5, 0)
    leader.set_learners({"b.1"}, 0)
    for _ in range(600):
        leader.propose(encode(OpenEpoch()), 0)
    assert leader.persistent.last_included_index > 0, "what is applied goes into a snapshot"
    now = 0
    for _ in range(40):
        now += 100_000
        leader.tick(now)
        for each in leader.outbox:
            new.receive(each, now)
        leader.outbox.clear()
        for each in new.outbox:
            leader.receive(each, now)
        new.outbox.clear()
    assert new.commit_index == leader.commit_index and new.state_machine.state.is_open
    leader.outbox.clear()
    leader.peers["b.1"].match_index = leader.persistent.last_index
    leader.receive(Message("b.1", "a.1", 5, 1, AppendResponse(False, 3, 0)), now)
    assert leader.outbox == []


def test_a_voter_marks_its_vote_unsaved_before_it_responds():
    """The driver saves what these name before it sends the outbox."""
    voter = raft_node("b.1")
    voter.receive(Message("a.1", "b.1", 5, 1, AppendEntries(0, 0, (Entry(1, ("a.1", "b.1")),), 0, 1)), 0)
    assert voter.hard_state_changed and voter.first_unsaved_index == 1 and voter.outbox


@pytest.mark.parametrize(
    "voters, members, lost, then",
    [
        ("a", "ab", "", "ab"),
        ("ab", "abc", "", "abc"),
        ("abc", "abcd", "", None),
        ("abc", "abcd", "b", "abcd"),
        ("abcd", "acd", "b", "acd"),
        ("abc", "ac", "b", None),  # two of three decide; two of two would be no better
        ("abc", "bc", "a", None),
        ("abcde", "abcde", "", "abcd"),
        ("abcde", "abc", "de", "abce"),
    ],
)
def test_the_next_voters(voters, members, lost, then):
    found = next_voters(tuple(voters), "a" if "a" in members else "b", tuple(members), set(lost), 3)
    assert found == (tuple(then) if then else None)


# --- all of it as one engine ---


def test_a_flood_of_acquires_is_rate_limited_and_renewals_are_not():
    node = LeaseNode("a#1@h:1", LeaseNodeSettings("f", (), limits=LIMITS, acquires_per_s=10.0), 1, 0)
    node.start_new_epoch(1.9e9, 0)
    node.tick(11 * S)
    node.submit(0, Acquire("a", "x", 1, 2 * S), 11 * S)
    token = node.replies.pop()[1].response.token
    for number in range(500):
        node.submit(number, Acquire("a", f"y{number}", 1, 2 * S), 11 * S)
    node.submit(501, Renew("a", token), 11 * S)
    reasons = [reply.response.reason for number, reply in node.replies if number < 500]
    assert (reasons.count("held"), reasons.count("busy")) == (19, 481)
    assert node.replies[-1][1].response.token == token, "the holder can still renew"
    node.replies.clear()
    node.submit(502, Acquire("a", "y", 1, 2 * S), 12 * S)
    assert node.replies[-1][1].response.reason == "held"
    client = LeaseClient(Acquire("a", "y", 1, 2 * S), LIMITS, 0)
    [request] = client.tick(0)
    client.handle_response(request.number, LeaseResponse(reason="busy"), 10)
    assert client.stage is Stage.REQUESTING and client.next_at >= 2 * S // 12, "it retries after a delay"


def test_a_waiter_is_answered_when_it_is_granted_the_lease_or_after_the_long_poll():
    node = LeaseNode("a#1@h:1", LeaseNodeSettings("f", (), limits=LIMITS), 1, 0)
    node.start_new_epoch(1.9e9, 0)
    node.tick(11 * S)
    node.submit(0, Acquire("a", "x", 1, 4 * S), 11 * S)
    token = node.replies.pop()[1].response.token
    for number, holder in ((1, "y"), (2, "z")):
        node.submit(number, Acquire("a", holder, 1, 4 * S, 9 * S), 11 * S)
    assert node.replies == [] and node.next_at <= 12 * S
    node.submit(3, Release("a", token), 11 * S + 10)
    replies = dict(node.replies)
    assert set(replies) == {1, 3} and replies[1].response.token == token + 1
    node.replies.clear()
    node.tick(12 * S)
    [(number, reply)] = node.replies
    assert number == 2 and reply.response.queue_position == 2, "as of its request"
    client = LeaseClient(Acquire("a", "y", 1, 4 * S, 9 * S), LIMITS, 11 * S)
    [request] = client.tick(11 * S)
    client.handle_response(request.number, LeaseResponse(queue_position=1), 12 * S)
    assert client.next_at == 12 * S, "the next request follows a long poll at once"
    [request] = client.tick(12 * S)
    client.handle_response(request.number, LeaseResponse(token=token + 1), 12 * S + S // 2)
    assert client.expires_at == 12 * S + client.holder_ttl_us, (
        "from before the request, and so before the grant"
    )


def test_a_member_that_does_not_vote_knows_the_leader():
    """Five members, three of which vote: the others hear of the record only what members tell each other."""
    names = [f"n{n}#1@h:{n}" for n in range(5)]
    settings = LeaseNodeSettings("f", ("h:0",), limits=LIMITS)
    by_address = {f"h:{n}": LeaseNode(name, settings, n, 0) for n, name in enumerate(names)}
    for now in range(0, 60 * S, S // 20):
        if now == 20 * S:
            by_address["h:0"].start_new_epoch(1.9e9, now)
        for each in by_address.values():
            each.tick(now)
        while any(each.outbox for each in by_address.values()):
            for each in by_address.values():
                out, each.outbox = each.outbox, []
                for address, item in out:
                    by_address[address].receive(item, now)
    leads = by_address["h:0"].raft
    others = [each for each in by_address.values() if not each.raft.is_voter]
    assert leads.is_leader and len(leads.voters) == 3 and len(others) == 2
    for each in others:
        each.submit(1, Acquire("a", "x", 1, 2 * S), 60 * S)
        assert each.replies == [(1, Reply(leader=names[0]))] and each.view(60 * S).leader == names[0]


def test_a_message_for_the_previous_process_at_an_address_is_ignored():
    node = LeaseNode("a#2@h:1", LeaseNodeSettings("f", ()), 1, 0)
    node.receive(Message("b#1@h:2", "a#1@h:1", 5, 1, AppendEntries(0, 0, (Entry(1, ("a#1@h:1",)),), 0, 1)), 0)
    assert node.raft.persistent.epoch == 0 and not node.outbox


# --- the persistent state in a file ---


def kept() -> tuple[bytes, PersistentState]:
    """A file of several writes, one of which takes entries back, and what it holds."""
    voter = raft_node("b.1")
    content = state_codec.encode_state(voter.persistent)
    entries = [Entry(term, None, bytes([term])) for term in (1, 1, 2)]
    for term, before, some in ((1, 0, entries[:2]), (2, 1, entries[2:]), (2, 2, entries[2:])):
        before_term = 0 if before == 0 else entries[0].term if before == 1 else 2
        voter.receive(
            Message("a.1", "b.1", 5, term, AppendEntries(before, before_term, tuple(some), 0, 1)), 0
        )
        content += state_codec.encode_changes(voter)
    return content, voter.persistent


def test_a_file_returns_what_was_written_and_drops_only_an_incomplete_write():
    content, memory = kept()
    first = len(state_codec.encode_state(PersistentState("b.1")))
    found, good = state_codec.decode_state(content)
    assert found == memory and good == len(content) and [each.term for each in found.entries] == [1, 2, 2]
    sizes = {state_codec.decode_state(content[:cut])[1] for cut in range(first, len(content))}
    assert all(state_codec.decode_state(content[:size])[1] == size for size in sizes) and len(sizes) > 3


def test_a_flipped_bit_is_always_detected():
    content, _ = kept()
    for place in range(len(content)):
        changed = bytearray(content)
        changed[place] ^= 0x10
        with pytest.raises(CorruptStateError):
            state_codec.decode_state(bytes(changed))


def test_a_store_has_one_process_and_rejects_files_of_another_version_or_address(tmp_path):
    store, other = FleetStore(tmp_path / "s"), FleetStore(tmp_path / "s")
    assert store.open("@h:1") is None
    with pytest.raises(OSError):
        other.open("@h:1")
    other.close()
    store.replace(state_codec.encode_state(PersistentState("n@h:1", 7, 3, "n@h:1")))
    assert store.append(state_codec.encode_frame(state_codec.HardState("n@h:1", 7, 4, ""))) is False
    store.close()
    with (tmp_path / "s" / "memory").open("ab") as file:
        file.write(b"\x07")
    again = FleetStore(tmp_path / "s")
    assert again.open("@h:1") == PersistentState("n@h:1", 7, 4, "")
    again.append(state_codec.encode_frame(state_codec.HardState("n@h:1", 7, 5, "")))
    again.close()
    stored, _ = state_codec.decode_state((tmp_path / "s" / "memory").read_bytes())
    assert stored.current_term == 5, "the torn end is gone"
    moved = FleetStore(tmp_path / "s")
    assert moved.open("@h:2") is None
    moved.close()
    (tmp_path / "s" / "memory").write_bytes(b"another format")
    with pytest.raises(CorruptStateError):
        moved.open("@h:1")
    moved.close()
    assert (tmp_path / "s" / "memory.damaged").read_bytes() == b"another format"


# --- fleets with faults ---


@pytest.mark.parametrize("nodes, schedules", [(3, 20), (5, 12), (7, 5)])
def test_no_two_holders_act_at_once_under_any_fault(nodes, schedules):
    """Schedules of ten seconds, with every fault; a longer run: benchmarks/fleet_sim.py."""
    played = [simulate(seed, nodes, 10.0, "") for seed in range(schedules)]
    assert [each["broken"] for each in played if each["broken"]] == []
    assert (
        sum(each["grants"] for each in played) > schedules
        and sum(each.get("acts", 0) for each in played) > 100
    )
    assert played[0] == simulate(0, nodes, 10.0, ""), "the same seed is the same run"


@pytest.mark.parametrize(
    "seed, nodes, defect, found",
    [
        (7, 5, "no token check", "the store took"),
        (120, 5, "time from the answer", "overlap"),
        (1, 5, "no wait by a new leader", "overlap"),
        (15, 5, "memory forgotten", "applies another entry"),
        (33, 5, "stale read", "stale read"),
        (37, 5, "token reset in a new epoch", "granted twice"),
    ],
)
def test_the_checks_of_the_simulation_find_planted_defects(seed, nodes, defect, found):
    assert found in str(simulate(seed, nodes, 20.0, defect)["broken"])
    assert not simulate(seed, nodes, 20.0, "")["broken"], "it is the defect that they find"


@pytest.mark.parametrize(
    "defect, left, found",
    [
        ("vote forgotten", RemainingSteps(2, 0, 1, 0), "election"),
        ("memory forgotten", RemainingSteps(2, 0, 1, 0), "election"),
        ("two voter changes at once", RemainingSteps(2, 0, 0, 2), "completeness"),
    ],
)
def test_the_search_of_all_event_orders_finds_planted_defects(defect, left, found):
    assert found in str(search(defect, left, 20_000)["broken"])
    assert not search("", left, 4_000)["broken"]


def test_a_history_is_linearizable_if_some_order_of_its_calls_is_possible():
    def judged(*calls: tuple[int, int, str, int]) -> bool:
        return linearizable([Call(*each) for each in calls])

    assert judged((0, 9, "held", 5), (1, 2, "held", 4)), "the longer one took effect later"
    assert not judged((0, 1, "held", 5), (2, 3, "held", 4)), "a token that was passed holds no more"
    assert judged((0, 1, "held", 5), (2, 3, "ended", 5), (4, 5, "held", 6))
    assert not judged((0, 1, "held", 5), (2, 3, "ended", 5), (4, 5, "held", 5)), "what is over stays over"
    assert not judged((0, 1, "released", 5), (2, 3, "read", 5)), "a stale read"
    assert judged((0, 3, "released", 5), (2, 3, "read", 5)) and judged((0, 1, "held", 5), (2, 3, "read", 0))
    late = [(n, 1_000, "held", 5) for n in range(40)] + [(50, 60, "released", 5), (70, 80, "read", 6)]
    assert judged(*late), "many that overlap are not tried in every order"
