"""The report on how the program reads a site's settings, in the log and in the output of `check`."""

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
from tests.dispatcher.test_config import conf_with
from tests.dispatcher.test_reload import changed as reloaded
from tests.support.deployment_kit import deployments
from tests.support.site_kit import SETTINGS, running_app

LANE = {"name": "a", "semantics": "read_like", "deadline_us": 5_000_000, "objective_us": 1_000_000}


def report_on(**settings):
    table = {"lanes": [LANE], "azs": ["z"], "machine_types": ["k"]} | settings
    conf = config.from_object({"listen": "127.0.0.1:0", "settings": table})
    return conf.settings_report


def test_report_lists_exactly_the_unread_settings():
    report = report_on(
        limits={"peers": False, "max_attempts": 3, "cpu_us_per_s": 5},
        objective_mix={"whole": 1},
        tick_us=4_000,
    )
    assert report.unused == ("limits.cpu_us_per_s", "limits.peers", "objective_mix")
    table = TrackedTable({"rows": [{"a": 1, "b": 2}, {"a": 1, "c": 3}], "x": 1})
    assert [row.get("a") for row in table.get("rows")] == [1, 1]
    assert sorted(table.unread_paths()) == ["rows[].b", "rows[].c", "x"]


def lane_with(**more):
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
        (lane_with(semantics="idempotent"), "lanes[0].semantics", "never run twice"),
        (lane_with(semantics="idempotency_key", group="rack"), "lanes[0].group", "'rack'"),
        (lane_with(semantics="idempotency_key"), "lanes[0].repeat_window_us", "nobody remembers"),
        (lane_with(streaming=True), "lanes[0].streaming", "whole"),
        (lane_with(objective_us=9_000_000), "lanes[0].objective_us", "given up"),
        (lane_with(worth=0), "lanes[0].worth", "before it"),
        ({"domain": {"class_kind": [4]}}, "lanes[0].domain.class_kind", "machine_types"),
    ],
)
def test_doubtful_setting_gets_a_warning_with_its_key(settings, key, words):
    assert any(warning_key == key and words in text for warning_key, text in report_on(**settings).warnings)


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


def test_start_and_reload_log_the_effective_settings_in_one_line(tmp_path, caplog):
    async def run():
        async with running_app(tmp_path, stomp="") as (app, _):
            app.apply(reloaded(app, tmp_path, name="n9"))
            app.apply(
                reloaded(app, tmp_path, settings=SETTINGS | {"fleet_size": 7, "membership_mode": "pull"})
            )

    with caplog.at_level(logging.INFO, "hazelbend"):
        asyncio.run(run())
    messages = [record.getMessage() for record in caplog.records]
    lines = [
        json.loads(message[len("understood ") :]) for message in messages if message.startswith("understood ")
    ]
    assert [line["goes_by"]["dispatchers"] for line in lines] == [1, 7], (
        "a reload without changed settings logs no report"
    )
    assert [message for message in messages if message.startswith("settings: membership_mode: 'pull'")]


def check(tmp_path, conf, *options):
    (tmp_path / "c.json").write_bytes(orjson.dumps(conf))
    environment = {"HAZELBEND_DEPLOY": str(tmp_path)}
    return CliRunner().invoke(main, ["check", str(tmp_path / "c.json"), *options], env=environment)


def test_check_prints_the_report_and_its_exit_status_shows_warnings(tmp_path):
    valid_conf = conf_with("settings.limits.peers", True)
    result = check(tmp_path, valid_conf)
    assert result.exit_code == 0 and "limits.peers" in result.output and "within the zone" in result.output
    json_report = json.loads(check(tmp_path, valid_conf, "--json").output)
    assert json_report["off"] and json_report["doubts"] == [] and "limits.peers" in json_report["not_used"]
    doubtful_result = check(tmp_path, conf_with("settings.membership_mode", "pull"))
    assert (
        doubtful_result.exit_code == 1
        and "membership_mode" in doubtful_result.output.partition("Hardly meant so")[2]
    )
    invalid_result = check(tmp_path, conf_with("settings.lanes", []))
    assert invalid_result.exit_code == 2 and "lanes" in invalid_result.output
    (tmp_path / "stomp.toml").write_text("enabled = true\n")
    assert check(tmp_path, valid_conf).exit_code == 2, "the deploy files are read as well"
