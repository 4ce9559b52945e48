"""What the program makes of a deployment's settings: what it goes by, what it does not, and what it doubts.

A setting that the program does not know is skipped, as the wire asks, and one that it cannot use falls back
to the strictest reading: so a deployment that names things otherwise runs, but not as its operators think.
Here stands what was understood, for the log at each start and for `python -m hazelbend check`.

Which settings are used is not kept in a list that could go stale: the table of settings notes which of its
keys the readers of the configuration ask for.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from hazelbend.decisions.interface import Effect, Group, JobClass, Settings
from hazelbend.decisions.settings import EFFECTS, GROUPS, report_fields, rows_in, table_in

# The values that are words, of which an unknown one is read as the last.
WORDS = {
    "membership_mode": ("ask", "push"),
    "weight_kind": ("off", "live", "rough", "nominal"),
    "value_by": ("work", "request"),
    "report.via": ("inline", "on_probe", "off"),
}
COLUMNS = (
    "outstanding", "backlog", "utilization", "recent_ms", "throughput", "errors_per_s", "x0", "x1",
)  # fmt: skip


class Noted(dict[str, Any]):
    """A table that notes which of its keys were asked for; the tables in it do as well."""

    def __init__(self, table: dict[str, Any]) -> None:
        super().__init__({key: _noted(value) for key, value in table.items()})
        self.asked: set[str] = set()

    def get(self, key: str, default: Any = None) -> Any:
        self.asked.add(key)
        return super().get(key, default)

    def unasked(self, where: str = "") -> Iterator[str]:
        """The paths of what nobody asked for; of the rows of a list as of one."""
        for key, value in self.items():
            path = f"{where}{key}"
            if key not in self.asked:
                yield path
            elif isinstance(value, Noted):
                yield from value.unasked(f"{path}.")
            elif isinstance(value, list):
                for row in value:
                    if isinstance(row, Noted):
                        yield from row.unasked(f"{path}[].")


def _noted(value: Any) -> Any:
    if isinstance(value, dict):
        return Noted(value)
    return [_noted(each) for each in value] if isinstance(value, list) else value


@dataclass(slots=True, frozen=True)
class Understanding:
    goes_by: dict[str, Any]  # plain values, under the operators' words
    unused: tuple[str, ...]  # paths of settings that no reader asked for, sorted
    doubts: tuple[tuple[str, str], ...]  # key and text of what can be read and yet is hardly meant so

    def plain(self) -> dict[str, Any]:
        return {
            "goes_by": self.goes_by,
            "not_used": list(self.unused),
            "doubts": [{"key": key, "text": text} for key, text in self.doubts],
        }


def understand(table: dict[str, Any], settings: Settings) -> Understanding:
    """Of settings as told and as read; to be called when every reader has had the table. Nothing here fails
    on what could be read."""
    goes_by = _goes_by(table, settings)  # asks for what is used, and the doubts for what is not
    unused = tuple(sorted(set(table.unasked()))) if isinstance(table, Noted) else ()
    return Understanding(goes_by, unused, tuple(_doubts(table, settings)))


def _goes_by(table: dict[str, Any], settings: Settings) -> dict[str, Any]:
    via, fields = _words(table, "report.via"), report_fields(table)
    columns = _list(table_in(table, "report").get("columns"))
    asks = settings.probes_allowed and settings.reports_by_probe
    return {
        "dispatchers": settings.fleet_size,
        "zone": settings.zone,
        "list": _list_source(settings),
        "weights": "tell sizes" if settings.weights_tell else "say nothing",
        "reports": {
            "come": "with answers" if via == "inline" else "with probes" if asks else "never",
            "used": [each for each in columns if each in fields],
            "not_used": [each for each in columns if each not in fields],
        },
        "probes": {"allowed": settings.probes_allowed, "charge": settings.probe_charge},
        "attempts": settings.max_attempts,
        "second_copies": settings.second_copies_allowed,
        "cancels": settings.cancel_allowed,
        "starts_told": settings.tells_start,
        "progress_ms": settings.progress_interval // 1_000,
        "cold": {
            "starts_at": settings.start_capacity,
            "warm_after_s": settings.warm_after / 1e6,
            "falls_at": settings.fall_multiple,
            "within_s": settings.fall_window / 1e6,
        },
        "classes": {
            str(lane.get("name")): _class(job, settings)
            for lane, job in zip(rows_in(table, "lanes"), settings.classes, strict=False)
        },
    }


def _class(job: JobClass, settings: Settings) -> dict[str, Any]:
    again = {
        Effect.SAFE: "freely",
        Effect.UNSAFE: "never once it may have run",
        Effect.KEYED: f"by its key for {job.repeat_window / 1e6:g} s"
        + ("" if job.group is Group.ALL else f" within the {job.group.value}"),
    }[job.effect]
    return {
        "again": again if settings.max_attempts > 1 else "never: one attempt is allowed",
        "wanted_ms": job.objective / 1e3,
        "and_of_its_run": job.stretch,
        "worth": job.worth,
        "worth_of": "work" if settings.worth_by_work else "request",
        "late_worth": job.late_worth,
        "kind": job.machine_kind if job.machine_kind != -1 else "any",
    }


def _doubts(table: dict[str, Any], settings: Settings) -> list[tuple[str, str]]:
    found: list[tuple[str, str]] = []
    for path, known in WORDS.items():
        if (word := _words(table, path)) is not None and word not in known:
            found.append((path, f"{word!r} is none of {', '.join(known)}; taken as {known[-1]}"))
    for column in _list(table_in(table, "report").get("columns")):
        if column not in COLUMNS:
            found.append(("report.columns", f"{column!r} is no value of a report; it is skipped"))
    if settings.reports_by_probe and not settings.probes_allowed:
        found.append(("limits.probes", "reports come with probes alone, and none is allowed"))
    zones, kinds = _list(table.get("azs")), _list(table.get("machine_types"))
    if zones and not 0 <= settings.zone < len(zones):
        found.append(("my_zone", f"{settings.zone} is no place in azs"))
    if settings.max_attempts < 1:
        found.append(("limits.max_attempts", "no attempt is allowed: every request is refused"))
    if not 0 < settings.start_capacity <= 1:
        found.append(("rules.start_capacity", f"{settings.start_capacity:g} is no part from 0 to 1"))
    if settings.fall_multiple <= 1:
        found.append(("rules.fall_multiple", "a cold server may not even get what it can do"))
    for index, (lane, job) in enumerate(zip(rows_in(table, "lanes"), settings.classes, strict=False)):
        found += ((f"lanes[{index}].{key}", text) for key, text in _class_doubts(lane, job, len(kinds)))
    return found


def _class_doubts(lane: dict[str, Any], job: JobClass, kinds: int) -> Iterator[tuple[str, str]]:
    if lane.get("semantics") not in EFFECTS:
        yield "semantics", f"{lane.get('semantics')!r} is not known; it will never run twice"
    if job.effect is Effect.KEYED and lane.get("group", "all") not in GROUPS:
        yield "group", f"{lane.get('group')!r} is not known; repeats stay within the cell"
    if job.effect is Effect.KEYED and not job.repeat_window:
        yield "repeat_window_us", "a key that nobody remembers: it will never run twice"
    if lane.get("streaming") is True:
        yield "streaming", "answers are passed on whole, once they have ended"
    deadline = lane.get("deadline_us", 5_000_000)
    if isinstance(deadline, int | float) and job.objective > deadline:
        yield "objective_us", "wanted only after the client has given up"
    if job.worth <= 0:
        yield "worth", f"{job.worth:g}: any other class goes before it"
    if not -1 <= job.machine_kind < max(kinds, 1):
        yield "domain.class_kind", f"{job.machine_kind} is no place in machine_types: nothing runs it"


def _list_source(settings: Settings) -> str:
    if settings.list_must_be_asked:
        return "asked for and watched"
    return "pushed on a watch" if settings.list_is_pushed else "told"


def _list(value: object) -> list[Any]:
    return value if isinstance(value, list) else []


def _words(table: dict[str, Any], path: str) -> object:
    *tables, key = path.split(".")
    for each in tables:
        table = table_in(table, each)
    return table.get(key)
