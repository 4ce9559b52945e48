"""Leases: the record, the machine, the two sides of the time, and whole fleets with faults on virtual
time."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.fleet_history import Call, linearizable
from benchmarks.fleet_search import Left, search
from benchmarks.fleet_sim import play
from hazelbend.consensus import state_codec
from hazelbend.consensus.messages import AppendEntries, AppendResponse, Entry, Message
from hazelbend.consensus.persistent_state import PersistentState, epoch_number
from hazelbend.consensus.raft import RaftNode, Timing
from hazelbend.consensus.voters import next_voters
from hazelbend.leases import lease_table as ls
from hazelbend.leases.client import Holder, Stage
from hazelbend.leases.engine import Fleet, Plan, Reply
from hazelbend.transport.storage.fleet_store import FleetStore

S = 1_000_000
LIMITS = ls.Limits(leases=3, waiters=2, shortest=S, longest=10 * S)


def machine() -> ls.Leases:
    made = ls.Leases(LIMITS)
    made.begin(7)
    put(made, ls.Open())
    return made


def put(to: ls.Leases, operation: ls.Operation) -> ls.Answer:
    return to.apply(0, ls.encode(operation))


def acquire(to: ls.Leases, holder: str, name: str = "a", ask: int = 1, **more: int) -> ls.Answer:
    return put(to, ls.Acquire(name, holder, ask, more.pop("ttl", 2 * S), **more))


# --- the machine ---


def test_a_lease_goes_from_hand_to_hand_in_the_order_of_asking_and_tokens_grow():
    made = machine()
    first = acquire(made, "x").token
    assert first >> ls.TOKEN_BITS == 7
    assert acquire(made, "y").why == "held"
    assert acquire(made, "y", ask=2, wait=S).place == 1 and acquire(made, "z", wait=S).place == 2
    assert acquire(made, "w", wait=S).why == "too many wait"
    assert put(made, ls.Release("a", first)).why == "released"
    second = acquire(made, "y", ask=2, wait=S).token
    assert second == first + 1
    assert put(made, ls.Release("a", first)).why == "lost", "an old token ends nothing"
    assert put(made, ls.HandOver("a", second, "w")).why == "it does not wait"
    assert put(made, ls.LeaveQueue("a", "z")).why == "left"
    assert put(made, ls.ForceRelease("a")).why == "released" and made.state.leases == {}
    assert acquire(made, "w").token == second + 1


def test_the_same_wish_that_comes_again_is_no_other_and_another_of_its_holder_is_refused():
    made = machine()
    token = acquire(made, "x").token
    assert acquire(made, "x").token == token and made.state.leases["a"].renewals == 1
    assert acquire(made, "x", ask=2, wait=S).why == "another wish of the same holder"
    acquire(made, "y", wait=S)
    assert acquire(made, "y", wait=S).place == 1 and len(made.state.leases["a"].waiters) == 1


def test_a_renewal_that_was_ordered_before_it_makes_an_expiry_nothing():
    made = machine()
    token = acquire(made, "x").token
    put(made, ls.Renew("a", token))
    assert put(made, ls.Expire("a", token, 0)).why == "renewed" and made.state.leases["a"].token == token
    assert put(made, ls.Expire("a", token, 1)).why == "released"
    assert put(made, ls.Renew("a", token)).why == "free"


def test_limits_and_a_fleet_that_is_not_open_are_told():
    made = machine()
    assert [acquire(made, "x", name=name).why for name in ("a", "b", "c", "d")] == [
        "",
        "",
        "",
        "too many leases",
    ]
    assert acquire(made, "y", ttl=S // 2).why == "ttl" and acquire(made, "y", ttl=11 * S).why == "ttl"
    assert acquire(made, "", name="b").why == acquire(made, "y", name="n" * 201).why == "name"
    made.begin(8)
    assert acquire(made, "x").why == "not open yet" and made.state.granted == 0
    put(made, ls.Open())
    assert acquire(made, "x").token >> ls.TOKEN_BITS == 8


def test_a_snapshot_holds_all_of_it():
    made, other = machine(), ls.Leases(LIMITS)
    acquire(made, "x"), acquire(made, "y", wait=S)
    other.restore(made.snapshot())
    assert other.state == made.state
    assert put(other, ls.Release("a", acquire(other, "x").token)).why == "released"
    assert acquire(other, "y", wait=S).token == made.state.leases["a"].token + 1


def test_the_watch_counts_from_what_it_has_seen_itself():
    made, watch = machine(), ls.Watch(LIMITS)
    watch.look(made, 0)
    token = acquire(made, "x").token
    acquire(made, "y", wait=S)
    watch.look(made, 5 * S)
    put(made, ls.Renew("a", token))
    watch.look(made, 6 * S)
    assert watch.over(made, 8 * S - 1) == []
    assert watch.over(made, 8 * S) == [ls.Expire("a", token, 1)]
    assert ls.ExpireWait("a", "y", 1, 1) in watch.over(made, 15 * S), "who waits asks again, or is gone"
    made.begin(9)
    watch.look(made, 20 * S)
    assert watch.over(made, 30 * S) == [] and watch.over(made, watch.opens()) == [ls.Open()]
    assert watch.opens() > 30 * S


# --- the holder ---


@given(
    ttl=st.integers(S, 10 * S),
    delay=st.integers(0, 20 * S),
    rates=st.tuples(*[st.sampled_from((0.95, 1.0, 1.05))] * 2),
)
def test_a_holder_stops_before_any_grantor_may_think_it_over(ttl, delay, rates):
    """The request leaves at true time 0, is applied at once, and its answer is as late as it may be."""
    holder = Holder("a", "x", 1, LIMITS, 0, ttl=ttl)
    [request] = holder.tick(0)
    holder.answered(request.number, ls.Answer(token=5), round(delay * rates[0]))
    over = ttl / rates[1]
    assert not holder.may_act(round(over * rates[0]))
    assert holder.may_act(round(delay * rates[0])) == (round(delay * rates[0]) < holder.until)
    assert holder.until <= over * rates[0]


def test_a_holder_renews_in_time_counts_by_its_own_requests_and_ends_when_told():
    holder = Holder("a", "x", 1, LIMITS, 0, ttl=6 * S, wait=20 * S)
    [first] = holder.tick(0)
    holder.answered(first.number, ls.Answer(place=1), 1_000)
    assert holder.stage is Stage.WAITING and not holder.may_act(1_000)
    at = holder.due
    [again] = holder.tick(at)
    holder.answered(again.number, ls.Answer(token=9), 2 * S)
    assert holder.may_act(2 * S) and holder.until == at + holder.counted
    assert holder.tick(2 * S) == []
    [renewal] = holder.tick(holder.due)
    assert renewal.operation == ls.Renew("a", 9)
    before = holder.until
    holder.answered(renewal.number, None, 3 * S)
    holder.answered(again.number, ls.Answer(token=9), 3 * S)
    assert holder.until == before, "no answer, and one that came twice, give no time"
    [renewal] = holder.tick(holder.due)
    holder.answered(renewal.number, ls.Answer(token=9), 4 * S)
    assert holder.until > before
    [renewal] = holder.tick(holder.due)
    holder.answered(renewal.number, ls.Answer(why="lost"), 5 * S)
    assert (holder.stage, holder.why) == (Stage.ENDED, "lost") and not holder.may_act(5 * S)


def test_a_holder_that_lets_go_acts_no_more_and_says_so_until_it_is_heard():
    holder = Holder("a", "x", 1, LIMITS, 0, ttl=6 * S)
    [first] = holder.tick(0)
    holder.answered(first.number, ls.Answer(token=9), 10)
    holder.let_go(S)
    assert not holder.may_act(S)
    [release] = holder.tick(S)
    holder.answered(release.number, None, S)
    [release] = holder.tick(holder.due)
    assert release.operation == ls.Release("a", 9)
    holder.answered(release.number, ls.Answer(why="released"), 2 * S)
    assert (holder.stage, holder.why) == (Stage.ENDED, "")


def test_a_holder_whose_fleet_falls_silent_ends_by_itself():
    holder = Holder("a", "x", 1, LIMITS, 0, ttl=6 * S)
    [first] = holder.tick(0)
    holder.answered(first.number, ls.Answer(token=9), 10)
    holder.tick(holder.until)
    assert (holder.stage, holder.why) == (Stage.ENDED, "lost")
    other = Holder("a", "y", 1, LIMITS, 0, ttl=6 * S, wait=S)
    other.tick(0)
    [last] = other.tick(7 * S)
    assert (other.stage, other.why) == (Stage.ENDED, "no answer") and last.operation == ls.LeaveQueue(
        "a", "y"
    )


# --- the record ---


def record(identity: str = "a.1", memory: PersistentState | None = None, now: int = 0) -> RaftNode:
    return RaftNode(memory or PersistentState(identity), ls.Leases(LIMITS), Timing(), 1, now)


def test_one_voter_founds_an_epoch_and_a_lower_one_is_not_gone_back_to():
    alone = record()
    assert alone.propose(ls.encode(ls.Open()), 0) is None, "nobody has founded anything"
    alone.found(5, 0)
    ticket = alone.propose(ls.encode(ls.Open()), 0)
    assert alone.settled and [each.ticket for each in alone.done if each.ok] == [ticket]
    with pytest.raises(ValueError, match="not higher"):
        alone.found(5, 0)
    assert alone.promise_changed and alone.unsaved == 1
    first, second = epoch_number(0, 1.9e9, "a"), epoch_number(0, 1.9e9, "b")
    assert max(first, second) << ls.TOKEN_BITS < 1 << 63, "tokens fit into what is sent"
    assert first != second and epoch_number(second, 3.0, "a") > second, "also after a step of the wall clock"


def test_what_is_not_held_is_asked_for_and_an_old_answer_makes_no_storm():
    leader, new = record("a.1"), record("b.1")
    leader.found(5, 0)
    leader.set_learners({"b.1"}, 0)
    for _ in range(600):
        leader.propose(ls.encode(ls.Open()), 0)
    assert leader.persistent.base > 0, "what is applied goes into a snapshot"
    now = 0
    for _ in range(40):
        now += 100_000
        leader.tick(now)
        for each in leader.out:
            new.receive(each, now)
        leader.out.clear()
        for each in new.out:
            leader.receive(each, now)
        new.out.clear()
    assert new.commit == leader.commit and new.machine.state.open
    leader.out.clear()
    leader.peers["b.1"].match = leader.persistent.last
    leader.receive(Message("b.1", "a.1", 5, 1, AppendResponse(False, 3, 0)), now)
    assert leader.out == []


def test_a_voter_answers_only_after_its_promise_is_to_be_saved():
    """The driver saves what these name before `out` leaves; a message without them would rest on nothing."""
    voter = record("b.1")
    voter.receive(Message("a.1", "b.1", 5, 1, AppendEntries(0, 0, (Entry(1, ("a.1", "b.1")),), 0, 1)), 0)
    assert voter.promise_changed and voter.unsaved == 1 and voter.out


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
def test_who_votes_next(voters, members, lost, then):
    found = next_voters(tuple(voters), "a" if "a" in members else "b", tuple(members), set(lost), 3)
    assert found == (tuple(then) if then else None)


# --- all of it as one engine ---


def test_a_flood_of_takers_is_held_off_and_renewals_are_not():
    fleet = Fleet("a#1@h:1", Plan("f", (), limits=LIMITS, asks_per_s=10.0), 1, 0)
    fleet.found(1.9e9, 0)
    fleet.tick(11 * S)
    fleet.ask(0, ls.Acquire("a", "x", 1, 2 * S), 11 * S)
    token = fleet.answers.pop()[1].answer.token
    for number in range(500):
        fleet.ask(number, ls.Acquire("a", f"y{number}", 1, 2 * S), 11 * S)
    fleet.ask(501, ls.Renew("a", token), 11 * S)
    said = [reply.answer.why for number, reply in fleet.answers if number < 500]
    assert (said.count("held"), said.count("busy")) == (19, 481)
    assert fleet.answers[-1][1].answer.token == token, "its holder is not kept from renewing"
    fleet.answers.clear()
    fleet.ask(502, ls.Acquire("a", "y", 1, 2 * S), 12 * S)
    assert fleet.answers[-1][1].answer.why == "held"
    holder = Holder("a", "y", 1, LIMITS, 0, ttl=2 * S)
    [request] = holder.tick(0)
    holder.answered(request.number, ls.Answer(why="busy"), 10)
    assert holder.stage is Stage.ASKING and holder.due >= 2 * S // 12, "it asks again, after a pause"


def test_one_that_waits_is_answered_when_it_is_given_the_lease_or_after_a_while():
    fleet = Fleet("a#1@h:1", Plan("f", (), limits=LIMITS), 1, 0)
    fleet.found(1.9e9, 0)
    fleet.tick(11 * S)
    fleet.ask(0, ls.Acquire("a", "x", 1, 4 * S), 11 * S)
    token = fleet.answers.pop()[1].answer.token
    for number, holder in ((1, "y"), (2, "z")):
        fleet.ask(number, ls.Acquire("a", holder, 1, 4 * S, 9 * S), 11 * S)
    assert fleet.answers == [] and fleet.due <= 12 * S
    fleet.ask(3, ls.Release("a", token), 11 * S + 10)
    said = dict(fleet.answers)
    assert set(said) == {1, 3} and said[1].answer.token == token + 1
    fleet.answers.clear()
    fleet.tick(12 * S)
    [(number, reply)] = fleet.answers
    assert number == 2 and reply.answer.place == 2, "as it was when it asked"
    holder = Holder("a", "y", 1, LIMITS, 11 * S, ttl=4 * S, wait=9 * S)
    [request] = holder.tick(11 * S)
    holder.answered(request.number, ls.Answer(place=1), 12 * S)
    assert holder.due == 12 * S, "what was kept so long is asked for again at once"
    [request] = holder.tick(12 * S)
    holder.answered(request.number, ls.Answer(token=token + 1), 12 * S + S // 2)
    assert holder.until == 12 * S + holder.counted, "from before the request, and so before the grant"


def test_one_that_does_not_vote_knows_who_leads():
    """Five members, three of which vote: the others hear of the record only what members tell each other."""
    names = [f"n{n}#1@h:{n}" for n in range(5)]
    plan = Plan("f", ("h:0",), limits=LIMITS)
    fleets = {f"h:{n}": Fleet(name, plan, n, 0) for n, name in enumerate(names)}
    for now in range(0, 60 * S, S // 20):
        if now == 20 * S:
            fleets["h:0"].found(1.9e9, now)
        for each in fleets.values():
            each.tick(now)
        while any(each.out for each in fleets.values()):
            for each in fleets.values():
                out, each.out = each.out, []
                for address, item in out:
                    fleets[address].receive(item, now)
    leads = fleets["h:0"].raft
    others = [each for each in fleets.values() if not each.raft.is_voter]
    assert leads.leads and len(leads.voters) == 3 and len(others) == 2
    for each in others:
        each.ask(1, ls.Acquire("a", "x", 1, 2 * S), 60 * S)
        assert each.answers == [(1, Reply(leader=names[0]))] and each.view(60 * S).leader == names[0]


def test_what_is_meant_for_the_process_that_had_the_address_before_is_not_taken():
    fleet = Fleet("a#2@h:1", Plan("f", ()), 1, 0)
    fleet.receive(
        Message("b#1@h:2", "a#1@h:1", 5, 1, AppendEntries(0, 0, (Entry(1, ("a#1@h:1",)),), 0, 1)), 0
    )
    assert fleet.raft.persistent.epoch == 0 and not fleet.out


# --- the memory in a file ---


def kept() -> tuple[bytes, PersistentState]:
    """A file of several writes, one of which takes entries back, and what it holds."""
    voter = record("b.1")
    content = state_codec.whole(voter.persistent)
    entries = [Entry(term, None, bytes([term])) for term in (1, 1, 2)]
    for term, before, some in ((1, 0, entries[:2]), (2, 1, entries[2:]), (2, 2, entries[2:])):
        before_term = 0 if before == 0 else entries[0].term if before == 1 else 2
        voter.receive(
            Message("a.1", "b.1", 5, term, AppendEntries(before, before_term, tuple(some), 0, 1)), 0
        )
        content += state_codec.changed(voter)
    return content, voter.persistent


def test_a_file_gives_back_what_was_written_and_drops_only_what_was_not_confirmed():
    content, memory = kept()
    first = len(state_codec.whole(PersistentState("b.1")))
    found, good = state_codec.read(content)
    assert found == memory and good == len(content) and [each.term for each in found.entries] == [1, 2, 2]
    sizes = {state_codec.read(content[:cut])[1] for cut in range(first, len(content))}
    assert all(state_codec.read(content[:size])[1] == size for size in sizes) and len(sizes) > 3


def test_a_changed_bit_is_never_gone_on_with():
    content, _ = kept()
    for place in range(len(content)):
        changed = bytearray(content)
        changed[place] ^= 0x10
        with pytest.raises(state_codec.DamagedError):
            state_codec.read(bytes(changed))


def test_a_store_has_one_process_and_a_file_of_another_version_or_address_is_not_taken(tmp_path):
    store, other = FleetStore(tmp_path / "s"), FleetStore(tmp_path / "s")
    assert store.open("@h:1") is None
    with pytest.raises(OSError):
        other.open("@h:1")
    other.close()
    store.begin(state_codec.whole(PersistentState("n@h:1", 7, 3, "n@h:1")))
    assert store.add(state_codec.frame(state_codec.Promise("n@h:1", 7, 4, ""))) is False
    store.close()
    with (tmp_path / "s" / "memory").open("ab") as file:
        file.write(b"\x07")
    again = FleetStore(tmp_path / "s")
    assert again.open("@h:1") == PersistentState("n@h:1", 7, 4, "")
    again.add(state_codec.frame(state_codec.Promise("n@h:1", 7, 5, "")))
    again.close()
    assert state_codec.read((tmp_path / "s" / "memory").read_bytes())[0].term == 5, "the torn end is gone"
    moved = FleetStore(tmp_path / "s")
    assert moved.open("@h:2") is None
    moved.close()
    (tmp_path / "s" / "memory").write_bytes(b"another format")
    with pytest.raises(state_codec.DamagedError):
        moved.open("@h:1")
    moved.close()
    assert (tmp_path / "s" / "memory.damaged").read_bytes() == b"another format"


# --- whole fleets ---


@pytest.mark.parametrize("nodes, schedules", [(3, 20), (5, 12), (7, 5)])
def test_no_two_act_at_once_whatever_fails(nodes, schedules):
    """Schedules of ten seconds, with every fault; a longer run: benchmarks/fleet_sim.py."""
    played = [play(seed, nodes, 10.0, "") for seed in range(schedules)]
    assert [each["broken"] for each in played if each["broken"]] == []
    assert (
        sum(each["grants"] for each in played) > schedules
        and sum(each.get("acts", 0) for each in played) > 100
    )
    assert played[0] == play(0, nodes, 10.0, ""), "the same seed is the same run"


@pytest.mark.parametrize(
    "seed, nodes, defect, found",
    [
        (7, 5, "no token check", "the store took"),
        (206, 5, "time from the answer", "overlap"),
        (1, 5, "no wait by a new leader", "overlap"),
        (15, 5, "memory forgotten", "applies another entry"),
        (6, 5, "stale read", "stale read"),
        (32, 5, "token reset in a new epoch", "granted twice"),
    ],
)
def test_the_checks_of_whole_fleets_find_planted_mistakes(seed, nodes, defect, found):
    assert found in str(play(seed, nodes, 20.0, defect)["broken"])
    assert not play(seed, nodes, 20.0, "")["broken"], "it is the mistake that they find"


@pytest.mark.parametrize(
    "defect, left, found",
    [
        ("vote forgotten", Left(2, 0, 1, 0), "election"),
        ("memory forgotten", Left(2, 0, 1, 0), "election"),
        ("two voter changes at once", Left(2, 0, 0, 2), "completeness"),
    ],
)
def test_every_order_of_events_is_tried_and_a_planted_mistake_found(defect, left, found):
    assert found in str(search(defect, left, 20_000)["broken"])
    assert not search("", left, 4_000)["broken"]


def test_a_history_is_judged_by_whether_some_order_of_its_calls_could_be():
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
