"""Configuration: what is wrong is told by its key; what is not enabled is off."""

import re
from copy import deepcopy

import orjson
import pytest

from hazelbend.dispatcher import config
from tests.support.site_kit import PASSCODE_SHA256, ROOT, SETTINGS, STOMP_TOML, host_entry

CONF = {
    "listen": "127.0.0.1:7070",
    "settings": SETTINGS,
    "known": {"seq": 1, "whole": True, "hosts": [host_entry("a", "h:1")]},
}


def changed(path: str, value: object) -> dict:
    """The configuration with one key, at a dotted path, of another value; None takes it out."""
    conf = deepcopy(CONF)
    *folders, last = path.split(".")
    table = conf
    for each in folders:
        table = table.setdefault(each, {}) if isinstance(table, dict) else table[int(each)]
    if value is None:
        del table[last]
    else:
        table[last] = value
    return conf


FAULTS = [
    ("listen", None, "listen: missing"),
    ("listen", "here", "listen: 'here'"),
    ("discovery", "x", "discovery: 'x'"),
    ("seed", "xyz", "seed: "),
    ("settings", None, "settings: missing"),
    ("settings", [], "settings: not of type dict"),
    ("settings.lanes", [], "settings.lanes: "),
    ("settings.lanes.0.deadline_us", "soon", "settings.lanes[0].deadline_us: not of type int"),
    ("settings.fleet_size", "two", "settings: 'fleet_size'"),
    ("settings.limits.keepalive_us", -1, "settings.limits.keepalive_us: -1"),
    ("settings.azs", [1], "settings.azs: "),
    ("limits.sockets", 5, "limits.sockets: 5"),
    ("known", {"seq": 1}, "known: "),
    ("name", 5, "name: not of type str"),
]


@pytest.mark.parametrize(
    ("path", "value", "words"), FAULTS, ids=[f"{path}-{n}" for n, (path, *_) in enumerate(FAULTS)]
)
def test_a_fault_names_its_key(path, value, words):
    with pytest.raises(config.ConfigError, match=re.escape(words)):
        config.from_object(changed(path, value))


def test_the_platforms_file_and_the_variables_that_stand_in(tmp_path):
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(changed("listen", None) | {"unheard_of": 1}))
    variables = {"RELAY_CONFIG": str(path), "RELAY_LISTEN": "127.0.0.1:99", "HAZELBEND_DEPLOY": str(tmp_path)}
    conf = config.load(variables)
    assert (conf.listen, conf.sockets, conf.stomp, conf.snmp, conf.console) == (
        ("127.0.0.1", 99),
        1_024,
        None,
        None,
        None,
    )
    variables |= {"RELAY_OPS": "127.0.0.1:98", "RELAY_PASSED_SOCKET": "5", "TMPDIR": str(tmp_path)}
    conf = config.load(variables)
    assert (conf.ops, conf.passed_socket) == (("127.0.0.1", 98), 5)
    assert conf.handover is not None and conf.handover.parent == tmp_path
    assert config.load(variables | {"RELAY_PASSED_SOCKET": ""}).handover is None, "no upgrade without it"
    for text, words in ((b"{", "not JSON"), (b"[]", "no JSON object")):
        path.write_bytes(text)
        with pytest.raises(config.ConfigError, match=words):
            config.load(variables)
    with pytest.raises(config.ConfigError, match="RELAY_CONFIG"):
        config.load({})
    with pytest.raises(config.ConfigError, match="RELAY_CONFIG"):
        config.load({"RELAY_CONFIG": str(tmp_path / "none")})


FLEET = 'enabled = true\nid = "f"\nlisten = "127.0.0.1:1"\n'
OWN_FAULTS = [
    ("stomp.toml", STOMP_TOML.replace("listen", "lisen"), "listen: missing"),
    ("stomp.toml", STOMP_TOML.replace('"ankara-1"', '"izmir-1"'), "box[0].zone: 'izmir-1'"),
    ("stomp.toml", STOMP_TOML.replace('"toros-sarj"', '"x"'), "client[1].tenants: unknown tenant 'x'"),
    ("stomp.toml", STOMP_TOML.replace('"partner"', '"dashboard"'), "client[1].login: "),
    ("stomp.toml", STOMP_TOML.replace(PASSCODE_SHA256, "secret"), "client[0].passcode_sha256: "),
    ("stomp.toml", STOMP_TOML.replace("[[client]]", "keeps = 5\n[[client]]", 1), "keeps: unknown key"),
    ("stomp.toml", STOMP_TOML.replace("[[client]]", "keep_s = 0\n[[client]]", 1), "keep_s: 0 is not from 1"),
    ("stomp.toml", "enabled = 1", "enabled: not of type bool"),
    ("stomp.toml", "enabled", "stomp.toml: "),
    ("snmp.toml", 'enabled = true\nlisten = "h:1"', "community: missing"),
    ("snmp.toml", 'enabled = true\nlisten = "h:1"\ncommunity = ""', "community: empty"),
    ("snmp.toml", 'enabled = true\nlisten = "h:1"\ncommunity = "x"\nnotify = ["h"]', "notify: 'h'"),
    ("console.toml", "enabled = true", "socket: missing"),
    ("fleet.toml", "enabled = true", "missing required field `id`"),
    ("fleet.toml", FLEET + "voters = 4", "voters: 3, 5 or 7"),
    ("fleet.toml", FLEET + "seeds = ['host:1']", "seeds"),
    ("fleet.toml", FLEET + "[leases]\nlongest_s = 0.5", "leases.shortest_s: longer"),
]


@pytest.mark.parametrize(("name", "text", "words"), OWN_FAULTS, ids=range(len(OWN_FAULTS)))
def test_a_fault_in_our_own_files_names_file_and_key(tmp_path, name, text, words):
    (tmp_path / name).write_text(text)
    with pytest.raises(config.ConfigError, match=re.escape(words)) as caught:
        config.with_deploy_files(config.from_object(CONF), tmp_path, CONF)
    assert name in str(caught.value)


def test_a_fleet_needs_settings_that_allow_peers(tmp_path):
    """Both platforms say that dispatchers share nothing."""
    (tmp_path / "fleet.toml").write_text(FLEET)
    limits = CONF["settings"].get("limits", {})
    for peers, words in ((True, None), (False, "fleet.toml: enabled: settings.limits.peers is false")):
        conf = CONF | {"settings": CONF["settings"] | {"limits": limits | {"peers": peers}}}
        if words is None:
            assert config.with_deploy_files(config.from_object(conf), tmp_path, conf).fleet.id == "f"
        else:
            with pytest.raises(config.ConfigError, match=re.escape(words)):
                config.with_deploy_files(config.from_object(conf), tmp_path, conf)


def test_what_the_repository_deploys_is_off():
    """The platform has neither our UDP nor our sockets."""
    conf = config.with_deploy_files(config.from_object(CONF), ROOT / "deploy", CONF)
    assert (conf.stomp, conf.snmp, conf.console, conf.srv, conf.waiting, conf.fleet) == (None,) * 6
    assert {path.name for path in (ROOT / "deploy").iterdir()} == {
        "balancer.toml", "stomp.toml", "snmp.toml", "console.toml", "srv.toml", "waiting.toml",
        "fleet.toml", "sites", "days", "system.toml",
    }  # fmt: skip
    # Days of the router fleet for the bench, which no program reads.
    assert {path.suffix for path in (ROOT / "deploy" / "days").iterdir()} == {".toml", ".md"}
    # Sites to be played on the bench, which the program does not read; what the kit lays beside them stays
    # there.
    assert {path.name for path in (ROOT / "deploy" / "sites").glob("*/*")} <= {
        "site.toml", "real.json", "wire.json", "unlock.txt",
    }  # fmt: skip


@pytest.mark.parametrize("name", ["stomp.toml", "snmp.toml", "console.toml"])
def test_the_comments_of_a_deploy_file_are_its_keys(tmp_path, name):
    """Every key that a file offers in a comment is one that the program reads."""
    text = (
        (ROOT / "deploy" / name)
        .read_text()
        .replace("enabled = false", "enabled = true")
        .replace("…", "0" * 64)
    )
    lines = [re.sub(r"^# (?=\[\[|\w+ = )", "", line) for line in text.splitlines()]
    (tmp_path / name).write_text("\n".join(lines))
    conf = config.with_deploy_files(config.from_object(CONF), tmp_path, CONF)
    assert [conf.stomp, conf.snmp, conf.console].count(None) == 2
