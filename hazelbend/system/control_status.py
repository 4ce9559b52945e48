"""What `GET /status` tells people of a control process."""

from __future__ import annotations

from hazelbend.control.engine import ControlEngine


def control_status(engine: ControlEngine, version: int, now: int) -> dict[str, object]:
    """Values for JSON. `version`: of the configuration that is told to routers; times in milliseconds."""
    record = engine.raft
    age = record.confirmed_age(now)
    return {
        "me": engine.identity,
        "leader": engine.leader,
        "epoch": record.persistent.epoch,
        "foreign_epoch": record.foreign_epoch or None,
        "term": record.persistent.term,
        "voters": record.voters,
        "lost": [
            each
            for each in record.voters
            if each != engine.identity and engine.peers.is_replaceable(each, now)
        ],
        "joining": sorted(record.learners),
        "commit": record.commit,
        "version": version,
        "confirmed_ms_ago": None if age is None else age // 1_000,
        "replicas": _replicas(engine, now),
        "controls": (engine.settings.address, *engine.peers.alive(now)),
        "routers": sorted(engine.watching_routers),
        "workers": _workers(engine, now),
    }


def _replicas(engine: ControlEngine, now: int) -> dict[str, object]:
    """What the leader knows of the others: who confirms it, and who is behind by how much."""
    record = engine.raft
    return {
        name: {
            "confirms": peer.round >= record.round - 1,
            "answered_ms_ago": (now - peer.heard_at) // 1_000,
            "behind": record.persistent.last - peer.match,
            "bytes_to_come": len(peer.transfer.content) - peer.transfer.offset if peer.transfer else 0,
        }
        for name, peer in record.peers.items()
    }


def _workers(engine: ControlEngine, now: int) -> list[dict[str, object]]:
    return [
        {
            "instance": each.record.instance,
            "service": each.record.service,
            "address": each.record.address,
            "state": each.record.state.name.lower(),
            "phase": each.record.phase,
            "heard_ms_ago": (now - each.heard_at) // 1_000,
        }
        for each in engine.registry.tracked.values()
    ]
