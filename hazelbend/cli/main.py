"""The command line, built with click.

Each command imports its own module when it runs, so it needs only the packages of its own component.
"""

from __future__ import annotations

import sys

try:
    import click
except ImportError:
    print("hazelbend: commands need requirements-srv.txt (click is missing)", file=sys.stderr)
    raise SystemExit(2) from None


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Tools for operators of the dispatcher. Without a command, the dispatcher itself runs."""


@main.command()
@click.argument("name")
@click.option(
    "--nameserver",
    multiple=True,
    metavar="ADDRESS:PORT",
    help="Nameservers to query. [default: those in deploy/srv.toml]",
)
@click.option("--timeout", default=1.0, show_default=True, help="Timeout of one query, in seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of tables.")
def resolve(name: str, nameserver: tuple[str, ...], timeout: float, as_json: bool) -> None:
    """Query each nameserver for an SRV NAME, and for the addresses of its targets.

    Exits with status 0 if a nameserver lists endpoints, 1 if none does, 2 if it cannot query.
    """
    from hazelbend.cli.resolve import run

    raise SystemExit(run(name, nameserver, timeout, as_json))


@main.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of text.")
def check(config: str, as_json: bool) -> None:
    """Show how the dispatcher reads the settings in CONFIG and the files under deploy/, without starting it.

    Exits with status 0 without warnings, 1 with warnings, 2 if the dispatcher would not start.
    """
    from hazelbend.cli.check import run

    raise SystemExit(run(config, as_json))


SECONDS_BY_UNIT = {"ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3_600.0, "": 1.0}
UNIT_LETTERS = "smh"


class Duration(click.ParamType[float]):
    """A duration such as `10s`, `1m`, `500ms` or a number without a unit. Converts to seconds."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Return the duration in seconds. An invalid one ends the command with a usage error."""
        text = str(value).strip()
        number = text.rstrip(UNIT_LETTERS)
        try:
            return float(number) * SECONDS_BY_UNIT[text[len(number) :]]
        except (ValueError, KeyError):
            self.fail(f"{text!r} is no time such as 10s, 1m or 500ms", param, ctx)


JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


@main.group()
def fleet() -> None:
    """Show and start the fleet, the dispatchers that share leases, through this machine's dispatcher.

    Exit status: 0 success, 1 nothing to show or refused, 2 invalid settings, 3 no dispatcher answers.
    """


@fleet.command("status")
@JSON_OPTION
def fleet_status(as_json: bool) -> None:
    """Show members, voters and the leader. Exits with status 1 if there is no leader."""
    from hazelbend.cli import fleet as commands

    raise SystemExit(commands.main(lambda settings, links: commands.status(settings, links, as_json=as_json)))


@fleet.command("start")
@click.option("--anyway", is_flag=True, help="Even if this dispatcher knows a leader.")
def fleet_start(anyway: bool) -> None:
    """Start a new epoch on this member: once for a new fleet, and when most voters are lost for good.

    If a majority is alive behind a network partition, there are two fleets until they can connect again.
    """
    from hazelbend.cli import fleet as commands

    raise SystemExit(commands.main(lambda settings, links: commands.start(settings, links, force=anyway)))


@main.group()
def lease() -> None:
    """Leases for tasks that only one process of the fleet may run at a time."""


@lease.command("run", options_metavar="[--ttl TIME] [--wait TIME] --")
@click.argument("name")
@click.option("--ttl", type=Duration(), default=10.0, help="TTL of the lease without a renewal. [10s]")
@click.option("--wait", type=Duration(), default=0.0, help="Longest wait for the lease. [0]")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
def lease_run(name: str, ttl: float, wait: float, command: tuple[str, ...]) -> None:
    """Run COMMAND while the lease NAME is held, with its fencing token in HAZELBEND_TOKEN.

    Exits with COMMAND's status, with 75 if the lease was not granted, and with 76 if it was lost: COMMAND
    then gets SIGTERM, and SIGKILL before the lease expires.
    """
    from hazelbend.cli import fleet as commands

    raise SystemExit(
        commands.main(lambda settings, links: commands.run_command(settings, links, name, ttl, wait, command))
    )


@lease.command("list")
@JSON_OPTION
def lease_list(as_json: bool) -> None:
    """List all leases with their holders and waiters."""
    from hazelbend.cli import fleet as commands

    raise SystemExit(
        commands.main(lambda settings, links: commands.show_leases(settings, links, None, as_json=as_json))
    )


@lease.command("show")
@click.argument("name")
@JSON_OPTION
def lease_show(name: str, as_json: bool) -> None:
    """Show one lease. Exits with status 1 if it is free."""
    from hazelbend.cli import fleet as commands

    raise SystemExit(
        commands.main(lambda settings, links: commands.show_leases(settings, links, name, as_json=as_json))
    )


@lease.command("release")
@click.argument("name")
@click.option(
    "--force", is_flag=True, required=True, help="Required: the holder does not know, and may continue."
)
def lease_release(name: str, force: bool) -> None:
    """Take a lease from its holder. The next holder gets a higher token."""
    from hazelbend.cli import fleet as commands

    assert force
    raise SystemExit(commands.main(lambda settings, links: commands.force_release(settings, links, name)))
