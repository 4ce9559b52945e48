"""The layers import one way: each only what stands below it. The core knows no wire."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "hazelbend"
ALLOWED = {
    "decisions": set(),
    "routing": {"decisions"},
    "schema": set(),
    "dns_discovery": {"schema"},
    "endpoints": {"decisions", "routing", "dns_discovery"},
    "job_queue": {"decisions", "routing", "schema"},
    "consensus": set(),
    "gossip": {"consensus"},
    "leases": {"schema", "consensus", "gossip"},
    "quotas": {"leases"},  # fencing tokens, and time without synchronized clocks
    "control": {"consensus"},
    "placement": {"decisions", "control"},
    "forwarding": {"control", "placement"},
    "protocol": {"decisions", "routing", "dns_discovery", "job_queue", "control"},
    "transport": {
        "decisions",
        "routing",
        "dns_discovery",
        "endpoints",
        "protocol",
        "consensus",
        "gossip",
        "leases",
        "forwarding",
    },
    "system": {"consensus", "control", "placement", "forwarding", "protocol", "transport"},
    "dispatcher": {
        "decisions",
        "routing",
        "dns_discovery",
        "endpoints",
        "job_queue",
        "consensus",
        "leases",
        "protocol",
        "transport",
    },
    "console": {"dispatcher"},
    "benchlink": {"decisions"},
    "fakes": set(),
    "cli": {"dns_discovery", "consensus", "leases", "protocol", "transport", "dispatcher", "fakes"},
}
WIRES = {"aiohttp", "yarl", "socket", "pysnmp", "prompt_toolkit", "json", "struct", "uvicorn", "sqlite3"}
TEXT = {"orjson"}  # of the operators' configuration, which is the control layer's to check


def imports(path: Path) -> set[str]:
    """The modules that a file names in its imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, "imports are absolute"
            found.add(node.module or "")
    return found


@pytest.mark.parametrize("layer", ALLOWED)
def test_a_layer_imports_only_what_is_below(layer):
    files = list((PACKAGE / layer).rglob("*.py"))
    assert files
    for path in files:
        own = {name.split(".")[1] for name in imports(path) if name.startswith("hazelbend.")}
        assert own <= ALLOWED[layer] | {layer}, path


@pytest.mark.parametrize(
    "layer",
    [
        "decisions",
        "routing",
        "endpoints",
        "consensus",
        "gossip",
        "leases",
        "quotas",
        "control",
        "placement",
        "forwarding",
    ],
)
def test_the_core_imports_no_wire(layer):
    for path in (PACKAGE / layer).rglob("*.py"):
        barred = WIRES if layer == "control" else WIRES | TEXT
        assert not {name.split(".")[0] for name in imports(path)} & barred, path


def test_every_part_of_the_package_is_a_known_layer():
    assert {path.relative_to(PACKAGE).parts[0] for path in PACKAGE.rglob("*/*.py")} == set(ALLOWED)


def test_what_is_not_enabled_is_not_imported():
    """The platform pays neither memory nor start-up time for what its `run` does not use."""
    code = "import sys, hazelbend.dispatcher.app; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, cwd=PACKAGE.parent)
    loaded = done.stdout.decode().split()
    unused = {"pysnmp", "prompt_toolkit", "dns", "msgspec", "immutables", "click", "uvicorn", "marshmallow"}
    assert not unused & set(loaded)
    off = (
        "hazelbend.schema",
        "hazelbend.dns_discovery",
        "hazelbend.endpoints",
        "hazelbend.fakes",
        "hazelbend.cli",
        "hazelbend.control",
        "hazelbend.placement",
        "hazelbend.forwarding",
        "hazelbend.system",
    )
    off += (
        "hazelbend.consensus",
        "hazelbend.gossip",
        "hazelbend.leases",
        "hazelbend.quotas",
        "hazelbend.job_queue",
        "hazelbend.dispatcher.waiting",
        "hazelbend.dispatcher.sources",
        "hazelbend.dispatcher.srv_",
        "hazelbend.dispatcher.fleet",
    )
    assert not [each for each in loaded if each.startswith(off)]


def test_extensions_know_nothing_of_app_and_it_knows_none_by_name():
    """Guards against the circle that was there: App made each extension, and each extension held App."""
    kinds = {"hazelbend.dispatcher.sources", "hazelbend.dispatcher.waiting", "hazelbend.dispatcher.fleet"}
    for path in (PACKAGE / "dispatcher").glob("*.py"):
        named = imports(path)
        assert "hazelbend.dispatcher.app" not in named, path
        assert path.stem != "app" or not named & kinds, "one place names them: extensions.py"
