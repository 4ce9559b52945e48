"""A router's watches on control processes, on real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from hazelbend.control import messages as m
from hazelbend.control.load_table import CachedPart, Load, LoadNews, RouterLoad
from hazelbend.system import watch
from hazelbend.system.watch import Watches
from hazelbend.transport.peer.frame_link import FrameConnection, FrameServer

pytestmark = pytest.mark.anyio
SOON = 5.0


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


@pytest.fixture(autouse=True)
def impatient(monkeypatch):
    """Looks come often, and silence is short."""
    monkeypatch.setattr(watch, "LOOK", 0.02)
    monkeypatch.setattr(watch, "PING", 0.05)
    monkeypatch.setattr(watch, "SILENT", 0.4)


async def held(holds) -> None:
    async with asyncio.timeout(SOON):
        while not holds():
            await asyncio.sleep(0.005)


class Control:
    """A control process that only has watches."""

    def __init__(self, version: int = 1) -> None:
        self.version, self.mute = version, False
        self.answer: Callable[[FrameConnection], object] | None = None  # in place of a watch
        self.watchers: dict[FrameConnection, m.Watch] = {}
        self.loads: list[RouterLoad] = []
        self.server = FrameServer(self._hear, lambda connection: self.watchers.pop(connection, None))
        self.address = ""

    async def start(self) -> None:
        await self.server.listen("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server._server.sockets[0].getsockname()[1]}"

    def _hear(self, connection: FrameConnection, frame: bytes) -> None:
        if self.mute:
            return
        match m.decode(frame):
            case m.Watch() if self.answer is not None:
                self.answer(connection)
            case m.Watch() as wish:
                self.watchers[connection] = wish
                if self.version > wish.version:
                    connection.send(m.encode(m.ConfigNews(self.version, b"")))
            case m.Ping():
                connection.send(frame)
            case RouterLoad() as load:
                self.loads.append(load)

    def tell(self, body: m.Body) -> None:
        for connection in self.watchers:
            connection.send(m.encode(body))


class News:
    """What a router hears."""

    def __init__(self) -> None:
        self.heard: list[object] = []
        self.known = 0

    def config(self, news: m.ConfigNews) -> None:
        self.known = max(self.known, news.version)

    def workers(self, news: m.WorkerNews) -> None:
        self.heard.append(news)

    def fleet(self, news: m.FleetNews) -> None:
        self.heard.append(news)

    def loads(self, news: LoadNews) -> None:
        self.heard.append(news)

    def version(self) -> int:
        return self.known


@pytest.fixture
async def controls():
    made = [Control(version) for version in (3, 3, 4)]
    for each in made:
        await each.start()
    yield made
    for each in made:
        await each.server.close()


async def watching(controls: list[Control], count: int = 3) -> tuple[Watches, News]:
    news = News()
    watches = Watches("r1", tuple(each.address for each in controls[:count]), news, seed=1)
    watches.start()
    return watches, news


def watched(controls: list[Control]) -> list[Control]:
    return [each for each in controls if each.watchers]


async def test_two_control_processes_are_watched_and_loads_go_over_one(controls):
    watches, news = await watching(controls)
    await held(lambda: len(watched(controls)) == 2 and news.known >= 3)
    await held(lambda: sum(w.loads for each in controls for w in each.watchers.values()) == 1)
    watches.send(RouterLoad("r1", 1, {}))
    await held(lambda: sum(len(each.loads) for each in controls) == 1)
    await watches.close()


async def test_changes_of_loads_are_heard_over_that_one_alone(controls):
    """Guards a copy of the loads against changes that rest on what another control process has told."""
    watches, news = await watching(controls)
    await held(lambda: sum(w.loads for each in controls for w in each.watchers.values()) == 1)
    await held(lambda: len(watched(controls)) == 2)
    for each in controls:
        for connection, wish in each.watchers.items():
            part = CachedPart(f"i-{wish.loads}", "p", 1)
            connection.send(m.encode(LoadNews({"i": Load(1, 1)}, (part,))))
    await held(lambda: len(news.heard) == 2)
    loads = {each.cached[0].instance: each.loads for each in news.heard}
    assert loads == {"i-True": {"i": Load(1, 1)}, "i-False": {}}, "parts are heard from both"
    await watches.close()


async def test_an_observer_names_those_that_keep_the_record(controls):
    """Guards a start whose seeds are processes without a vote: nothing but their word leads to the others."""
    for observer, known in ((controls[0], controls[2]), (controls[1], controls[2])):
        news = m.FleetNews((known.address,), 1, {})
        observer.answer = lambda connection, news=news: (connection.send(m.encode(news)), connection.close())
    watches, news = await watching(controls, count=2)
    news.fleet = lambda told: watches.learn(told.controls)
    await held(lambda: bool(controls[2].watchers) and news.known == 4)
    await watches.close()


async def test_one_that_falls_silent_or_dies_is_left_for_another(controls):
    watches, news = await watching(controls)
    await held(lambda: len(watched(controls)) == 2)
    silent, dies = watched(controls)
    [third] = [each for each in controls if not each.watchers]
    silent.mute = True
    await held(lambda: bool(third.watchers))
    await dies.server.close()
    silent.mute = False
    await held(lambda: bool(silent.watchers) and bool(third.watchers))
    await watches.close()


async def test_a_router_asks_for_news_after_what_it_has_and_learns_of_others(controls):
    watches, news = await watching(controls, count=1)
    await held(lambda: news.known == 3 and len(watched(controls)) == 1)
    controls[0].tell(m.FleetNews(tuple(each.address for each in controls), 5, {}))
    await held(lambda: any(isinstance(each, m.FleetNews) for each in news.heard))
    watches.learn(news.heard[-1].controls)
    await held(lambda: len(watched(controls)) == 2)
    [other] = [each for each in controls[1:] if each.watchers]
    assert [wish.version for wish in other.watchers.values()][0] >= 3
    await watches.close()


async def test_what_is_no_message_ends_the_connection_and_another_is_made(controls):
    watches, news = await watching(controls, count=1)
    await held(lambda: len(watched(controls)) == 1)
    [connection] = controls[0].watchers
    connection.send(b"\xff\xffnonsense")
    await held(lambda: list(controls[0].watchers) not in ([], [connection]))
    await watches.close()


async def test_what_workers_keep_is_told_once_and_not_again_when_another_is_watched(controls):
    """Guards links of 5 Mbit/s: each loss of a control process had the whole of it sent to a third of the
    routers, twice, and a configuration waited behind it."""
    watches, news = await watching(controls)
    await held(lambda: sum(w.caches for each in controls for w in each.watchers.values()) == 1)
    [teller] = [each for each in controls if any(w.caches for w in each.watchers.values())]
    teller.tell(m.CacheNews.of({"i-1": {"p": 10}}))
    await held(lambda: LoadNews({}, (CachedPart("i-1", "p", 10),)) in news.heard)
    await held(lambda: watches._caches_at is not None)
    await teller.server.close()
    for connection in list(teller.watchers):
        connection.close()
    [third] = [each for each in controls if not each.watchers and each is not teller]
    await held(lambda: bool(third.watchers))
    assert not any(w.caches for each in controls if each is not teller for w in each.watchers.values())
    await watches.close()


async def test_a_router_that_has_heard_nothing_for_long_asks_what_workers_keep(controls):
    watches, _ = await watching(controls)
    await held(lambda: len(watched(controls)) == 2)
    now = asyncio.get_running_loop().time()
    watches._caches_at = now - watch.CACHES_STALE / 2
    assert watches._knows_caches(now)
    watches._caches_at = now - 2 * watch.CACHES_STALE
    assert not watches._knows_caches(now)
    await watches.close()
