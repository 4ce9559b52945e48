"""Logs the changes of a control engine that matter to operators, one line each."""

from __future__ import annotations

from collections.abc import Sequence

import picologging

from hazelbend.control.engine import ControlEngine
from hazelbend.system.clock import SECOND_US

log = picologging.getLogger("hazelbend.control")

QUORUM_LOST_AFTER_US = 1_500_000  # without a majority's confirmation, the quorum counts as lost


class ControlEventLog:
    """Compares the state of an engine with its state at the previous call of `observe`."""

    def __init__(self) -> None:
        self._leader = ""
        self._led_term = 0  # the term in which this process was the leader; 0: it was not
        self._voters: tuple[str, ...] = ()
        self._quorum_lost_at: int | None = None
        self._conflicting_epoch = 0
        self._catching_up: set[str] = set()
        self._recovery_started_at: int | None = None
        self._is_recovering = True

    def observe(self, engine: ControlEngine, now: int) -> None:
        """Log all changes since the previous call."""
        self._observe_worker_recovery(engine, now)
        self._observe_leader(engine)
        self._observe_voters(engine)
        self._observe_quorum(engine, now)
        self._observe_transfers(engine)
        self._observe_conflicting_epoch(engine)

    def _observe_worker_recovery(self, engine: ControlEngine, now: int) -> None:
        if not self._is_recovering:
            return
        if self._recovery_started_at is None:
            self._recovery_started_at = now
        recovery = engine.worker_recovery
        seconds = (now - self._recovery_started_at) / SECOND_US
        if recovery.is_complete:
            log.info("control: workers recovered in %.3f s, sources: %d", seconds, recovery.source_count)
        elif recovery.has_ended(now):
            log.warning(
                "control: no majority within %.1f s: heartbeats are taken without its workers", seconds
            )
        self._is_recovering = not recovery.has_ended(now)

    def _observe_leader(self, engine: ControlEngine) -> None:
        term = engine.raft.persistent.current_term
        if self._led_term and not engine.raft.is_leader:
            log.warning("control: stepped down in term %d; term %d now", self._led_term, term)
        self._led_term = term if engine.raft.is_leader else 0
        if engine.leader != self._leader:
            self._leader = engine.leader
            log.info("control: leader %s, term %d", self._leader or "unknown", term)

    def _observe_voters(self, engine: ControlEngine) -> None:
        voters = engine.raft.voters
        if voters == self._voters:
            return
        joined = sorted(set(voters) - set(self._voters))
        left = sorted(set(self._voters) - set(voters))
        self._voters = voters
        log.info("control: voters %s; joined: %s; left: %s", _names(voters), _names(joined), _names(left))

    def _observe_quorum(self, engine: ControlEngine, now: int) -> None:
        if not engine.settings.counts_for_quorum or not engine.raft.persistent.epoch:
            return
        age = engine.raft.confirmed_age(now)
        confirmed = age is not None and age < QUORUM_LOST_AFTER_US
        if confirmed and self._quorum_lost_at is not None:
            seconds = (now - self._quorum_lost_at) / SECOND_US
            log.info("control: quorum restored after %.1f s", seconds)
            self._quorum_lost_at = None
        elif not confirmed and self._quorum_lost_at is None:
            self._quorum_lost_at = now
            log.warning("control: no quorum: configuration calls get 503, routers keep what they have")

    def _observe_transfers(self, engine: ControlEngine) -> None:
        peers = engine.raft.peers
        catching_up = {name for name, peer in peers.items() if peer.transfer is not None}
        for name in sorted(catching_up - self._catching_up):
            behind = engine.raft.persistent.last_index - peers[name].match_index
            log.info("control: replica %s is behind by %d entries: catching up", name, behind)
        for name in sorted(self._catching_up - catching_up):
            log.info("control: replica %s has caught up or is unreachable", name)
        self._catching_up = catching_up

    def _observe_conflicting_epoch(self, engine: ControlEngine) -> None:
        if engine.raft.conflicting_epoch == self._conflicting_epoch:
            return
        self._conflicting_epoch = engine.raft.conflicting_epoch
        log.error(
            "control: another cluster, epoch %d, was bootstrapped elsewhere; this process stays in epoch %d: "
            "an operator must choose one",
            self._conflicting_epoch,
            engine.raft.persistent.epoch,
        )


def _names(identities: Sequence[str]) -> str:
    return " ".join(identities) or "none"
