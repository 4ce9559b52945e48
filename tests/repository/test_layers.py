"""Import rules: a layer imports only the layers below it, and the core layers import no I/O modules."""

import ast
import subprocess
import sys
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "hazelbend"
ALLOWED_IMPORTS = {
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
IO_MODULES = {"aiohttp", "yarl", "socket", "pysnmp", "prompt_toolkit", "json", "struct", "uvicorn", "sqlite3"}
CONFIG_TEXT_MODULES = {"orjson"}  # the control layer parses and checks the operators' JSON configuration


def imports(path: Path) -> set[str]:
    """Return the modules that a file imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, "imports are absolute"
            found.add(node.module or "")
    return found


@pytest.mark.parametrize("layer", ALLOWED_IMPORTS)
def test_layer_imports_only_allowed_layers(layer):
    files = list((PACKAGE / layer).rglob("*.py"))
    assert files
    for path in files:
        imported_layers = {name.split(".")[1] for name in imports(path) if name.startswith("hazelbend.")}
        assert imported_layers <= ALLOWED_IMPORTS[layer] | {layer}, path


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
def test_core_layers_import_no_io_modules(layer):
    for path in (PACKAGE / layer).rglob("*.py"):
        forbidden = IO_MODULES if layer == "control" else IO_MODULES | CONFIG_TEXT_MODULES
        assert not {name.split(".")[0] for name in imports(path)} & forbidden, path


def test_each_subpackage_is_a_known_layer():
    assert {path.relative_to(PACKAGE).parts[0] for path in PACKAGE.rglob("*/*.py")} == set(ALLOWED_IMPORTS)


def test_disabled_features_are_not_imported():
    """Guards the memory and start-up time of `run`: the modules of features that are off are not loaded."""
    code = "import sys, hazelbend.dispatcher.app; print(*sys.modules)"
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, cwd=PACKAGE.parent
    )
    loaded = process.stdout.decode().split()
    unused = {"pysnmp", "prompt_toolkit", "dns", "msgspec", "immutables", "click", "uvicorn", "marshmallow"}
    assert not unused & set(loaded)
    disabled_prefixes = (
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
    disabled_prefixes += (
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
    assert not [each for each in loaded if each.startswith(disabled_prefixes)]


def test_app_and_extensions_do_not_import_each_other():
    """Guards against a dependency cycle: App once created each extension, and each extension held App."""
    extension_modules = {
        "hazelbend.dispatcher.sources",
        "hazelbend.dispatcher.waiting",
        "hazelbend.dispatcher.fleet",
    }
    for path in (PACKAGE / "dispatcher").glob("*.py"):
        imported = imports(path)
        assert "hazelbend.dispatcher.app" not in imported, path
        assert path.stem != "app" or not imported & extension_modules, "only extensions.py imports them"
