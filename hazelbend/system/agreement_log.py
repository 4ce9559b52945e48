"""Log lines on the agreement: one for each change that a person on call wants to know of."""

from __future__ import annotations

import picologging

from hazelbend.control.engine import ControlEngine

log = picologging.getLogger("hazelbend.control")

UNCONFIRMED = 1_500_000  # microseconds without a majority's word, after which that is told


class AgreementLog:
    """Compares what an engine is with what it was at the last look."""

    def __init__(self) -> None:
        self._leader = ""
        self._led_term = 0
        self._voters: tuple[str, ...] = ()
        self._unconfirmed_since: int | None = None
        self._foreign_epoch = 0
        self._transfers: set[str] = set()

    def look(self, engine: ControlEngine, now: int) -> None:
        """Tell what has changed."""
        self._look_at_leader(engine)
        self._look_at_voters(engine)
        self._look_at_confirmation(engine, now)
        self._look_at_transfers(engine)
        if engine.raft.foreign_epoch != self._foreign_epoch:
            self._foreign_epoch = engine.raft.foreign_epoch
            log.error(
                "control: another record, epoch %d, was founded elsewhere; this one, epoch %d, is kept: an "
                "operator must decide",
                self._foreign_epoch,
                engine.raft.persistent.epoch,
            )

    def _look_at_leader(self, engine: ControlEngine) -> None:
        term = engine.raft.persistent.term
        if self._led_term and not engine.raft.leads:
            log.warning("control: stepped down in term %d; term %d now", self._led_term, term)
        self._led_term = term if engine.raft.leads else 0
        if engine.leader != self._leader:
            self._leader = engine.leader
            log.info("control: leader %s, term %d", self._leader or "unknown", term)

    def _look_at_voters(self, engine: ControlEngine) -> None:
        voters = engine.raft.voters
        if voters != self._voters:
            before, self._voters = self._voters, voters
            log.info(
                "control: voters %s; joined: %s; left: %s",
                " ".join(voters) or "none",
                " ".join(sorted(set(voters) - set(before))) or "none",
                " ".join(sorted(set(before) - set(voters))) or "none",
            )

    def _look_at_confirmation(self, engine: ControlEngine, now: int) -> None:
        if not engine.settings.counts_for_quorum or not engine.raft.persistent.epoch:
            return
        age = engine.raft.confirmed_age(now)
        confirmed = age is not None and age < UNCONFIRMED
        if confirmed and self._unconfirmed_since is not None:
            seconds = (now - self._unconfirmed_since) / 1e6
            log.info("control: a majority confirms again after %.1f s", seconds)
            self._unconfirmed_since = None
        elif not confirmed and self._unconfirmed_since is None:
            self._unconfirmed_since = now
            log.warning("control: no majority confirms what this process has: it answers 503, routers go on")

    def _look_at_transfers(self, engine: ControlEngine) -> None:
        peers = engine.raft.peers
        transfers = {name for name, peer in peers.items() if peer.transfer is not None}
        for name in sorted(transfers - self._transfers):
            behind = engine.raft.persistent.last - peers[name].match
            log.info("control: %s is behind by %d entries: catching up", name, behind)
        for name in sorted(self._transfers - transfers):
            log.info("control: %s has caught up, or is not reached any more", name)
        self._transfers = transfers
