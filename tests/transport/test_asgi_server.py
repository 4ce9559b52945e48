"""The HTTP server of control processes, on real sockets."""

from __future__ import annotations

import pytest

from hazelbend.transport.http.asgi_server import AsgiServer, HttpRequest, HttpResponse
from tests.support.socket_kit import HOST, exchange

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


async def test_requests_get_responses_and_bodies_are_limited():
    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, request.body + request.headers["x-a"].encode(), headers={"X-B": "c"})

    server = AsgiServer(handle, max_body_bytes=10)
    await server.listen(HOST, 0)
    port = server._server.servers[0].sockets[0].getsockname()[1]
    response = await exchange(port, b"POST /p HTTP/1.1\r\nHost: h\r\nX-A: z\r\nContent-Length: 2\r\n\r\nab")
    assert response.startswith(b"HTTP/1.1 200") and b"x-b: c" in response and response.endswith(b"abz")
    too_large = await exchange(port, b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n" + b"x" * 11)
    assert too_large.startswith(b"HTTP/1.1 413")
    await server.close()
