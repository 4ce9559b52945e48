"""Steps of the features: real engines over a simulated clock, network and disk."""

from behave import given, then, when

from benchmarks.control.fleet import MS, Fleet, S, has_formed
from hazelbend.control.config_state_machine import ChangeResult
from hazelbend.control.workers import WorkerRecord, WorkerState


def wait_until(context, condition, seconds):
    assert context.fleet.run_until(condition, int(seconds) * S), "the condition did not hold in time"


def put_config(context, version, base, address=None, author=b""):
    fleet = context.fleet
    body = b'{"version":%d%s}' % (version, author)
    to = address or fleet.leader.address
    fleet.put(to, base, version, body, context.results.append)


@given("a fleet of {machines:d} control machines that tolerates the loss of {tolerance:d}")
def given_fleet(context, machines, tolerance):
    context.fleet = Fleet(11, machines, tolerance, loss=0.0)
    context.results, context.acknowledged = [], []
    wait_until(context, lambda: has_formed(context.fleet, machines), 5)


# --- configurations ---


@when("an operator puts version {version:d} on version {base:d}")
def when_put(context, version, base):
    wait_until(context, lambda: context.fleet.leader is not None, 5)
    put_config(context, version, base)
    count = len(context.results)
    wait_until(context, lambda: len(context.results) > count or context.results, 3)


@when("the operator sends version {version:d} on version {base:d} again")
def when_again(context, version, base):
    when_put(context, version, base)


@when("two operators put version {version:d} on version {base:d} at the same time")
def when_race(context, version, base):
    for author in (b',"by":1', b',"by":2'):
        put_config(context, version, base, author=author)
    wait_until(context, lambda: len(context.results) == 2, 3)


@when("an operator puts version {version:d} on version {base:d} at the machine that is partitioned")
def when_put_partitioned(context, version, base):
    put_config(context, version, base, context.partitioned)
    wait_until(context, lambda: bool(context.results), 6)


@when("the leader loses its disk and the others lose power")
def when_wiped(context):
    leader = context.fleet.leader.address
    for machine in list(context.fleet.alive):
        context.fleet.kill(machine.address)
    context.fleet.wipe(leader)


@when("all machines come back after {seconds:d} second")
def when_back(context, seconds):
    context.fleet.run(seconds * S)
    for address in context.fleet.addresses:
        context.fleet.start(address)


@when("all machines are killed and come back after {seconds:d} second")
def when_killed_all(context, seconds):
    for machine in list(context.fleet.alive):
        context.fleet.kill(machine.address)
    when_back(context, seconds)


@when("the leader is partitioned")
def when_partitioned(context):
    context.partitioned = context.fleet.leader.address
    context.old = context.partitioned
    for other in context.fleet.addresses:
        if other != context.partitioned:
            context.fleet.partition(context.partitioned, other)


@when("the leader freezes for {seconds:d} seconds")
def when_frozen(context, seconds):
    context.old = context.fleet.leader.address
    context.fleet.freeze(context.old, seconds * S)


@when("each machine is replaced by an empty one, {seconds:d} seconds apart")
def when_replaced(context, seconds):
    for address in list(context.fleet.addresses):
        context.fleet.replace(address)
        context.fleet.run(seconds * S)


@when("{seconds:d} second passes")
@when("{seconds:d} seconds pass")
def when_time(context, seconds):
    context.fleet.run(seconds * S)


@then("the change is accepted")
def then_accepted(context):
    assert context.results[-1] is ChangeResult.ACCEPTED, context.results


@then("one change is accepted and one is in conflict")
def then_one(context):
    assert set(context.results) == {ChangeResult.ACCEPTED, ChangeResult.CONFLICT}, context.results


@then("the outcome is not known")
def then_unknown(context):
    assert context.results[-1] is None, context.results


@then("version {version:d} is in force on all machines within {seconds:d} second")
def then_in_force(context, version, seconds):
    wait_until(
        context, lambda: all(machine.published_version == version for machine in context.fleet.alive), seconds
    )


@then("version {version:d} is read within {seconds:d} second")
@then("version {version:d} is read within {seconds:d} seconds")
def then_read(context, version, seconds):
    found = []

    def asked():
        leader = context.fleet.leader
        if leader is not None:
            context.fleet.read(leader.address, found.append)
        return any(config is not None and config.version == version for config in found)

    wait_until(context, asked, seconds)


@then("another machine leads within {seconds:d} seconds")
def then_another(context, seconds):
    wait_until(
        context,
        lambda: context.fleet.leader is not None and context.fleet.leader.address != context.old,
        seconds,
    )


@then("there is one leader")
def then_one_leader(context):
    assert sum(machine.engine.raft.is_leader for machine in context.fleet.alive) == 1


# --- workers ---


def heartbeat(context, instance, machine, state, seq):
    record = WorkerRecord(instance, "s", "10.9.0.1:80", "z", state, seq)
    context.fleet.send_heartbeat(context.fleet.addresses[machine - 1], record, context.acknowledged.append)


@when("worker {instance} reports at machine {machine:d} that it drains")
def when_drains(context, instance, machine):
    heartbeat(context, instance, machine, WorkerState.DRAINING, 7)


@when("worker {instance} reports at machine {machine:d} that it is ready")
def when_ready(context, instance, machine):
    context.seq = getattr(context, "seq", 0) + 1
    heartbeat(context, instance, machine, WorkerState.READY, context.seq)
    context.fleet.run(50 * MS)


@when("a heartbeat of worker {instance} from before comes late at machine {machine:d}")
def when_late(context, instance, machine):
    context.fleet.run(50 * MS)
    heartbeat(context, instance, machine, WorkerState.READY, 6)


@when("machine {machine:d} is killed")
def when_killed(context, machine):
    context.fleet.kill(context.fleet.addresses[machine - 1])


@then("the announcement is acknowledged within {seconds:d} second")
def then_acknowledged(context, seconds):
    wait_until(context, lambda: context.acknowledged == [True], seconds)


def state_everywhere(context, instance):
    registries = [machine.engine.registry.tracked for machine in context.fleet.alive]
    return {listed[instance].record.state if instance in listed else None for listed in registries}


@then("all machines know that {instance} drains")
def then_drains(context, instance):
    assert state_everywhere(context, instance) == {WorkerState.DRAINING}


@then("all machines know that {instance} is ready")
def then_ready(context, instance):
    assert state_everywhere(context, instance) == {WorkerState.READY}
