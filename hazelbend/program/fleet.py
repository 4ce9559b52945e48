"""The fleet's part of the program: the engine's clock, its peers, and who asks it for leases."""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from pathlib import Path

from hazelbend.consensus import state_codec
from hazelbend.consensus.identity import address_of
from hazelbend.consensus.state_codec import DamagedError
from hazelbend.leases.engine import Fleet, Reply, View
from hazelbend.leases.lease_table import Answer, Operation
from hazelbend.leases.settings import FleetSettings
from hazelbend.program.fleet_snapshot import SnapshotTask
from hazelbend.program.parts import Ground, Part, Show, table
from hazelbend.transport.peer.fleet_peers import FleetDoor, Item, Peers
from hazelbend.transport.storage.fleet_store import FleetStore

log = logging.getLogger("hazelbend.fleet")

LEAVE_WAIT = 0.25  # seconds for the lead to go to another before the program goes on leaving
LEAVE_LOOK = 0.02
ANSWER_WAIT = 2.0  # seconds for the record to take a wish; then nobody can say
SOON = 0.001


class FleetPart(Part):
    """One dispatcher in the fleet. What it does, `Fleet` decides; what goes wrong here, routing never
    sees."""

    def __init__(self, ground: Ground) -> None:
        conf = ground.conf
        assert conf.fleet is not None
        self.settings: FleetSettings = conf.fleet
        settings, self._clock = conf.fleet, ground.router.clock.now
        self._name, self._seed = conf.name, conf.seed
        self.engine = self._somebody_new()
        self.store: FleetStore | None = None
        self.snapshot: SnapshotTask | None = None
        self._saving: asyncio.Task[None] | None = None
        self.peers = Peers(settings.address[0])
        self.door = FleetDoor(self._hear, self._ask, self._found, self._view)
        self._wake: asyncio.TimerHandle | None = None
        self._asked: dict[int, asyncio.Future[Reply]] = {}
        self._number = 0
        self._led = ""
        self._closed = False

    def _somebody_new(self) -> Fleet:
        """One memory, one identity: it must never come again, whatever the seed."""
        identity = f"{self._name}#{secrets.token_hex(6)}@{self.settings.known_as}"
        return Fleet(identity, self.settings.plan(), self._seed, self._clock())

    async def _open_store(self) -> None:
        """Go on as who wrote it, if it is there and whole; else as somebody new, with or without a store."""
        store = FleetStore(Path(self.settings.store))
        try:
            memory = await asyncio.to_thread(store.open, f"@{self.settings.known_as}")
        except DamagedError as error:
            log.error("fleet: store: %s; it is set aside, and this is another member from now on", error)
            memory = None
        except OSError as error:
            log.error("fleet: store: %s; this is another member, and remembers nothing after its end", error)
            store.close()
            return
        if memory is not None:
            plan = self.settings.plan()
            self.engine = Fleet(memory.identity, plan, self._seed, self._clock(), memory)
        try:
            await asyncio.to_thread(store.begin, state_codec.whole(self.engine.raft.persistent))
        except OSError as error:
            self._lose_store(store, error)
        else:
            self.store = store

    def _lose_store(self, store: FleetStore, error: OSError) -> None:
        """What it would have promised was never said. It must not promise as this one any more."""
        log.error("fleet: store: %s; this is another member from now on, and remembers nothing", error)
        store.close()
        self.store = None
        self.engine = self._somebody_new()
        for future in self._asked.values():
            if not future.done():
                future.set_result(Reply())

    async def start(self) -> None:
        if self.settings.store:
            await self._open_store()
        await self.door.listen(*self.settings.address)
        log.info("fleet %s: %s", self.settings.id, self.engine.me)
        self._pump()
        if (conf := self.settings.snapshot) is not None:
            limits, me = self.settings.plan().limits, self.engine.me
            self.snapshot = SnapshotTask(conf, limits, me, self._clock, self.wish, self._view)
            self.snapshot.start()

    def drain(self) -> None:
        """Another is to lead: work on this machine is about to begin."""
        self.engine.hand_over(self._clock())
        self._pump()

    async def leave(self, seconds: float) -> None:
        """Give up leases, hand the lead over and tell the members, within `LEAVE_WAIT` each."""
        if self.snapshot is not None:
            await self.snapshot.leave()
        end = time.monotonic() + LEAVE_WAIT
        while self.engine.hand_over(self._clock()) and time.monotonic() < end:
            self._pump()
            await asyncio.sleep(LEAVE_LOOK)
        self.engine.leave(self._clock())
        self._pump()

    async def close(self) -> None:
        if self.snapshot is not None:
            await self.snapshot.close()
        self._closed = True
        if self._wake is not None:
            self._wake.cancel()
        for future in self._asked.values():
            future.cancel()
        if self._saving is not None:
            await asyncio.wait([self._saving])
        await self.door.close()
        await self.peers.close()
        if self.store is not None:
            self.store.close()

    def counts(self) -> dict[str, int]:
        engine, task = self.engine, self.snapshot
        written = {}
        if task is not None:
            written = {"fleet_snapshots": task.written, "fleet_snapshots_refused": task.refused}
        return written | {
            "fleet_members": engine.members.table.size,
            "fleet_leads": int(engine.raft.leads),
            "fleet_epoch": engine.raft.persistent.epoch,
            "fleet_leases": len(engine.leases.state.leases),
            "fleet_requests": self.peers.sent,
            "fleet_requests_lost": self.peers.lost,
        }

    def shows(self) -> dict[str, Show]:
        return {"fleet": self._show_fleet, "leases": self._show_leases}

    def _show_fleet(self) -> str:
        view = self._view()
        rows: list[tuple[object, ...]] = [("MEMBER", "STATE", "FOR", "INCARNATION", "PART")]
        for each in view.members:
            votes = "votes" if each.identity in view.voters else "-"
            votes = "leads" if each.identity == view.leader else votes
            here = " (this one)" if each.identity == view.me else ""
            rows.append((each.identity + here, each.status, f"{each.for_s:.0f} s", each.incarnation, votes))
        rows += [
            (address, f"of fleet {fleet}", "-", "-", "-") for address, fleet in view.foreign_fleets.items()
        ]
        state = f"{view.lag} entries not agreed on yet" if view.leader else "nobody leads"
        rows.append((f"epoch {view.epoch}", f"term {view.term}", "-", "-", state))
        return table(rows)

    def _show_leases(self) -> str:
        rows: list[tuple[object, ...]] = [("LEASE", "HOLDER", "TOKEN", "TTL", "RENEWED", "WAITING")]
        for each in self._view().leases:
            ago = "-" if each.renewed_s_ago is None else f"{each.renewed_s_ago:.1f} s ago"
            rows.append((each.name, each.holder, each.token, f"{each.ttl_s:g} s", ago, len(each.waiters)))
        return table(rows)

    # --- what comes ---

    def _hear(self, item: Item) -> None:
        self.engine.receive(item, self._clock())
        self._pump()

    async def _ask(self, operation: Operation) -> Reply:
        self._number += 1
        number = self._number
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._asked[number] = future
        self.engine.ask(number, operation, self._clock())
        self._pump()
        try:
            async with asyncio.timeout(ANSWER_WAIT):
                return await future
        except TimeoutError:
            return Reply()
        finally:
            del self._asked[number]

    async def wish(self, operation: Operation) -> Answer | None:
        """By this dispatcher's own tasks: to whoever leads. None: nobody that leads has answered."""
        reply = await self._ask(operation)
        if reply.answer is None and reply.leader not in ("", self.engine.me):
            return await self.peers.ask_leader(address_of(reply.leader), operation, ANSWER_WAIT)
        return reply.answer

    def _found(self, anyway: bool) -> str:
        if not anyway and (leader := self.engine.leader):
            raise ValueError(f"{leader} leads: nothing is lost")
        epoch = self.engine.found(time.time(), self._clock())
        log.warning("fleet: epoch %d is started here by an operator", epoch)
        self._pump()
        return str(epoch)

    def _view(self) -> View:
        return self.engine.view(self._clock())

    # --- what is due ---

    def _pump(self) -> None:
        """Let the engine do what is due, send what it says, and come again when more is."""
        if self._closed:
            return
        engine, now = self.engine, self._clock()
        if now >= engine.due:
            engine.tick(now)
        if self.store is None:
            engine.raft.unsaved, engine.raft.promise_changed = None, False
            self._say(*engine.take())
        elif self._saving is None:
            self._saving = asyncio.create_task(self._save(self.store))
        self._tell_changes()
        if self._wake is not None:
            self._wake.cancel()
        wait = max((engine.due - self._clock()) / 1e6, SOON)
        self._wake = asyncio.get_running_loop().call_later(wait, self._pump)

    def _say(self, out: list[tuple[str, Item]], answers: list[tuple[int, Reply]]) -> None:
        for address, item in out:
            self.peers.tell(address, item)
        for number, reply in answers:
            future = self._asked.get(number)
            if future is not None and not future.done():
                future.set_result(reply)

    async def _save(self, store: FleetStore) -> None:
        """Say what there is to say once what it rests on is on the disk; what comes meanwhile goes next."""
        engine = self.engine
        try:
            while engine.has_to_say:
                said = engine.take()
                frames = state_codec.changed(engine.raft)
                large = bool(frames) and await asyncio.to_thread(store.add, frames)
                if large:
                    # What has changed meanwhile is in it too, and is added once more: that does no harm.
                    await asyncio.to_thread(store.begin, state_codec.whole(engine.raft.persistent))
                self._say(*said)
        except OSError as error:
            self._lose_store(store, error)
        finally:
            self._saving = None

    def _tell_changes(self) -> None:
        members, leader = self.engine.members, self.engine.leader
        for each in members.table.status_changes:
            log.info("fleet: %s is %s", each.identity, each.status.name.lower())
        members.table.status_changes.clear()
        if leader != self._led:
            self._led = leader
            log.info("fleet: %s leads", leader or "nobody")
