"""The STOMP front's sockets: connections, heart-beats, limits, and frames to what is behind it."""

from __future__ import annotations

import asyncio
import contextlib
import hmac
import logging
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from hashlib import sha256

from hazelbend.protocol import stomp_jobs
from hazelbend.protocol.http_fields import BadRequestError, Catalogue
from hazelbend.protocol.stomp import (
    Frame,
    FrameReader,
    HeartBeat,
    StompError,
    choose_version,
    encode,
    heart_beat_intervals,
)
from hazelbend.routing.router import Router
from hazelbend.transport.stomp.stomp_clients import Bounds, Mailbox, StompGate, Subscription, Usage
from hazelbend.transport.stomp.stomp_workers import BoxAccount, Boxes, StompBackendClient

log = logging.getLogger("hazelbend.stomp")

SERVER = "hazelbend/0.2"
FIRST_FRAME = 2.3  # seconds that a connection has to say who it is, as on the edge
YOUNG = 1.0  # seconds from its connecting in which a connection is not taken for idle
LAST_WORDS = 1.0  # seconds that an ERROR or RECEIPT has to get out before the connection closes
BEAT_TOLERANCE = 2.0  # of the agreed interval: what the network may add
MOST_SUBSCRIPTIONS = 16
MOST_MAILBOXES = 1_024  # a client may name itself as it likes, and each name keeps a mailbox
ACK_MODES = ("auto", "client", "client-individual")


@dataclass(slots=True, frozen=True)
class ClientAccount:
    login: str
    passcode_sha256: str
    tenants: tuple[str, ...] = ()  # none named: any


@dataclass(slots=True, frozen=True)
class StompSettings:
    """What our file under deploy/ says."""

    host: str
    port: int
    clients: tuple[ClientAccount, ...] = ()
    boxes: tuple[BoxAccount, ...] = ()
    heart_beat_ms: tuple[int, int] = (10_000, 10_000)
    connections: int = 64
    write_limit: int = 1024 * 1024  # bytes that a slow consumer may leave unread
    bounds: Bounds = field(default_factory=Bounds)


class StompListener:
    def __init__(self, settings: StompSettings, router: Router, boxes: Boxes, catalogue: Catalogue) -> None:
        self.settings, self.boxes, self.catalogue = settings, boxes, catalogue
        self._router = router
        self._mailboxes: dict[str, Mailbox] = {}
        self._usage = Usage()
        self._sessions: dict[Session, None] = {}  # in the order in which they came
        self._listener: asyncio.Server | None = None
        self._gate: StompGate | None = None
        self.cancel: Callable[[str, str], bool] | None = None  # a waiting job: client, request-id

    @property
    def gate(self) -> StompGate | None:
        """Where jobs may wait; the same for all clients."""
        return self._gate

    @gate.setter
    def gate(self, gate: StompGate | None) -> None:
        self._gate = gate
        for mailbox in self._mailboxes.values():
            mailbox.gate = gate

    @property
    def connections(self) -> int:
        return len(self._sessions)

    @property
    def port(self) -> int:
        assert self._listener is not None
        return int(self._listener.sockets[0].getsockname()[1])

    async def listen(self) -> None:
        self._listener = await asyncio.start_server(self._connected, self.settings.host, self.settings.port)
        log.info("listening on %s:%d", self.settings.host, self.port)

    def change(self, catalogue: Catalogue) -> None:
        """New names for what comes from now on; connections, mailboxes and subscriptions stay."""
        self.catalogue = catalogue
        for mailbox in self._mailboxes.values():
            mailbox.catalogue = catalogue

    def stop_accepting(self) -> None:
        if self._listener is not None:
            self._listener.close()

    def close_idle_clients(self) -> None:
        """Clients that have nothing open here are to go elsewhere. Boxes stay: they are servers."""
        for session in list(self._sessions):
            if session.is_idle:
                session.cut("this dispatcher is being emptied: connect to another")

    async def close(self) -> None:
        """Let what is written get out, then close."""
        self.stop_accepting()
        await asyncio.gather(*(session.finish() for session in list(self._sessions)))

    def mailbox(self, identity: str) -> Mailbox:
        if identity not in self._mailboxes:
            for empty in [name for name, box in self._mailboxes.items() if box.is_empty]:
                del self._mailboxes[empty]
            if len(self._mailboxes) >= MOST_MAILBOXES:
                raise StompError("too many clients have answers waiting")
            self._mailboxes[identity] = Mailbox(
                identity,
                self.settings.bounds,
                self._router,
                self.catalogue,
                self._usage,
                self._make_room,
            )
            self._mailboxes[identity].gate = self._gate
        return self._mailboxes[identity]

    def _make_room(self) -> None:
        for mailbox in self._mailboxes.values():
            mailbox.drop_settled()

    def _make_place(self) -> bool:
        """The oldest that has not said who it is goes: such connections must not keep others out."""
        unknown = next((session for session in self._sessions if not session.is_known), None)
        if unknown is not None:
            del self._sessions[unknown]
            unknown.cut("others wait for this place")
        return unknown is not None

    def account(self, frame: Frame) -> ClientAccount | BoxAccount:
        """Who it is, by our file; all comparisons take the same time."""
        digest = sha256(frame.get("passcode").encode()).hexdigest()
        found: ClientAccount | BoxAccount | None = None
        accounts: list[ClientAccount | BoxAccount] = [*self.settings.clients, *self.settings.boxes]
        for each in accounts:
            if each.login == frame.get("login") and hmac.compare_digest(each.passcode_sha256, digest):
                found = each
        if found is None:
            raise StompError("login or passcode not known")
        return found

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = Session(self, reader, writer)
        if len(self._sessions) >= self.settings.connections and not self._make_place():
            session.error("too many connections")
            await session.finish()
            return
        self._sessions[session] = None
        try:
            await session.run()
        except Exception:
            # A fault in one connection ends that one alone.
            log.exception("connection: fault")
        finally:
            self._sessions.pop(session, None)
            session.leave()
            await session.finish()


class Session:
    """One connection."""

    def __init__(
        self, front: StompListener, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._front, self._reader, self._writer = front, reader, writer
        self._frames = FrameReader()
        self._version = "1.2"
        self._open = True
        self._account: ClientAccount | BoxAccount | None = None
        self._mailbox: Mailbox | None = None
        self._subscriptions: dict[str, Subscription] = {}
        self._link: StompBackendClient | None = None
        self._work_id: str | None = None
        self._in_interval = 0.0  # seconds; 0: no heart-beats are expected
        self._sent_at = self._began_at = asyncio.get_running_loop().time()
        self._beats: asyncio.Task[None] | None = None

    @property
    def is_known(self) -> bool:
        return self._account is not None

    @property
    def is_idle(self) -> bool:
        """A client's that has no flow open nor an answer on its way, and has had time to send or fetch."""
        now = asyncio.get_running_loop().time()
        return (
            self._open
            and self._mailbox is not None
            and not self._mailbox.unsettled()
            and now > self._began_at + YOUNG
        )

    # --- out ---

    def send(self, frame: Frame) -> bool:
        """A consumer that leaves too much unread is cut off: what it missed waits, or goes elsewhere."""
        if not self._open or self._writer.is_closing():
            return False
        if self._writer.transport.get_write_buffer_size() > self._front.settings.write_limit:
            log.warning("%s: reads too slowly; cut off", self._name)
            self._open = False
            self._writer.transport.abort()
            return False
        self._write(encode(frame, self._version))
        return True

    def error(self, text: str, cause: Frame | None = None) -> None:
        """The last frame on this connection."""
        if self._open:
            headers = {"version": "1.1,1.2", "message": text[:200]}
            if cause is not None and cause.get("receipt"):
                headers["receipt-id"] = cause.get("receipt")
            self.send(Frame("ERROR", headers))
            self._open = False

    def cut(self, text: str) -> None:
        """End the connection from outside its own reading: an ERROR, then the close."""
        self.error(text)
        self._writer.close()

    def _write(self, data: bytes) -> None:
        self._writer.write(data)
        self._sent_at = asyncio.get_running_loop().time()

    async def finish(self) -> None:
        self._open = False
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(LAST_WORDS):
                await self._writer.drain()
                self._writer.close()
                await self._writer.wait_closed()
        self._writer.transport.abort()

    # --- the life of a connection ---

    async def run(self) -> None:
        frame: Frame | None = None
        try:
            async with asyncio.timeout(FIRST_FRAME):
                frames = self._read()
                first = frame = await anext(frames)
            self._connect(first)
            async for frame in frames:
                self._handle(frame)
                if frame.get("receipt"):  # custody only: it says nothing of a final answer
                    self.send(Frame("RECEIPT", {"receipt-id": frame.get("receipt")}))
                if frame.command == "DISCONNECT":
                    return
        except (StompError, BadRequestError) as error:
            log.info("%s: %s", self._name, error)
            self.error(str(error), frame)
        except TimeoutError:
            self.error("nothing came in time" if self._account else "no CONNECT came in time")
        except (StopAsyncIteration, OSError):
            return

    def leave(self) -> None:
        """The connection has gone. Its client's flows go on; a box's jobs are reset."""
        self._open = False
        if self._beats is not None:
            self._beats.cancel()
        if self._mailbox is not None:
            self._mailbox.connections -= 1
            for subscription in self._subscriptions.values():
                self._mailbox.unsubscribe(subscription)
        if self._link is not None and isinstance(self._account, BoxAccount):
            self._front.boxes.leave(self._account, self._link)

    async def _read(self) -> AsyncIterator[Frame]:
        while True:
            limit = self._in_interval * BEAT_TOLERANCE or None
            async with asyncio.timeout(limit):
                data = await self._reader.read(65_536)
            if not data:
                return
            for item in self._frames.feed(data):
                if not isinstance(item, HeartBeat):
                    yield item
                    if not self._open:
                        return

    def _connect(self, frame: Frame) -> None:
        if frame.command not in ("CONNECT", "STOMP"):
            raise StompError("the first frame must be CONNECT")
        version = choose_version(frame.get("accept-version"))
        if version is None:
            raise StompError("versions 1.1 and 1.2 are spoken here")
        self._version = self._frames.version = version
        self._account = account = self._front.account(frame)
        out_ms, in_ms = heart_beat_intervals(frame.get("heart-beat"), self._front.settings.heart_beat_ms)
        if isinstance(account, ClientAccount):
            client_id = frame.get("client-id")
            name = f"{account.login}/{client_id}" if client_id else account.login
            self._mailbox = self._front.mailbox(name)
            self._mailbox.connections += 1
        own_out, own_in = self._front.settings.heart_beat_ms
        self.send(
            Frame(
                "CONNECTED",
                {"version": version, "server": SERVER, "heart-beat": f"{own_out},{own_in}"},
            )
        )
        self._in_interval = in_ms / 1e3
        if out_ms:
            self._beats = asyncio.create_task(self._beat(out_ms / 1e3))

    async def _beat(self, interval: float) -> None:
        loop = asyncio.get_running_loop()
        while self._open and not self._writer.is_closing():
            rest = self._sent_at + interval * 0.8 - loop.time()
            if rest <= 0:
                self._write(b"\n")
            else:
                await asyncio.sleep(rest)

    @property
    def _name(self) -> str:
        return self._account.login if self._account is not None else "a connection"

    # --- frames ---

    def _handle(self, frame: Frame) -> None:
        match frame.command:
            case "SEND":
                self._send_frame(frame)
            case "SUBSCRIBE":
                self._subscribe(frame)
            case "UNSUBSCRIBE":
                self._unsubscribe(frame)
            case "ACK" | "NACK":
                self._acknowledge(frame)
            case "DISCONNECT":
                pass
            case "BEGIN" | "COMMIT" | "ABORT":
                raise StompError(f"{frame.command}: transactions are not supported")
            case _:
                raise StompError(f"{frame.command}: not expected here")

    def _send_frame(self, frame: Frame) -> None:
        if "transaction" in frame.headers:
            raise StompError("SEND: transactions are not supported")
        destination = frame.get("destination")
        if destination == stomp_jobs.JOBS_DESTINATION and isinstance(self._account, ClientAccount):
            assert self._mailbox is not None
            self._mailbox.send(frame, self._account.tenants)
        elif (
            destination == stomp_jobs.CANCEL_DESTINATION and self._mailbox is not None and self._front.cancel
        ):
            # One that runs, or is not known, goes on: its answer says how it ended.
            self._front.cancel(self._mailbox.identity, stomp_jobs.request_id(frame))
        elif destination == stomp_jobs.UPDATES_DESTINATION and isinstance(self._account, BoxAccount):
            if self._link is not None:
                self._link.news(frame)
        else:
            raise StompError(f"SEND: no such destination for {self._name}: {destination[:80]!r}")

    def _subscribe(self, frame: Frame) -> None:
        number, destination, mode = frame.get("id"), frame.get("destination"), frame.get("ack", "auto")
        if not number or mode not in ACK_MODES:
            raise StompError("SUBSCRIBE: id is missing, or ack is unknown")
        if number in self._subscriptions or number == self._work_id:
            raise StompError(f"SUBSCRIBE: id {number[:40]!r} is in use")
        if destination == stomp_jobs.ANSWERS_DESTINATION and self._mailbox is not None:
            if len(self._subscriptions) >= MOST_SUBSCRIPTIONS:
                raise StompError("SUBSCRIBE: too many subscriptions")
            subscription = self._subscriptions[number] = Subscription(number, mode, self)
            self._mailbox.subscribe(subscription)
        elif destination == stomp_jobs.WORK_DESTINATION and isinstance(self._account, BoxAccount):
            if self._work_id is not None:
                raise StompError("SUBSCRIBE: this box has its subscription for work")
            self._work_id = number
            self._link = self._front.boxes.join(self._account, self, number)
        else:
            raise StompError(f"SUBSCRIBE: no such destination for {self._name}: {destination[:80]!r}")

    def _unsubscribe(self, frame: Frame) -> None:
        number = frame.get("id")
        if number and number == self._work_id and isinstance(self._account, BoxAccount):
            assert self._link is not None
            self._work_id = None
            self._front.boxes.drain(self._account, self._link)
        elif (subscription := self._subscriptions.pop(number, None)) is not None:
            assert self._mailbox is not None
            self._mailbox.unsubscribe(subscription)
        else:
            raise StompError(f"UNSUBSCRIBE: no subscription {number[:40]!r}")

    def _acknowledge(self, frame: Frame) -> None:
        if "transaction" in frame.headers:
            raise StompError(f"{frame.command}: transactions are not supported")
        # Version 1.2 names the message by its ack header, 1.1 by message-id; both are the same here.
        name, good = frame.get("id" if self._version == "1.2" else "message-id"), frame.command == "ACK"
        if not name:
            raise StompError(f"{frame.command}: names no message")
        if self._link is not None:
            self._link.settle(name, good)
            return
        assert self._mailbox is not None or isinstance(self._account, BoxAccount)
        for subscription in self._subscriptions.values():
            if self._mailbox is not None and self._mailbox.acknowledge(subscription, name, good):
                return
