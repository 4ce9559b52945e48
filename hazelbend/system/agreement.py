"""Drives a control engine: its turns, its store, and the links to other control processes."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable

import picologging

from hazelbend.consensus import state_codec
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.control import messages as m
from hazelbend.control.config_state_machine import StoredConfig
from hazelbend.control.engine import ControlEngine
from hazelbend.control.outputs import Answer, ControlSettings, DurableOutput, ImmediateOutput
from hazelbend.control.workers import WorkerRecord
from hazelbend.system.agreement_log import AgreementLog
from hazelbend.system.clock import clock
from hazelbend.transport.peer.frame_link import FrameLink
from hazelbend.transport.storage.control_store import ControlStore, Part, StoreError

log = picologging.getLogger("hazelbend.control")

ANSWER_WAIT = 0.9  # seconds that a call waits for an answer of the engine
STORE_PAUSE = 0.2  # seconds until a disk that refused is tried again
SHORTEST_WAIT = 0.001  # seconds between two ticks
LEAVE_WAIT = 0.6  # seconds at the end in which another may take the lead
LEAVE_LOOK = 0.02


class Agreement:
    """One control engine that runs. What rests on the store is sent once it is stored, all else at once.

    `config_changed` hears of each configuration that may be told, `workers_changed` of workers.
    """

    def __init__(
        self,
        settings: ControlSettings,
        store: ControlStore | None,
        config_changed: Callable[[StoredConfig], None],
        workers_changed: Callable[[list[WorkerRecord]], None],
    ) -> None:
        self._settings = settings
        self._store = store
        self._config_changed, self._workers_changed = config_changed, workers_changed
        self.engine: ControlEngine
        self.config = StoredConfig()  # what may be told
        self.confirmed_at: int | None = None  # when that was surely the newest
        self._links: dict[str, FrameLink] = {}
        self._waiting: dict[int, asyncio.Future[Answer]] = {}
        self._saving: asyncio.Task[None] | None = None
        self._stored_commit = 0
        self._store_begun = False  # the whole memory is in the store
        self._wake: asyncio.TimerHandle | None = None
        self._log = AgreementLog()
        self._closed = False

    # --- its life ---

    async def restore(self) -> None:
        """Begin from what is stored; waits for a disk that refuses."""
        recalled = await self._restored()
        memory = recalled[0] if recalled is not None else None
        identity = f"{secrets.token_hex(4)}@{self._settings.address}"
        self._store_begun = memory is not None
        self.engine = ControlEngine(
            identity, self._settings, secrets.randbits(63), clock(), time.time, memory
        )
        if recalled is not None:
            self.engine.raft.restore_commit(recalled[1], clock())
            self._stored_commit = recalled[1]
            self.config = self.engine.machine.current
        log.info("control: this is %s, %s", self.engine.identity, "recalled" if memory else "new")

    async def _restored(self) -> tuple[PersistentState, int] | None:
        while self._store is not None:
            try:
                return await self._store.open(self._settings.address)
            except StoreError as error:
                log.error("control: store: %s; tried again", error)
                await asyncio.sleep(STORE_PAUSE)
        return None

    async def hand_over(self) -> None:
        """Let another lead, before a planned end."""
        handed = self.engine.leave(clock())
        self.pump()
        if not handed:
            return
        end = time.monotonic() + LEAVE_WAIT
        while self.engine.raft.leads and time.monotonic() < end:
            await asyncio.sleep(LEAVE_LOOK)

    async def close(self) -> None:
        """Nothing is sent any more."""
        self._closed = True
        if self._wake is not None:
            self._wake.cancel()
        if self._saving is not None:
            await asyncio.wait([self._saving], timeout=LEAVE_WAIT)
        for link in self._links.values():
            link.reconnect()

    # --- its turns ---

    def receive(self, sender: str, body: m.Body) -> None:
        """A message of the control process at this address."""
        self.engine.receive(sender, body, clock())
        self.pump()

    def pump(self) -> None:
        """Let the engine do what is due, and see that its output is stored and sent."""
        if self._closed:
            return
        engine = self.engine
        if clock() >= engine.next_tick_at:
            engine.tick(clock())
        self._send_volatile(engine.take_immediate_output())
        if self._saving is None:
            if engine.has_durable_output:
                self._saving = asyncio.create_task(self._save_and_send())
            else:
                self.confirmed_at = engine.raft.confirmed_at
        if self._wake is not None:
            self._wake.cancel()
        wait = max((engine.next_tick_at - clock()) / 1e6, SHORTEST_WAIT)
        self._wake = asyncio.get_running_loop().call_later(wait, self.pump)
        self._log.look(engine, clock())

    async def wait_for(self, number: int) -> Answer | None:
        """The engine's answer of this number, or None where it does not come in time."""
        self.pump()
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            async with asyncio.timeout(ANSWER_WAIT):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]

    async def _save_and_send(self) -> None:
        """Send the stable output once what it rests on is stored; what comes meanwhile goes next."""
        engine = self.engine
        try:
            while engine.has_durable_output:
                output = engine.take_durable_output()
                parts = state_codec.changed_parts(engine.raft)
                if parts and self._store is not None and not await self._stored(parts):
                    return
                self._send_stable(output)
            if self._store is not None and engine.raft.commit != self._stored_commit:
                await self._stored([])
        finally:
            self._saving = None

    async def _stored(self, parts: list[Part]) -> bool:
        """Whether these parts are on the disk. False: the stable output is lost, as on a bad link."""
        assert self._store is not None
        engine = self.engine
        try:
            if not self._store_begun:
                parts = state_codec.whole_parts(engine.raft.persistent)
            commit = engine.raft.commit
            await self._store.save(parts, commit)
            self._stored_commit = commit
            self._store_begun = True
            return True
        except StoreError as error:
            log.error("control: store: %s; nothing that rests on it is sent until it takes writes", error)
            self._store_begun = False  # the next save takes all
            engine.raft.promise_changed = True
            for answer in engine.discard_durable_output():
                self._answer(answer)
            await asyncio.sleep(STORE_PAUSE)
            return False

    def _send_volatile(self, output: ImmediateOutput) -> None:
        for address, body in output.out:
            self.send(address, m.encode(body))
        for answer in output.answers:
            asyncio.get_running_loop().call_soon(self._answer, answer)  # its caller may not wait yet
        if output.news:
            self._workers_changed(output.news)

    def _send_stable(self, output: DurableOutput) -> None:
        for address, messages in output.out:
            self.send(address, m.encode(messages))
        for answer in output.answers:
            self._answer(answer)
        self.confirmed_at = output.confirmed_at
        if output.config.version > self.config.version:
            self.config = output.config
            log.info("control: configuration %d is in force", output.config.version)
            self._config_changed(output.config)

    def _answer(self, answer: Answer) -> None:
        future = self._waiting.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    def confirmation(self) -> m.Pong:
        """What is in force here, and how old a majority's word is that it is the newest."""
        age = None if self.confirmed_at is None else max(clock() - self.confirmed_at, 0)
        return m.Pong(0, self.config.version, age)

    def _link_opened(self, address: str) -> None:
        self.engine.send_worker_snapshot(address, clock())
        asyncio.get_running_loop().call_soon(self.pump)

    def send(self, address: str, frame: bytes) -> None:
        """To the control process at this address, if it can be reached."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = FrameLink(
                address, lambda frame: None, lambda: self._link_opened(address)
            )
        link.send(frame)
