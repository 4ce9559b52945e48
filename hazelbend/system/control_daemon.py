"""The control process: the control engine, its store, its peers, its watches and its API, wired together."""

from __future__ import annotations

import asyncio
import secrets
import time
from dataclasses import dataclass

import msgspec
import picologging

from hazelbend.control import messages as m
from hazelbend.control.config_machine import ChangeResult, StoredConfig, plain_body
from hazelbend.control.configuration import InvalidConfigurationError, check_configuration
from hazelbend.control.engine import Answer, ControlEngine, ControlPlan, PutDone, ReadDone, Spoken, WorkerDone
from hazelbend.control.load_table import CachedPart, CacheTable, LoadNews, LoadTable, RouterLoad
from hazelbend.control.phase_planner import PhaseOrder
from hazelbend.control.workers import WorkerState
from hazelbend.fleet import memory_file
from hazelbend.fleet.members import address_of
from hazelbend.fleet.record import Memory
from hazelbend.protocol.control_calls import read_heartbeat
from hazelbend.system.settings import Settings, split_address
from hazelbend.transport.asgi_server import AsgiServer, HttpAnswer, HttpCall
from hazelbend.transport.control_store import ControlStore, Part, StoreError
from hazelbend.transport.frame_link import FrameConnection, FrameLink, FrameServer
from hazelbend.transport.soft_state_file import read_soft_state, write_soft_state

log = picologging.getLogger("hazelbend.control")

LARGEST_CALL = 8 * 1024 * 1024  # bytes of a call's body
ANSWER_WAIT = 0.9  # seconds that a call waits for an answer of the engine
LEADER_WAIT = 0.7  # seconds that a call waits for a leader to be known
LEADER_LOOK = 0.02
SOFT_STATE = "soft-state"  # file beside the store
SOFT_STATE_EVERY = 0.7  # seconds between two writes of it
STORE_PAUSE = 0.2  # seconds until a disk that refused is tried again
PLAN_EVERY = 0.5  # seconds between two looks at the parts that workers play
FLEET_NEWS_EVERY = 0.5  # seconds between two words to routers on the fleet
LOADS_EVERY, LOADS_EVERY_PER_ROUTER = 0.04, 0.002  # seconds between two reports of load to routers
SHORTEST_WAIT = 0.001  # seconds between two ticks
LEAVE_WAIT = 0.6  # seconds at the end in which another may take the lead
JSON = "application/json"


def clock() -> int:
    """Microseconds of this process's monotonic clock."""
    return time.monotonic_ns() // 1_000


@dataclass(slots=True, frozen=True)
class _Watcher:
    router: str
    loads: bool  # whether it wants the loads of others


class ControlDaemon:
    """Everything that runs in a control process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._plan = ControlPlan(
            address=settings.control_peer,
            seeds=settings.seed_peers,
            counted=settings.counted,
            may_found=settings.bootstrap,
            tolerance=settings.tolerance,
            heartbeat=settings.heartbeat,
            lease=settings.lease,
        )
        self._store = ControlStore(settings.data_folder) if settings.data_folder else None
        self._server = FrameServer(self._hear, self._gone)
        self._api = AsgiServer(self._call, LARGEST_CALL)
        self._links: dict[str, FrameLink] = {}
        self._senders: dict[FrameConnection, str] = {}  # addresses of control processes
        self._watchers: dict[FrameConnection, _Watcher] = {}
        self._waiting: dict[int, asyncio.Future[Answer]] = {}
        self._config = StoredConfig()  # what routers may be told
        self._saving: asyncio.Task[None] | None = None
        self._stored_commit = 0
        self._store_begun = False  # the whole memory is in the store
        self._wake: asyncio.TimerHandle | None = None
        self._telling: list[asyncio.Task[None]] = []
        self._loads = LoadTable()
        self._loads_changed = False
        self._cached: list[CachedPart] = []  # not told yet
        self._caches = CacheTable()
        self._soft_path = settings.data_folder / SOFT_STATE if settings.data_folder else None
        self._soft_written = b""
        self._led = ""
        self._closed = False
        self._engine: ControlEngine

    # --- its life ---

    async def start(self) -> None:
        """Recall, then serve."""
        recalled = await self._recall()
        memory = recalled[0] if recalled is not None else None
        identity = f"{secrets.token_hex(4)}@{self._plan.address}"
        self._store_begun = memory is not None
        self._engine = ControlEngine(identity, self._plan, secrets.randbits(63), clock(), time.time, memory)
        if recalled is not None:
            self._engine.record.recall_commit(recalled[1], clock())
            self._stored_commit = recalled[1]
            self._config = self._engine.machine.current
        log.info("control: this is %s, %s", self._engine.me, "recalled" if memory else "new")
        await self._server.listen(*split_address(self._plan.address))
        await self._api.listen(*split_address(self._settings.control))
        self._recall_soft_state()
        upkeep = (self._tell_routers, self._tell_loads, self._plan_phases, self._keep_soft_state)
        self._telling = [asyncio.create_task(each()) for each in upkeep]
        self._pump()

    async def _recall(self) -> tuple[Memory, int] | None:
        while self._store is not None:
            try:
                return await self._store.open(self._plan.address)
            except StoreError as error:
                log.error("control: store: %s; tried again", error)
                await asyncio.sleep(STORE_PAUSE)
        return None

    def _recall_soft_state(self) -> None:
        content = read_soft_state(self._soft_path) if self._soft_path is not None else None
        if content is None:
            return
        try:
            state = m.decode_soft_state(content)
        except msgspec.DecodeError as error:
            log.warning("control: soft state: %s; not used", error)
            return
        self._engine.recall_workers(state.workers, clock())
        self._caches.add(state.cached)
        self._engine.most_routers = max(state.routers, 1)

    async def _keep_soft_state(self) -> None:
        while self._soft_path is not None:
            await asyncio.sleep(SOFT_STATE_EVERY)
            records, cached = self._engine.registry.records(), self._caches.all()
            state = m.SoftState(records, cached, self._engine.most_routers)
            content = m.encode_soft_state(state)
            if content == self._soft_written:
                continue
            try:
                await asyncio.to_thread(write_soft_state, self._soft_path, content)
                self._soft_written = content
            except OSError as error:
                log.warning("control: soft state: %s", error)

    async def close(self) -> None:
        """Hand the lead over and end."""
        if self._engine.hand_over(clock()):
            self._pump()
            end = time.monotonic() + LEAVE_WAIT
            while self._engine.record.leads and time.monotonic() < end:
                await asyncio.sleep(LEADER_LOOK)
        await self._api.close()
        self._closed = True
        if self._wake is not None:
            self._wake.cancel()
        for task in self._telling:
            task.cancel()
        if self._saving is not None:
            await asyncio.wait([self._saving], timeout=LEAVE_WAIT)
        await self._server.close()
        for link in self._links.values():
            link.restart()

    def reload(self, settings: Settings) -> None:
        """The settings file has changed: the seeds may be others."""
        self._settings = settings
        self._engine.greet_also(settings.seed_peers)

    # --- the engine's turns ---

    def _pump(self) -> None:
        """Let the engine do what is due, and see that what it says is stored and said."""
        if self._closed:
            return
        engine = self._engine
        if clock() >= engine.due:
            engine.tick(clock())
        if engine.has_to_say and self._saving is None:
            self._saving = asyncio.create_task(self._save_and_say())
        if self._wake is not None:
            self._wake.cancel()
        wait = max((engine.due - clock()) / 1e6, SHORTEST_WAIT)
        self._wake = asyncio.get_running_loop().call_later(wait, self._pump)
        if engine.leader != self._led:
            self._led = engine.leader
            log.info("control: leader %s, term %d", self._led or "unknown", engine.record.memory.term)

    async def _save_and_say(self) -> None:
        """Say what there is to say once what it rests on is stored; what comes meanwhile goes next."""
        engine = self._engine
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
        engine = self._engine
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

    def _say(self, said: Spoken) -> None:
        for address, body in said.out:
            self._link(address).send(m.encode(body))
        for answer in said.answers:
            self._answer(answer)
        for record in said.news:
            if record.state is WorkerState.GONE:
                self._caches.forget(record.instance)
            state = record.state.name.lower()
            log.info("control: worker %s %s %s %s", record.instance, record.service, record.phase, state)
        if said.news:
            self._tell(m.WorkerNews(0, tuple(said.news)))
        if said.config.version > self._config.version:
            self._config = said.config
            log.info("control: configuration %d is in force", said.config.version)
            self._tell(m.ConfigNews(said.config.version, said.config.body))

    def _answer(self, answer: Answer) -> None:
        future = self._waiting.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    def _link(self, address: str) -> FrameLink:
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = FrameLink(address, lambda frame: None)
        return link

    # --- routers and other control processes ---

    def _hear(self, connection: FrameConnection, frame: bytes) -> None:
        try:
            body = m.decode(frame)
        except msgspec.DecodeError as error:
            log.warning("control: %s: no message: %s", connection.peer, error)
            connection.close()
            return
        match body:
            case m.Watch():
                self._watch(connection, body)
            case m.Ping():
                connection.send(frame)
            case RouterLoad():
                self._take_load(connection, body)
            case m.Hello():
                sender = self._senders.setdefault(connection, address_of(body.identity))
                self._engine.receive(sender, body, clock())
                self._pump()
            case _ if connection in self._senders:
                self._engine.receive(self._senders[connection], body, clock())
                self._pump()

    def _watch(self, connection: FrameConnection, watch: m.Watch) -> None:
        self._watchers[connection] = _Watcher(watch.router, watch.loads)
        self._engine.own_routers = {each.router for each in self._watchers.values()}
        now, registry = clock(), self._engine.registry
        connection.send(m.encode(self._engine.fleet_news(now)))
        connection.send(m.encode(m.WorkerNews(0, registry.records(), registry.ages(now))))
        connection.send(
            m.encode(LoadNews(self._loads.without(self._loads.totals(), watch.router), self._caches.all()))
        )
        if self._config.version > watch.version:
            connection.send(m.encode(m.ConfigNews(self._config.version, self._config.body)))

    def _gone(self, connection: FrameConnection) -> None:
        self._senders.pop(connection, None)
        if self._watchers.pop(connection, None) is not None:
            self._engine.own_routers = {each.router for each in self._watchers.values()}

    def _take_load(self, connection: FrameConnection, load: RouterLoad) -> None:
        if not self._loads.merge(load, clock()):
            return
        self._cached += load.cached
        self._caches.add(load.cached)
        self._loads_changed = True
        if connection in self._watchers:  # from the router itself: others may not watch this process
            frame = m.encode(load)
            for address in self._engine.alive(clock()):
                self._link(address).send(frame)

    async def _tell_loads(self) -> None:
        while True:
            routers = len(self._watchers)
            await asyncio.sleep(max(LOADS_EVERY, LOADS_EVERY_PER_ROUTER * routers))
            self._loads.expire(clock())
            if not self._loads_changed:
                continue
            self._loads_changed = False
            cached, self._cached = tuple(self._cached), []
            totals = self._loads.totals()
            for connection, watcher in list(self._watchers.items()):
                if not watcher.loads:
                    continue
                loads = self._loads.without(totals, watcher.router)
                connection.send(m.encode(LoadNews(loads, cached)))

    async def _plan_phases(self) -> None:
        while True:
            await asyncio.sleep(PLAN_EVERY)
            for order in self._engine.phase_orders(self._loads.totals(), clock()):
                await self._order(order)

    async def _order(self, order: PhaseOrder) -> None:
        """Let routers know first, then order, if this process still leads."""
        # Imported here: it takes time that a start does not have, and most processes never give an order.
        from hazelbend.transport.worker_orders import Order, OrderResult, send_order

        self._tell(self._engine.fleet_news(clock()))
        number = self._engine.read(clock())
        self._pump()
        confirmed = await self._wait_for(number) if number is not None else None
        if not isinstance(confirmed, ReadDone) or confirmed.config is None:
            self._engine.planner.refused(order)
            return
        call = Order("phase", order.phase, self._engine.me, self._engine.fencing_token)
        result = await send_order(order.address, order.instance, call)
        log.info("control: %s is to %s: %s", order.instance, order.phase, result.value)
        if result is OrderResult.REFUSED:
            self._engine.planner.refused(order)

    def _tell(self, body: m.Body) -> None:
        frame = m.encode(body)
        for connection in list(self._watchers):
            if not connection.send(frame):
                connection.close()  # it does not read: it begins again with all there is

    async def _tell_routers(self) -> None:
        while True:
            await asyncio.sleep(FLEET_NEWS_EVERY)
            self._tell(self._engine.fleet_news(clock()))

    # --- the API ---

    async def _call(self, call: HttpCall) -> HttpAnswer:
        parts = call.path.split("/")
        match (call.method, parts):
            case ("POST", ["", "instances", instance, "heartbeat"]):
                return await self._heartbeat(instance, call.body)
            case ("POST", ["", "instances", instance, "deregister"]):
                return await self._worker_done(self._engine.worker_left(instance, clock()))
            case ("POST", ["", "config", "put"]):
                return await self._put(call)
            case ("GET", ["", "config", "get"]):
                return await self._get()
            case ("GET", ["", "status"]):
                return self._status()
        return HttpAnswer(404, b"no such call\n")

    async def _heartbeat(self, instance: str, body: bytes) -> HttpAnswer:
        try:
            record = read_heartbeat(instance, body)
        except ValueError as error:
            return HttpAnswer(400, f"{error}\n".encode())
        return await self._worker_done(self._engine.worker_heard(record, clock()))

    async def _worker_done(self, number: int | None) -> HttpAnswer:
        self._pump()
        if number is not None:
            answer = await self._wait_for(number)
            if not isinstance(answer, WorkerDone) or not answer.held:
                return HttpAnswer(503, b"too few control processes hold it\n")
        return HttpAnswer(200, b"{}", JSON)

    async def _put(self, call: HttpCall) -> HttpAnswer:
        base = call.headers.get("base-version", "0")
        if not (base.isascii() and base.isdecimal()):
            return HttpAnswer(400, b"Base-Version: no whole number\n")
        try:
            version = check_configuration(call.body)
        except InvalidConfigurationError as error:
            return HttpAnswer(400, "".join(f"{each}\n" for each in error.findings).encode())
        redirect = await self._redirect(call.path)
        if redirect is not None:
            return redirect
        number = self._engine.put(int(base), version, call.body, clock())
        if number is None:
            return HttpAnswer(503, b"no majority that is large enough\n")
        self._pump()
        answer = await self._wait_for(number)
        result = answer.result if isinstance(answer, PutDone) else None
        match result:
            case ChangeResult.ACCEPTED:
                return HttpAnswer(200, b'{"version":%d}' % version, JSON)
            case ChangeResult.CONFLICT:
                return HttpAnswer(412, b"another version is current\n")
            case ChangeResult.NOT_ABOVE:
                return HttpAnswer(400, b"version: not above the current one\n")
        return HttpAnswer(503, b"not known whether it was taken; send it again\n")

    async def _get(self) -> HttpAnswer:
        redirect = await self._redirect("/config/get")
        if redirect is not None:
            return redirect
        number = self._engine.read(clock())
        answer = None
        if number is not None:
            self._pump()
            answer = await self._wait_for(number)
        if not isinstance(answer, ReadDone) or answer.config is None:
            return HttpAnswer(503, b"no majority answers\n")
        if not answer.config.version:
            return HttpAnswer(404, b"no configuration yet\n")
        return HttpAnswer(200, plain_body(answer.config), JSON)

    async def _redirect(self, path: str) -> HttpAnswer | None:
        """None once this process leads; else the way to the leader, or 503 where none is known."""
        end = time.monotonic() + LEADER_WAIT
        while not self._engine.record.settled:
            leader = self._engine.leader
            if leader and leader != self._engine.me:
                host = split_address(address_of(leader))[0]
                port = split_address(self._settings.control)[1]
                return HttpAnswer(307, headers={"Location": f"http://{host}:{port}{path}"})
            if time.monotonic() >= end:
                return HttpAnswer(503, b"no leader is known\n")
            await asyncio.sleep(LEADER_LOOK)
        return None

    async def _wait_for(self, number: int) -> Answer | None:
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            async with asyncio.timeout(ANSWER_WAIT):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._waiting[number]

    def _status(self) -> HttpAnswer:
        engine, now = self._engine, clock()
        status = {
            "me": engine.me,
            "leader": engine.leader,
            "epoch": engine.record.memory.epoch,
            "term": engine.record.memory.term,
            "voters": engine.record.voters,
            "commit": engine.record.commit,
            "version": self._config.version,
            "controls": (self._plan.address, *engine.alive(now)),
            "routers": sorted(engine.own_routers),
            "workers": [
                {
                    "instance": each.record.instance,
                    "service": each.record.service,
                    "address": each.record.address,
                    "state": each.record.state.name.lower(),
                    "phase": each.record.phase,
                    "heard_ms_ago": (now - each.heard_at) // 1_000,
                }
                for each in engine.registry.listed.values()
            ],
        }
        return HttpAnswer(200, msgspec.json.encode(status) + b"\n", JSON)
