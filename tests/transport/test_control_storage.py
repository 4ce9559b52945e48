"""Files of a control process: the consensus state and the soft state."""

from __future__ import annotations

import sqlite3

import pytest

from hazelbend.consensus import state_codec
from hazelbend.consensus.messages import Entry
from hazelbend.consensus.persistent_state import PersistentState
from hazelbend.transport.storage.control_store import DAMAGED_FILE, DATABASE_FILE, ControlStore, WorkerRow
from hazelbend.transport.storage.soft_state_file import read_soft_state, write_soft_state

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """The event loop that these tests run on."""
    return "asyncio"


def state(identity: str = "a@10.0.0.1:7", entries: int = 3) -> PersistentState:
    created = PersistentState(identity, epoch=5, current_term=2, voted_for="b")
    created.entries = [Entry(1, ("a", "b") if n == 0 else None, b"op%d" % n) for n in range(entries)]
    return created


async def test_saved_state_is_restored_unchanged(tmp_path):
    store = ControlStore(tmp_path / "new" / "folder")
    assert await store.open("10.0.0.1:7") is None
    await store.save(state_codec.state_records(state()), 2)
    await store.close()
    reopened = ControlStore(tmp_path / "new" / "folder")
    assert await reopened.open("10.0.0.1:7") == (state(), 2)
    await reopened.close()


async def test_saved_workers_are_restored_until_they_are_removed(tmp_path):
    store = ControlStore(tmp_path)
    await store.open("10.0.0.1:7")
    assert store.worker_rows == ()
    rows = [WorkerRow("i-1", b"old"), WorkerRow("i-2", b"kept")]
    await store.save([*state_codec.state_records(state()), *rows], 2)
    await store.save([WorkerRow("i-1", b"new"), WorkerRow("i-3", b"kept")], 2)
    assert await store.open("10.0.0.1:7") == (state(), 2)
    assert store.worker_rows == (WorkerRow("i-1", b"new"), rows[1], WorkerRow("i-3", b"kept"))
    await store.save([WorkerRow("i-1", None), WorkerRow("i-2", None), WorkerRow("i-4", None)], 2)
    assert await store.open("10.0.0.2:7") is None  # workers are known whatever the address of this process
    assert store.worker_rows == (WorkerRow("i-3", b"kept"),)
    await store.close()


async def test_state_of_another_address_is_not_restored(tmp_path):
    store = ControlStore(tmp_path)
    await store.open("10.0.0.1:7")
    await store.save(state_codec.state_records(state()), 0)
    assert await store.open("10.0.0.2:7") is None
    await store.close()


async def test_later_records_replace_earlier_ones_and_a_new_epoch_starts_empty(tmp_path):
    store = ControlStore(tmp_path)
    await store.open("10.0.0.1:7")
    await store.save(state_codec.state_records(state()), 0)
    await store.save([state_codec.LogEntries(2, (Entry(2, None, b"new"),))], 1)
    restored, commit = await store.open("10.0.0.1:7")
    assert [entry.operation for entry in restored.entries] == [b"op0", b"new"] and commit == 1
    await store.save([state_codec.Snapshot(2, 2, ("a",), b"state")], 2)
    restored, _ = await store.open("10.0.0.1:7")
    assert (restored.last_included_index, restored.snapshot_state, restored.entries) == (2, b"state", [])
    await store.save([state_codec.HardState("a@10.0.0.1:7", 6, 0, "")], 0)
    restored, _ = await store.open("10.0.0.1:7")
    assert (restored.epoch, restored.last_included_index, restored.entries) == (6, 0, [])
    await store.close()


async def test_failed_save_changes_nothing_and_the_next_one_succeeds(tmp_path):
    store = ControlStore(tmp_path)
    await store.open("10.0.0.1:7")
    await store.save(state_codec.state_records(state()), 1)
    with pytest.raises((sqlite3.Error, AttributeError, TypeError)):
        await store.save([state_codec.LogEntries(1, (Entry(9, None, b"x"),)), None], 9)
    assert await store.open("10.0.0.1:7") == (state(), 1)
    await store.save([state_codec.LogEntries(4, (Entry(2, None, b"x"),))], 3)
    restored, _ = await store.open("10.0.0.1:7")
    assert len(restored.entries) == 4
    await store.close()


async def test_uncommitted_transaction_is_not_restored_after_a_crash(tmp_path):
    store = ControlStore(tmp_path)
    await store.open("10.0.0.1:7")
    await store.save(state_codec.state_records(state()), 1)
    await store.close()
    log = tmp_path / (DATABASE_FILE + "-wal")
    second = ControlStore(tmp_path)
    await second.open("10.0.0.1:7")
    await second.save([state_codec.LogEntries(4, (Entry(2, None, b"x" * 9_000),))], 2)
    content = log.read_bytes()
    crashed_folder = tmp_path / "after"
    crashed_folder.mkdir()
    (crashed_folder / DATABASE_FILE).write_bytes((tmp_path / DATABASE_FILE).read_bytes())
    for torn in (content[:-5_000], content[:-5_000] + bytes(5_000)):
        (crashed_folder / (DATABASE_FILE + "-wal")).write_bytes(torn)
        third = ControlStore(crashed_folder)
        assert await third.open("10.0.0.1:7") == (state(), 1)
        await third.close()
    await second.close()


async def test_damaged_database_is_renamed_and_replaced(tmp_path):
    (tmp_path / DATABASE_FILE).write_bytes(b"no database at all" * 500)
    store = ControlStore(tmp_path)
    assert await store.open("10.0.0.1:7") is None
    assert (tmp_path / DAMAGED_FILE).exists()
    await store.save(state_codec.state_records(state()), 0)
    await store.close()


def test_torn_or_missing_soft_state_is_ignored(tmp_path):
    path = tmp_path / "soft"
    assert read_soft_state(path) is None
    write_soft_state(path, b"content")
    assert read_soft_state(path) == b"content"
    for damaged in (b"", b"abc", path.read_bytes()[:-1], path.read_bytes() + b"x"):
        path.write_bytes(damaged)
        assert read_soft_state(path) is None
