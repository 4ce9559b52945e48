"""The body of `GET /status`, with which operators see the state of a control process.

The JSON keys are the names of the fields, except where a field sets another name.
"""

from __future__ import annotations

import msgspec

from hazelbend.control.config_state_machine import StoredConfig
from hazelbend.control.engine import ControlEngine
from hazelbend.system.clock import MILLISECOND_US
from hazelbend.transport.background_work import FAILURES, WorkFailure


class ReplicaStatus(msgspec.Struct, frozen=True):
    """Another replica of the log, as the leader knows it."""

    confirms: bool  # whether it answered the last heartbeat or the previous one
    answered_ms_ago: int
    behind: int  # log entries that it lacks
    bytes_to_come: int  # remaining bytes of a snapshot transfer


class WorkerStatus(msgspec.Struct, frozen=True):
    """A worker, as this process knows it."""

    instance: str
    service: str
    address: str
    state: str
    phase: str
    heard_ms_ago: int


class ControlStatus(msgspec.Struct, frozen=True):
    """The state of a control process. Addresses are those for traffic inside the fleet."""

    identity: str = msgspec.field(name="me")
    leader: str  # empty if unknown
    epoch: int  # of the cluster
    conflicting_epoch: int | None = msgspec.field(name="foreign_epoch")  # of a cluster bootstrapped elsewhere
    term: int
    voters: tuple[str, ...]
    lost: list[str]  # voters that have failed and may be replaced
    joining: list[str]  # learners: processes that catch up before they become voters
    commit_index: int = msgspec.field(name="commit")
    config_version: int = msgspec.field(name="version")  # of the newest configuration
    readable_version: int  # of the newest configuration that routers can read; see `StoredConfig`
    confirmed_ms_ago: int | None  # since a majority last confirmed this process's state
    replicas: dict[str, ReplicaStatus]  # by identity; only at the leader
    control_addresses: tuple[str, ...] = msgspec.field(name="controls")  # of processes that are alive
    routers: list[str]  # the routers subscribed to this process
    router_versions: dict[str, int]  # of the configuration in force at these routers, as far as they told
    workers: list[WorkerStatus]
    unexpected_errors: dict[str, WorkFailure]  # since the start, by the name of the background work


def control_status(
    engine: ControlEngine, config: StoredConfig, router_versions: dict[str, int], now: int
) -> ControlStatus:
    """Return the status at this time. `config` is the newest configuration."""
    raft = engine.raft
    confirmed_age = raft.confirmed_age(now)
    other_voters = [voter for voter in raft.voters if voter != engine.identity]
    return ControlStatus(
        identity=engine.identity,
        leader=engine.leader,
        epoch=raft.persistent.epoch,
        conflicting_epoch=raft.conflicting_epoch or None,
        term=raft.persistent.current_term,
        voters=raft.voters,
        lost=[voter for voter in other_voters if engine.peers.is_replaceable(voter, now)],
        joining=sorted(raft.learners),
        commit_index=raft.commit_index,
        config_version=config.version,
        readable_version=config.readable.version,
        confirmed_ms_ago=None if confirmed_age is None else confirmed_age // MILLISECOND_US,
        replicas=_replicas(engine, now),
        control_addresses=(engine.settings.address, *engine.peers.alive(now)),
        routers=sorted(engine.subscribed_routers),
        router_versions=router_versions,
        workers=_workers(engine, now),
        unexpected_errors=FAILURES.by_name,
    )


def _replicas(engine: ControlEngine, now: int) -> dict[str, ReplicaStatus]:
    raft = engine.raft
    return {
        identity: ReplicaStatus(
            confirms=raft.is_recently_active(peer, now),
            answered_ms_ago=(now - peer.last_contact_at) // MILLISECOND_US,
            behind=raft.persistent.last_index - peer.match_index,
            bytes_to_come=len(peer.transfer.content) - peer.transfer.offset if peer.transfer else 0,
        )
        for identity, peer in raft.peers.items()
    }


def _workers(engine: ControlEngine, now: int) -> list[WorkerStatus]:
    return [
        WorkerStatus(
            instance=worker.record.instance,
            service=worker.record.service,
            address=worker.record.address,
            state="superseded" if worker.is_superseded else worker.record.state.name.lower(),
            phase=worker.record.phase,
            heard_ms_ago=(now - worker.last_heartbeat_at) // MILLISECOND_US,
        )
        for worker in engine.registry.tracked.values()
    ]
