"""A router's subscriptions to control processes, over which it receives all updates about the fleet.

A router is subscribed to `SUBSCRIPTIONS` control processes at a time, so it misses no update when one fails.
Loads are reported and received over only one of them, the primary. A subscription is replaced by one to
another control process when it is rejected, when it is silent, or when its control process is cut off from
the majority.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import msgspec
import picologging

from hazelbend.control import messages as m
from hazelbend.control.load_table import LoadUpdate
from hazelbend.system.clock import SECOND_US
from hazelbend.transport.background_work import start_background_task
from hazelbend.transport.peer.frame_link import FrameLink

log = picologging.getLogger("hazelbend.watch")

SUBSCRIPTIONS = 2  # control processes that a router is subscribed to
CHECK_PERIOD_S = 0.2  # between checks of the subscriptions
PING_PERIOD_S = 0.4
REJECTED_WITHIN_S = 0.1  # a connection closed so soon after it was opened counts as rejected
SILENCE_TIMEOUT_S = 1.3  # a subscription without a message for this time is replaced
UNCONFIRMED_TIMEOUT_S = 1.5  # a subscription without a majority's confirmation for this time is replaced
CACHE_STATE_TTL_S = 5.0  # without an open subscription for this time, all cache contents are requested again


class UpdateHandler(Protocol):
    """Receives the updates of all subscriptions. It may receive the same update more than once."""

    def config_version(self) -> int:
        """Return the version of the configuration in force at this router; 0 if there is none."""

    def apply_config(self, update: m.ConfigUpdate) -> None:
        """Handle a configuration that has come into force."""

    def subscription_opened(self, source: str) -> None:
        """Handle a new connection to the control process at this address, which will send all workers."""

    def subscription_ended(self, source: str) -> None:
        """Handle that the control process at this address sends no more updates."""

    def apply_workers(self, source: str, update: m.WorkerUpdate) -> None:
        """Handle changes of workers that the control process at this address has sent."""

    def apply_fleet_status(self, source: str, update: m.FleetStatus) -> None:
        """Handle the periodic update about control processes, routers and silent workers."""

    def take_resync_request(self, source: str) -> bool:
        """Whether the workers of the control process at this address differ and must be requested."""

    def apply_loads(self, update: LoadUpdate) -> None:
        """Handle the requests in flight of the other routers, and new cache contents."""

    def config_confirmed(self, version: int, at_s: float) -> None:
        """Handle a majority's confirmation that no configuration was newer than this version at `at_s`.

        `at_s` is a time of the event loop, in seconds.
        """


class ControlSubscription:
    """A connection to a control process, and its state. Times are those of the event loop, in seconds."""

    def __init__(
        self,
        address: str,
        handler: UpdateHandler,
        on_open: Callable[[ControlSubscription], None],
        now: Callable[[], float],
    ) -> None:
        self.address = address
        self.created_at = now()
        self.last_received_at = self.created_at
        self.confirmed_at = self.created_at  # when a majority last confirmed that its updates are the newest
        self.last_ping_at = 0.0
        self.carries_loads = False  # whether loads are reported and received over this subscription
        self.has_sent_caches = False  # whether all cache contents have been received over it
        self.rejected = False
        self._handler = handler
        self._on_open = on_open
        self._now = now
        self._opened_at = 0.0
        self._link = FrameLink(address, self._frame_received, self._opened, self._closed)

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._link.is_open

    def send(self, frame: bytes) -> None:
        """Send an encoded message. It is dropped if the connection is not open."""
        self._link.send(frame)

    def subscribe(self, router: str, *, loads: bool, caches: bool) -> None:
        """Request all updates from now on. `loads`, `caches`: whether to include updates of that kind."""
        self.carries_loads = loads
        self._link.send(m.encode(m.SubscribeRequest(router, self._handler.config_version(), loads, caches)))
        self.ping()

    def ping(self) -> None:
        """Send a ping. The pong contains the age of the majority's confirmation."""
        self.last_ping_at = self._now()
        sent_at = round(self.last_ping_at * SECOND_US)
        self._link.send(m.encode(m.Ping(sent_at, self._handler.config_version())))

    async def close(self) -> None:
        """Close the connection and do not reconnect."""
        await self._link.close()

    def _opened(self) -> None:
        self._opened_at = self._now()
        self._handler.subscription_opened(self.address)
        self._on_open(self)

    def _closed(self) -> None:
        self.rejected = self._now() - self._opened_at < REJECTED_WITHIN_S

    def _frame_received(self, frame: bytes) -> None:
        try:
            body = m.decode(frame)
        except msgspec.DecodeError as error:
            log.warning("subscription: %s: undecodable message, reconnecting: %s", self.address, error)
            self._link.reconnect()
            return
        self.last_received_at = self._now()
        match body:
            case m.ConfigUpdate():
                self._handler.apply_config(body)
            case m.WorkerUpdate():
                self._handler.apply_workers(self.address, body)
            case m.FleetStatus():
                self._handler.apply_fleet_status(self.address, body)
                if self._handler.take_resync_request(self.address):
                    log.warning("subscription: %s: its workers differ, requesting all of them", self.address)
                    self._link.send(m.encode(m.WorkerSyncRequest()))
            case m.Pong():
                self._pong_received(body)
            case LoadUpdate() if self.carries_loads:
                self._handler.apply_loads(body)
            case LoadUpdate():
                # Loads are relative to what the primary has sent; cache contents are independent of it.
                self._handler.apply_loads(LoadUpdate({}, body.cached))
            case m.CacheUpdate():
                self._caches_received(body)

    def _caches_received(self, update: m.CacheUpdate) -> None:
        try:
            cached = update.cached_prefixes()
        except msgspec.DecodeError as error:
            log.warning("subscription: %s: undecodable cache contents: %s", self.address, error)
            return
        self.has_sent_caches = True
        self._handler.apply_loads(LoadUpdate({}, cached))

    def _pong_received(self, pong: m.Pong) -> None:
        if pong.confirmed_age is None:
            return
        # The pong is later than the ping, so by this clock the confirmation is at least this new.
        confirmed_at = (pong.sent_at - pong.confirmed_age) / SECOND_US
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self._handler.config_confirmed(pong.version, confirmed_at)


class ControlSubscriptions:
    """Maintains `SUBSCRIPTIONS` subscriptions to control processes that respond."""

    def __init__(self, router: str, seeds: tuple[str, ...], handler: UpdateHandler, seed: int) -> None:
        self.seeds = seeds  # addresses of control processes, from the settings
        self._router = router
        self._handler = handler
        self._random = random.Random(seed)
        self._alive: tuple[str, ...] = ()  # addresses of control processes that are reported to be alive
        self._subscriptions: dict[str, ControlSubscription] = {}  # by address
        self._failed_at: dict[str, float] = {}  # by address
        self._caches_known_at: float | None = None  # when this router last had the complete cache contents
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start subscribing, and maintain the subscriptions from then on."""
        self._task = start_background_task("control subscriptions", self._maintain_regularly)

    async def close(self) -> None:
        """Close all subscriptions."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])  # it opens and drops subscriptions until it has ended
        for subscription in self._subscriptions.values():
            await subscription.close()

    def set_alive(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses of the control processes that are reported to be alive."""
        self._alive = addresses

    def send(self, body: m.Body) -> None:
        """Send a message to the control process of the primary, which forwards it to the others."""
        frame = m.encode(body)
        primary = self._primary()
        if primary is not None:
            primary.send(frame)

    def _open_subscriptions(self) -> list[ControlSubscription]:
        return [subscription for subscription in self._subscriptions.values() if subscription.is_open]

    def _primary(self) -> ControlSubscription | None:
        """Return the primary: the oldest open subscription."""
        return min(self._open_subscriptions(), key=lambda subscription: subscription.created_at, default=None)

    # --- cache contents ---

    def _caches_known(self, now: float) -> bool:
        """Whether this router has all cache contents, recent enough that few changes can be missing."""
        return self._caches_known_at is not None and now - self._caches_known_at <= CACHE_STATE_TTL_S

    def _note_caches_known(self, now: float) -> None:
        """Update `_caches_known_at`. Cache contents stay known while a subscription delivers changes."""
        open_ones = self._open_subscriptions()
        received = any(subscription.has_sent_caches for subscription in open_ones)
        if received or (open_ones and self._caches_known(now)):
            self._caches_known_at = now

    # --- maintenance ---

    async def _maintain_regularly(self) -> None:
        while True:
            await self._maintain(asyncio.get_running_loop().time())
            await asyncio.sleep(CHECK_PERIOD_S)

    async def _maintain(self, now: float) -> None:
        self._note_caches_known(now)
        unconfirmed = self._unconfirmed(now)
        for subscription in list(self._subscriptions.values()):
            silent = now - subscription.last_received_at > SILENCE_TIMEOUT_S
            if subscription.rejected or silent or subscription is unconfirmed:
                await self._drop(subscription, now)
            elif now - subscription.last_ping_at > PING_PERIOD_S:
                self._ping(subscription)
        self._add_missing()

    async def _drop(self, subscription: ControlSubscription, now: float) -> None:
        del self._subscriptions[subscription.address]
        self._failed_at[subscription.address] = now
        self._handler.subscription_ended(subscription.address)
        await subscription.close()

    def _ping(self, subscription: ControlSubscription) -> None:
        subscription.ping()
        is_primary = subscription is self._primary()
        if subscription.carries_loads != is_primary:
            self._subscribe(subscription)

    def _subscribe(self, subscription: ControlSubscription) -> None:
        """Subscribe, at each new connection and again when the primary has changed."""
        is_primary = subscription is self._primary()
        # Cache contents are by far the largest update, so they are requested only if they are not known.
        caches = is_primary and not self._caches_known(asyncio.get_running_loop().time())
        subscription.subscribe(self._router, loads=is_primary, caches=caches)

    def _add_missing(self) -> None:
        candidates = [
            address for address in {*self.seeds, *self._alive} if address not in self._subscriptions
        ]
        self._random.shuffle(candidates)
        # Prefer those that never failed, or failed longest ago; among equals, those reported to be alive.
        candidates.sort(
            key=lambda address: (self._failed_at.get(address, 0.0), address not in self._alive),
        )
        now = asyncio.get_running_loop().time
        for address in candidates[: SUBSCRIPTIONS - len(self._subscriptions)]:
            self._subscriptions[address] = ControlSubscription(address, self._handler, self._subscribe, now)

    def _unconfirmed(self, now: float) -> ControlSubscription | None:
        """Return a subscription to replace because no majority confirms the updates of its control process.

        If none of the subscriptions is confirmed, the primary is kept: stale updates are better than none.
        """
        stale = [
            subscription
            for subscription in self._subscriptions.values()
            if now - subscription.confirmed_at > UNCONFIRMED_TIMEOUT_S
        ]
        if not set(self._alive) - set(self._subscriptions):
            return None
        if len(stale) == len(self._subscriptions):
            stale = [subscription for subscription in stale if subscription is not self._primary()]
        return stale[0] if stale else None
