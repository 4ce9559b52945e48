"""Quotas: the ledger, a dispatcher's allocation client, and many of them with faults between them."""

from __future__ import annotations

import random

import pytest

from benchmarks.quota_sim import (
    DEFECTS,
    SECOND_US,
    SHORT_TTL_PARAMETERS,
    QuotaSimulation,
    Scenario,
    fault_scenario,
    run_schedules,
)
from hazelbend.leases.fencing import MAX_GRANTS
from hazelbend.quotas.allocation import AllocationClient
from hazelbend.quotas.expiry_watcher import AllocationExpiryWatcher
from hazelbend.quotas.invariants import BrokenInvariantError, check_client, check_ledger
from hazelbend.quotas.ledger import QuotaLedger
from hazelbend.quotas.operations import (
    Account,
    Allocate,
    Expire,
    OpenEpoch,
    Reason,
    Reclaim,
    ReturnUnits,
    SetAccounts,
)
from hazelbend.quotas.timing import QuotaParameters

ACCOUNTS = (Account("all", 10), Account("a", 8, 4, "all"), Account("b", 6, 3, "all"))


def open_ledger(accounts: tuple[Account, ...] = ACCOUNTS) -> QuotaLedger:
    ledger = QuotaLedger(QuotaParameters())
    ledger.begin(1)
    ledger.execute(OpenEpoch())
    assert not ledger.execute(SetAccounts(accounts)).reason
    return ledger


def allocate(ledger: QuotaLedger, account: str, holder: str, units: int, number: int, token: int = 0):
    answer = ledger.execute(Allocate(account, holder, units, number, token))
    check_ledger(ledger)
    return answer


def test_guaranteed_units_that_others_want_are_kept_for_them():
    """Guards against a flood by one tenant: it may have what is idle, gets no more once another lacks, and
    its holders are told to return what they do not use."""
    ledger = open_ledger()
    flood = allocate(ledger, "a", "m1", 20, 1)
    assert flood.units == 8, "its limit, with the idle guarantee of b on loan"
    first = allocate(ledger, "b", "m2", 3, 1)
    assert first.units == 2, "what remains of the parent's limit"
    flood = allocate(ledger, "a", "m1", 20, 2, flood.token)
    assert (flood.units, flood.wanted_back) == (8, 1)
    ledger.execute(ReturnUnits("a", "m1", flood.token, 1, 3))
    assert allocate(ledger, "a", "m1", 20, 4, flood.token).units == 7, "what it returned is kept for others"
    assert allocate(ledger, "b", "m2", 3, 2, first.token).units == 3


def test_an_epoch_without_tokens_left_rejects_and_leaves_no_empty_table():
    """Given no tokens left, when a holder asks, or one that has lost its allocation, then nothing stays."""
    ledger = open_ledger()
    allocate(ledger, "a", "m1", 0, 1)
    ledger.state.grants = MAX_GRANTS
    assert allocate(ledger, "b", "m2", 3, 1).reason is Reason.NO_TOKENS
    assert ledger.state.allocations == {}
    ledger.state.grants = 1
    held = allocate(ledger, "a", "m1", 2, 1)
    ledger.state.grants = MAX_GRANTS
    assert allocate(ledger, "a", "m1", 2, 2, held.token + 1).reason in (Reason.NO_TOKENS, Reason.LOST)
    assert ledger.state.allocations == {} and ledger.allocated("a") == 2, "in doubt"


def test_units_of_a_lost_allocation_stay_in_doubt_until_its_jobs_cannot_run():
    ledger, watcher = open_ledger(), AllocationExpiryWatcher(QuotaParameters())
    held = allocate(ledger, "a", "m1", 8, 1)
    watcher.observe(ledger, 0)
    assert not watcher.expired(ledger, QuotaParameters().allocation_ttl_us - 1)
    [expire] = watcher.expired(ledger, QuotaParameters().allocation_ttl_us)
    assert expire == Expire("a", "m1", held.token, 1)
    ledger.execute(expire)
    watcher.observe(ledger, QuotaParameters().allocation_ttl_us)
    assert allocate(ledger, "a", "m2", 8, 1).units == 0, "a dispatcher that dies frees nothing"
    assert allocate(ledger, "a", "m1", 8, 2, held.token).reason == "lost"
    end = QuotaParameters().allocation_ttl_us + watcher.parameters.reclaim_after_us
    assert (
        watcher.parameters.reclaim_after_us
        >= QuotaParameters().allocation_ttl_us + QuotaParameters().max_job_time_us
    )
    assert not [each for each in watcher.expired(ledger, end - 1) if isinstance(each, Reclaim)]
    for each in watcher.expired(ledger, end):
        ledger.execute(each)
    assert ledger.execute(Reclaim("a", held.token)).reason == "settled", "once"
    assert allocate(ledger, "a", "m2", 8, 2).units == 8


def test_late_and_repeated_requests_change_nothing():
    ledger = open_ledger()
    held = allocate(ledger, "a", "m1", 4, 1)
    assert allocate(ledger, "a", "m1", 4, 1) == held, "a repeated request"
    held = allocate(ledger, "a", "m1", 4, 3, held.token)
    assert ledger.execute(ReturnUnits("a", "m1", held.token, 2, 2)).reason == "late"
    assert ledger.allocated("a") == 4


def test_a_limit_below_its_use_admits_nothing_until_it_fits_and_revokes_nothing():
    ledger = open_ledger()
    held = allocate(ledger, "a", "m1", 8, 1)
    before = check_ledger(ledger)
    lower = (ACCOUNTS[0], Account("a", 3, 0, "all"), ACCOUNTS[2])
    assert not ledger.execute(SetAccounts(lower)).reason
    check_ledger(ledger, before)
    again = ledger.execute(Allocate("a", "m1", 9, 2, held.token))
    assert (again.units, again.wanted_back) == (8, 5), "jobs run on; idle units are wanted back"
    assert ledger.execute(Allocate("a", "m2", 1, 1)).units == 0
    ledger.execute(ReturnUnits("a", "m1", held.token, 6, 3))
    assert ledger.execute(Allocate("a", "m2", 1, 2)).units == 1
    gone = (ACCOUNTS[0], ACCOUNTS[2])
    assert not ledger.execute(SetAccounts(gone)).reason and ledger.state.accounts["a"].limit == 0


@pytest.mark.parametrize(
    ("accounts", "reason"),
    [
        ((Account("a", 3), Account("a", 4)), "accounts"),
        ((Account("a", 3, 0, "none"),), "accounts"),
        ((Account("a", 3, 4),), "limits"),
        ((Account("all", 3), Account("a", 4, 2, "all"), Account("b", 4, 2, "all")), "parents"),
    ],
)
def test_accounts_that_cannot_be_enforced_are_rejected(accounts, reason):
    ledger = open_ledger()
    assert ledger.execute(SetAccounts(accounts)).reason == reason
    assert set(ledger.state.accounts) == {"all", "a", "b"}


def test_a_client_admits_only_within_its_time_and_a_permit_returns_once():
    ledger, client = open_ledger(), AllocationClient("a", "m1", QuotaParameters(), 0)
    assert client.admit(0) is None, "nothing is held yet"
    request = client.tick(0)
    answer = ledger.execute(request)
    client.handle_response(request.request_number, answer, 40_000)
    permit = client.admit(50_000)
    assert permit is not None and client.used == 1
    client.release(permit, 60_000)
    client.release(permit, 70_000)
    assert client.used == 0
    assert client.expires_at <= client.sent_at + QuotaParameters().allocation_ttl_us * 0.95, (
        "shortened, from before the request was sent"
    )
    assert client.admit(client.expires_at) is None


def test_a_response_about_an_allocation_that_has_ended_is_void():
    """Found by the check after every event: a job of the old tranche ran, and the client counted 0 used."""
    ledger, client = open_ledger(), AllocationClient("a", "m1", QuotaParameters(), 0)
    client.admit(0)
    request = client.tick(0)
    client.handle_response(request.request_number, ledger.execute(request), 1_000)
    permit = client.admit(2_000)
    late = client.tick(client.expires_at - 1_000)
    answer = ledger.execute(late)
    client.tick(client.expires_at)
    client.handle_response(late.request_number, answer, client.sent_at + 100_000)
    assert client.token == 0
    client.release(permit, client.sent_at + 200_000)
    check_client(client, client.sent_at + 200_000)


@pytest.mark.parametrize("machines", [3, 7])
def test_no_schedule_of_faults_exceeds_a_limit(machines):
    found = run_schedules(6, 15.0, fault_scenario(machines, ""))
    assert not found["broken"], found
    assert found["admitted"] > 100


@pytest.mark.parametrize("defect", DEFECTS)
def test_each_planted_defect_is_found(defect):
    found = run_schedules(40, 20.0, fault_scenario(3, defect))
    assert found["broken"], f"{defect}: not within {found['schedules']} schedules"


def test_random_operations_break_no_invariant_of_the_ledger():
    """Whatever comes in whatever order, with tokens, numbers and holders that fit and that do not."""
    chance = random.Random(7)
    for _ in range(60):
        ledger, before = open_ledger(), {}
        tokens = [0]
        for number in range(120):
            account, holder = chance.choice("ab"), chance.choice(("m1", "m2", "m3"))
            held = ledger.state.allocations.get(account, {}).get(holder)
            token = held.token if held and chance.random() < 0.7 else chance.choice(tokens)
            kind, units = chance.randrange(7), chance.randrange(12)
            if kind < 3:
                answer = ledger.execute(Allocate(account, holder, units, number, token))
                tokens.append(answer.token)
            elif kind == 3:
                ledger.execute(ReturnUnits(account, holder, token, units, number))
            elif kind == 4:
                ledger.execute(Expire(account, holder, token, held.renewals if held else 0))
            elif kind == 5:
                ledger.execute(Reclaim(account, chance.choice(tokens)))
            else:
                limits = tuple(
                    Account(each.name, chance.randrange(1, 10), 0, each.parent) for each in ACCOUNTS
                )
                ledger.execute(SetAccounts(limits))
                before = check_ledger(ledger, before) if before else {}
                continue
            before = check_ledger(ledger, before)


def test_a_snapshot_holds_the_complete_ledger():
    ledger = open_ledger()
    held = allocate(ledger, "a", "m1", 5, 1)
    ledger.execute(Expire("a", "m1", held.token, 1))
    other = QuotaLedger(QuotaParameters())
    other.restore(ledger.snapshot())
    assert other.state == ledger.state and check_ledger(other) == check_ledger(ledger)


def test_the_check_finds_a_state_that_is_broken():
    ledger = open_ledger()
    held = allocate(ledger, "a", "m1", 5, 1)
    ledger.state.allocations["a"]["m1"].units = 9
    with pytest.raises(BrokenInvariantError, match="limit: a has 9 of 8"):
        check_ledger(ledger)
    ledger.state.allocations["a"]["m1"].units = 5
    ledger.state.in_doubt["a"] = {held.token: 1}
    with pytest.raises(BrokenInvariantError, match="tokens: one stands twice"):
        check_ledger(ledger)


def test_a_fleet_without_faults_uses_most_of_its_limits():
    accounts = (Account("all", 120), Account("a", 120, 0, "all"))
    simulation = QuotaSimulation(
        3, Scenario(machines=12, parameters=SHORT_TTL_PARAMETERS, faults=False, accounts=accounts)
    )
    simulation.run(6 * SECOND_US)
    assert simulation.counts["overshoot"] == 0
    assert simulation.busy_us / (6 * SECOND_US) / 120 > 0.6
