"""Tests of quotas: the ledger, the allocation client of a dispatcher, and simulated fleets with faults."""

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
    response = ledger.execute(Allocate(account, holder, units, number, token))
    check_ledger(ledger)
    return response


def test_lent_guaranteed_units_are_wanted_back_and_reserved_for_the_account_that_lacks_them():
    """Guards against a tenant that floods the fleet: it may get idle units of others' guarantees, but gets no
    more once another account lacks units, and its holders are asked to return unused ones.
    """
    ledger = open_ledger()
    flooding = allocate(ledger, "a", "m1", 20, 1)
    assert flooding.units == 8, "its limit, which includes idle guaranteed units of b"
    first = allocate(ledger, "b", "m2", 3, 1)
    assert first.units == 2, "the rest of the parent's limit"
    flooding = allocate(ledger, "a", "m1", 20, 2, flooding.token)
    assert (flooding.units, flooding.wanted_back) == (8, 1)
    ledger.execute(ReturnUnits("a", "m1", flooding.token, 1, 3))
    assert allocate(ledger, "a", "m1", 20, 4, flooding.token).units == 7, "the returned unit is for b"
    assert allocate(ledger, "b", "m2", 3, 2, first.token).units == 3


def test_allocate_without_tokens_left_is_rejected_and_leaves_no_empty_table():
    """Both for a new holder, and for one whose token is not that of its allocation."""
    ledger = open_ledger()
    allocate(ledger, "a", "m1", 0, 1)
    ledger.state.grants = MAX_GRANTS
    assert allocate(ledger, "b", "m2", 3, 1).reason is Reason.NO_TOKENS
    assert ledger.state.allocations == {}
    ledger.state.grants = 1
    allocation = allocate(ledger, "a", "m1", 2, 1)
    ledger.state.grants = MAX_GRANTS
    assert allocate(ledger, "a", "m1", 2, 2, allocation.token + 1).reason in (Reason.NO_TOKENS, Reason.LOST)
    assert ledger.state.allocations == {} and ledger.allocated("a") == 2, "units in doubt"


def test_units_of_an_expired_allocation_stay_in_doubt_until_its_jobs_can_no_longer_run():
    ledger, watcher = open_ledger(), AllocationExpiryWatcher(QuotaParameters())
    allocation = allocate(ledger, "a", "m1", 8, 1)
    watcher.observe(ledger, 0)
    assert not watcher.expired(ledger, QuotaParameters().allocation_ttl_us - 1)
    [expire] = watcher.expired(ledger, QuotaParameters().allocation_ttl_us)
    assert expire == Expire("a", "m1", allocation.token, 1)
    ledger.execute(expire)
    watcher.observe(ledger, QuotaParameters().allocation_ttl_us)
    assert allocate(ledger, "a", "m2", 8, 1).units == 0, "the failure of a dispatcher frees no units"
    assert allocate(ledger, "a", "m1", 8, 2, allocation.token).reason == "lost"
    end = QuotaParameters().allocation_ttl_us + watcher.parameters.reclaim_after_us
    assert (
        watcher.parameters.reclaim_after_us
        >= QuotaParameters().allocation_ttl_us + QuotaParameters().max_job_time_us
    )
    assert not [operation for operation in watcher.expired(ledger, end - 1) if isinstance(operation, Reclaim)]
    for operation in watcher.expired(ledger, end):
        ledger.execute(operation)
    assert ledger.execute(Reclaim("a", allocation.token)).reason == "settled", "units are reclaimed only once"
    assert allocate(ledger, "a", "m2", 8, 2).units == 8


def test_repeated_request_is_idempotent_and_late_request_is_rejected():
    ledger = open_ledger()
    allocation = allocate(ledger, "a", "m1", 4, 1)
    assert allocate(ledger, "a", "m1", 4, 1) == allocation, "a repeated request"
    allocation = allocate(ledger, "a", "m1", 4, 3, allocation.token)
    assert ledger.execute(ReturnUnits("a", "m1", allocation.token, 2, 2)).reason == "late"
    assert ledger.allocated("a") == 4


def test_limit_lowered_below_allocated_units_revokes_none_and_allocates_none_until_they_fit():
    ledger = open_ledger()
    allocation = allocate(ledger, "a", "m1", 8, 1)
    before = check_ledger(ledger)
    lower = (ACCOUNTS[0], Account("a", 3, 0, "all"), ACCOUNTS[2])
    assert not ledger.execute(SetAccounts(lower)).reason
    check_ledger(ledger, before)
    again = ledger.execute(Allocate("a", "m1", 9, 2, allocation.token))
    assert (again.units, again.wanted_back) == (8, 5), "running jobs keep their units, others are wanted back"
    assert ledger.execute(Allocate("a", "m2", 1, 1)).units == 0
    ledger.execute(ReturnUnits("a", "m1", allocation.token, 6, 3))
    assert ledger.execute(Allocate("a", "m2", 1, 2)).units == 1
    without_a = (ACCOUNTS[0], ACCOUNTS[2])
    assert not ledger.execute(SetAccounts(without_a)).reason and ledger.state.accounts["a"].limit == 0


@pytest.mark.parametrize(
    ("accounts", "reason"),
    [
        ((Account("a", 3), Account("a", 4)), "accounts"),
        ((Account("a", 3, 0, "none"),), "accounts"),
        ((Account("a", 3, 4),), "limits"),
        ((Account("all", 3), Account("a", 4, 2, "all"), Account("b", 4, 2, "all")), "parents"),
    ],
)
def test_invalid_accounts_are_rejected(accounts, reason):
    ledger = open_ledger()
    assert ledger.execute(SetAccounts(accounts)).reason == reason
    assert set(ledger.state.accounts) == {"all", "a", "b"}


def test_client_admits_only_until_its_allocation_expires_and_returns_a_permit_once():
    ledger, client = open_ledger(), AllocationClient("a", "m1", QuotaParameters(), 0)
    assert client.admit(0) is None, "no units are held yet"
    request = client.tick(0)
    response = ledger.execute(request)
    client.handle_response(request.request_number, response, 40_000)
    permit = client.admit(50_000)
    assert permit is not None and client.used == 1
    client.release(permit, 60_000)
    client.release(permit, 70_000)
    assert client.used == 0
    assert client.expires_at <= client.sent_at + QuotaParameters().allocation_ttl_us * 0.95, (
        "a shortened TTL, counted from before the request was sent"
    )
    assert client.admit(client.expires_at) is None


def test_response_about_an_expired_allocation_is_ignored():
    """Guards against a client that takes up the expired allocation again with no units used, although a job
    that was admitted from it still runs.
    """
    ledger, client = open_ledger(), AllocationClient("a", "m1", QuotaParameters(), 0)
    client.admit(0)
    request = client.tick(0)
    client.handle_response(request.request_number, ledger.execute(request), 1_000)
    permit = client.admit(2_000)
    renewal = client.tick(client.expires_at - 1_000)
    response = ledger.execute(renewal)
    client.tick(client.expires_at)
    client.handle_response(renewal.request_number, response, client.sent_at + 100_000)
    assert client.token == 0
    client.release(permit, client.sent_at + 200_000)
    check_client(client, client.sent_at + 200_000)


@pytest.mark.parametrize("machines", [3, 7])
def test_no_limit_is_exceeded_in_any_schedule_of_faults(machines):
    found = run_schedules(6, 15.0, fault_scenario(machines, ""))
    assert not found["broken"], found
    assert found["admitted"] > 100


@pytest.mark.parametrize("defect", DEFECTS)
def test_simulation_detects_planted_defects(defect):
    found = run_schedules(40, 20.0, fault_scenario(3, defect))
    assert found["broken"], f"{defect}: not detected within {found['schedules']} schedules"


def test_random_operations_violate_no_invariant_of_the_ledger():
    """Operations of all kinds in random order, with valid and invalid tokens, numbers and holders."""
    rng = random.Random(7)
    for _ in range(60):
        ledger, before = open_ledger(), {}
        tokens = [0]
        for number in range(120):
            account, holder = rng.choice("ab"), rng.choice(("m1", "m2", "m3"))
            allocation = ledger.state.allocations.get(account, {}).get(holder)
            token = allocation.token if allocation and rng.random() < 0.7 else rng.choice(tokens)
            kind, units = rng.randrange(7), rng.randrange(12)
            if kind < 3:
                response = ledger.execute(Allocate(account, holder, units, number, token))
                tokens.append(response.token)
            elif kind == 3:
                ledger.execute(ReturnUnits(account, holder, token, units, number))
            elif kind == 4:
                ledger.execute(Expire(account, holder, token, allocation.renewals if allocation else 0))
            elif kind == 5:
                ledger.execute(Reclaim(account, rng.choice(tokens)))
            else:
                limits = tuple(
                    Account(original.name, rng.randrange(1, 10), 0, original.parent) for original in ACCOUNTS
                )
                ledger.execute(SetAccounts(limits))
                before = check_ledger(ledger, before) if before else {}
                continue
            before = check_ledger(ledger, before)


def test_snapshot_contains_the_complete_ledger():
    ledger = open_ledger()
    allocation = allocate(ledger, "a", "m1", 5, 1)
    ledger.execute(Expire("a", "m1", allocation.token, 1))
    other = QuotaLedger(QuotaParameters())
    other.restore(ledger.snapshot())
    assert other.state == ledger.state and check_ledger(other) == check_ledger(ledger)


def test_invariant_check_detects_a_corrupted_state():
    ledger = open_ledger()
    allocation = allocate(ledger, "a", "m1", 5, 1)
    ledger.state.allocations["a"]["m1"].units = 9
    with pytest.raises(BrokenInvariantError, match="limit: a has 9 units, the limit is 8"):
        check_ledger(ledger)
    ledger.state.allocations["a"]["m1"].units = 5
    ledger.state.in_doubt["a"] = {allocation.token: 1}
    with pytest.raises(BrokenInvariantError, match="tokens: a token occurs twice"):
        check_ledger(ledger)


def test_fleet_without_faults_uses_over_60_percent_of_its_limit():
    accounts = (Account("all", 120), Account("a", 120, 0, "all"))
    simulation = QuotaSimulation(
        3, Scenario(machines=12, parameters=SHORT_TTL_PARAMETERS, faults=False, accounts=accounts)
    )
    simulation.run(6 * SECOND_US)
    assert simulation.counts["overshoot"] == 0
    assert simulation.busy_us / (6 * SECOND_US) / 120 > 0.6
