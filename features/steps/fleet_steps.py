"""Steps of the scenarios: the real control engines on a simulated clock, network and disk."""

from behave import given, then, when

from benchmarks.control.fleet import MS, Fleet, S, has_formed
from hazelbend.control.config_state_machine import ChangeResult
from hazelbend.control.workers import WorkerRecord, WorkerState


def wait_until(context, condition, seconds):
    assert context.fleet.run_until(condition, int(seconds) * S), "the condition did not hold in time"


def put_config(context, version, base, address=None, author=b""):
    fleet = context.fleet
    body = b'{"version":%d%s}' % (version, author)
    target = address or fleet.leader.address
    fleet.put(target, base, version, body, context.results.append)


@given("a fleet of {machines:d} control machines that tolerates the loss of {tolerance:d}")
def start_fleet(context, machines, tolerance):
    context.fleet = Fleet(11, machines, tolerance, loss=0.0)
    context.results, context.acknowledged = [], []
    wait_until(context, lambda: has_formed(context.fleet, machines), 5)


# --- configurations ---


@when("an operator puts version {version:d} based on version {base:d}")
def put_version(context, version, base):
    wait_until(context, lambda: context.fleet.leader is not None, 5)
    put_config(context, version, base)
    count = len(context.results)
    wait_until(context, lambda: len(context.results) > count or context.results, 3)


@when("the operator sends version {version:d} based on version {base:d} again")
def put_version_again(context, version, base):
    put_version(context, version, base)


@when("two operators put version {version:d} based on version {base:d} at the same time")
def put_versions_at_the_same_time(context, version, base):
    for author in (b',"by":1', b',"by":2'):
        put_config(context, version, base, author=author)
    wait_until(context, lambda: len(context.results) == 2, 3)


@when("an operator puts version {version:d} based on version {base:d} at the partitioned machine")
def put_version_at_partitioned_machine(context, version, base):
    put_config(context, version, base, context.partitioned)
    wait_until(context, lambda: bool(context.results), 6)


@when("the leader loses its disk and the others lose power")
def wipe_leader_and_power_off_others(context):
    leader = context.fleet.leader.address
    for machine in list(context.fleet.alive):
        context.fleet.kill(machine.address)
    context.fleet.wipe(leader)


@when("all machines restart after {seconds:d} second")
def restart_all_machines(context, seconds):
    context.fleet.run(seconds * S)
    for address in context.fleet.addresses:
        context.fleet.start(address)


@when("all machines are killed and restart after {seconds:d} second")
def kill_and_restart_all_machines(context, seconds):
    for machine in list(context.fleet.alive):
        context.fleet.kill(machine.address)
    restart_all_machines(context, seconds)


@when("the leader is partitioned")
def partition_leader(context):
    context.partitioned = context.fleet.leader.address
    context.previous_leader = context.partitioned
    for other in context.fleet.addresses:
        if other != context.partitioned:
            context.fleet.partition(context.partitioned, other)


@when("the leader freezes for {seconds:d} seconds")
def freeze_leader(context, seconds):
    context.previous_leader = context.fleet.leader.address
    context.fleet.freeze(context.previous_leader, seconds * S)


@when("each machine is replaced by an empty one at intervals of {seconds:d} seconds")
def replace_each_machine(context, seconds):
    for address in list(context.fleet.addresses):
        context.fleet.replace(address)
        context.fleet.run(seconds * S)


@when("{seconds:d} second passes")
@when("{seconds:d} seconds pass")
def advance_clock(context, seconds):
    context.fleet.run(seconds * S)


@then("the change is accepted")
def check_change_accepted(context):
    assert context.results[-1] is ChangeResult.ACCEPTED, context.results


@then("one change is accepted and one is in conflict")
def check_one_accepted_one_conflict(context):
    assert set(context.results) == {ChangeResult.ACCEPTED, ChangeResult.CONFLICT}, context.results


@then("the outcome is not known")
def check_outcome_unknown(context):
    assert context.results[-1] is None, context.results


@then("version {version:d} is in force on all machines within {seconds:d} second")
def check_version_in_force(context, version, seconds):
    wait_until(
        context, lambda: all(machine.published_version == version for machine in context.fleet.alive), seconds
    )


@then("version {version:d} is read within {seconds:d} second")
@then("version {version:d} is read within {seconds:d} seconds")
def check_version_read(context, version, seconds):
    configs = []

    def is_version_read():
        leader = context.fleet.leader
        if leader is not None:
            context.fleet.read(leader.address, configs.append)
        return any(config is not None and config.version == version for config in configs)

    wait_until(context, is_version_read, seconds)


@then("another machine leads within {seconds:d} seconds")
def check_another_leader(context, seconds):
    wait_until(
        context,
        lambda: context.fleet.leader is not None and context.fleet.leader.address != context.previous_leader,
        seconds,
    )


@then("there is one leader")
def check_one_leader(context):
    assert sum(machine.engine.raft.is_leader for machine in context.fleet.alive) == 1


# --- workers ---


def send_heartbeat(context, instance, machine, state, seq):
    record = WorkerRecord(instance, "s", "10.9.0.1:80", "z", state, seq)
    context.fleet.worker(context.fleet.addresses[machine - 1], record, context.acknowledged.append)


@when("worker {instance} reports at machine {machine:d} that it drains")
def report_draining(context, instance, machine):
    send_heartbeat(context, instance, machine, WorkerState.DRAINING, 7)


@when("worker {instance} reports at machine {machine:d} that it is ready")
def report_ready(context, instance, machine):
    context.seq = getattr(context, "seq", 0) + 1
    send_heartbeat(context, instance, machine, WorkerState.READY, context.seq)
    context.fleet.run(50 * MS)


@when("an earlier heartbeat of worker {instance} arrives late at machine {machine:d}")
def deliver_late_heartbeat(context, instance, machine):
    context.fleet.run(50 * MS)
    send_heartbeat(context, instance, machine, WorkerState.READY, 6)


@when("machine {machine:d} is killed")
def kill_machine(context, machine):
    context.fleet.kill(context.fleet.addresses[machine - 1])


@then("the announcement is acknowledged within {seconds:d} second")
def check_acknowledged(context, seconds):
    wait_until(context, lambda: context.acknowledged == [True], seconds)


def states_on_all_machines(context, instance):
    registries = [machine.engine.registry.tracked for machine in context.fleet.alive]
    return {listed[instance].record.state if instance in listed else None for listed in registries}


@then("all machines list {instance} as draining")
def check_draining_everywhere(context, instance):
    assert states_on_all_machines(context, instance) == {WorkerState.DRAINING}


@then("all machines list {instance} as ready")
def check_ready_everywhere(context, instance):
    assert states_on_all_machines(context, instance) == {WorkerState.READY}
