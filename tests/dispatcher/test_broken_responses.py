"""The dispatcher's clients, over HTTP and STOMP, while a server answers with what is not valid HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from hazelbend.dispatcher import config
from hazelbend.dispatcher.app import App
from tests.support.race_kit import OK_HEAD, ReceivedRequest, ScriptedBackend, chunk, done_response
from tests.support.site_kit import (
    SETTINGS,
    STOMP_TOML,
    FakeStompClient,
    host_entry,
    started_app,
    wait_until,
)
from tests.support.socket_kit import exchange

DONE_LINE = b'{"id":"%b","state":"done","result":"no"}\n'
NOT_PROCESSED = b"X-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
BROKEN_HEADS = {
    "status 000": b"HTTP/1.1 000 None\r\n",
    "status 101": b"HTTP/1.1 101 Switching Protocols\r\n",
    "status 999": b"HTTP/1.1 999 Unknown\r\n",
    "control byte in the reason": b"HTTP/1.1 %b A\x01\r\n",
    "control byte in a name": b"HTTP/1.1 %b A\r\nA\x01: b\r\n",
    "control byte in a value": b"HTTP/1.1 %b A\r\nA: \x1b\r\n",
    "blank before the first field": b"HTTP/1.1 %b A\r\n A: b\r\n",
    "another protocol": b"RTSP/1.0 %b A\r\n",
}
broken = pytest.mark.parametrize("head", BROKEN_HEADS.values(), ids=BROKEN_HEADS.keys())
claims = pytest.mark.parametrize("claims_result", [True, False], ids=["result", "not processed"])


def broken_response(head: bytes, job_id: str, *, claims_result: bool) -> bytes:
    """A response with this head that claims a result, or that the job was not processed."""
    if not claims_result:
        return head.replace(b"%b", b"503") + NOT_PROCESSED
    result = OK_HEAD.partition(b"\r\n")[2] + chunk(DONE_LINE % job_id.encode()) + b"0\r\n\r\n"
    return head.replace(b"%b", b"200") + result


@asynccontextmanager
async def dispatcher_with(backend: ScriptedBackend, folder: Path) -> AsyncIterator[App]:
    await backend.listen()
    (folder / "stomp.toml").write_text(STOMP_TOML)
    hosts = [host_entry("s-1", f"127.0.0.1:{backend.port}")]
    conf = {
        "name": "test",
        "listen": "127.0.0.1:0",
        "discovery": "",
        "ops": "",
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": SETTINGS,
    }
    configuration = config.with_deploy_files(config.from_object(conf), folder, conf)
    try:
        async with started_app(App(configuration)) as app:
            yield app
    finally:
        backend.close()


class BrokenBackend:
    """Answers the first job with a broken response, and runs the others."""

    def __init__(self, head: bytes, *, claims_result: bool) -> None:
        self.ran: list[str] = []
        self.scripted = ScriptedBackend(self._respond)
        self._head = head
        self._claims_result = claims_result

    async def _respond(self, writer: asyncio.StreamWriter, request: ReceivedRequest) -> None:
        if request.head.startswith(b"GET "):  # a probe
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return
        job_id = request.field("X-Request-ID")
        self.ran.append(job_id)
        if len(self.ran) == 1:
            writer.write(broken_response(self._head, job_id, claims_result=self._claims_result))
        else:
            writer.write(done_response(job_id, "yes"))


def http_job(job_id: str) -> bytes:
    return (
        b"POST /reserve/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: %b\r\nX-Tenant-Id: ege-volt\r\n"
        b"Idempotency-Key: %b\r\nX-Timeout-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
    ) % (job_id.encode(), job_id.encode())


@broken
@claims
def test_http_client_gets_no_answer_of_a_broken_response(tmp_path, head, claims_result):
    async def run() -> None:
        backend = BrokenBackend(head, claims_result=claims_result)
        async with dispatcher_with(backend.scripted, tmp_path) as app:
            answers = [await exchange(app.client_listener.port, http_job(job)) for job in ("j1", "j2")]
        assert answers[0].startswith(b"HTTP/1.1 502 ") and b"no" not in answers[0].partition(b"\r\n\r\n")[2]
        assert answers[1].startswith(b"HTTP/1.1 200 ") and answers[1].endswith(b"yes")
        assert backend.ran == ["j1", "j2"]

    asyncio.run(run())


@broken
@claims
def test_stomp_client_gets_no_answer_of_a_broken_response(tmp_path, head, claims_result):
    async def run() -> None:
        backend = BrokenBackend(head, claims_result=claims_result)
        async with dispatcher_with(backend.scripted, tmp_path) as app:
            client = await FakeStompClient.connect(app.stomp.port)
            client.send("SUBSCRIBE", id="answers", destination="/hazelbend/answers", ack="auto")
            for number, job in enumerate(("j1", "j2"), 1):
                client.job(job, job_class="reserve", deadline="2000")
                await wait_until(lambda count=number: len(client.statuses_by_request()) == count, 10.0)
            assert client.statuses_by_request() == {"j1": ["failed"], "j2": ["served"]}
            await client.abort_connection()
        assert len(backend.ran) == 2

    asyncio.run(run())
