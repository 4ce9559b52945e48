"""One STOMP connection: its frames, heartbeats and subscriptions (STOMP 1.1 and 1.2)."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from hazelbend.protocol import stomp_jobs
from hazelbend.protocol.http_fields import BadRequestError
from hazelbend.protocol.stomp import (
    Frame,
    FrameReader,
    HeartBeat,
    StompError,
    choose_version,
    encode,
    heart_beat_intervals,
)
from hazelbend.transport.stomp.stomp_backend_client import StompBackendClient
from hazelbend.transport.stomp.stomp_mailbox import Mailbox, Subscription
from hazelbend.transport.stomp.stomp_settings import ClientAccount, WorkerAccount

if TYPE_CHECKING:
    from hazelbend.transport.stomp.stomp_listener import StompListener

log = logging.getLogger("hazelbend.stomp")

SERVER_HEADER = "hazelbend/0.2"
CONNECT_TIMEOUT_S = 2.3  # as on the HTTP listener
IDLE_GRACE_S = 1.0  # after connecting, in which a connection does not count as idle
CLOSE_TIMEOUT_S = 1.0  # for an ERROR or RECEIPT frame to be sent before the connection closes
HEARTBEAT_TOLERANCE = 2.0  # factor on the agreed interval, as the network may delay a heartbeat
HEARTBEAT_SEND_AT = 0.8  # fraction of the agreed interval, counted from the last frame
MAX_SUBSCRIPTIONS = 16
MAX_ERROR_CHARS = 200
READ_BYTES = 65_536
MAX_SHOWN_DESTINATION_CHARS = 80
MAX_SHOWN_ID_CHARS = 40
MS_PER_S = 1_000
ACK_MODES = ("auto", "client", "client-individual")


class Session:
    """One connection of a client or a worker; implements `FrameSink`.

    connecting -> CONNECT accepted -> open -> ERROR, DISCONNECT or connection loss -> closed
    """

    def __init__(
        self, listener: StompListener, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._listener = listener
        self._reader = reader
        self._writer = writer
        self._frames = FrameReader()
        self._version = "1.2"
        self._is_open = True
        self._account: ClientAccount | WorkerAccount | None = None
        self._mailbox: Mailbox | None = None
        self._subscriptions: dict[str, Subscription] = {}
        self._worker_client: StompBackendClient | None = None
        self._work_subscription_id: str | None = None
        self._receive_interval_s = 0.0  # 0: no heartbeats are expected
        self._connected_at = asyncio.get_running_loop().time()
        self._last_sent_at = self._connected_at
        self._heartbeat_task: asyncio.Task[None] | None = None

    @property
    def is_authenticated(self) -> bool:
        """Whether its CONNECT was accepted."""
        return self._account is not None

    @property
    def is_idle(self) -> bool:
        """Whether this is a client without open requests or unacknowledged answers, past `IDLE_GRACE_S`."""
        now = asyncio.get_running_loop().time()
        return (
            self._is_open
            and self._mailbox is not None
            and not self._mailbox.unacknowledged_entries()
            and now > self._connected_at + IDLE_GRACE_S
        )

    # --- writing ---

    def send(self, frame: Frame) -> bool:
        """Write a frame. A peer that leaves too much unread is disconnected; unsent answers are retained."""
        if not self._is_open or self._writer.is_closing():
            return False
        if self._writer.transport.get_write_buffer_size() > self._listener.settings.write_limit:
            log.warning("%s: reads too slowly; disconnected", self._peer_name)
            self._is_open = False
            self._writer.transport.abort()
            return False
        self._write(encode(frame, self._version))
        return True

    def send_error(self, text: str, cause: Frame | None = None) -> None:
        """Send an ERROR frame, the last frame on this connection. `cause` is the frame that it answers."""
        if self._is_open:
            headers = {"version": "1.1,1.2", "message": text[:MAX_ERROR_CHARS]}
            if cause is not None and cause.get("receipt"):
                headers["receipt-id"] = cause.get("receipt")
            self.send(Frame("ERROR", headers))
            self._is_open = False

    def close_with_error(self, text: str) -> None:
        """Send an ERROR frame, then close the connection; the reading task ends by itself."""
        self.send_error(text)
        self._writer.close()

    def _write(self, data: bytes) -> None:
        self._writer.write(data)
        self._last_sent_at = asyncio.get_running_loop().time()

    async def close(self) -> None:
        """Flush the write buffer for at most `CLOSE_TIMEOUT_S` and close the connection."""
        self._is_open = False
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._writer.drain()
                self._writer.close()
                await self._writer.wait_closed()
        self._writer.transport.abort()

    # --- lifetime ---

    async def run(self) -> None:
        """Read frames until the connection ends."""
        frame: Frame | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                frames = self._read_frames()
                first = frame = await anext(frames)
            self._connect(first)
            async for frame in frames:
                self._handle_frame(frame)
                if frame.get("receipt"):  # confirms only that the frame was received
                    self.send(Frame("RECEIPT", {"receipt-id": frame.get("receipt")}))
                if frame.command == "DISCONNECT":
                    return
        except (StompError, BadRequestError) as error:
            log.info("%s: %s", self._peer_name, error)
            self.send_error(str(error), frame)
        except TimeoutError:
            self.send_error("nothing came in time" if self._account else "no CONNECT came in time")
        except (StopAsyncIteration, OSError):
            return

    def on_connection_lost(self) -> None:
        """Release the state of a closed connection.

        The requests of a client continue; the attempts of a worker end as reset.
        """
        self._is_open = False
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        if self._mailbox is not None:
            self._mailbox.connections -= 1
            for subscription in self._subscriptions.values():
                self._mailbox.unsubscribe(subscription)
        if self._worker_client is not None and isinstance(self._account, WorkerAccount):
            self._listener.workers.disconnect(self._account, self._worker_client)

    async def _read_frames(self) -> AsyncIterator[Frame]:
        while True:
            limit = self._receive_interval_s * HEARTBEAT_TOLERANCE or None
            async with asyncio.timeout(limit):
                data = await self._reader.read(READ_BYTES)
            if not data:
                return
            for frame in self._frames.feed(data):
                if not isinstance(frame, HeartBeat):
                    yield frame
                    if not self._is_open:
                        return

    def _connect(self, frame: Frame) -> None:
        if frame.command not in ("CONNECT", "STOMP"):
            raise StompError("the first frame must be CONNECT")
        version = choose_version(frame.get("accept-version"))
        if version is None:
            raise StompError("versions 1.1 and 1.2 are spoken here")
        self._version = self._frames.version = version
        account = self._listener.authenticate(frame)
        self._account = account
        own_intervals_ms = self._listener.settings.heart_beat_ms
        send_ms, receive_ms = heart_beat_intervals(frame.get("heart-beat"), own_intervals_ms)
        if isinstance(account, ClientAccount):
            self._open_mailbox(account, frame.get("client-id"))
        own_send_ms, own_receive_ms = own_intervals_ms
        headers = {
            "version": version,
            "server": SERVER_HEADER,
            "heart-beat": f"{own_send_ms},{own_receive_ms}",
        }
        self.send(Frame("CONNECTED", headers))
        self._receive_interval_s = receive_ms / MS_PER_S
        if send_ms:
            self._heartbeat_task = asyncio.create_task(self._send_heartbeats(send_ms / MS_PER_S))

    def _open_mailbox(self, account: ClientAccount, client_id: str) -> None:
        identity = f"{account.login}/{client_id}" if client_id else account.login
        self._mailbox = self._listener.mailbox(identity)
        self._mailbox.connections += 1

    async def _send_heartbeats(self, interval_s: float) -> None:
        loop = asyncio.get_running_loop()
        while self._is_open and not self._writer.is_closing():
            wait_s = self._last_sent_at + interval_s * HEARTBEAT_SEND_AT - loop.time()
            if wait_s <= 0:
                self._write(b"\n")
            else:
                await asyncio.sleep(wait_s)

    @property
    def _peer_name(self) -> str:
        return self._account.login if self._account is not None else "a connection"

    # --- frames ---

    def _handle_frame(self, frame: Frame) -> None:
        match frame.command:
            case "SEND":
                self._on_send(frame)
            case "SUBSCRIBE":
                self._on_subscribe(frame)
            case "UNSUBSCRIBE":
                self._on_unsubscribe(frame)
            case "ACK" | "NACK":
                self._on_acknowledge(frame)
            case "DISCONNECT":
                pass
            case "BEGIN" | "COMMIT" | "ABORT":
                raise StompError(f"{frame.command}: transactions are not supported")
            case _:
                raise StompError(f"{frame.command}: not expected here")

    def _on_send(self, frame: Frame) -> None:
        if "transaction" in frame.headers:
            raise StompError("SEND: transactions are not supported")
        destination = frame.get("destination")
        if destination == stomp_jobs.JOBS_DESTINATION and isinstance(self._account, ClientAccount):
            assert self._mailbox is not None
            self._mailbox.send(frame, self._account.tenants)
        elif (
            destination == stomp_jobs.CANCEL_DESTINATION
            and self._mailbox is not None
            and self._listener.cancel
        ):
            # A job that is already running or is unknown is not cancelled; its answer reports how it ended.
            self._listener.cancel(self._mailbox.identity, stomp_jobs.request_id(frame))
        elif destination == stomp_jobs.UPDATES_DESTINATION and isinstance(self._account, WorkerAccount):
            if self._worker_client is not None:
                self._worker_client.on_update(frame)
        else:
            raise self._unknown_destination("SEND", destination)

    def _on_subscribe(self, frame: Frame) -> None:
        subscription_id = frame.get("id")
        destination = frame.get("destination")
        mode = frame.get("ack", "auto")
        if not subscription_id or mode not in ACK_MODES:
            raise StompError("SUBSCRIBE: id is missing, or ack is unknown")
        if subscription_id in self._subscriptions or subscription_id == self._work_subscription_id:
            raise StompError(f"SUBSCRIBE: id {subscription_id[:MAX_SHOWN_ID_CHARS]!r} is in use")
        if destination == stomp_jobs.ANSWERS_DESTINATION and self._mailbox is not None:
            if len(self._subscriptions) >= MAX_SUBSCRIPTIONS:
                raise StompError("SUBSCRIBE: too many subscriptions")
            subscription = Subscription(subscription_id, mode, self)
            self._subscriptions[subscription_id] = subscription
            self._mailbox.subscribe(subscription)
        elif destination == stomp_jobs.WORK_DESTINATION and isinstance(self._account, WorkerAccount):
            if self._work_subscription_id is not None:
                raise StompError("SUBSCRIBE: this box has its subscription for work")
            self._work_subscription_id = subscription_id
            self._worker_client = self._listener.workers.connect(self._account, self, subscription_id)
        else:
            raise self._unknown_destination("SUBSCRIBE", destination)

    def _unknown_destination(self, command: str, destination: str) -> StompError:
        shown = destination[:MAX_SHOWN_DESTINATION_CHARS]
        return StompError(f"{command}: no such destination for {self._peer_name}: {shown!r}")

    def _on_unsubscribe(self, frame: Frame) -> None:
        subscription_id = frame.get("id")
        if (
            subscription_id
            and subscription_id == self._work_subscription_id
            and isinstance(self._account, WorkerAccount)
        ):
            assert self._worker_client is not None
            self._work_subscription_id = None
            self._listener.workers.drain(self._account, self._worker_client)
        elif (subscription := self._subscriptions.pop(subscription_id, None)) is not None:
            assert self._mailbox is not None
            self._mailbox.unsubscribe(subscription)
        else:
            raise StompError(f"UNSUBSCRIBE: no subscription {subscription_id[:MAX_SHOWN_ID_CHARS]!r}")

    def _on_acknowledge(self, frame: Frame) -> None:
        if "transaction" in frame.headers:
            raise StompError(f"{frame.command}: transactions are not supported")
        # STOMP 1.2 identifies the message by its ack header, 1.1 by message-id; their values are equal here.
        ack_id = frame.get("id" if self._version == "1.2" else "message-id")
        accepted = frame.command == "ACK"
        if not ack_id:
            raise StompError(f"{frame.command}: names no message")
        if self._worker_client is not None:
            self._worker_client.acknowledge(ack_id, accepted=accepted)
            return
        assert self._mailbox is not None or isinstance(self._account, WorkerAccount)
        for subscription in self._subscriptions.values():
            if self._mailbox is not None and self._mailbox.acknowledge(
                subscription, ack_id, accepted=accepted
            ):
                return
