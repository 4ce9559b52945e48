"""`check CONFIG`: shows how the program reads a configuration, without starting it."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from typing import Any

import orjson

from hazelbend.dispatcher import config
from hazelbend.dispatcher.text_table import format_table

EXIT_OK = 0
EXIT_WARNINGS = 1
EXIT_INVALID = 2
FEATURES = {  # components that a deploy file or a setting enables, by their field of `Config`
    "stomp": "the STOMP front",
    "snmp": "the SNMP agent",
    "console": "the console",
    "srv": "servers by SRV names",
    "waiting": "waiting jobs",
    "ops": "the operators' door",
}


def run(path: str, as_json: bool) -> int:
    """Print the report on the configuration at `path`, and return the exit status."""
    try:
        conf = config.load(os.environ | {"RELAY_CONFIG": path})
    except config.ConfigError as error:
        print(f"hazelbend check: {error}", file=sys.stderr)
        return EXIT_INVALID
    report = _report(conf)
    if as_json:
        print(orjson.dumps(report, option=orjson.OPT_INDENT_2).decode())
    else:
        print("\n".join(_format_report(report)))
    return EXIT_WARNINGS if report["doubts"] else EXIT_OK


def _report(conf: config.Config) -> dict[str, Any]:
    """Return the report as plain values, for JSON."""
    report = conf.settings_report.as_plain_values()
    report["on"] = [name for field, name in FEATURES.items() if getattr(conf, field) is not None]
    report["off"] = [name for field, name in FEATURES.items() if getattr(conf, field) is None]
    report["servers_known"] = len(conf.known.entries)
    report["discovery"] = conf.discovery
    return report


def _format_report(report: dict[str, Any]) -> Iterator[str]:
    """Yield the report as paragraphs and tables."""
    settings = dict(report["goes_by"])
    classes = settings.pop("classes")
    yield "It goes by:"
    yield format_table([("SETTING", "TAKEN AS"), *_rows(settings)])
    columns = tuple(next(iter(classes.values())))
    head = ("CLASS", *(column.upper().replace("_", " ") for column in columns))
    yield "\n" + format_table([head, *((name, *map(_text, row.values())) for name, row in classes.items())])
    known = report["servers_known"]
    discovery = report["discovery"] or "none"
    yield f"\nServers known from the start: {known}. Discovery: {discovery}."
    yield f"On: {_text(report['on'])}. Off: {_text(report['off'])}."
    yield f"\nNot used: {_text(report['not_used'])}."
    if report["doubts"]:
        yield "\nHardly meant so:"
        yield format_table(
            [("KEY", "READ AS"), *((warning["key"], warning["text"]) for warning in report["doubts"])]
        )


def _rows(values: dict[str, Any], prefix: str = "") -> Iterator[tuple[str, str]]:
    """Yield nested settings as rows with dotted keys."""
    for key, value in values.items():
        if isinstance(value, dict):
            yield from _rows(value, f"{prefix}{key}.")
        else:
            yield f"{prefix}{key}", _text(value)


def _text(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "nothing"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
