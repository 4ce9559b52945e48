"""Tests of leases: the log, the state machine, expiry at both sides, and simulated fleets with faults."""

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


def apply(table: LeaseTable, operation: Operation) -> LeaseResponse:
    return table.apply(0, encode(operation))


def acquire(
    table: LeaseTable,
    holder: str,
    name: str = "a",
    request_id: int = 1,
    ttl_us: int = 2 * S,
    wait_us: int = 0,
) -> LeaseResponse:
    return apply(table, Acquire(name, holder, request_id, ttl_us, wait_us))


# --- the state machine ---


def test_waiters_are_granted_the_lease_in_order_with_increasing_tokens():
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


def test_repeated_acquire_is_idempotent_and_another_request_of_the_holder_is_rejected():
    table = open_table()
    token = acquire(table, "x").token
    assert acquire(table, "x").token == token and table.state.leases["a"].renewals == 1
    assert acquire(table, "x", request_id=2, wait_us=S).reason == "another wish of the same holder"
    acquire(table, "y", wait_us=S)
    assert acquire(table, "y", wait_us=S).queue_position == 1 and len(table.state.leases["a"].waiters) == 1


def test_expiry_after_a_renewal_has_no_effect():
    table = open_table()
    token = acquire(table, "x").token
    apply(table, Renew("a", token))
    assert apply(table, Expire("a", token, 0)).reason == "renewed" and table.state.leases["a"].token == token
    assert apply(table, Expire("a", token, 1)).reason == "released"
    assert apply(table, Renew("a", token)).reason == "free"


def test_acquire_beyond_a_limit_or_before_the_epoch_opens_is_rejected_with_a_reason():
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


def test_snapshot_contains_the_complete_state():
    table, restored = open_table(), LeaseTable(LIMITS)
    acquire(table, "x"), acquire(table, "y", wait_us=S)
    restored.restore(table.snapshot())
    assert restored.state == table.state
    assert apply(restored, Release("a", acquire(restored, "x").token)).reason == "released"
    assert acquire(restored, "y", wait_us=S).token == table.state.leases["a"].token + 1


def test_expiry_watcher_counts_from_when_it_observed_each_renewal():
    table, watcher = open_table(), ExpiryWatcher(LIMITS)
    watcher.observe(table, 0)
    token = acquire(table, "x").token
    acquire(table, "y", wait_us=S)
    watcher.observe(table, 5 * S)
    apply(table, Renew("a", token))
    watcher.observe(table, 6 * S)
    assert watcher.expired(table, 8 * S - 1) == []
    assert watcher.expired(table, 8 * S) == [Expire("a", token, 1)]
    assert ExpireWaiter("a", "y", 1, 1) in watcher.expired(table, 15 * S), (
        "a waiter that stopped polling is removed"
    )
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
@example(ttl=1_048_576, delay=252_444, rates=(0.95, 1.05))  # rounding made the holder's TTL 0.4 us too long
def test_a_client_stops_before_any_grantor_may_expire_its_lease(ttl, delay, rates):
    """The request leaves at true time 0, is applied at once, and its response arrives at any later time."""
    client = LeaseClient(Acquire("a", "x", 1, ttl), LIMITS, 0)
    [request] = client.tick(0)
    client.handle_response(request.number, LeaseResponse(token=5), round(delay * rates[0]))
    over = ttl / rates[1]
    assert not client.may_act(round(over * rates[0]))
    assert client.may_act(round(delay * rates[0])) == (round(delay * rates[0]) < client.expires_at)
    assert client.expires_at <= over * rates[0]


def test_client_renews_its_lease_and_ends_when_the_lease_is_lost():
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


def test_client_stops_acting_when_it_releases_and_retries_the_release():
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


def test_client_without_responses_ends_when_its_lease_or_its_wait_expires():
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


def test_single_voter_starts_an_epoch_and_rejects_one_that_is_not_higher():
    alone = raft_node()
    assert alone.propose(encode(OpenEpoch()), 0) is None, "there is no epoch yet"
    alone.force_new_cluster(5, 0)
    proposal_id = alone.propose(encode(OpenEpoch()), 0)
    assert alone.has_committed_in_term
    assert [outcome.proposal_id for outcome in alone.outcomes if outcome.committed] == [proposal_id]
    with pytest.raises(ValueError, match="not higher"):
        alone.force_new_cluster(5, 0)
    assert alone.hard_state_changed and alone.first_unsaved_index == 1
    first, second = next_epoch(0, 1.9e9, "a"), next_epoch(0, 1.9e9, "b")
    assert max(first, second) << TOKEN_BITS < 1 << 63, "tokens fit into a signed 64-bit integer"
    assert first != second and next_epoch(second, 3.0, "a") > second, "also after a step of the wall clock"


def test_new_replica_gets_missing_entries_and_an_old_response_causes_no_retransmission():
    leader, new = raft_node("a.1"), raft_node("b.1")
    leader.force_new_cluster(5, 0)
    leader.set_learners({"b.1"}, 0)
    for _ in range(600):
        leader.propose(encode(OpenEpoch()), 0)
    assert leader.persistent.last_included_index > 0, "applied entries are compacted into a snapshot"
    now = 0
    for _ in range(40):
        now += 100_000
        leader.tick(now)
        for message in leader.outbox:
            new.receive(message, now)
        leader.outbox.clear()
        for message in new.outbox:
            leader.receive(message, now)
        new.outbox.clear()
    assert new.commit_index == leader.commit_index and new.state_machine.state.is_open
    leader.outbox.clear()
    leader.peers["b.1"].match_index = leader.persistent.last_index
    leader.receive(Message("b.1", "a.1", 5, 1, AppendResponse(False, 3, 0)), now)
    assert leader.outbox == []


def test_voter_marks_its_state_unsaved_before_it_responds():
    """The driver must save the changes that are marked here before it sends the outbox."""
    voter = raft_node("b.1")
    voter.receive(Message("a.1", "b.1", 5, 1, AppendEntries(0, 0, (Entry(1, ("a.1", "b.1")),), 0, 1)), 0)
    assert voter.hard_state_changed and voter.first_unsaved_index == 1 and voter.outbox


@pytest.mark.parametrize(
    "voters, members, lost, expected",
    [
        ("a", "ab", "", "ab"),
        ("ab", "abc", "", "abc"),
        ("abc", "abcd", "", None),
        ("abc", "abcd", "b", "abcd"),
        ("abcd", "acd", "b", "acd"),
        ("abc", "ac", "b", None),  # two of three are a majority; two of two would tolerate no more failures
        ("abc", "bc", "a", None),
        ("abcde", "abcde", "", "abcd"),
        ("abcde", "abc", "de", "abce"),
    ],
)
def test_next_voters_adds_members_and_replaces_lost_voters(voters, members, lost, expected):
    found = next_voters(tuple(voters), "a" if "a" in members else "b", tuple(members), set(lost), 3)
    assert found == (tuple(expected) if expected else None)


# --- the whole node ---


def test_acquires_are_rate_limited_and_renewals_are_not():
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


def test_waiter_gets_its_response_with_the_grant_or_after_the_long_poll():
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
    assert number == 2 and reply.response.queue_position == 2, "the position at the time of its request"
    client = LeaseClient(Acquire("a", "y", 1, 4 * S, 9 * S), LIMITS, 11 * S)
    [request] = client.tick(11 * S)
    client.handle_response(request.number, LeaseResponse(queue_position=1), 12 * S)
    assert client.next_at == 12 * S, "the next request follows a long poll at once"
    [request] = client.tick(12 * S)
    client.handle_response(request.number, LeaseResponse(token=token + 1), 12 * S + S // 2)
    assert client.expires_at == 12 * S + client.holder_ttl_us, (
        "counted from when the request was sent, which is before the grant"
    )


def test_member_without_a_vote_knows_the_leader_by_gossip():
    """Five members, three of which are voters. The other two receive no log entries."""
    names = [f"n{n}#1@h:{n}" for n in range(5)]
    settings = LeaseNodeSettings("f", ("h:0",), limits=LIMITS)
    by_address = {f"h:{n}": LeaseNode(name, settings, n, 0) for n, name in enumerate(names)}
    for now in range(0, 60 * S, S // 20):
        if now == 20 * S:
            by_address["h:0"].start_new_epoch(1.9e9, now)
        for node in by_address.values():
            node.tick(now)
        while any(node.outbox for node in by_address.values()):
            for node in by_address.values():
                messages, node.outbox = node.outbox, []
                for address, message in messages:
                    by_address[address].receive(message, now)
    leader = by_address["h:0"].raft
    others = [node for node in by_address.values() if not node.raft.is_voter]
    assert leader.is_leader and len(leader.voters) == 3 and len(others) == 2
    for node in others:
        node.submit(1, Acquire("a", "x", 1, 2 * S), 60 * S)
        assert node.replies == [(1, Reply(leader=names[0]))] and node.view(60 * S).leader == names[0]


def test_message_to_the_previous_process_at_an_address_is_ignored():
    node = LeaseNode("a#2@h:1", LeaseNodeSettings("f", ()), 1, 0)
    node.receive(Message("b#1@h:2", "a#1@h:1", 5, 1, AppendEntries(0, 0, (Entry(1, ("a#1@h:1",)),), 0, 1)), 0)
    assert node.raft.persistent.epoch == 0 and not node.outbox


# --- the persistent state in a file ---


def saved_state() -> tuple[bytes, PersistentState]:
    """Return a file of several writes, one of which removes entries, and the state that it contains."""
    voter = raft_node("b.1")
    content = state_codec.encode_state(voter.persistent)
    entries = [Entry(term, None, bytes([term])) for term in (1, 1, 2)]
    for term, previous, new in ((1, 0, entries[:2]), (2, 1, entries[2:]), (2, 2, entries[2:])):
        previous_term = 0 if previous == 0 else entries[0].term if previous == 1 else 2
        voter.receive(
            Message("a.1", "b.1", 5, term, AppendEntries(previous, previous_term, tuple(new), 0, 1)), 0
        )
        content += state_codec.encode_changes(voter)
    return content, voter.persistent


def test_decoding_returns_all_complete_writes_and_drops_an_incomplete_one():
    content, state = saved_state()
    first = len(state_codec.encode_state(PersistentState("b.1")))
    found, valid_size = state_codec.decode_state(content)
    assert (
        found == state and valid_size == len(content) and [entry.term for entry in found.entries] == [1, 2, 2]
    )
    sizes = {state_codec.decode_state(content[:cut])[1] for cut in range(first, len(content))}
    assert all(state_codec.decode_state(content[:size])[1] == size for size in sizes) and len(sizes) > 3


def test_flipped_bit_at_any_position_is_detected():
    content, _ = saved_state()
    for position in range(len(content)):
        changed = bytearray(content)
        changed[position] ^= 0x10
        with pytest.raises(CorruptStateError):
            state_codec.decode_state(bytes(changed))


def test_store_is_opened_by_one_process_and_rejects_files_of_another_address_or_format(tmp_path):
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
    assert stored.current_term == 5, "the incomplete write at the end was removed"
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
def test_no_two_holders_act_at_the_same_time_under_any_fault(nodes, schedules):
    """Random schedules of ten seconds with all kinds of faults. benchmarks/fleet_sim.py runs longer ones."""
    runs = [simulate(seed, nodes, 10.0, "") for seed in range(schedules)]
    assert [run["broken"] for run in runs if run["broken"]] == []
    assert sum(run["grants"] for run in runs) > schedules and sum(run.get("acts", 0) for run in runs) > 100
    assert runs[0] == simulate(0, nodes, 10.0, ""), "the same seed gives the same run"


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
def test_simulation_detects_planted_defects(seed, nodes, defect, found):
    assert found in str(simulate(seed, nodes, 20.0, defect)["broken"])
    assert not simulate(seed, nodes, 20.0, "")["broken"], "without the defect nothing is detected"


@pytest.mark.parametrize(
    "defect, left, found",
    [
        ("vote forgotten", RemainingSteps(2, 0, 1, 0), "election"),
        ("memory forgotten", RemainingSteps(2, 0, 1, 0), "election"),
        ("two voter changes at once", RemainingSteps(2, 0, 0, 2), "completeness"),
    ],
)
def test_search_of_all_event_orders_detects_planted_defects(defect, left, found):
    assert found in str(search(defect, left, 20_000)["broken"])
    assert not search("", left, 4_000)["broken"]


def test_history_is_linearizable_if_some_order_of_its_calls_is_valid():
    def is_linearizable(*calls: tuple[int, int, str, int]) -> bool:
        return linearizable([Call(*call) for call in calls])

    assert is_linearizable((0, 9, "held", 5), (1, 2, "held", 4)), "the longer call took effect later"
    assert not is_linearizable((0, 1, "held", 5), (2, 3, "held", 4)), (
        "a token lower than a later one is not held any more"
    )
    assert is_linearizable((0, 1, "held", 5), (2, 3, "ended", 5), (4, 5, "held", 6))
    assert not is_linearizable((0, 1, "held", 5), (2, 3, "ended", 5), (4, 5, "held", 5)), (
        "a lease that ended cannot be held again"
    )
    assert not is_linearizable((0, 1, "released", 5), (2, 3, "read", 5)), "a stale read"
    assert is_linearizable((0, 3, "released", 5), (2, 3, "read", 5)) and is_linearizable(
        (0, 1, "held", 5), (2, 3, "read", 0)
    )
    overlapping = [(n, 1_000, "held", 5) for n in range(40)] + [(50, 60, "released", 5), (70, 80, "read", 6)]
    assert is_linearizable(*overlapping), "many overlapping calls are checked without trying every order"
