"""The program reads what it has put on the wire and on the disk before, and writes the same bytes.

golden_kit.py says what the samples are and how the files in `data/golden` were made. A test here fails where
a name on the wire changes: an older process of the same fleet, or a file of the version before, would not be
understood. The remedy is in the program, not in the files.
"""

from __future__ import annotations

import asyncio
import shutil
import socket
import sqlite3
import zlib
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hazelbend.consensus import state_codec
from hazelbend.consensus.errors import CorruptStateError
from hazelbend.control import config_state_machine, messages, workers
from hazelbend.transport.peer import frame_link
from hazelbend.transport.storage import control_store, fleet_store, soft_state_file
from tests.golden import golden_kit as kit

SAMPLES = [(codec_name, name) for codec_name in kit.CODECS for name in kit.load_json(codec_name)]


def bytes_of(name: str) -> bytes:
    return (kit.GOLDEN / name).read_bytes()


def history_parts() -> list[Any]:
    read = kit.CODECS["memory_part"].read
    return [read(msgspec.msgpack.encode(part)) for part in kit.VOTER_HISTORY]


@pytest.mark.parametrize(("codec_name", "name"), SAMPLES)
def test_a_sample_is_read_and_written_as_the_same_bytes(codec_name: str, name: str) -> None:
    sample = kit.load_json(codec_name)[name]
    codec = kit.CODECS[codec_name]
    content = bytes.fromhex(sample["written"])
    assert codec.write(codec.read(bytes.fromhex(sample["read"]))).hex() == sample["written"]
    assert kit.json_compatible(codec.decode(content)) == sample["plain"]
    if codec_name not in kit.READ_ONLY:
        assert codec.write(codec.read(content)).hex() == sample["written"]


@pytest.mark.parametrize(
    ("codec_name", "name"), [each for each in SAMPLES if each[0] not in kit.WITH_OTHER_FIELD_NAMES]
)
def test_what_was_read_has_the_names_of_the_wire(codec_name: str, name: str) -> None:
    sample = kit.load_json(codec_name)[name]
    found = kit.CODECS[codec_name].read(bytes.fromhex(sample["read"]))
    if codec_name in kit.STATE_MACHINES:
        found = msgspec.msgpack.decode(found.snapshot())
    assert kit.json_compatible(msgspec.to_builtins(found, builtin_types=(bytes,))) == sample["plain"]


def test_all_samples_stand_in_the_files() -> None:
    assert {codec_name: sorted(samples) for codec_name, samples in kit.SAMPLES.items()} == {
        codec_name: sorted(kit.load_json(codec_name)) for codec_name in kit.CODECS
    }


def test_each_kind_of_message_has_a_sample() -> None:
    for codec_name in kit.TAGGED_UNIONS:
        tags = {sample["plain"]["type"] for sample in kit.load_json(codec_name).values()}
        assert tags == set(kit.type_tags(codec_name)), codec_name


def test_a_message_of_an_unknown_kind_is_refused() -> None:
    for codec_name in kit.TAGGED_UNIONS:
        with pytest.raises(msgspec.DecodeError):
            kit.CODECS[codec_name].read(msgspec.msgpack.encode({"type": "Unheard"}))


# --- a voter's file ---


def test_a_memory_file_is_read_and_written_whole() -> None:
    content = bytes_of("memory")
    memory, good = state_codec.decode_state(content)
    assert good == len(content)
    assert state_codec.encode_state(memory) == bytes_of("memory.whole")
    again, _ = state_codec.decode_state(bytes_of("memory.whole"))
    assert state_codec.encode_state(again) == bytes_of("memory.whole")


def test_frames_of_a_memory_file_are_the_same_bytes() -> None:
    frames = state_codec.MAGIC + b"".join(map(state_codec.encode_frame, history_parts()))
    assert frames == bytes_of("memory")


def test_the_torn_end_of_a_memory_file_is_cut_off(tmp_path: Path) -> None:
    last = len(state_codec.encode_frame(history_parts()[-1]))
    good = bytes_of("memory")[:-last]
    shutil.copy(kit.GOLDEN / "memory.torn", tmp_path / "memory")
    store = fleet_store.FleetStore(tmp_path)
    try:
        memory = store.open("@127.0.0.1:9100")
        assert memory is not None
        assert state_codec.encode_state(memory) == state_codec.encode_state(state_codec.decode_state(good)[0])
        assert (tmp_path / "memory").read_bytes() == good
        store.append(state_codec.encode_frame(history_parts()[-1]))
        assert (tmp_path / "memory").read_bytes() == bytes_of("memory")
        store.replace(bytes_of("memory.whole"))
        assert (tmp_path / "memory").read_bytes() == bytes_of("memory.whole")
    finally:
        store.close()
    assert sorted(each.name for each in tmp_path.iterdir()) == ["lock", "memory"]


def test_a_damaged_memory_file_is_set_aside(tmp_path: Path) -> None:
    content = bytearray(bytes_of("memory"))
    content[len(state_codec.MAGIC) + state_codec.HEADER_BYTES] ^= 1
    (tmp_path / "memory").write_bytes(content)
    store = fleet_store.FleetStore(tmp_path)
    try:
        with pytest.raises(CorruptStateError):
            store.open("@127.0.0.1:9100")
    finally:
        store.close()
    assert sorted(each.name for each in tmp_path.iterdir()) == ["lock", "memory.damaged"]


# --- a control process's files ---


def test_a_stored_control_database_is_read(tmp_path: Path) -> None:
    shutil.copy(kit.GOLDEN / "control.db", tmp_path / "control.db")

    async def read() -> tuple[bytes, int]:
        store = control_store.ControlStore(tmp_path)
        try:
            found = await store.open("127.0.0.1:9100")
            assert found is not None
            memory, commit = found
            return state_codec.encode_state(memory), commit
        finally:
            await store.close()

    content, commit = asyncio.run(read())
    assert content == bytes_of("memory.whole")
    assert commit == 4


def test_a_control_database_is_written_with_the_same_rows(tmp_path: Path) -> None:
    async def write() -> None:
        store = control_store.ControlStore(tmp_path)
        try:
            for part in history_parts():
                await store.save([part], 4)
        finally:
            await store.close()

    asyncio.run(write())
    assert [each.name for each in tmp_path.iterdir()] == ["control.db"]
    assert kit.json_compatible(kit.database_rows(tmp_path)) == kit.load_json("control_db")


def test_a_damaged_control_database_is_set_aside(tmp_path: Path) -> None:
    shutil.copy(kit.GOLDEN / "control.db", tmp_path / "control.db")
    with sqlite3.connect(tmp_path / "control.db") as connection:
        connection.execute("UPDATE part SET content = ? WHERE kind = 'promise'", (b"\x80",))
    connection.close()

    async def read() -> object:
        store = control_store.ControlStore(tmp_path)
        try:
            return await store.open("127.0.0.1:9100")
        finally:
            await store.close()

    assert asyncio.run(read()) is None
    assert sorted(each.name for each in tmp_path.iterdir()) == ["control.damaged", "control.db"]


def test_a_soft_state_file_is_read_and_written(tmp_path: Path) -> None:
    content = soft_state_file.read_soft_state(kit.GOLDEN / "soft_state.file")
    assert content is not None
    assert content.hex() == kit.load_json("soft_state")["full"]["written"]
    path = tmp_path / "soft_state"
    soft_state_file.write_soft_state(path, content)
    assert path.read_bytes() == bytes_of("soft_state.file")
    assert [each.name for each in tmp_path.iterdir()] == ["soft_state"]


# --- frames over TCP ---


class Wire(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.content = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.content += data

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0


def test_frames_have_a_length_of_four_bytes_before_them(monkeypatch: pytest.MonkeyPatch) -> None:
    frames: list[bytes] = []
    wire = Wire()

    async def talk() -> None:
        connection = frame_link.FrameConnection(
            lambda _, frame: frames.append(frame), lambda _: None, lambda _: None
        )
        with socket.socket() as plain:
            monkeypatch.setattr(wire, "get_extra_info", {"peername": ("127.0.0.1", 1), "socket": plain}.get)
            connection.connection_made(wire)
        for content in (b"one", b"", b"x" * 70_000):
            assert connection.send(content)
        for at in range(0, len(wire.content), 1000):
            connection.data_received(wire.content[at : at + 1000])

    asyncio.run(talk())
    assert wire.content == b"\0\0\0\3one" + b"\0\0\0\0" + b"\0\1\x11\x70" + b"x" * 70_000
    assert frames == [b"one", b"", b"x" * 70_000]


# --- numbers that are drawn from encoded content ---


def test_the_digest_of_known_workers_is_the_same() -> None:
    news = kit.CODECS["control_message"].read(
        bytes.fromhex(kit.load_json("control_message")["WorkerNews"]["written"])
    )
    registry = workers.WorkerRegistry(1_000_000)
    for record in news.records:
        registry.merge(record, 5_000_000)
    assert registry.digest == kit.load_json("numbers")["worker_digest"]


def test_the_digest_of_a_change_is_the_same() -> None:
    digest = config_state_machine.digest_of(6, b'{"version": 7}')
    assert digest.hex() == kit.load_json("numbers")["change_digest"]


def test_a_change_is_compressed_as_before() -> None:
    entry = msgspec.msgpack.decode(config_state_machine.encode_config_change(6, 7, b'{"version": 7}'))
    assert zlib.decompress(entry.pop("body")) == b'{"version": 7}'
    assert kit.json_compatible(entry) == kit.load_json("numbers")["change_entry"]
    long = msgspec.msgpack.decode(config_state_machine.encode_config_change(6, 7, kit.LONG_TEXT))["body"]
    assert long == zlib.compress(kit.LONG_TEXT, 1)


def test_cached_parts_are_compressed_as_before() -> None:
    parts = {"w-1": {"p1": 512, "p2": 64}, "w-2": {"p2": 64}}
    news = messages.CacheUpdate.from_prefixes(parts)
    assert msgspec.msgpack.decode(zlib.decompress(news.body)) == parts
    assert news.body == zlib.compress(msgspec.msgpack.encode(parts), 1)
    assert news.body[:2].hex() == kit.load_json("numbers")["cache_head"]
    assert [msgspec.to_builtins(part) for part in news.cached_prefixes()] == [
        ["w-1", "p1", 512],
        ["w-1", "p2", 64],
        ["w-2", "p2", 64],
    ]


def test_epochs_and_tokens_are_numbered_as_before() -> None:
    assert kit.epoch_numbers() == kit.load_json("numbers")["epochs"]
