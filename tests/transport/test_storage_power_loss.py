"""Stores of a process's own state when power is lost or the disk fails at any step."""

from __future__ import annotations

import os

import pytest

from hazelbend.consensus import state_codec
from hazelbend.consensus.messages import Entry
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.transport.storage import control_store, durable_files, fleet_store, soft_state_file
from hazelbend.transport.storage.control_store import ControlStore
from hazelbend.transport.storage.durable_files import make_folder
from hazelbend.transport.storage.fleet_store import FleetStore, StateNotRewrittenError
from hazelbend.transport.storage.soft_state_file import read_soft_state, write_soft_state
from tests.support.crash_disk import RecordingOs, write_state

IDENTITY = "a@10.0.0.1:7"
STEPS = 5


@pytest.fixture
def disk(tmp_path, monkeypatch) -> RecordingOs:
    """The simulated disk below `tmp_path / "disk"`, used by the stores."""
    root = tmp_path / "disk"
    root.mkdir()
    recording = RecordingOs(root)
    for module in (durable_files, fleet_store, soft_state_file):
        monkeypatch.setattr(module, "os", recording)
    return recording


class PowerLossOutcomes:
    """Opens the stores that a loss of power at this moment could leave behind."""

    def __init__(self, disk: RecordingOs, folder) -> None:
        self.disk = disk
        self.folder = folder
        self.count = 0

    def terms(self) -> set[int | None]:
        """Return the terms that a process could find in its store after a power loss now; None: no store."""
        found: set[int | None] = set()
        for state in list(self.disk.states_after_power_loss()):
            self.count += 1
            root = self.folder / str(self.count)
            write_state(root, state)
            path = root / "data" / "fleet" / fleet_store.STATE_FILE
            if not path.exists():
                found.add(None)
                continue
            stored, _ = state_codec.decode_state(path.read_bytes())
            found.add(stored.current_term)
        return found


def encoded_frame(term: int) -> bytes:
    return state_codec.encode_frame(state_codec.HardState(IDENTITY, 7, term, ""))


def encoded_state(term: int) -> bytes:
    return state_codec.encode_state(PersistentState(IDENTITY, 7, term, entries=[Entry(1, ("a",))]))


def test_acknowledged_fleet_state_survives_a_power_loss_at_any_time(disk, tmp_path):
    """After a power loss following any call, a store in a new folder has the last acknowledged state or the
    one being written, and is never empty."""
    outcomes = PowerLossOutcomes(disk, tmp_path / "after")
    store = FleetStore(disk.root / "data" / "fleet")
    assert store.open("@10.0.0.1:7") is None
    store.replace(encoded_state(1))
    assert outcomes.terms() == {1}
    for term in range(2, STEPS):
        store.append(encoded_frame(term))
        assert outcomes.terms() == {term}
        store.replace(encoded_state(term))
        assert outcomes.terms() == {term}
    store.close()
    assert outcomes.count >= 2 * STEPS - 3


def test_power_loss_within_a_save_leaves_the_old_or_the_new_state(disk, tmp_path):
    outcomes = PowerLossOutcomes(disk, tmp_path / "after")
    store = FleetStore(disk.root / "data" / "fleet")
    store.open("@10.0.0.1:7")
    store.replace(encoded_state(1))
    original = disk._called
    seen: set[int | None] = set()

    def check(name: str) -> None:
        seen.update(outcomes.terms())
        original(name)

    disk._called = check
    store.append(encoded_frame(2))
    assert seen == {1, 2} and outcomes.terms() == {2}
    seen.clear()
    store.replace(encoded_state(3))
    assert seen == {2, 3} and outcomes.terms() == {3}
    store.close()


@pytest.mark.parametrize("step", range(12))
def test_disk_failure_within_a_save_leaves_the_old_or_the_new_state(disk, tmp_path, step):
    """If a sync fails, it is unknown which of the two states is on disk. The store raises an error, after
    which its process starts with a new identity."""
    outcomes = PowerLossOutcomes(disk, tmp_path / "after")
    store = FleetStore(disk.root / "data" / "fleet")
    store.open("@10.0.0.1:7")
    store.replace(encoded_state(1))
    disk.failing_call_index = len(disk.calls) + step
    calls = len(disk.calls)
    try:
        store.append(encoded_frame(2))
        store.replace(encoded_state(3))
    except OSError:
        assert outcomes.terms() <= {1, 2, 3}
    else:
        assert len(disk.calls) - calls <= step and outcomes.terms() == {3}
    store.close()


def test_failed_rewrite_keeps_the_file_in_use(disk, tmp_path):
    """If a file that has grown large cannot be rewritten, appends to it continue, and the rewrite is not
    retried with each append."""
    outcomes = PowerLossOutcomes(disk, tmp_path / "after")
    store = FleetStore(disk.root / "data" / "fleet")
    store.open("@10.0.0.1:7")
    store.replace(encoded_state(1))
    store._rewrite_above = 10
    assert store.append(encoded_frame(2))
    disk.failing_call_index = len(disk.calls) + 1  # the first write of the new file
    with pytest.raises(StateNotRewrittenError):
        store.replace(encoded_state(2))
    assert not (disk.root / "data" / "fleet" / fleet_store.NEW_STATE_FILE).exists()
    assert not store.append(encoded_frame(3)) and outcomes.terms() == {3}
    store.replace(encoded_state(4))
    assert outcomes.terms() == {4}
    store.close()


def test_power_loss_leaves_the_old_or_the_new_soft_state(disk, tmp_path):
    make_folder(disk.root / "data")
    path = disk.root / "data" / "soft-state"
    write_soft_state(path, b"one")
    original = disk._called
    count = 0
    found = set()

    def check(name: str) -> None:
        nonlocal count
        for state in list(disk.states_after_power_loss()):
            count += 1
            write_state(tmp_path / str(count), state)
            found.add(read_soft_state(tmp_path / str(count) / "data" / "soft-state"))
        original(name)

    disk._called = check
    write_soft_state(path, b"two")
    assert found == {b"one", b"two"}


def test_each_new_folder_is_synced_in_its_parent(disk):
    """Guards against a data directory that is lost together with all files synced in it."""
    make_folder(disk.root / "a" / "b" / "c")
    assert list(disk.states_after_power_loss()) == [{}]
    assert "a" in disk.tree.durable and "b" in disk.tree.durable["a"].durable
    assert disk.tree.durable["a"].durable["b"].durable.keys() == {"c"}


@pytest.mark.anyio
async def test_control_store_makes_its_folder_durable(disk, monkeypatch):
    folder = disk.root / "data" / "control"
    store = ControlStore(folder)
    await store.open("10.0.0.1:7")
    await store.close()
    assert disk.tree.durable["data"].durable.keys() == {"control"}


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


@pytest.mark.anyio
async def test_renamed_database_leaves_no_write_ahead_log_behind(tmp_path, monkeypatch):
    """If the process is killed at any step of renaming a damaged database, there is never a write-ahead log
    without its database."""
    steps = []
    for name in (control_store.DATABASE_FILE, control_store.DATABASE_FILE + "-wal"):
        (tmp_path / name).write_bytes(b"damaged" * 100)

    def check() -> None:
        names = set(os.listdir(tmp_path))
        steps.append(names)
        has_log = control_store.DATABASE_FILE + "-wal" in names
        assert control_store.DATABASE_FILE in names or not has_log

    store = ControlStore(tmp_path)
    rename = control_store.rename_durably

    def rename_and_check(path, new_path) -> None:
        check()
        rename(path, new_path)
        check()

    monkeypatch.setattr(control_store, "rename_durably", rename_and_check)
    store._rename_damaged_database()
    assert len(steps) == 2 and control_store.DAMAGED_FILE in steps[-1]
