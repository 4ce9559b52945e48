"""A connect timeout that expires while this process is stopped. On virtual time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import aiohttp
import pytest
from yarl import URL

from hazelbend.transport.http.aiohttp_client import RequestProgress, RequestWithdrawnError, send_once
from tests.support.virtual_loop import VirtualLoop

CONNECT_TIMEOUT_S = 0.25


def send_with_late_timeout(ends_after_s: float) -> None:
    """Send a request whose connect timeout fires `ends_after_s` after the start."""

    async def request(*arguments: object, **options: object) -> None:
        await asyncio.sleep(ends_after_s)
        raise aiohttp.ConnectionTimeoutError

    timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S)
    owner = SimpleNamespace(session=SimpleNamespace(timeout=timeout, request=request))
    progress = RequestProgress(lambda: 1_000_000, "Time", has_body=False, on_written=lambda: None)
    loop = VirtualLoop()
    try:
        loop.run_until_complete(
            send_once(owner, "GET", URL("http://127.0.0.1:1/"), progress, body=None, headers={})
        )
    finally:
        loop.close()


@pytest.mark.parametrize("delay_s", [0.0, 0.04])
def test_punctual_connect_timeout_is_a_failure_of_the_server(delay_s):
    with pytest.raises(aiohttp.ConnectionTimeoutError):
        send_with_late_timeout(CONNECT_TIMEOUT_S + delay_s)


@pytest.mark.parametrize("pause_s", [0.1, 3.0])
def test_connect_timeout_after_a_pause_of_this_process_withdraws_the_request(pause_s):
    """If the process is stopped while it connects and continues after the timeout, the request counts as not
    sent. Otherwise it would count as a failure of every server that was being connected to."""
    with pytest.raises(RequestWithdrawnError):
        send_with_late_timeout(CONNECT_TIMEOUT_S + pause_s)
