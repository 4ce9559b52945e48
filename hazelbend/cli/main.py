"""The command line, by click.

Each command imports its own module when it runs: a command needs only the packages of its part.
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
    """Tools beside the dispatcher. Without a command the dispatcher itself runs."""


@main.command()
@click.argument("name")
@click.option(
    "--nameserver", multiple=True, metavar="ADDRESS:PORT", help="Ask these; else deploy/srv.toml's."
)
@click.option("--timeout", default=1.0, show_default=True, help="Seconds for one query.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of tables.")
def resolve(name: str, nameserver: tuple[str, ...], timeout: float, as_json: bool) -> None:
    """What each nameserver says of an SRV NAME, and of its targets' addresses.

    Ends with status 0 if one of them lists boxes, 1 if none does, 2 if it cannot ask.
    """
    from hazelbend.cli.resolve import run

    raise SystemExit(run(name, nameserver, timeout, as_json))


@main.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a page.")
def check(config: str, as_json: bool) -> None:
    """What the program makes of the settings in CONFIG, and of our files under deploy/. Nothing is opened.

    Ends with status 0 if all is understood, 1 if it would start but doubts some settings, 2 if it would not.
    """
    from hazelbend.cli.check import run

    raise SystemExit(run(config, as_json))


SECONDS_BY_UNIT = {"ms": 1e-3, "s": 1.0, "m": 60.0, "h": 3_600.0, "": 1.0}
UNIT_LETTERS = "smh"


class Duration(click.ParamType[float]):
    """Seconds, from `10s`, `1m`, `500ms` or a bare number."""

    name = "time"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """See the class. What is none ends the command with a usage error."""
        text = str(value).strip()
        number = text.rstrip(UNIT_LETTERS)
        try:
            return float(number) * SECONDS_BY_UNIT[text[len(number) :]]
        except (ValueError, KeyError):
            self.fail(f"{text!r} is no time such as 10s, 1m or 500ms", param, ctx)


JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="One JSON object.")


@main.group()
def fleet() -> None:
    """The dispatchers that share leases, as this machine's one knows them.

    Commands end with status 0, 1 if there is nothing to show or a refusal, 2 for settings, 3 if none answers.
    """


@fleet.command("status")
@JSON_OPTION
def fleet_status(as_json: bool) -> None:
    """Members, voters and who leads. Status 1 if nobody does."""
    from hazelbend.cli import fleet as commands

    raise SystemExit(commands.main(lambda settings, links: commands.status(settings, links, as_json=as_json)))


@fleet.command("start")
@click.option("--anyway", is_flag=True, help="Though somebody leads, as far as this dispatcher knows.")
def fleet_start(anyway: bool) -> None:
    """Start a new epoch here: once for a new fleet, and when most voters are lost for good.

    While a majority lives behind a cut, this makes two fleets until they hear of each other.
    """
    from hazelbend.cli import fleet as commands

    raise SystemExit(commands.main(lambda settings, links: commands.start(settings, links, force=anyway)))


@main.group()
def lease() -> None:
    """Leases for tasks that one of the fleet may do at a time."""


@lease.command("run", options_metavar="[--ttl TIME] [--wait TIME] --")
@click.argument("name")
@click.option("--ttl", type=Duration(), default=10.0, help="How long the lease outlives its holder. [10s]")
@click.option("--wait", type=Duration(), default=0.0, help="How long to queue for it. [0]")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
def lease_run(name: str, ttl: float, wait: float, command: tuple[str, ...]) -> None:
    """Run COMMAND while the lease NAME is held, with its token in HAZELBEND_TOKEN.

    Ends with COMMAND's status, with 75 if the lease was not to be had, and with 76 if it was lost: COMMAND
    then got SIGTERM, and SIGKILL before the lease's time was over.
    """
    from hazelbend.cli import fleet as commands

    raise SystemExit(
        commands.main(lambda settings, links: commands.run_command(settings, links, name, ttl, wait, command))
    )


@lease.command("list")
@JSON_OPTION
def lease_list(as_json: bool) -> None:
    """All leases, their holders and who waits."""
    from hazelbend.cli import fleet as commands

    raise SystemExit(
        commands.main(lambda settings, links: commands.show_leases(settings, links, None, as_json=as_json))
    )


@lease.command("show")
@click.argument("name")
@JSON_OPTION
def lease_show(name: str, as_json: bool) -> None:
    """One lease. Status 1 if it is free."""
    from hazelbend.cli import fleet as commands

    raise SystemExit(
        commands.main(lambda settings, links: commands.show_leases(settings, links, name, as_json=as_json))
    )


@lease.command("release")
@click.argument("name")
@click.option("--force", is_flag=True, required=True, help="Its holder is not asked, and may act on.")
def lease_release(name: str, force: bool) -> None:
    """Take a lease from its holder. The next one's token is higher."""
    from hazelbend.cli import fleet as commands

    assert force
    raise SystemExit(commands.main(lambda settings, links: commands.force_release(settings, links, name)))
