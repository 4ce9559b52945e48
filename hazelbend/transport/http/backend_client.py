"""HTTP client of the dispatcher for its backends, based on aiohttp. Each request is written at most once."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from functools import partial
from http import HTTPStatus

import aiohttp
from yarl import URL

from hazelbend.decisions.interface import Outcome
from hazelbend.protocol.worker_lines import MAX_LINE_BYTES, LoadReportFields, outcome_of_status, read_line
from hazelbend.routing.ports import (
    AttemptCallback,
    AttemptResult,
    AttemptWritten,
    BeforeFirstByte,
    Job,
    ProgressReport,
)
from hazelbend.transport.http.aiohttp_client import (
    RequestProgress,
    RequestWithdrawnError,
    StaleConnectionError,
    close_when_idle,
    open_checked_session,
    raw_url,
    send_once,
    trim_idle_connections,
)

log = logging.getLogger("hazelbend.backends")

TIMEOUT_HEADER = "X-Timeout-Ms"
KEEPALIVE_MARGIN_S = 0.5  # an idle connection is closed this long before the backend would close it
DRAIN_TIMEOUT_S = 0.02  # to read the rest of a response whose result is known
MAX_DRAIN_READS = 64


@dataclass(slots=True, frozen=True)
class PoolSettings:
    """The configured limits of connections to backends, and the fields of their load reports."""

    connect_timeout_s: float  # seconds
    keepalive_s: float  # seconds
    max_connections: int  # in use at the same time
    report_fields: LoadReportFields


class ConnectionPool:
    """The client session for all backends, and the limit on its connections."""

    def __init__(self, settings: PoolSettings) -> None:
        self.settings = settings
        self.session = _open_session(settings)
        self._closing_sessions: set[asyncio.Task[None]] = set()
        self._in_use = 0

    @contextmanager
    def reserve_connection(self) -> Iterator[bool]:
        """Yield whether a connection is free, and claim it for the duration of the block.

        There is no queue for connections: the wait would look like a fault of the backend, and the state
        that the backend was selected by would be out of date.
        """
        is_free = self._in_use < self.settings.max_connections
        self._in_use += is_free
        trim_idle_connections(self.session, self.settings.max_connections - self._in_use)
        try:
            yield is_free
        finally:
            self._in_use -= is_free

    def set_limit(self, max_connections: int) -> None:
        """Change the limit; open connections are not closed."""
        self.settings = replace(self.settings, max_connections=max_connections)

    def apply_settings(self, settings: PoolSettings) -> None:
        """Use new settings for new requests; requests in flight finish on the session that sent them."""
        replaced = self.session
        self.settings = settings
        self.session = _open_session(settings)
        closing = asyncio.create_task(close_when_idle(replaced))
        self._closing_sessions.add(closing)
        closing.add_done_callback(self._closing_sessions.discard)

    def client(self, address: str) -> HttpBackendClient:
        """Return the client of the backend at this address."""
        return HttpBackendClient(self, address)

    async def close(self) -> None:
        """Close all connections at once."""
        for closing in self._closing_sessions:
            closing.cancel()
        await self.session.close()


def _open_session(settings: PoolSettings) -> aiohttp.ClientSession:
    keepalive_s = settings.keepalive_s
    connector = aiohttp.TCPConnector(
        limit=0,  # `reserve_connection` limits them
        keepalive_timeout=max(keepalive_s - KEEPALIVE_MARGIN_S, keepalive_s / 2),
        use_dns_cache=False,
    )
    return open_checked_session(connector, settings.connect_timeout_s, 2 * MAX_LINE_BYTES)


class HttpBackendClient:
    """Implements `routing.ports.BackendClient` for one backend."""

    def __init__(self, pool: ConnectionPool, address: str) -> None:
        self._pool = pool
        self._base_url = f"http://{address}"

    def close(self) -> None:
        """See the Protocol. The idle connections of a removed backend time out by themselves."""

    async def attempt(
        self,
        job: Job,
        before_first_byte: BeforeFirstByte,
        on_progress: AttemptCallback,
    ) -> AttemptResult:
        """See the Protocol. When cancelled, it closes its connection."""
        with self._pool.reserve_connection() as is_free:
            if not is_free:
                return AttemptResult(Outcome.NOT_SENT)
            return await self._attempt(job, before_first_byte, on_progress)

    async def _attempt(
        self,
        job: Job,
        before_first_byte: BeforeFirstByte,
        on_progress: AttemptCallback,
    ) -> AttemptResult:
        headers = {"X-Request-ID": job.id}
        if job.idempotency_key is not None:
            headers["Idempotency-Key"] = job.idempotency_key
        progress = RequestProgress(
            before_first_byte,
            TIMEOUT_HEADER,
            has_body=bool(job.body),
            on_written=partial(on_progress, AttemptWritten()),
        )
        try:
            url = raw_url(self._base_url, job.target)
            response = await send_once(self._pool, "POST", url, progress, body=job.body, headers=headers)
        except RequestWithdrawnError:
            return AttemptResult(Outcome.NOT_SENT)
        except aiohttp.ConnectionTimeoutError:
            return AttemptResult(Outcome.CONNECT_FAILED)
        except (aiohttp.ClientError, OSError):
            outcome = Outcome.RESET if progress.is_written else Outcome.CONNECT_FAILED
            return AttemptResult(outcome, stale=progress.reused_connection)
        try:
            result = await self._read_result(response, job, on_progress)
        except (aiohttp.ClientError, OSError):
            return AttemptResult(Outcome.RESET)
        except (ValueError, aiohttp.http_exceptions.HttpProcessingError) as error:
            # A response that cannot be parsed, such as an endless line, is a failure of the backend.
            log.warning("%s: %s", self._base_url, error)
            return AttemptResult(Outcome.ERROR)
        finally:
            response.close()  # closes the connection, unless the response was read to its end
        if response.status != HTTPStatus.OK and result.outcome is Outcome.FULL:
            # Such a rejection names no job: a second copy would reject the next job on the connection.
            progress.discard_connection()
        return result

    async def _read_result(
        self,
        response: aiohttp.ClientResponse,
        job: Job,
        on_progress: AttemptCallback,
    ) -> AttemptResult:
        """Read the lines of the response: progress reports, then the result."""
        if response.status != HTTPStatus.OK:
            is_not_processed = response.headers.get("X-Not-Processed") == "1"
            outcome = outcome_of_status(response.status, is_not_processed)
            load = self._pool.settings.report_fields.read_text(response.headers.get("X-Server-Load"))
            await _drain(response)
            return AttemptResult(outcome, load=load)
        while line := await response.content.readline():
            if not line.endswith(b"\n"):
                return AttemptResult(Outcome.RESET)
            if not line.strip():
                continue
            message = read_line(line, job.id, self._pool.settings.report_fields)
            if isinstance(message, ProgressReport):
                on_progress(message)
            elif message is not None:
                await _drain(response)
                return message
        return AttemptResult(Outcome.RESET)

    async def probe(self, timeout_us: int) -> AttemptResult:
        """See the Protocol."""
        url = URL(self._base_url + "/load", encoded=True)
        try:
            async with (
                asyncio.timeout(timeout_us / 1e6),
                self._pool.session.get(url, allow_redirects=False) as response,
            ):
                text = (await response.content.read(MAX_LINE_BYTES)).decode("utf-8", "replace")
                outcome = Outcome.SERVED if response.status == HTTPStatus.OK else Outcome.ERROR
                return AttemptResult(outcome, load=self._pool.settings.report_fields.read_text(text))
        except TimeoutError:
            return AttemptResult(Outcome.TIMED_OUT)
        except (aiohttp.ClientError, OSError, StaleConnectionError):
            return AttemptResult(Outcome.CONNECT_FAILED)


async def _drain(response: aiohttp.ClientResponse) -> None:
    """Read the rest of a response whose result is known, so that the connection can be reused."""
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            for _ in range(MAX_DRAIN_READS):
                if not await response.content.readany():
                    return
    except (TimeoutError, aiohttp.ClientError, OSError):
        return
