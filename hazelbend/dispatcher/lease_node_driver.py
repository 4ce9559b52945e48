"""Runs a lease node: connects it with the clock, its peers, its store, and the requests for leases."""

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

COMMIT_TIMEOUT_S = 2.0  # for an operation to be committed; after this it may or may not be committed
MIN_TIMER_S = 0.001
US_PER_S = 1e6


class LeaderExistsError(ValueError):
    """A new epoch is refused, because the fleet has a leader."""


class EpochNotStoredError(ValueError):
    """A new epoch was started, but a restart of this member may lose it."""


class LeaseNodeDriver:
    """The lease node of one dispatcher and its I/O. `clock` is in microseconds and monotonic."""

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
        self._pending: dict[int, asyncio.Future[Reply]] = {}  # by the number of the operation
        self._last_number = 0
        self._last_leader = ""
        self._closed = False

    def _new_member(self) -> LeaseNode:
        """Return a node with a new identity.

        An identity belongs to one persistent state and must never be used again. It is therefore random,
        independent of the seed.
        """
        identity = f"{self._name}#{secrets.token_hex(6)}@{self._settings.advertised_address}"
        return LeaseNode(identity, self._settings.node_settings, self._seed, self._clock())

    # --- the store ---

    async def open_store(self) -> None:
        """Continue with the identity and the state in the store, if its file is complete.

        Otherwise continue as a new member: with the store, or without it if it fails.
        """
        store = FleetStore(Path(self._settings.store))
        try:
            persistent = await asyncio.to_thread(store.open, f"@{self._settings.advertised_address}")
        except CorruptStateError as error:
            log.error("fleet: store: %s; its file is renamed, and this process joins as a new member", error)
            persistent = None
        except OSError as error:
            log.error("fleet: store: %s; this process joins as a new member, without persistent state", error)
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
        """Continue as a new member without a store, after a failed write.

        The next messages depend on state that was not saved, so the old identity must not send them.
        """
        log.error("fleet: store: %s; this process continues as a new member, without persistent state", error)
        store.close()
        self._store = None
        self.node = self._new_member()
        for future in self._pending.values():
            if not future.done():
                future.set_result(Reply())

    # --- input ---

    def receive(self, message: PeerMessage) -> None:
        """Handle a message from a peer."""
        self.node.receive(message, self._clock())
        self.pump()

    async def submit(self, operation: Operation) -> Reply:
        """Submit an operation to this dispatcher's node. An empty reply: its result is unknown."""
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
        """Submit an operation to the leader, here or at a peer. Returns None if no leader has answered."""
        reply = await self.submit(operation)
        if reply.response is None and reply.leader not in ("", self.node.identity):
            address = address_of(reply.leader)
            return await self.links.submit_to_leader(address, operation, COMMIT_TIMEOUT_S)
        return reply.response

    async def start_new_epoch(self, force: bool) -> str:
        """Start a new epoch for an operator, and return its number once it is stored.

        `force`: even if the fleet has a leader.

        Raises:
            ValueError: the epoch is refused, or not stored; the text gives the reason.
        """
        leader = self.node.leader
        if leader and not force:
            raise LeaderExistsError(f"{leader} leads: nothing is lost")
        node = self.node
        epoch = node.start_new_epoch(time.time(), self._clock())
        log.warning("fleet: an operator has started epoch %d on this member", epoch)
        self.pump()
        is_stored = await self._wait_for_save()
        if not is_stored or self.node is not node:
            raise EpochNotStoredError(f"epoch {epoch} is started, but not stored: look at this member's log")
        return str(epoch)

    async def _wait_for_save(self) -> bool:
        """Wait until the changes so far are saved, or their write has failed; returns False on a timeout."""
        if self._saving is None:
            return True
        ended, _ = await asyncio.wait([self._saving], timeout=COMMIT_TIMEOUT_S)
        return bool(ended)

    def view(self) -> FleetView:
        """Return the state of the fleet as this dispatcher knows it."""
        return self.node.view(self._clock())

    def transfer_leadership(self) -> bool:
        """Transfer leadership to another voter. Call it until it returns False."""
        transferring = self.node.transfer_leadership(self._clock())
        self.pump()
        return transferring

    def leave(self) -> None:
        """Announce to the members that this process leaves the fleet."""
        self.node.leave(self._clock())
        self.pump()

    async def stop(self) -> None:
        """Stop the node, cancel the pending operations, and wait for a write that is in progress."""
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
        """Run the node's due work, send its output, and set the timer for its next work."""
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
        """Save the state, then send the output that depends on it; repeat while there is new output."""
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
        """Rewrite the file of the state, which has grown large. If the disk is full, the file stays as it is.

        The written state already has the changes made meanwhile, which are appended again later: frames are
        idempotent.
        """
        try:
            await asyncio.to_thread(store.replace, state_codec.encode_state(self.node.raft.persistent))
        except StateNotRewrittenError as error:
            log.warning("fleet: store: %s; its file is not compacted for now", error)

    def _log_changes(self) -> None:
        table = self.node.members.table
        for member in table.status_changes:
            log.info("fleet: %s is %s", member.identity, member.status.name.lower())
        table.status_changes.clear()
        leader = self.node.leader
        if leader != self._last_leader:
            self._last_leader = leader
            log.info("fleet: leader: %s", leader or "none")
