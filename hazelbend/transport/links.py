"""HTTP links to real servers, by aiohttp's client."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from types import SimpleNamespace
from typing import Any

import aiohttp
from yarl import URL

from hazelbend.decisions.interface import Outcome
from hazelbend.protocol.worker_lines import LINE_LIMIT, LoadFields, read_line, read_status
from hazelbend.routing.ports import Ending, Forwarded, Job, News

log = logging.getLogger("hazelbend.links")

IDLE_CHECK = 0.5  # seconds between looks at whether a session that was replaced is still in use
KEEP_MARGIN = 0.5  # seconds before the server's limit at which an idle connection is dropped
SKIP = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(slots=True, frozen=True)
class LinkSettings:
    connect_timeout: float  # seconds
    keepalive: float  # seconds
    connections: int  # at most so many at once
    fields: LoadFields


class LinkPool:
    """The one client session of all links. It sends what it is told, once, and follows nothing."""

    def __init__(self, settings: LinkSettings) -> None:
        self.settings, self.session = settings, self._open(settings)
        self._ending: set[asyncio.Task[None]] = set()
        self._out = 0

    @contextmanager
    def place(self) -> Iterator[bool]:
        """A place among the connections, or False: to wait for one would look like the server's fault, and
        what was true of the server when the module chose it would be old by then."""
        free = self._out < self.settings.connections
        self._out += free
        try:
            yield free
        finally:
            self._out -= free

    def limit(self, connections: int) -> None:
        """So many at once from now on; those that are open stay."""
        self.settings = replace(self.settings, connections=connections)

    def change(self, settings: LinkSettings) -> None:
        """What is out goes on as it began; what comes next goes by the new settings."""
        before, self.settings = self.session, settings
        self.session = self._open(settings)
        ending = asyncio.create_task(_close_when_idle(before))
        self._ending.add(ending)
        ending.add_done_callback(self._ending.discard)

    @staticmethod
    def _open(settings: LinkSettings) -> aiohttp.ClientSession:
        timeout, keepalive = settings.connect_timeout, settings.keepalive
        trace = aiohttp.TraceConfig(trace_config_ctx_factory=_Context)
        trace.on_request_headers_sent.append(_headers_sent)
        trace.on_request_chunk_sent.append(_chunk_sent)
        trace.on_connection_reuseconn.append(_reused)
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,  # by `place`
                keepalive_timeout=max(keepalive - KEEP_MARGIN, keepalive / 2),
                use_dns_cache=False,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=timeout),
            auto_decompress=False,
            trust_env=False,
            skip_auto_headers=SKIP,
            read_bufsize=2 * LINE_LIMIT,
            trace_configs=[trace],
        )
        # aiohttp sends an idempotent request again when a kept connection turns out dead; nothing here may.
        session._retry_connection = False
        return session

    def link(self, dial: str) -> HttpLink:
        return HttpLink(self, dial)

    async def close(self) -> None:
        for ending in self._ending:
            ending.cancel()
        await self.session.close()


async def _close_when_idle(session: aiohttp.ClientSession) -> None:
    """A session that is no longer used: its connections go when the last attempt on them is over."""
    connector = session.connector
    assert connector is not None
    try:
        while connector._acquired:  # pinned, and held by a test: aiohttp does not tell what is in use
            await asyncio.sleep(IDLE_CHECK)
    finally:
        await session.close()


class _Context(SimpleNamespace):
    def __init__(self, trace_request_ctx: Any = None) -> None:
        super().__init__(trace_request_ctx=trace_request_ctx)


class Written:
    """Whether the last byte of a request was handed to its connection: from then on it may run, which is told
    once; and whether that connection was kept from an earlier request."""

    __slots__ = ("_tell", "empty", "kept", "whole")

    def __init__(self, empty: bool, tell: Callable[[Forwarded], None]) -> None:
        self.empty, self.whole, self.kept = empty, False, False
        self._tell = tell

    def done(self) -> None:
        if not self.whole:
            self.whole = True
            self._tell(Forwarded())


async def _headers_sent(session: object, context: SimpleNamespace, params: object) -> None:
    written = context.trace_request_ctx
    if written is not None and written.empty:
        written.done()


async def _chunk_sent(session: object, context: SimpleNamespace, params: object) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.done()


async def _reused(session: object, context: SimpleNamespace, params: object) -> None:
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.kept = True


def _raw_url(base: str, target: str) -> URL:
    """The URL whose target goes out as it came."""
    url = URL(base + target, encoded=True)
    if url.raw_path_qs != target:
        # yarl drops the mark of an empty query ("/a?"), and aiohttp writes what yarl has: what it keeps of
        # the URL's target is set right. Of all printable targets without a fragment this is the only case.
        url._cache["raw_path_qs"] = target
    return url


class HttpLink:
    """The way to one real server."""

    def __init__(self, pool: LinkPool, dial: str) -> None:
        self._pool, self._base = pool, f"http://{dial}"

    def close(self) -> None:
        """Idle connections of a server that is gone run out by themselves."""

    async def attempt(self, job: Job, patience: int, tell: Callable[[News | Forwarded], None]) -> Ending:
        with self._pool.place() as free:
            return await self._attempt(job, patience, tell) if free else Ending(Outcome.NOT_SENT)

    async def _attempt(self, job: Job, patience: int, tell: Callable[[News | Forwarded], None]) -> Ending:
        headers = {"X-Request-ID": job.id, "X-Timeout-Ms": str(max(patience // 1_000, 1))}
        if job.idempotency_key is not None:
            headers["Idempotency-Key"] = job.idempotency_key
        url = _raw_url(self._base, job.target)
        written = Written(not job.body, tell)
        try:
            response = await self._pool.session.post(
                url, data=job.body, headers=headers, allow_redirects=False, trace_request_ctx=written
            )
        except aiohttp.ConnectionTimeoutError:
            return Ending(Outcome.CONNECT_FAILED)
        except (aiohttp.ClientError, OSError):
            outcome = Outcome.RESET if written.whole else Outcome.CONNECT_FAILED
            return Ending(outcome, stale=written.kept)
        try:
            return await self._read(response, job, tell)
        except (aiohttp.ClientError, OSError):
            return Ending(Outcome.RESET)
        except (ValueError, aiohttp.http_exceptions.HttpProcessingError) as error:
            # What a server says wrongly is its outcome, and no fault of ours: a line without end among it.
            log.warning("%s: %s", self._base, error)
            return Ending(Outcome.ERROR)
        finally:
            response.close()  # unless it was read to its end and so released, the connection goes

    async def _read(
        self, response: aiohttp.ClientResponse, job: Job, tell: Callable[[News | Forwarded], None]
    ) -> Ending:
        if response.status != 200:
            outcome = read_status(response.status, response.headers.get("X-Not-Processed") == "1")
            load = self._pool.settings.fields.read_text(response.headers.get("X-Server-Load"))
            await self._finish(response)
            return Ending(outcome, load=load)
        while line := await response.content.readline():
            if not line.endswith(b"\n"):
                return Ending(Outcome.RESET)
            if not line.strip():
                continue
            said = read_line(line, job.id, self._pool.settings.fields)
            if isinstance(said, News):
                tell(said)
            elif said is not None:
                await self._finish(response)
                return said
        return Ending(Outcome.RESET)

    async def _finish(self, response: aiohttp.ClientResponse) -> None:
        """Read the rest of an answer that has said all, so that its connection can be used again."""
        try:
            async with asyncio.timeout(0.02):
                for _ in range(64):
                    if not await response.content.readany():
                        return
        except (TimeoutError, aiohttp.ClientError, OSError):
            return

    async def probe(self, patience: int) -> Ending:
        url = URL(self._base + "/load", encoded=True)
        try:
            async with (
                asyncio.timeout(patience / 1e6),
                self._pool.session.get(url, allow_redirects=False) as response,
            ):
                text = (await response.content.read(LINE_LIMIT)).decode("utf-8", "replace")
                outcome = Outcome.SERVED if response.status == 200 else Outcome.ERROR
                return Ending(outcome, load=self._pool.settings.fields.read_text(text))
        except TimeoutError:
            return Ending(Outcome.TIMED_OUT)
        except (aiohttp.ClientError, OSError):
            return Ending(Outcome.CONNECT_FAILED)
