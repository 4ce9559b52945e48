"""The console: the access rights of its socket, its commands, and invalid input."""

import asyncio
import stat

import pytest

from hazelbend.console import client
from hazelbend.dispatcher.console_server import LINE_LIMIT
from tests.support.site_kit import running_app, wait_until


def run_on_site(folder, scenario):
    """Run a coroutine with the dispatcher, its toy servers, and a function that runs console commands."""
    path = folder / "console.sock"
    (folder / "console.toml").write_text(f'enabled = true\nsocket = "{path}"\n')

    async def run():
        async with running_app(folder, stomp="") as (app, toys):

            async def console(*commands: str) -> int:
                words = [word for command in commands for word in ("-c", command)]
                return await asyncio.to_thread(client.main, ["--socket", str(path), *words])

            await scenario(app, toys, console, path)

    asyncio.run(run())


def test_socket_has_mode_0600_and_is_removed_at_shutdown(tmp_path):
    async def scenario(app, toys, console, path):
        assert stat.S_IMODE(path.stat().st_mode) == 0o600

    run_on_site(tmp_path, scenario)
    assert not (tmp_path / "console.sock").exists()


def test_show_commands_and_help_print_their_text(tmp_path, capsys):
    async def scenario(app, toys, console, path):
        assert (
            await console("show status", "show servers", "show flows", "show fronts", "show log 5", "help")
            == 0
        )

    run_on_site(tmp_path, scenario)
    output = capsys.readouterr().out
    for words in ("flows taken", "toy-0", "ready", "FLOW", "edge", "undrain SERVER"):
        assert words in output


def test_drain_command_stops_new_requests_and_undrain_allows_them(tmp_path, capsys):
    async def scenario(app, toys, console, path):
        [server] = app.router.table.backends.values()
        assert await console("drain toy-0", "show servers") == 0 and not server.accepts_work
        assert await console("undrain toy-0") == 0 and server.accepts_work

    run_on_site(tmp_path, scenario)
    assert "held back" in capsys.readouterr().out


def test_shutdown_command_starts_the_shutdown(tmp_path):
    async def scenario(app, toys, console, path):
        assert await console("shutdown") == 0
        assert app.stopping.is_set()

    run_on_site(tmp_path, scenario)


@pytest.mark.parametrize("command", ["", "show", "show nothing", "drain nobody", "show log many", "drain"])
def test_invalid_command_prints_an_error_and_ends_the_script(tmp_path, capsys, command):
    async def scenario(app, toys, console, path):
        assert await console(command, "show status") == 1

    run_on_site(tmp_path, scenario)
    output = capsys.readouterr()
    assert output.err and not output.out


def test_malformed_line_gets_an_error_and_other_connections_work(tmp_path):
    async def scenario(app, toys, console, path):
        for line in (b"\xff{\n", b"[1]\n", b'{"command": 1}\n'):
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(line)
            assert b'"ok":false' in await reader.readline()
            writer.close()
        reader, writer = await asyncio.open_unix_connection(path)
        writer.write(b"x" * (LINE_LIMIT + 1) + b"\n")
        await wait_until(reader.at_eof)
        assert await console("show status") == 0

    run_on_site(tmp_path, scenario)


def test_client_reports_a_missing_program_or_socket_setting(tmp_path, capsys, monkeypatch):
    assert client.main(["--socket", str(tmp_path / "none"), "-c", "help"]) == 1
    assert "cannot be reached" in capsys.readouterr().err
    monkeypatch.setenv("HAZELBEND_DEPLOY", str(tmp_path))
    assert client.main(["-c", "help"]) == 2
