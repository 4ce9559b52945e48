"""The commands, by click."""

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
