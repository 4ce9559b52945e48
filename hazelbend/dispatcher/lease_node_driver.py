"""Drives the fleet's engine: its clock, its peers, its store, and the requests for leases."""

from __future__ import annotations

import asyncio
import logging
import secrets
import time
from collections.abc import Callable
from pathlib import Path

from hazelbend.consensus import state_codec
from hazelbend.consensus.errors import CorruptStateError
from hazelbend.consensus.identity import address_of
from hazelbend.leases.lease_node import LeaseNode, NumberedReply, OutgoingMessage, PeerMessage, Reply
from hazelbend.leases.operations import LeaseResponse, Operation
from hazelbend.leases.settings import FleetSettings
from hazelbend.leases.views import FleetView
from hazelbend.transport.background_work import RepeatingTimer
from hazelbend.transport.peer.peer_links import PeerLinks
from hazelbend.transport.storage.fleet_store import FleetStore, StateNotRewrittenError

log = logging.getLogger("hazelbend.fleet")

COMMIT_TIMEOUT_S = 2.0  # for a request to be committed; after it nobody knows whether it was
MIN_TIMER_S = 0.001
US_PER_S = 1e6


class LeaderExistsError(ValueError):
    """A new epoch is refused, as somebody leads."""


class LeaseNodeDriver:
    """The engine of one dispatcher with the I/O around it. `clock` is in microseconds and never goes back."""

    def __init__(self, name: str, settings: FleetSettings, seed: int, clock: Callable[[], int]) -> None:
        self._name = name
        self._settings = settings
        self._seed = seed
        self._clock = clock
        self.node = self._new_member()
        self.links = PeerLinks(settings.listen_address[0])
        self._store: FleetStore | None = None
        self._saving: asyncio.Task[None] | None = None
        self._timer = RepeatingTimer("lease node", self.pump)
        self._pending: dict[int, asyncio.Future[Reply]] = {}  # by number of the request
        self._last_number = 0
        self._last_leader = ""
        self._closed = False

    def _new_member(self) -> LeaseNode:
        """An identity is bound to one persistent state and must never come again, whatever the seed."""
        identity = f"{self._name}#{secrets.token_hex(6)}@{self._settings.advertised_address}"
        return LeaseNode(identity, self._settings.node_settings, self._seed, self._clock())

    # --- the store ---

    async def open_store(self) -> None:
        """Continue as the identity that the store has, if its file is complete; else as a new member, with
        the store or, if it fails, without.
        """
        store = FleetStore(Path(self._settings.store))
        try:
            persistent = await asyncio.to_thread(store.open, f"@{self._settings.advertised_address}")
        except CorruptStateError as error:
            log.error("fleet: store: %s; it is set aside, and this is another member from now on", error)
            persistent = None
        except OSError as error:
            log.error("fleet: store: %s; this is another member, and remembers nothing after its end", error)
            store.close()
            return
        if persistent is not None:
            settings = self._settings.node_settings
            self.node = LeaseNode(persistent.identity, settings, self._seed, self._clock(), persistent)
        try:
            await asyncio.to_thread(store.replace, state_codec.encode_state(self.node.raft.persistent))
        except OSError as error:
            self._lose_store(store, error)
        else:
            self._store = store

    def _lose_store(self, store: FleetStore, error: OSError) -> None:
        """The state that its next messages rest on was not saved, so this identity must not send them."""
        log.error("fleet: store: %s; this is another member from now on, and remembers nothing", error)
        store.close()
        self._store = None
        self.node = self._new_member()
        for future in self._pending.values():
            if not future.done():
                future.set_result(Reply())

    # --- input ---

    def receive(self, message: PeerMessage) -> None:
        """A message from a peer."""
        self.node.receive(message, self._clock())
        self.pump()

    async def submit(self, operation: Operation) -> Reply:
        """Submit an operation to this dispatcher. An empty reply: nobody knows what became of it."""
        self._last_number += 1
        number = self._last_number
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        self.node.submit(number, operation, self._clock())
        self.pump()
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                return await future
        except TimeoutError:
            return Reply()
        finally:
            del self._pending[number]

    async def submit_to_leader(self, operation: Operation) -> LeaseResponse | None:
        """Submit an operation to the leader, whoever that is. None: no leader has answered."""
        reply = await self.submit(operation)
        if reply.response is None and reply.leader not in ("", self.node.identity):
            address = address_of(reply.leader)
            return await self.links.submit_to_leader(address, operation, COMMIT_TIMEOUT_S)
        return reply.response

    def start_new_epoch(self, force: bool) -> str:
        """Start a new epoch, by an operator; its number. `force`: even if somebody leads.

        Raises ValueError with the reason against it.
        """
        leader = self.node.leader
        if leader and not force:
            raise LeaderExistsError(f"{leader} leads: nothing is lost")
        epoch = self.node.start_new_epoch(time.time(), self._clock())
        log.warning("fleet: epoch %d is started here by an operator", epoch)
        self.pump()
        return str(epoch)

    def view(self) -> FleetView:
        """What this dispatcher knows."""
        return self.node.view(self._clock())

    def transfer_leadership(self) -> bool:
        """Let another voter lead. Call it until it returns False."""
        transferring = self.node.transfer_leadership(self._clock())
        self.pump()
        return transferring

    def leave(self) -> None:
        """Announce to the members that this process leaves."""
        self.node.leave(self._clock())
        self.pump()

    async def stop(self) -> None:
        """Do nothing from here on: end all requests, and the write that is under way."""
        self._closed = True
        self._timer.cancel()
        for future in self._pending.values():
            future.cancel()
        if self._saving is not None:
            await asyncio.wait([self._saving])

    async def close(self) -> None:
        """After `stop`: close the connections to peers and the store."""
        await self.links.close()
        if self._store is not None:
            self._store.close()

    # --- output ---

    def pump(self) -> None:
        """Let the engine do what is due, send its output, and set the timer for the next time."""
        if self._closed:
            return
        now = self._clock()
        if now >= self.node.next_at:
            self.node.tick(now)
        if self._store is None:
            self.node.raft.first_unsaved_index = None
            self.node.raft.hard_state_changed = False
            self._send(*self.node.take_output())
        elif self._saving is None:
            self._saving = asyncio.create_task(self._save(self._store))
        self._log_changes()
        self._timer.set(max((self.node.next_at - self._clock()) / US_PER_S, MIN_TIMER_S))

    def _send(self, outbox: list[OutgoingMessage], replies: list[NumberedReply]) -> None:
        for address, message in outbox:
            self.links.send(address, message)
        for number, reply in replies:
            future = self._pending.get(number)
            if future is not None and not future.done():
                future.set_result(reply)

    async def _save(self, store: FleetStore) -> None:
        """Save the state, then send the output that rests on it. Output that comes meanwhile goes next."""
        node = self.node
        try:
            while node.has_output:
                output = node.take_output()
                frames = state_codec.encode_changes(node.raft)
                file_is_large = bool(frames) and await asyncio.to_thread(store.append, frames)
                if file_is_large:
                    await self._rewrite(store)
                self._send(*output)
        except OSError as error:
            self._lose_store(store, error)
        finally:
            self._saving = None

    async def _rewrite(self, store: FleetStore) -> None:
        """Write the state anew, as its file has grown large. Where the disk has no room the file stays.

        The state has changes made meanwhile, which are added once more: frames are idempotent.
        """
        try:
            await asyncio.to_thread(store.replace, state_codec.encode_state(self.node.raft.persistent))
        except StateNotRewrittenError as error:
            log.warning("fleet: store: %s; its file is not made smaller for now", error)

    def _log_changes(self) -> None:
        table = self.node.members.table
        for member in table.status_changes:
            log.info("fleet: %s is %s", member.identity, member.status.name.lower())
        table.status_changes.clear()
        leader = self.node.leader
        if leader != self._last_leader:
            self._last_leader = leader
            log.info("fleet: %s leads", leader or "nobody")
