"""Requests to backends over HTTP, by aiohttp's client: what it is told to send, once, following nothing."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

import aiohttp
from yarl import URL

from hazelbend.decisions.interface import Outcome
from hazelbend.protocol.worker_lines import MAX_LINE_BYTES, LoadReportFields, outcome_of_status, read_line
from hazelbend.routing.ports import AttemptResult, BeforeFirstByte, Forwarded, Job, News
from hazelbend.transport.http.aiohttp_client import (
    CheckedRequest,
    RequestWriting,
    StaleConnectionError,
    WithdrawnError,
    close_longest_idle,
    close_when_idle,
    open_session,
    raw_url,
    writing_trace,
)

log = logging.getLogger("hazelbend.backends")

KEEPALIVE_MARGIN = 0.5  # seconds before the backend's limit at which an idle connection is dropped
UNUSED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
REST_WAIT = 0.02  # seconds in which the rest of an answer that has said all must come
REST_PARTS = 64  # parts of it that are read


@dataclass(slots=True, frozen=True)
class PoolSettings:
    """What the configuration says of connections to backends."""

    connect_timeout: float  # seconds
    keepalive: float  # seconds
    connections: int  # at most so many at once
    fields: LoadReportFields


class ConnectionPool:
    """The one client session for all backends."""

    def __init__(self, settings: PoolSettings) -> None:
        self.settings, self.session = settings, self._open(settings)
        self._ending: set[asyncio.Task[None]] = set()
        self._in_use = 0

    @contextmanager
    def place(self) -> Iterator[bool]:
        """A place among the connections, or False: to wait for one would look like the backend's fault, and
        what was true of the backend when it was chosen would be old by then."""
        free = self._in_use < self.settings.connections
        self._in_use += free
        close_longest_idle(self.session, self.settings.connections - self._in_use)
        try:
            yield free
        finally:
            self._in_use -= free

    def limit(self, connections: int) -> None:
        """So many at once from now on; those that are open stay."""
        self.settings = replace(self.settings, connections=connections)

    def change(self, settings: PoolSettings) -> None:
        """What is out goes on as it began; what comes next goes by the new settings."""
        before, self.settings = self.session, settings
        self.session = self._open(settings)
        ending = asyncio.create_task(close_when_idle(before))
        self._ending.add(ending)
        ending.add_done_callback(self._ending.discard)

    @staticmethod
    def _open(settings: PoolSettings) -> aiohttp.ClientSession:
        keepalive = settings.keepalive
        connector = aiohttp.TCPConnector(
            limit=0,  # by `place`
            keepalive_timeout=max(keepalive - KEEPALIVE_MARGIN, keepalive / 2),
            use_dns_cache=False,
        )
        return open_session(
            connector,
            aiohttp.ClientTimeout(total=None, sock_connect=settings.connect_timeout),
            auto_decompress=False,
            request_class=CheckedRequest,
            skip_auto_headers=UNUSED_HEADERS,
            read_bufsize=2 * MAX_LINE_BYTES,
            trace_configs=[writing_trace()],
        )

    def client(self, dial: str) -> HttpBackendClient:
        """The way to the backend at this address."""
        return HttpBackendClient(self, dial)

    async def close(self) -> None:
        """Close all connections at once."""
        for ending in self._ending:
            ending.cancel()
        await self.session.close()


class HttpBackendClient:
    """The way to one backend."""

    def __init__(self, pool: ConnectionPool, dial: str) -> None:
        self._pool, self._base = pool, f"http://{dial}"

    def close(self) -> None:
        """Idle connections of a backend that is gone run out by themselves."""

    async def attempt(
        self, job: Job, before_first_byte: BeforeFirstByte, tell: Callable[[News | Forwarded], None]
    ) -> AttemptResult:
        """Connect, check again, write, and read the answer. Cancelled, it closes its connection."""
        with self._pool.place() as free:
            if not free:
                return AttemptResult(Outcome.NOT_SENT)
            return await self._attempt(job, before_first_byte, tell)

    async def _attempt(
        self, job: Job, before_first_byte: BeforeFirstByte, tell: Callable[[News | Forwarded], None]
    ) -> AttemptResult:
        headers = {"X-Request-ID": job.id}
        if job.idempotency_key is not None:
            headers["Idempotency-Key"] = job.idempotency_key
        writing = RequestWriting(bool(job.body), before_first_byte, tell)
        try:
            response = await self._post(job, headers, writing)
        except WithdrawnError:
            return AttemptResult(Outcome.NOT_SENT)
        except aiohttp.ConnectionTimeoutError:
            return AttemptResult(Outcome.CONNECT_FAILED)
        except (aiohttp.ClientError, OSError):
            outcome = Outcome.RESET if writing.whole else Outcome.CONNECT_FAILED
            return AttemptResult(outcome, stale=writing.reused_connection)
        try:
            return await self._read(response, job, tell)
        except (aiohttp.ClientError, OSError):
            return AttemptResult(Outcome.RESET)
        except (ValueError, aiohttp.http_exceptions.HttpProcessingError) as error:
            # What a backend says wrongly is its outcome, and no fault of ours: a line without end among it.
            log.warning("%s: %s", self._base, error)
            return AttemptResult(Outcome.ERROR)
        finally:
            response.close()  # unless it was read to its end and so released, the connection goes

    async def _post(
        self, job: Job, headers: dict[str, str], writing: RequestWriting
    ) -> aiohttp.ClientResponse:
        """Write the request, once, on the first connection that is fit for it."""
        while True:
            try:
                return await self._pool.session.post(
                    raw_url(self._base, job.target),
                    data=job.body,
                    headers=headers,
                    allow_redirects=False,
                    trace_request_ctx=writing,
                    middlewares=(writing.bind,),
                )
            except StaleConnectionError:
                writing.reused_connection = False

    async def _read(
        self, response: aiohttp.ClientResponse, job: Job, tell: Callable[[News | Forwarded], None]
    ) -> AttemptResult:
        if response.status != 200:
            outcome = outcome_of_status(response.status, response.headers.get("X-Not-Processed") == "1")
            load = self._pool.settings.fields.read_text(response.headers.get("X-Server-Load"))
            await self._finish(response)
            return AttemptResult(outcome, load=load)
        while line := await response.content.readline():
            if not line.endswith(b"\n"):
                return AttemptResult(Outcome.RESET)
            if not line.strip():
                continue
            said = read_line(line, job.id, self._pool.settings.fields)
            if isinstance(said, News):
                tell(said)
            elif said is not None:
                await self._finish(response)
                return said
        return AttemptResult(Outcome.RESET)

    async def _finish(self, response: aiohttp.ClientResponse) -> None:
        """Read the rest of an answer that has said all, so that its connection can be used again."""
        try:
            async with asyncio.timeout(REST_WAIT):
                for _ in range(REST_PARTS):
                    if not await response.content.readany():
                        return
        except (TimeoutError, aiohttp.ClientError, OSError):
            return

    async def probe(self, patience: int) -> AttemptResult:
        """Ask for the load report; `patience` in microseconds."""
        url = URL(self._base + "/load", encoded=True)
        try:
            async with (
                asyncio.timeout(patience / 1e6),
                self._pool.session.get(url, allow_redirects=False) as response,
            ):
                text = (await response.content.read(MAX_LINE_BYTES)).decode("utf-8", "replace")
                outcome = Outcome.SERVED if response.status == 200 else Outcome.ERROR
                return AttemptResult(outcome, load=self._pool.settings.fields.read_text(text))
        except TimeoutError:
            return AttemptResult(Outcome.TIMED_OUT)
        except (aiohttp.ClientError, OSError, StaleConnectionError):
            return AttemptResult(Outcome.CONNECT_FAILED)
