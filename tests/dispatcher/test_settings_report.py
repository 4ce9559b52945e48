"""What the program makes of a site's settings, and what it tells a new operator of it."""

import asyncio
import copy
import json
import logging

import orjson
import pytest
from click.testing import CliRunner
from hypothesis import given

from hazelbend.cli.main import main
from hazelbend.dispatcher import config
from hazelbend.dispatcher.tracked_table import TrackedTable
from tests.dispatcher.test_config import changed as other
from tests.dispatcher.test_reload import changed as reloaded
from tests.support.deployment_kit import deployments
from tests.support.site_kit import SETTINGS, running_app

LANE = {"name": "a", "semantics": "read_like", "deadline_us": 5_000_000, "objective_us": 1_000_000}


def taken(**settings):
    table = {"lanes": [LANE], "azs": ["z"], "machine_types": ["k"]} | settings
    conf = config.from_object({"listen": "127.0.0.1:0", "settings": table})
    return conf.settings_report


def test_what_no_reader_asks_for_is_told_and_nothing_else():
    said = taken(
        limits={"peers": False, "max_attempts": 3, "cpu_us_per_s": 5},
        objective_mix={"whole": 1},
        tick_us=4_000,
    )
    assert said.unused == ("limits.cpu_us_per_s", "limits.peers", "objective_mix")
    table = TrackedTable({"rows": [{"a": 1, "b": 2}, {"a": 1, "c": 3}], "x": 1})
    assert [row.get("a") for row in table.get("rows")] == [1, 1]
    assert sorted(table.unread_paths()) == ["rows[].b", "rows[].c", "x"]


def lane(**more):
    return {"lanes": [LANE | more]}


@pytest.mark.parametrize(
    ("settings", "key", "words"),
    [
        ({"membership_mode": "pull"}, "membership_mode", "'pull'"),
        ({"weight_kind": "exact"}, "weight_kind", "taken as nominal"),
        ({"value_by": "second"}, "value_by", "taken as request"),
        ({"report": {"via": "mail"}}, "report.via", "taken as off"),
        ({"report": {"via": "inline", "columns": ["wait"]}}, "report.columns", "'wait'"),
        ({"report": {"via": "on_probe"}, "limits": {"probes": False}}, "limits.probes", "none is allowed"),
        ({"my_zone": 3}, "my_zone", "no place"),
        ({"limits": {"max_attempts": 0}}, "limits.max_attempts", "refused"),
        ({"rules": {"start_capacity": 30}}, "rules.start_capacity", "30"),
        ({"rules": {"fall_multiple": 0.5}}, "rules.fall_multiple", "cold"),
        (lane(semantics="idempotent"), "lanes[0].semantics", "never run twice"),
        (lane(semantics="idempotency_key", group="rack"), "lanes[0].group", "'rack'"),
        (lane(semantics="idempotency_key"), "lanes[0].repeat_window_us", "nobody remembers"),
        (lane(streaming=True), "lanes[0].streaming", "whole"),
        (lane(objective_us=9_000_000), "lanes[0].objective_us", "given up"),
        (lane(worth=0), "lanes[0].worth", "before it"),
        ({"domain": {"class_kind": [4]}}, "lanes[0].domain.class_kind", "machine_types"),
    ],
)
def test_what_is_hardly_meant_so_is_named_with_its_key(settings, key, words):
    assert any(each == key and words in text for each, text in taken(**settings).warnings)


@given(deployments())
def test_no_deployment_within_the_pages_is_misread(conf):
    said = config.from_object({"listen": "127.0.0.1:0", "settings": copy.deepcopy(conf)}).settings_report
    asks = conf["report"]["via"] == "on_probe" and conf["limits"]["probes"]
    come = {"inline": "with answers"}.get(conf["report"]["via"], "with probes" if asks else "never")
    assert said.effective["reports"]["come"] == come
    assert said.effective["attempts"] == conf["limits"]["max_attempts"]
    assert set(said.effective["classes"]) == {each["name"] for each in conf["lanes"]}
    meant = {"limits.probes", "repeat_window_us", "objective_us"}
    assert {key.rpartition("].")[2] for key, _ in said.warnings} <= meant
    once = orjson.loads(orjson.dumps(said.as_plain_values()))
    assert once["goes_by"]["list"] == (
        "told" if conf["membership_mode"] == "push" else "asked for and watched"
    )


def test_a_start_and_a_reload_tell_in_one_line_what_was_understood(tmp_path, caplog):
    async def run():
        async with running_app(tmp_path, stomp="") as (app, _):
            app.apply(reloaded(app, tmp_path, name="n9"))
            app.apply(
                reloaded(app, tmp_path, settings=SETTINGS | {"fleet_size": 7, "membership_mode": "pull"})
            )

    with caplog.at_level(logging.INFO, "hazelbend"):
        asyncio.run(run())
    said = [each.getMessage() for each in caplog.records]
    lines = [json.loads(each[len("understood ") :]) for each in said if each.startswith("understood ")]
    assert [each["goes_by"]["dispatchers"] for each in lines] == [1, 7], "not where nothing of it has changed"
    assert [each for each in said if each.startswith("settings: membership_mode: 'pull'")]


def check(tmp_path, conf, *options):
    (tmp_path / "c.json").write_bytes(orjson.dumps(conf))
    environment = {"HAZELBEND_DEPLOY": str(tmp_path)}
    return CliRunner().invoke(main, ["check", str(tmp_path / "c.json"), *options], env=environment)


def test_check_tells_a_new_operator_and_ends_by_how_sure_it_is(tmp_path):
    well = other("settings.limits.peers", True)
    page = check(tmp_path, well)
    assert page.exit_code == 0 and "limits.peers" in page.output and "within the zone" in page.output
    said = json.loads(check(tmp_path, well, "--json").output)
    assert said["off"] and said["doubts"] == [] and "limits.peers" in said["not_used"]
    doubted = check(tmp_path, other("settings.membership_mode", "pull"))
    assert doubted.exit_code == 1 and "membership_mode" in doubted.output.partition("Hardly meant so")[2]
    broken = check(tmp_path, other("settings.lanes", []))
    assert broken.exit_code == 2 and "lanes" in broken.output
    (tmp_path / "stomp.toml").write_text("enabled = true\n")
    assert check(tmp_path, well).exit_code == 2, "our own files are read as well"
