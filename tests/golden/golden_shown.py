"""Golden texts: what the program prints for people and other programs, and how it reads settings.

Each text is made from plain values passed by position, so it does not depend on the name of a class or field
in Python. The files in `tests/data/golden/shown` were written by the program of commit a71086c:

    PYTHONPATH=DIRECTORY_OF_COMMIT:. python tests/golden/golden_shown.py
"""

from __future__ import annotations

import ast
import asyncio
import contextlib
import io
import json
import re
import tempfile
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import click
import msgspec
from click.testing import CliRunner

import hazelbend
from hazelbend.cli.main import main as command_line
from hazelbend.console import client as console_client
from hazelbend.control import configuration_reader
from hazelbend.decisions.interface import LoadReport, Outcome
from hazelbend.dispatcher import config, console_server, deploy_files
from hazelbend.dispatcher.log import RecentLines
from hazelbend.job_queue import gate
from hazelbend.placement import statistics
from hazelbend.placement.reliability import AttemptOutcome
from hazelbend.protocol import (
    discovery,
    handover,
    http_fields,
    stomp,
    stomp_jobs,
    waiting_terms,
    worker_lines,
)
from hazelbend.routing import overview
from hazelbend.routing.ports import Answer, Job, Verdict
from hazelbend.system import main as system_main
from hazelbend.system import metrics
from hazelbend.system import settings as system_settings
from hazelbend.transport.connection_memory import ConnectionMemory, connection_limits
from hazelbend.transport.http import admin_listener
from hazelbend.transport.snmp import hazelbend_mib
from tests.golden import golden_kit as kit
from tests.support.site_kit import PASSCODE_SHA256, SETTINGS, host_entry

TEXT_DIR = kit.GOLDEN / "shown"


def plain_values(thing: Any) -> Any:
    """Convert to JSON types, without the names of classes and fields."""
    if isinstance(thing, Enum):
        return plain_values(thing.value)
    if is_dataclass(thing):
        return [plain_values(getattr(thing, each.name)) for each in fields(thing)]
    if isinstance(thing, msgspec.Struct):
        return [plain_values(getattr(thing, name)) for name in thing.__struct_fields__]
    if isinstance(thing, dict):
        return {str(key): plain_values(value) for key, value in thing.items()}
    if isinstance(thing, list | tuple | set | frozenset | deque):
        results = [plain_values(each) for each in thing]
        return sorted(results, key=str) if isinstance(thing, set | frozenset) else results
    if isinstance(thing, bytes | Path):
        return str(thing)
    if thing is None or isinstance(thing, str | int | float):
        return thing
    return "object"


def as_json_text(value: Any) -> str:
    return json.dumps(value, indent=1) + "\n"


# --- status of a running program ---


def histogram(first: int) -> statistics.RatioHistogram:
    return statistics.RatioHistogram(
        [first + n for n in range(len(statistics.RATIO_BOUNDS) + 1)], first + 0.5
    )


def metrics_text() -> str:
    worker = statistics.WorkerStatistics(
        Counter({end: n for n, end in enumerate(AttemptOutcome, 1)}), histogram(2), histogram(5), 70, 80
    )
    refusals = Counter({reason: n for n, reason in enumerate(statistics.Refusal, 1)})
    unknown_outcomes = Counter({"ResponseBrokenError": 3, "InvalidResponseError": 1})
    workers = {"w-1": worker, "w-2": statistics.WorkerStatistics()}
    results = statistics.Statistics(workers, refusals, 9, unknown_outcomes)
    return metrics.render(
        results, metrics.ConfigVersions(in_force=7, unreadable=0), ConnectionMemory(connection_limits(256))
    ).decode()


def sample_overview() -> overview.Overview:
    """Return the overview of a program with a different value in each field."""
    classes = (overview.ClassFigures("nearby", 31, 32, 33), overview.ClassFigures("reserve", 34, 35, 36))
    names = ("followed", "unknown", "stale", "boxes", "spare", "queries", "failures")
    waiting = (
        "jobs",
        "released",
        "refused",
        "expired",
        "cancelled",
        "longest_ms.nearby",
        "longest_ms.reserve",
    )
    further = {f"names.{name}": 50 + n for n, name in enumerate(names)}
    further |= {f"waiting.{name}": 70 + n for n, name in enumerate(waiting)}
    servers = tuple(
        overview.ServerRow(n, f"h{n}", f"127.0.0.1:800{n}", n, n + 1, state, n + 2, n + 3, n + 4)
        for n, state in enumerate(("ready", "draining", "held back", "gone"), 1)
    )
    flows = (
        overview.FlowRow("f1", 0, 1_500_000, 500_000, ("h1", "h2")),
        overview.FlowRow("f2", 1, 2_500_000, 700_000, ()),
    )
    return overview.Overview(
        "balancer-1",
        5_000_000,
        "serving",
        100,
        7,
        {verdict: 10 + n for n, verdict in enumerate(Verdict)},
        overview.Figures(classes, 40, 41, 42, 43, further),
        {outcome: 20 + n for n, outcome in enumerate(Outcome)},
        flows,
        servers,
        {"edge": 3, "stomp": 2, "boxes": 1},
    )


def snmp_values() -> str:
    return as_json_text(
        {
            ".".join(map(str, oid)): [type(value).__name__, value.prettyPrint()]
            for oid, value in sorted(hazelbend_mib.object_values(sample_overview()).items())
        }
    )


def ops_stats() -> str:
    async def ask() -> list[Any]:
        listener = admin_listener.AdminListener(
            SimpleNamespace(figures=lambda: sample_overview().figures),
            ConnectionMemory(connection_limits(256)),
        )  # type: ignore[arg-type]
        calls = {path: method for path, (method, _) in listener._calls.items()}
        return [calls, listener._calls["/ops/stats"][1]().text]

    return as_json_text(asyncio.run(ask()))


def console_texts() -> str:
    recent = RecentLines()
    recent.lines.extend(["first line", "second line"])
    router = SimpleNamespace(
        list_received=asyncio.Event(), requests={"f1": None}, set_manual_drain=lambda host, _: host == "h1"
    )
    program = SimpleNamespace(
        overview=sample_overview,
        extensions={},
        recent=recent,
        router=router,
        stopping=asyncio.Event(),
        conf=SimpleNamespace(catalogue=http_fields.Catalogue(CLASSES, ())),
    )
    commands = console_server.Commands(program)  # type: ignore[arg-type]
    lines = [
        "help",
        "show status",
        "show figures",
        "show servers",
        "show flows",
        "show fronts",
        "show sources",
    ]
    lines += ["show log", "show log 1", "show log x", "drain h1", "undrain h1", "drain h9", "shutdown"]
    lines += [f"show {name}" for name in ("names", "fleet", "leases", "waiting")] + ["cancel a b", "dance"]
    results = []
    for line in lines:
        try:
            text = commands.run(line)
        except console_server.CommandError as error:
            text = f"ERROR {error}"
        results.append(f"> {line}\n{text}\n")
    return "\n".join(results)


# --- command lines ---


def default_of(parameter: click.Parameter) -> object:
    return parameter.default if isinstance(parameter.default, str | int | float) else None


def command_words() -> str:
    """Return all commands with their arguments and options; the help text is prose and left out."""
    results: dict[str, Any] = {}

    def add(command: click.Command, path: tuple[str, ...]) -> None:
        results[" ".join(("hazelbend", *path))] = [
            [each.param_type_name, *each.opts, each.nargs, each.required, default_of(each), each.type.name]
            for each in command.params
        ]
        if isinstance(command, click.Group):
            for name, subcommand in sorted(command.commands.items()):
                add(subcommand, (*path, name))

    add(command_line, ())
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.suppress(SystemExit):
        console_client.main(["--help"])
    results["hazelbend.console"] = sorted(set(re.findall(r"(?<=[ \[])--?[a-z]+", output.getvalue())))
    flags = system_main.FLAGS._flags()
    results["hazelbend.system"] = {
        name: plain_values(flags[name].default) for name in ("settings", "log_level")
    }
    results["hazelbend.system usage"] = [line.split("  ")[1:2] for line in system_main.USAGE.splitlines()]
    results["variables"] = [
        system_main.SETTINGS_PATH_VARIABLE,
        deploy_files.DEPLOY_VARIABLE,
        config.PASSED_SOCKET,
    ]
    return as_json_text(results)


def site_config(**changes: Any) -> dict[str, Any]:
    known = {"seq": 3, "whole": True, "hosts": [host_entry("h1", "127.0.0.1:8001")]}
    return {"name": "site", "listen": "127.0.0.1:7070", "known": known, "settings": SETTINGS | changes}


SITE_CONFIGS: dict[str, dict[str, Any]] = {
    "plain": site_config(),
    "doubtful": site_config(
        membership_mode="pull",
        weight_kind="exact",
        value_by="second",
        report={"via": "on_probe", "columns": ["wait", "outstanding"]},
        my_zone=7,
        limits={"probes": False, "max_attempts": 0, "cpu_us_per_s": 5},
        rules={"start_capacity": 30, "fall_multiple": 0.5},
        lanes=[{"name": "a", "semantics": "odd", "streaming": True, "worth": 0, "objective_us": 9_000_000}],
    ),
    "full": site_config(
        fleet_size=4,
        my_zone=1,
        membership_mode="ask",
        weight_kind="live",
        value_by="work",
        tick_us=2_000,
        report={"via": "on_probe", "columns": ["outstanding", "x0", "recent_ms"]},
        charges={"probe": 0.5, "cross_zone": 0.25, "handshake": 0.125},
        rules={
            "ask_within_us": 90_000,
            "fall_multiple": 4.0,
            "fall_us": 70_000,
            "start_capacity": 0.5,
            "warm_after_us": 80_000,
        },
        limits={
            "probes": True,
            "cancel": False,
            "may_duplicate": True,
            "max_attempts": 5,
            "keepalive_us": 900_000,
            "connect_timeout_us": 300_000,
            "sockets": 2_048,
        },
    ),
}


def check_pages() -> str:
    results = []
    runner = CliRunner()
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for site, conf in SITE_CONFIGS.items():
            (folder / f"{site}.json").write_text(json.dumps(conf))
            for options in ([], ["--json"]):
                result = runner.invoke(
                    command_line,
                    ["check", str(folder / f"{site}.json"), *options],
                    env={deploy_files.DEPLOY_VARIABLE: str(folder)},
                )
                results.append(
                    f"$ check {site} {' '.join(options)}\n{result.output}(status {result.exit_code})\n"
                )
    return "\n".join(results)


# --- settings ---

STOMP = f"""
enabled = true
listen = "127.0.0.1:61613"
heart_beat_out_ms = 11
heart_beat_in_ms = 12
connections = 13
write_limit = 65537
waiting = 14
waiting_bytes = 65538
remembered = 15
total_bytes = 65539
keep_s = 16
[[client]]
login = "c"
passcode_sha256 = "{PASSCODE_SHA256}"
tenants = ["ege-volt"]
[[box]]
login = "b"
passcode_sha256 = "{PASSCODE_SHA256}"
zone = "konya-1"
kind = "small-box"
cell = 3
weight = 2.5
"""
SNMP = 'enabled = true\nlisten = "127.0.0.1:1161"\ncommunity = "x"\nnotify = ["127.0.0.1:1162"]\n'
CONSOLE = 'enabled = true\nsocket = "/run/console.sock"\n'
SRV = """
enabled = true
[[nameserver]]
address = "127.0.0.1:53"
[[name]]
name = "_web._tcp.example.org"
zone = "konya-1"
kind = "big-box"
cell = 4
weight_scale = 1.5
most_targets = 17
[lifetimes]
least_s = 6.0
most_s = 3601.0
stale_s = 86401.0
gone_s = 3602.0
[budgets]
per_s = 101.0
at_once = 65
timeout_s = 1.25
tries = 4
retry_part = 0.25
rest_s = 1.75
longest_rest_s = 31.0
start_spread_s = 1.125
[pools]
return_s = 5.5
look_s = 0.125
[snapshot]
path = "/var/lib/names.json"
every_s = 5.25
"""
WAITING = """
enabled = true
http_headers = true
[limits]
jobs = 10001
bytes = 67108865
by_client = 1001
parents = 65
children = 1002
depth = 101
come_within_s = 5.5
remembered = 10002
remember_s = 60.5
result_bytes = 65537
longest_s = 3600.5
[admission]
in_service = 102
aged = 2
ordinary = true
[[admission.class]]
name = "reserve"
in_service = 41
[[admission.tenant]]
name = "toros-sarj"
share = 0.25
"""
FLEET = """
enabled = true
id = "blue"
listen = "127.0.0.1:9100"
advertise = "127.0.0.9:9100"
seeds = ["127.0.0.1:9100", "127.0.0.2:9100"]
voters = 5
store = "/var/lib/fleet"
[leases]
most = 1001
waiters = 201
shortest_s = 1.5
longest_s = 30.5
asks_per_s = 101.0
clock_drift = 0.0625
[snapshot]
url = "http://127.0.0.1:80/fleet.json"
every_s = 61.0
ttl_s = 10.5
timeout_s = 2.5
"""
DEPLOY = {
    "stomp": STOMP,
    "snmp": SNMP,
    "console": CONSOLE,
    "srv": SRV,
    "waiting": WAITING,
    "fleet": FLEET,
}
SYSTEM = """
nodeName: n1
role: control
ip: 127.0.0.1
zone: a
region: r
zones: {n1: a, n2: b}
listen: {http: "127.0.0.1:8080", readiness: "127.0.0.1:8081", control: "127.0.0.1:8082"}
portRange: [9000, 9010]
seeds: ["127.0.0.2:8082"]
bootstrap: true
countsForQuorum: true
limits: {cpuShare: 2.0, memoryMb: 128, maxFds: 512}
dataDir: /var/lib/control
heartbeatMs: 1100
faultTolerance: {machines: 2}
bounds: {drainMs: 2100, graceS: 9, retryRatio: 0.3, retryWindowS: 11, retrySlack: 12, leaseMs: 3100,
         configApplyMs: 2200}
"""
SYSTEM_WITH_BAD_ADDRESS = (
    'nodeName: n1\nip: 127.0.0.1\nzone: a\nportRange: [9000, 9010]\nlisten: {control: "x"}\n'
)
MINIMAL_SYSTEM = "nodeName: n1\nip: 127.0.0.1\nzone: a\nportRange: [9000, 9010]\n"


def site_settings() -> str:
    results = {}
    for site, conf in SITE_CONFIGS.items():
        read = config.from_object(conf)
        load = read.load_fields.read({"outstanding": 1, "backlog": 2, "x0": 3, "recent_ms": 4})
        by_site = read.load_fields.read({"inflight": 5, "queue": 6})
        results[site] = plain_values([read.settings, read.catalogue, load, by_site, read.known, read.listen])
        results[site] += [read.sockets, read.connect_timeout, read.keepalive, read.seed]
    return as_json_text(results)


def deploy_settings() -> str:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        conf = site_config()
        none = config.with_deploy_files(config.from_object(conf), folder, conf)
        for file, text in DEPLOY.items():
            (folder / f"{file}.toml").write_text(text)
        read = config.with_deploy_files(config.from_object(conf), folder, conf)
        parts = {"on": read, "off": none}
        results = {
            state: {name: plain_values(getattr(each, name)) for name in DEPLOY}
            for state, each in parts.items()
        }
        for file in DEPLOY:
            (folder / f"{file}.toml").write_text(
                "enabled = true\nodd = 1\n" + DEPLOY[file].partition("true")[2]
            )
            try:
                config.with_deploy_files(config.from_object(conf), folder, conf)
            except config.ConfigError as error:
                results.setdefault("faults", {})[file] = str(error).partition(f"{folder}/")[2]
            (folder / f"{file}.toml").write_text(DEPLOY[file])
    return as_json_text(results)


def system_settings_values() -> str:
    results = {
        name: plain_values(system_settings.read_settings(text))
        for name, text in (("full", SYSTEM), ("least", MINIMAL_SYSTEM))
    }
    for name, text in (("bad address", SYSTEM_WITH_BAD_ADDRESS), ("empty", "{}"), ("list", "[]")):
        try:
            system_settings.read_settings(text)
        except system_settings.SettingsError as error:
            results[name] = str(error)
    return as_json_text(results)


def configuration_findings() -> str:
    """Return the version of each valid configuration and the findings of each invalid one."""
    broken = {
        "version": 0,
        "routes": [
            {"name": "r", "prefix": "x", "kind": "odd", "timeoutMs": 0, "split": [{"weight": "a"}]},
            5,
        ],
        "services": [{"maxConns": 0, "engine": {"capacity": 0}}, {}],
        "limits": {"maxBodyBytes": 0, "maxHeaderBytes": "x", "headerTimeoutMs": 0, "idleTimeoutMs": 0},
    }
    results: dict[str, Any] = {}
    for name, document in (("full", kit.ROUTES), ("broken", broken), ("none", {}), ("list", [])):
        try:
            results[name] = configuration_reader.check_configuration(json.dumps(document).encode())
        except configuration_reader.InvalidConfigurationError as error:
            results[name] = list(map(str, error.findings))
    return as_json_text(results)


# --- protocols ---

CLASSES = (http_fields.RequestClass("nearby", 5_000, False), http_fields.RequestClass("reserve", 7_500, True))
CATALOGUE = http_fields.Catalogue(CLASSES, ("ege-volt", "toros-sarj"))


def plain_job(keyed: bool = True) -> Job:
    return Job("j1", 1, 1, 5_000_000, 7, 2.0, 3, "/reserve/k", b"body", "key-1" if keyed else None)


def stomp_frames() -> str:
    send = stomp.Frame(
        "SEND",
        {
            "destination": stomp_jobs.JOBS_DESTINATION,
            "request-id": "r1",
            "class": "reserve",
            "tenant": "toros-sarj",
            "deadline": "900",
            "key": "a/b",
            "slots": "2.5",
        },
        b"body",
    )
    answers = (
        Answer(Verdict.SERVED, b"result"),
        Answer(Verdict.REFUSED, b"", 1_234_567),
        Answer(Verdict.FAILED, b"", 0, True),
        Answer(Verdict.FAILED, b"", 0, False, "why"),
    )
    results = {
        "destinations": [
            stomp_jobs.JOBS_DESTINATION,
            stomp_jobs.ANSWERS_DESTINATION,
            stomp_jobs.WORK_DESTINATION,
            stomp_jobs.CANCEL_DESTINATION,
            stomp_jobs.UPDATES_DESTINATION,
        ],
        "frame": [stomp.encode(send, version).decode() for version in ("1.1", "1.2")],
        "escaped": stomp.encode(stomp.Frame("MESSAGE", {"a:b": "c\n\\d"}, b"")).decode(),
        "job": plain_values(stomp_jobs.read_job(send, "client", CATALOGUE)),
        "answers": [stomp_jobs.answer_headers(each) for each in answers],
        "work": [stomp_jobs.work_headers(plain_job(keyed), 4_000_000, CATALOGUE) for keyed in (True, False)],
        "versions": [stomp.choose_version(each) for each in ("1.0,1.1", "1.2,1.1", "1.0")],
        "beats": [
            stomp.heart_beat_intervals("100,200", (50, 400)),
            stomp.heart_beat_intervals("", (50, 400)),
        ],
    }
    reader = stomp.FrameReader()
    items = list(reader.feed(b"\n" + stomp.encode(send) + b"DISCONNECT\nreceipt:1\n\n\0"))
    results["read"] = [plain_values(each) for each in items]
    return as_json_text(results)


def http_jobs() -> str:
    from multidict import CIMultiDict

    full = {
        "X-Request-ID": "r1",
        "X-Priority-Class": "reserve",
        "Idempotency-Key": "key-1",
        "X-Tenant-Id": "toros-sarj",
        "X-Timeout-Ms": "900",
        "X-Attrs": "a=1,slots=2.5",
        "X-Cost": "77",
    }
    least = {"X-Request-ID": "r1", "X-Tenant-Id": "ege-volt"}
    results: dict[str, Any] = {}
    for name, target, headers in (("full", "/reserve/k?x=1", full), ("least", "/nearby", least)):
        results[name] = plain_values(http_fields.read_job(target, CIMultiDict(headers), b"body", CATALOGUE))
    for left_out in full:
        headers = CIMultiDict({key: value for key, value in full.items() if key != left_out})
        try:
            results[left_out] = plain_values(http_fields.read_job("/reserve/k", headers, b"", CATALOGUE))
        except http_fields.BadRequestError as error:
            results[left_out] = f"BAD {error}"
    terms = waiting_terms.read_terms("a, b;ended", "1764000000000", "250", "1", 1_000)
    results["terms"] = [plain_values(terms), plain_values(waiting_terms.read_terms("", "", "", "", 1_000))]
    results["results"] = gate.with_results(b"body", (("a", b"one"), ("b", b"\xff"))).decode()
    return as_json_text(results)


def worker_texts() -> str:
    report_fields = config.from_object(site_config()).load_fields
    load = {"inflight": 3, "queue": 2.5, "x0": 1, "other": 9}
    states = ("started", "running", "done", "failed", "returned", "lost", "odd")
    lines = [{"id": "j", "state": state, "share": 0.5, "result": {"a": 1}, "load": load} for state in states]
    reports = [
        plain_values(worker_lines.read_line(json.dumps(line).encode(), "j", report_fields)) for line in lines
    ]
    statuses = [
        worker_lines.outcome_of_status(status, not_run).value for status in (503, 500) for not_run in (0, 1)
    ]
    return as_json_text(
        [
            reports,
            statuses,
            plain_values(report_fields.read_text('{"inflight": 4}')),
            plain_values(LoadReport()),
        ]
    )


def upgrade_lines() -> str:
    reader = discovery.EndpointListCodec(("east",), ("big",))
    state = handover.HandoverState(
        ("nearby",), reader.from_object(kit.ENDPOINT_LIST), ("h1",), ("f1",), {"a": 1}, {"srv": {"b": 2}}
    )
    news = (handover.JobIdUpdate("f1", True), handover.JobIdUpdate("f1", False))
    lines = [handover.encode_state(state, reader), *map(handover.encode_update, news)]
    return "".join(line.decode() for line in lines)


LITERAL_PATTERNS = {  # string literals of the program that other programs read, by pattern
    "heads": re.compile(r"[A-Z][A-Z0-9]+( [A-Z0-9]+)*"),  # columns of tables, commands and methods
    "fields": re.compile(r"[A-Z][A-Za-z]*(-[A-Z][A-Za-z]+)+"),  # of HTTP
    "paths": re.compile(r"/[a-z][a-z/]*"),
    "metrics": re.compile(r"hazelbend_\w*"),
    "variables": re.compile(r"(HAZELBEND|RELAY)_\w*"),
    "figures": re.compile(r"(names|waiting|fleet|relay)\.\w*"),
}


@cache
def literals_by_kind() -> dict[str, list[str]]:
    """Return the string literals of the program that match each pattern."""
    results: dict[str, set[str]] = {kind: set() for kind in LITERAL_PATTERNS}
    for path in Path(hazelbend.__file__).parent.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                for kind, pattern in LITERAL_PATTERNS.items():
                    if pattern.fullmatch(node.value):
                        results[kind].add(node.value)
    return {kind: sorted(each) for kind, each in results.items()}


TEXT_MAKERS: dict[str, Callable[[], str]] = {
    "metrics.txt": metrics_text,
    "snmp.json": snmp_values,
    "ops_stats.json": ops_stats,
    "console.txt": console_texts,
    "commands.json": command_words,
    "check.txt": check_pages,
    "site_settings.json": site_settings,
    "deploy_settings.json": deploy_settings,
    "system_settings.json": system_settings_values,
    "configuration.json": configuration_findings,
    "stomp.json": stomp_frames,
    "http.json": http_jobs,
    "workers.json": worker_texts,
    "upgrade.txt": upgrade_lines,
}


def write_all() -> None:
    print("written with", hazelbend.__file__)
    TEXT_DIR.mkdir(parents=True, exist_ok=True)
    for name, make in TEXT_MAKERS.items():
        (TEXT_DIR / name).write_text(make())
    (kit.GOLDEN / "words.json").write_text(as_json_text(literals_by_kind()))


if __name__ == "__main__":
    write_all()
