"""Drives a control engine: its turns, its store, and the links to other control processes."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable

import picologging

from hazelbend.control import messages as m
from hazelbend.control.config_machine import StoredConfig
from hazelbend.control.engine import Answer, ControlEngine, ControlPlan, SoftSpoken, Spoken
from hazelbend.control.workers import WorkerRecord
from hazelbend.fleet import memory_file
from hazelbend.fleet.memory import Memory
from hazelbend.system.clock import clock
from hazelbend.transport.control_store import ControlStore, Part, StoreError
from hazelbend.transport.frame_link import FrameLink

log = picologging.getLogger("hazelbend.control")

ANSWER_WAIT = 0.9  # seconds that a call waits for an answer of the engine
STORE_PAUSE = 0.2  # seconds until a disk that refused is tried again
SHORTEST_WAIT = 0.001  # seconds between two ticks
LEAVE_WAIT = 0.6  # seconds at the end in which another may take the lead
LEAVE_LOOK = 0.02


class Agreement:
    """One control engine that runs. What rests on the store is said once it is stored, all else at once.

    `config_changed` hears of each configuration that may be told, `workers_changed` of workers.
    """

    def __init__(
        self,
        plan: ControlPlan,
        store: ControlStore | None,
        config_changed: Callable[[StoredConfig], None],
        workers_changed: Callable[[list[WorkerRecord]], None],
    ) -> None:
        self._plan, self._store = plan, store
        self._config_changed, self._workers_changed = config_changed, workers_changed
        self.engine: ControlEngine
        self.config = StoredConfig()  # what may be told
        self._links: dict[str, FrameLink] = {}
        self._waiting: dict[int, asyncio.Future[Answer]] = {}
        self._saving: asyncio.Task[None] | None = None
        self._stored_commit = 0
        self._store_begun = False  # the whole memory is in the store
        self._wake: asyncio.TimerHandle | None = None
        self._led = ""
        self._closed = False

    # --- its life ---

    async def recall(self) -> None:
        """Begin from what is stored; waits for a disk that refuses."""
        recalled = await self._recalled()
        memory = recalled[0] if recalled is not None else None
        identity = f"{secrets.token_hex(4)}@{self._plan.address}"
        self._store_begun = memory is not None
        self.engine = ControlEngine(identity, self._plan, secrets.randbits(63), clock(), time.time, memory)
        if recalled is not None:
            self.engine.record.recall_commit(recalled[1], clock())
            self._stored_commit = recalled[1]
            self.config = self.engine.machine.current
        log.info("control: this is %s, %s", self.engine.me, "recalled" if memory else "new")

    async def _recalled(self) -> tuple[Memory, int] | None:
        while self._store is not None:
            try:
                return await self._store.open(self._plan.address)
            except StoreError as error:
                log.error("control: store: %s; tried again", error)
                await asyncio.sleep(STORE_PAUSE)
        return None

    async def hand_over(self) -> None:
        """Let another lead, before a planned end."""
        if not self.engine.hand_over(clock()):
            return
        self.pump()
        end = time.monotonic() + LEAVE_WAIT
        while self.engine.record.leads and time.monotonic() < end:
            await asyncio.sleep(LEAVE_LOOK)

    async def close(self) -> None:
        """Nothing is said any more."""
        self._closed = True
        if self._wake is not None:
            self._wake.cancel()
        if self._saving is not None:
            await asyncio.wait([self._saving], timeout=LEAVE_WAIT)
        for link in self._links.values():
            link.restart()

    # --- its turns ---

    def receive(self, sender: str, body: m.Body) -> None:
        """A message of the control process at this address."""
        self.engine.receive(sender, body, clock())
        self.pump()

    def pump(self) -> None:
        """Let the engine do what is due, and see that what it says is stored and said."""
        if self._closed:
            return
        engine = self.engine
        if clock() >= engine.due:
            engine.tick(clock())
        self._say_soft(engine.take_soft())
        if engine.has_to_say and self._saving is None:
            self._saving = asyncio.create_task(self._save_and_say())
        if self._wake is not None:
            self._wake.cancel()
        wait = max((engine.due - clock()) / 1e6, SHORTEST_WAIT)
        self._wake = asyncio.get_running_loop().call_later(wait, self.pump)
        if engine.leader != self._led:
            self._led = engine.leader
            log.info("control: leader %s, term %d", self._led or "unknown", engine.record.memory.term)

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

    async def _save_and_say(self) -> None:
        """Say what there is to say once what it rests on is stored; what comes meanwhile goes next."""
        engine = self.engine
        try:
            while engine.has_to_say:
                said = engine.take()
                parts = memory_file.changed_parts(engine.record)
                if parts and self._store is not None and not await self._stored(parts):
                    return
                self._say(said)
            if self._store is not None and engine.record.commit != self._stored_commit:
                await self._stored([])
        finally:
            self._saving = None

    async def _stored(self, parts: list[Part]) -> bool:
        """Whether these parts are on the disk. False: all that was to be said is lost, as on a bad link."""
        assert self._store is not None
        engine = self.engine
        try:
            if not self._store_begun:
                parts = memory_file.whole_parts(engine.record.memory)
            commit = engine.record.commit
            await self._store.save(parts, commit)
            self._stored_commit = commit
            self._store_begun = True
            return True
        except StoreError as error:
            log.error("control: store: %s; nothing is said until it takes writes", error)
            self._store_begun = False  # the next save takes all
            engine.record.promise_changed = True
            for answer in engine.drop_unsaid():
                self._answer(answer)
            await asyncio.sleep(STORE_PAUSE)
            return False

    def _say_soft(self, said: SoftSpoken) -> None:
        for address, body in said.out:
            self.send(address, m.encode(body))
        for answer in said.answers:
            asyncio.get_running_loop().call_soon(self._answer, answer)  # its caller may not wait yet
        if said.news:
            self._workers_changed(said.news)

    def _say(self, said: Spoken) -> None:
        for address, messages in said.out:
            self.send(address, m.encode(messages))
        for answer in said.answers:
            self._answer(answer)
        if said.config.version > self.config.version:
            self.config = said.config
            log.info("control: configuration %d is in force", said.config.version)
            self._config_changed(said.config)

    def _answer(self, answer: Answer) -> None:
        future = self._waiting.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    def send(self, address: str, frame: bytes) -> None:
        """To the control process at this address, if it can be reached."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = FrameLink(address, lambda frame: None)
        link.send(frame)
