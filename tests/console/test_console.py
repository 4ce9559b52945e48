"""The console: its socket is its owner's alone, and each command does what it says."""

import asyncio
import stat

import pytest

from hazelbend.console import client
from hazelbend.dispatcher.console_server import LINE_LIMIT
from tests.support.site_kit import running_app, wait_until


def on_site(folder, work):
    """Run a coroutine with the program, its toy servers, and a way to run console commands."""
    path = folder / "console.sock"
    (folder / "console.toml").write_text(f'enabled = true\nsocket = "{path}"\n')

    async def run():
        async with running_app(folder, stomp="") as (app, toys):

            async def console(*commands: str) -> int:
                words = [word for command in commands for word in ("-c", command)]
                return await asyncio.to_thread(client.main, ["--socket", str(path), *words])

            await work(app, toys, console, path)

    asyncio.run(run())


def test_the_socket_is_its_owners_alone_and_goes_with_the_program(tmp_path):
    async def work(app, toys, console, path):
        assert stat.S_IMODE(path.stat().st_mode) == 0o600

    on_site(tmp_path, work)
    assert not (tmp_path / "console.sock").exists()


def test_what_is_shown(tmp_path, capsys):
    async def work(app, toys, console, path):
        assert (
            await console("show status", "show servers", "show flows", "show fronts", "show log 5", "help")
            == 0
        )

    on_site(tmp_path, work)
    said = capsys.readouterr().out
    for words in ("flows taken", "toy-0", "ready", "FLOW", "edge", "undrain SERVER"):
        assert words in said


def test_a_drain_by_hand_stops_new_work_and_undrain_takes_it_back(tmp_path, capsys):
    async def work(app, toys, console, path):
        [server] = app.router.table.servers.values()
        assert await console("drain toy-0", "show servers") == 0 and not server.accepts_work
        assert await console("undrain toy-0") == 0 and server.accepts_work

    on_site(tmp_path, work)
    assert "held back" in capsys.readouterr().out


def test_shutdown_leaves_gracefully(tmp_path):
    async def work(app, toys, console, path):
        assert await console("shutdown") == 0
        assert app.stopping.is_set()

    on_site(tmp_path, work)


@pytest.mark.parametrize("command", ["", "show", "show nothing", "drain nobody", "show log many", "drain"])
def test_what_cannot_be_done_is_said_and_ends_a_script(tmp_path, capsys, command):
    async def work(app, toys, console, path):
        assert await console(command, "show status") == 1

    on_site(tmp_path, work)
    said = capsys.readouterr()
    assert said.err and not said.out


def test_a_bad_line_does_no_harm(tmp_path):
    async def work(app, toys, console, path):
        for line in (b"\xff{\n", b"[1]\n", b'{"command": 1}\n'):
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(line)
            assert b'"ok":false' in await reader.readline()
            writer.close()
        reader, writer = await asyncio.open_unix_connection(path)
        writer.write(b"x" * (LINE_LIMIT + 1) + b"\n")
        await wait_until(reader.at_eof)
        assert await console("show status") == 0

    on_site(tmp_path, work)


def test_a_console_without_a_program_says_so(tmp_path, capsys, monkeypatch):
    assert client.main(["--socket", str(tmp_path / "none"), "-c", "help"]) == 1
    assert "cannot be reached" in capsys.readouterr().err
    monkeypatch.setenv("HAZELBEND_DEPLOY", str(tmp_path))
    assert client.main(["-c", "help"]) == 2
