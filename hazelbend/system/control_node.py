"""Runs a control engine: passes the time and messages to it, persists its state, and sends its output."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable

import picologging

from hazelbend.control import messages as m
from hazelbend.control.config_state_machine import StoredConfig, decompress_body
from hazelbend.control.configuration_reader import InvalidConfigurationError, read_configuration
from hazelbend.control.engine import ControlEngine
from hazelbend.control.outputs import CallOutcome, DurableOutput, ImmediateOutput
from hazelbend.control.settings import ControlSettings
from hazelbend.control.workers import WorkerRecord
from hazelbend.system.clock import SECOND_US, clock
from hazelbend.system.control_event_log import ControlEventLog
from hazelbend.system.state_persister import StateNotSavedError, StatePersister
from hazelbend.transport.background_work import RepeatingTimer
from hazelbend.transport.peer.frame_link import FrameLink
from hazelbend.transport.storage.control_store import ControlStore

log = picologging.getLogger("hazelbend.control")

OUTCOME_TIMEOUT_S = 0.9  # for an API call that waits for the engine
SAVE_RETRY_DELAY_S = 0.2  # after a failed write
MIN_TICK_INTERVAL_S = 0.001
HAND_OVER_TIMEOUT_S = 0.6  # at shutdown, for another process to become leader
HAND_OVER_POLL_S = 0.02
LAST_SAVE_TIMEOUT_S = 0.6  # at shutdown, for a save that is in progress
IDENTITY_BYTES = 4  # random bytes in the identity of a process without saved state
SEED_BITS = 63


class ControlNode:
    """One running control engine.

    Output that depends on state that must survive a crash is sent only after that state is saved (Raft,
    figure 2: "updated on stable storage before responding to RPCs"); all other output is sent at once.

    `on_config` is called with each configuration that comes into force, `on_workers` with the records
    that have changed and the instances that have expired.
    """

    engine: ControlEngine  # set by `restore`

    def __init__(
        self,
        settings: ControlSettings,
        store: ControlStore | None,
        on_config: Callable[[StoredConfig], None],
        on_workers: Callable[[list[WorkerRecord], list[str]], None],
    ) -> None:
        self.config = StoredConfig()  # the configuration in force
        self.router_versions: dict[str, int] = {}  # of the configuration in force at each subscribed router
        self.confirmed_at: int | None = None  # when a majority last confirmed that `config` is the newest
        self._settings = settings
        self._persister = StatePersister(store)
        self._on_config = on_config
        self._on_workers = on_workers
        self._links: dict[str, FrameLink] = {}  # to other control processes, by address
        self._pending_calls: dict[int, asyncio.Future[CallOutcome]] = {}  # by request id
        self._save_task: asyncio.Task[None] | None = None
        self._tick_timer = RepeatingTimer("control engine", self.advance)
        self._event_log = ControlEventLog()
        self._closed = False
        self.is_abstaining = False  # the last write to the store failed: dependent output is discarded

    # --- start and shutdown ---

    async def restore(self) -> None:
        """Create the engine, with the saved state if there is any."""
        restored = await self._persister.restore(self._settings.address)
        state = restored[0] if restored is not None else None
        identity = f"{secrets.token_hex(IDENTITY_BYTES)}@{self._settings.address}"
        seed = secrets.randbits(SEED_BITS)
        self.engine = ControlEngine(identity, self._settings, seed, clock(), time.time, state)
        if restored is not None:
            commit_index = restored[1]
            self.engine.raft.restore_commit_index(commit_index, clock())
            self.config = self.engine.config_state.current
            _log_config(self.config)
        self.engine.restore_workers(self._persister.restored_workers(), clock())
        log.info("control: started as %s, %s", self.engine.identity, "restored" if state else "new")

    async def hand_over_leadership(self) -> None:
        """Prepare a graceful shutdown: announce it, and if this process leads, wait for another leader."""
        handed_over = self.engine.leave(clock())
        self.advance()
        if not handed_over:
            return
        deadline = time.monotonic() + HAND_OVER_TIMEOUT_S
        while self.engine.raft.is_leader and time.monotonic() < deadline:  # noqa: ASYNC110 (the engine has no I/O)
            await asyncio.sleep(HAND_OVER_POLL_S)

    async def close(self) -> None:
        """Stop the engine, after a save in progress has completed."""
        self._closed = True
        self._tick_timer.cancel()
        if self._save_task is not None:
            await asyncio.wait([self._save_task], timeout=LAST_SAVE_TIMEOUT_S)
        for link in self._links.values():
            link.reconnect()

    # --- running the engine ---

    def receive(self, sender: str, body: m.Body) -> None:
        """Handle a message from the control process at this address."""
        self.engine.receive(sender, body, clock())
        self.advance()

    def advance(self) -> None:
        """Tick the engine if a tick is due, process its output, and set the timer for the next tick.

        Must be called after each call of the engine that may produce output.
        """
        if self._closed:
            return
        engine = self.engine
        if clock() >= engine.next_tick_at:
            engine.tick(clock())
        self._send_immediate(engine.take_immediate_output())
        if self._save_task is None:
            if engine.has_durable_output:
                self._save_task = asyncio.create_task(self._save_and_send())
            else:
                self.confirmed_at = engine.raft.confirmed_at
        self._set_tick_timer()
        self._event_log.observe(engine, clock())

    def _set_tick_timer(self) -> None:
        self._tick_timer.set(max((self.engine.next_tick_at - clock()) / SECOND_US, MIN_TICK_INTERVAL_S))

    async def wait_for_outcome(self, request_id: int) -> CallOutcome | None:
        """Wait for the outcome of a request to the engine. Returns None after the timeout."""
        self.advance()
        future: asyncio.Future[CallOutcome] = asyncio.get_running_loop().create_future()
        self._pending_calls[request_id] = future
        try:
            async with asyncio.timeout(OUTCOME_TIMEOUT_S):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._pending_calls[request_id]

    def confirmation(self, ping: m.Ping) -> m.Pong:
        """Return the answer to a router's ping: the configuration in force, and its confirmation's age."""
        age = None if self.confirmed_at is None else max(clock() - self.confirmed_at, 0)
        return m.Pong(ping.sent_at, self.config.version, age)

    # --- output ---

    async def _save_and_send(self) -> None:
        """Save the state and send the output, repeatedly until there is no more of either."""
        engine = self.engine
        unsent = DurableOutput()
        try:
            while engine.has_durable_output:
                unsent = engine.take_durable_output()
                await self._persister.save_changes(engine.raft, engine.registry)
                self._resume_after_abstaining()
                engine.confirm_saved(unsent)
                self._send_durable(unsent)
                unsent = DurableOutput()
                self._send_immediate(engine.take_immediate_output())
            await self._persister.save_commit_index(engine.raft)
        except StateNotSavedError as error:
            self._abstain(unsent, error)
            await asyncio.sleep(SAVE_RETRY_DELAY_S)
        finally:
            self._save_task = None

    def _abstain(self, unsent: DurableOutput, error: StateNotSavedError) -> None:
        """Discard the output, as if the network had lost it, until a write to the store succeeds.

        Pending calls are answered at once that their outcome is unknown, as this process cannot decide them.
        """
        if not self.is_abstaining:
            log.error("control: store: %s; this process abstains until writes succeed", error)
        self.is_abstaining = True
        for outcome in self.engine.discard_durable_output(unsent):
            self._resolve(outcome)

    def _resume_after_abstaining(self) -> None:
        if self.is_abstaining:
            log.warning("control: store: writes succeed again")
        self.is_abstaining = False

    def _send_immediate(self, output: ImmediateOutput) -> None:
        for address, body in output.messages:
            self.send(address, m.encode(body))
        for outcome in output.outcomes:
            # Deferred, since the caller begins to wait for the outcome only after this method returns.
            asyncio.get_running_loop().call_soon(self._resolve, outcome)
        if output.changed_workers or output.expired_workers:
            self._on_workers(output.changed_workers, output.expired_workers)

    def _send_durable(self, output: DurableOutput) -> None:
        for address, messages in output.messages:
            self.send(address, m.encode(messages))
        for outcome in output.outcomes:
            self._resolve(outcome)
        self.confirmed_at = output.confirmed_at
        if output.config.version > self.config.version:
            self.config = output.config
            _log_config(output.config)
            self._on_config(output.config)

    def _resolve(self, outcome: CallOutcome) -> None:
        future = self._pending_calls.get(outcome.request_id)
        if future is not None and not future.done():
            future.set_result(outcome)

    def send(self, address: str, frame: bytes) -> None:
        """Send an encoded message to the control process at this address. Delivery is not guaranteed."""
        link = self._links.get(address)
        if link is None:
            link = FrameLink(address, _ignore_frame, lambda: self._link_opened(address))
            self._links[address] = link
        link.send(frame)

    def _link_opened(self, address: str) -> None:
        """Send a hello and all workers before any frame that waited for the link."""
        self.engine.handle_link_opened(address, clock())
        self._send_immediate(self.engine.take_immediate_output())


def _log_config(config: StoredConfig) -> None:
    if config.readable is config:
        log.info("control: configuration %d is in force", config.version)
        return
    try:
        read_configuration(decompress_body(config))
    except InvalidConfigurationError as error:
        text = "control: configuration %d is unreadable; routers keep %d until a newer one is put: %s"
        log.error(text, config.version, config.readable.version, error)


def _ignore_frame(content: bytes) -> None:
    """Ignore what a control process sends over this link: it answers over a link that it opens itself."""
