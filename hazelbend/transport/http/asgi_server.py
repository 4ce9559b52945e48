"""A listening address for HTTP by uvicorn, without uvicorn's handling of signals."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import uvicorn

BACKLOG = 512
IDLE_S = 30
STARTED_LOOK = 0.005  # seconds between looks at whether it serves
CLOSE_WAIT = 1.0  # seconds that calls under way have at the end


@dataclass(slots=True, frozen=True)
class HttpCall:
    """A request that has come whole."""

    method: str
    path: str
    headers: dict[str, str]  # names in lower case
    body: bytes


@dataclass(slots=True, frozen=True)
class HttpAnswer:
    """What is answered."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain"
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[HttpCall], Awaitable[HttpAnswer]]


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ending = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """The program handles its signals itself."""
        yield

    async def main_loop(self) -> None:
        """Wait for the end. uvicorn's own looks ten times a second, for features that are not used here."""
        await self.ending.wait()


class AsgiServer:
    """One address; `handler` answers every call."""

    def __init__(self, handler: Handler, largest_body: int) -> None:
        self._handler, self._largest_body = handler, largest_body
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None

    async def listen(self, host: str, port: int) -> None:
        """Serve at this address from now on. OSError: it can't be had."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, port))
        except OSError:
            listener.close()
            raise
        config = uvicorn.Config(
            self._serve,
            loop="none",
            http="httptools",
            ws="none",
            lifespan="off",
            interface="asgi3",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=IDLE_S,
            timeout_graceful_shutdown=round(CLOSE_WAIT),
        )
        self._server = _Server(config)
        self._task = asyncio.create_task(self._server.serve(sockets=[listener]))
        while not self._server.started and not self._task.done():
            await asyncio.sleep(STARTED_LOOK)

    async def close(self) -> None:
        """No new connections; calls under way are answered."""
        if self._server is not None and self._task is not None:
            self._server.should_exit = True
            self._server.ending.set()
            await asyncio.wait([self._task], timeout=2 * CLOSE_WAIT)

    async def _serve(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        body = bytearray()
        while True:
            event = await receive()
            if event["type"] != "http.request":
                return  # the caller has gone
            body += event.get("body", b"")
            if len(body) > self._largest_body or not event.get("more_body"):
                break
        if len(body) > self._largest_body:
            answer = HttpAnswer(413, b"the body is too large\n")
        else:
            headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}
            answer = await self._handler(HttpCall(scope["method"], scope["path"], headers, bytes(body)))
        fields = {"content-type": answer.content_type, "content-length": str(len(answer.body))}
        fields |= answer.headers
        head = [(name.lower().encode(), value.encode("latin-1")) for name, value in fields.items()]
        await send({"type": "http.response.start", "status": answer.status, "headers": head})
        await send({"type": "http.response.body", "body": answer.body})
