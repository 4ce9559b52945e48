"""The program decodes what earlier versions wrote to the wire and to disk, and encodes the same bytes.

golden_kit.py describes the samples and how the files in `data/golden` were made. A test here fails when a
name of the wire format changes: messages of an older process of the same fleet, or files of an earlier
version, could not be decoded. Mend the program then; the files must not change.
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


def golden_bytes(name: str) -> bytes:
    return (kit.GOLDEN / name).read_bytes()


def decoded_voter_history() -> list[Any]:
    read = kit.CODECS["memory_part"].read
    return [read(msgspec.msgpack.encode(part)) for part in kit.VOTER_HISTORY]


@pytest.mark.parametrize(("codec_name", "name"), SAMPLES)
def test_decoded_sample_is_encoded_to_the_same_bytes(codec_name: str, name: str) -> None:
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
def test_decoded_sample_has_the_field_names_of_the_wire_format(codec_name: str, name: str) -> None:
    sample = kit.load_json(codec_name)[name]
    found = kit.CODECS[codec_name].read(bytes.fromhex(sample["read"]))
    if codec_name in kit.STATE_MACHINES:
        found = msgspec.msgpack.decode(found.snapshot())
    assert kit.json_compatible(msgspec.to_builtins(found, builtin_types=(bytes,))) == sample["plain"]


def test_golden_files_hold_exactly_the_samples() -> None:
    assert {codec_name: sorted(samples) for codec_name, samples in kit.SAMPLES.items()} == {
        codec_name: sorted(kit.load_json(codec_name)) for codec_name in kit.CODECS
    }


def test_each_message_type_has_a_sample() -> None:
    for codec_name in kit.TAGGED_UNIONS:
        tags = {sample["plain"]["type"] for sample in kit.load_json(codec_name).values()}
        assert tags == set(kit.type_tags(codec_name)), codec_name


def test_message_of_unknown_type_is_rejected() -> None:
    for codec_name in kit.TAGGED_UNIONS:
        with pytest.raises(msgspec.DecodeError):
            kit.CODECS[codec_name].read(msgspec.msgpack.encode({"type": "Unheard"}))


# --- the state file of a voter ---


def test_voter_file_is_decoded_and_encoded_as_a_whole() -> None:
    content = golden_bytes("memory")
    state, intact = state_codec.decode_state(content)
    assert intact == len(content)
    assert state_codec.encode_state(state) == golden_bytes("memory.whole")
    again, _ = state_codec.decode_state(golden_bytes("memory.whole"))
    assert state_codec.encode_state(again) == golden_bytes("memory.whole")


def test_frames_of_voter_file_are_the_same_bytes() -> None:
    frames = state_codec.MAGIC + b"".join(map(state_codec.encode_frame, decoded_voter_history()))
    assert frames == golden_bytes("memory")


def test_torn_last_frame_of_voter_file_is_truncated(tmp_path: Path) -> None:
    last = len(state_codec.encode_frame(decoded_voter_history()[-1]))
    intact = golden_bytes("memory")[:-last]
    shutil.copy(kit.GOLDEN / "memory.torn", tmp_path / "memory")
    store = fleet_store.FleetStore(tmp_path)
    try:
        state = store.open("@127.0.0.1:9100")
        assert state is not None
        assert state_codec.encode_state(state) == state_codec.encode_state(
            state_codec.decode_state(intact)[0]
        )
        assert (tmp_path / "memory").read_bytes() == intact
        store.append(state_codec.encode_frame(decoded_voter_history()[-1]))
        assert (tmp_path / "memory").read_bytes() == golden_bytes("memory")
        store.replace(golden_bytes("memory.whole"))
        assert (tmp_path / "memory").read_bytes() == golden_bytes("memory.whole")
    finally:
        store.close()
    assert sorted(each.name for each in tmp_path.iterdir()) == ["lock", "memory"]


def test_corrupt_voter_file_is_renamed_and_reported(tmp_path: Path) -> None:
    content = bytearray(golden_bytes("memory"))
    content[len(state_codec.MAGIC) + state_codec.HEADER_BYTES] ^= 1
    (tmp_path / "memory").write_bytes(content)
    store = fleet_store.FleetStore(tmp_path)
    try:
        with pytest.raises(CorruptStateError):
            store.open("@127.0.0.1:9100")
    finally:
        store.close()
    assert sorted(each.name for each in tmp_path.iterdir()) == ["lock", "memory.damaged"]


# --- the files of a control process ---


def test_stored_control_database_is_loaded(tmp_path: Path) -> None:
    shutil.copy(kit.GOLDEN / "control.db", tmp_path / "control.db")

    async def read() -> tuple[bytes, int]:
        store = control_store.ControlStore(tmp_path)
        try:
            found = await store.open("127.0.0.1:9100")
            assert found is not None
            state, commit = found
            return state_codec.encode_state(state), commit
        finally:
            await store.close()

    content, commit = asyncio.run(read())
    assert content == golden_bytes("memory.whole")
    assert commit == 4


def test_control_database_is_written_with_the_same_rows(tmp_path: Path) -> None:
    async def write() -> None:
        store = control_store.ControlStore(tmp_path)
        try:
            for part in decoded_voter_history():
                await store.save([part], 4)
            await store.save([kit.ended_worker_row()], 4)
        finally:
            await store.close()

    asyncio.run(write())
    assert [each.name for each in tmp_path.iterdir()] == ["control.db"]
    assert kit.json_compatible(kit.database_rows(tmp_path)) == kit.load_json("control_db")


def test_corrupt_control_database_is_renamed(tmp_path: Path) -> None:
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


def test_soft_state_file_is_read_and_written_unchanged(tmp_path: Path) -> None:
    content = soft_state_file.read_soft_state(kit.GOLDEN / "soft_state.file")
    assert content is not None
    assert content.hex() == kit.load_json("soft_state")["full"]["written"]
    path = tmp_path / "soft_state"
    soft_state_file.write_soft_state(path, content)
    assert path.read_bytes() == golden_bytes("soft_state.file")
    assert [each.name for each in tmp_path.iterdir()] == ["soft_state"]


# --- frames over TCP ---


class RecordingTransport(asyncio.Transport):
    """Records the bytes written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.content = b""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.content += data

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0


def test_tcp_frames_have_a_four_byte_length_prefix(monkeypatch: pytest.MonkeyPatch) -> None:
    frames: list[bytes] = []
    transport = RecordingTransport()

    async def send_and_receive() -> None:
        connection = frame_link.FrameConnection(
            lambda _, frame: frames.append(frame), lambda _: None, lambda _: None
        )
        with socket.socket() as unused_socket:
            monkeypatch.setattr(
                transport, "get_extra_info", {"peername": ("127.0.0.1", 1), "socket": unused_socket}.get
            )
            connection.connection_made(transport)
        for content in (b"one", b"", b"x" * 70_000):
            assert connection.send(content)
        for at in range(0, len(transport.content), 1000):
            connection.data_received(transport.content[at : at + 1000])

    asyncio.run(send_and_receive())
    assert transport.content == b"\0\0\0\3one" + b"\0\0\0\0" + b"\0\1\x11\x70" + b"x" * 70_000
    assert frames == [b"one", b"", b"x" * 70_000]


# --- digests and numbers computed from encoded content ---


def test_digest_of_tracked_workers_is_unchanged() -> None:
    update = kit.CODECS["control_message"].read(
        bytes.fromhex(kit.load_json("control_message")["WorkerNews"]["written"])
    )
    registry = workers.WorkerRegistry(1_000_000)
    for record in update.records:
        registry.merge(record, 5_000_000)
    assert registry.digest == kit.load_json("numbers")["worker_digest"]


def test_digest_of_configuration_change_is_unchanged() -> None:
    digest = config_state_machine.digest_of(6, b'{"version": 7}')
    assert digest.hex() == kit.load_json("numbers")["change_digest"]


def test_configuration_change_is_compressed_as_before() -> None:
    entry = msgspec.msgpack.decode(config_state_machine.encode_config_change(6, 7, b'{"version": 7}'))
    assert zlib.decompress(entry.pop("body")) == b'{"version": 7}'
    assert kit.json_compatible(entry) == kit.load_json("numbers")["change_entry"]
    long = msgspec.msgpack.decode(config_state_machine.encode_config_change(6, 7, kit.LONG_TEXT))["body"]
    assert long == zlib.compress(kit.LONG_TEXT, 1)


def test_cached_prefixes_are_compressed_as_before() -> None:
    prefixes = {"w-1": {"p1": 512, "p2": 64}, "w-2": {"p2": 64}}
    update = messages.CacheUpdate.from_prefixes(prefixes)
    assert msgspec.msgpack.decode(zlib.decompress(update.body)) == prefixes
    assert update.body == zlib.compress(msgspec.msgpack.encode(prefixes), 1)
    assert update.body[:2].hex() == kit.load_json("numbers")["cache_head"]
    assert [msgspec.to_builtins(part) for part in update.cached_prefixes()] == [
        ["w-1", "p1", 512],
        ["w-1", "p2", 64],
        ["w-2", "p2", 64],
    ]


def test_epochs_are_numbered_as_before() -> None:
    assert kit.epoch_numbers() == kit.load_json("numbers")["epochs"]
