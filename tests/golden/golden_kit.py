"""Golden data: bytes that the program wrote to the wire and to disk at commit a71086c.

Each kind of message or stored content has a codec and samples. The samples are plain values with the field
names of the wire format, so they do not depend on the name of a class or field in Python. The golden data is
what the program encodes after decoding a sample. To write the files again, with the code of the directory in
PYTHONPATH:

    PYTHONPATH=DIRECTORY_OF_COMMIT python tests/golden/golden_kit.py

The files in `tests/data/golden` must not change: other processes of a fleet and files on disk hold the same
bytes. Samples may be added; an existing sample does not change.
"""

from __future__ import annotations

import asyncio
import base64
import json
import shutil
import sqlite3
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, get_args

import msgspec

import hazelbend
from hazelbend.consensus import messages as log_messages
from hazelbend.consensus import persistent_state, state_codec
from hazelbend.control import config_state_machine, messages, workers
from hazelbend.control.configuration import Configuration
from hazelbend.dispatcher import fleet_snapshot
from hazelbend.dns_discovery import snapshot
from hazelbend.forwarding import prefill
from hazelbend.gossip import messages as gossip_messages
from hazelbend.leases import lease_node, lease_table, views
from hazelbend.leases import operations as lease_operations
from hazelbend.protocol import control_calls, handover
from hazelbend.protocol.discovery import EndpointListCodec
from hazelbend.quotas import ledger
from hazelbend.quotas import operations as quota_operations
from hazelbend.quotas.timing import QuotaParameters
from hazelbend.system.state_persister import worker_row
from hazelbend.transport.http import worker_orders
from hazelbend.transport.storage.control_store import ControlStore, WorkerRow
from hazelbend.transport.storage.soft_state_file import write_soft_state

GOLDEN = Path(__file__).parents[1] / "data" / "golden"

N1, N2, N3 = "n1#5f3a@127.0.0.1:9100", "n2#77aa@127.0.0.2:9100", "n3#0c1d@127.0.0.3:9100"


@dataclass(frozen=True)
class Codec:
    """How one kind of content is decoded and encoded.

    `read` and `write` are the program's own decoder and encoder; `read` raises msgspec.DecodeError. `encode`
    and `decode` convert between plain values (dicts, lists, bytes) and the wire format, without the program's
    types.
    """

    read: Callable[[bytes], Any]
    write: Callable[[Any], bytes]
    encode: Callable[[Any], bytes] = msgspec.msgpack.encode  # from plain values
    decode: Callable[[bytes], Any] = msgspec.msgpack.decode  # to plain values


def msgpack_codec(kind: Any) -> Codec:
    return Codec(msgspec.msgpack.Decoder(kind).decode, msgspec.msgpack.Encoder().encode)


def json_codec(read: Callable[[bytes], Any], write: Callable[[Any], bytes] = msgspec.json.encode) -> Codec:
    return Codec(read, write, msgspec.json.encode, msgspec.json.decode)


def restore_quota_ledger(content: bytes) -> ledger.QuotaLedger:
    machine = ledger.QuotaLedger(QuotaParameters())
    machine.restore(content)
    return machine


def decode_srv_snapshot(content: bytes) -> snapshot.Snapshot:
    """Decode a whole snapshot file, or its body alone as in the handover state of an upgrade."""
    value = msgspec.json.decode(content)
    return snapshot.decode(content) if "digest" in value else snapshot.from_object(value)


# The codec numbers unknown names as it decodes them, so a list must be encoded by the codec that decoded it.
ENDPOINT_LIST_CODEC = EndpointListCodec(("east", "west"), ("small", "large"))


def restore_lease_table(content: bytes) -> lease_table.LeaseTable:
    machine = lease_table.LeaseTable(lease_table.LeaseLimits())
    machine.restore(content)
    return machine


def restore_config_machine(content: bytes) -> config_state_machine.ConfigStateMachine:
    machine = config_state_machine.ConfigStateMachine()
    machine.restore(content)
    return machine


# The only place where the golden data tests name types of the program. Keys are file names in data/golden.
CODECS = {
    "control_message": Codec(messages.decode, messages.encode),
    "soft_state": Codec(messages.decode_soft_state, messages.encode_soft_state),
    "log_body": msgpack_codec(log_messages.Body),
    "packet_body": msgpack_codec(gossip_messages.PacketBody),
    "log_transfer": Codec(log_messages.decode_transfer, log_messages.encode_transfer),
    "fleet_tell": msgpack_codec(tuple[tuple[gossip_messages.Packet, ...], tuple[log_messages.Message, ...]]),
    "fleet_reply": msgpack_codec(lease_node.Reply),
    "fleet_view": msgpack_codec(views.FleetView),
    "lease_operation": Codec(
        msgspec.msgpack.Decoder(lease_operations.Operation).decode, lease_operations.encode
    ),
    "lease_answer": msgpack_codec(lease_operations.LeaseResponse),
    "lease_snapshot": Codec(restore_lease_table, lambda machine: machine.snapshot()),
    "memory_part": msgpack_codec(state_codec.HardState | state_codec.LogEntries | state_codec.Snapshot),
    "log_entry": msgpack_codec(log_messages.Entry),
    "configuration_entry": msgpack_codec(
        config_state_machine.ConfigChange | config_state_machine.ForceNewCluster
    ),
    "configuration_snapshot": Codec(restore_config_machine, lambda machine: machine.snapshot()),
    "quota_operation": Codec(
        msgspec.msgpack.Decoder(quota_operations.Operation).decode, quota_operations.encode
    ),
    "quota_answer": msgpack_codec(quota_operations.QuotaResponse),
    "quota_snapshot": Codec(restore_quota_ledger, lambda machine: machine.snapshot()),
    "srv_snapshot": json_codec(decode_srv_snapshot, snapshot.encode),
    "handover_state": json_codec(
        lambda line: handover.decode_state(line, ENDPOINT_LIST_CODEC),
        lambda state: handover.encode_state(state, ENDPOINT_LIST_CODEC),
    ),
    "handover_news": json_codec(handover.decode_update, handover.encode_update),
    "endpoint_list": json_codec(
        ENDPOINT_LIST_CODEC.decode, lambda found: msgspec.json.encode(ENDPOINT_LIST_CODEC.to_object(found))
    ),
    "heartbeat": json_codec(
        lambda body: control_calls.parse_heartbeat("w-1", body), lambda record: msgspec.json.encode(record)
    ),
    "worker_order": json_codec(msgspec.json.Decoder(worker_orders.WorkerOrder).decode),
    "prefill_result": json_codec(msgspec.json.Decoder(prefill.PrefillResult).decode),
    "fleet_snapshot": json_codec(msgspec.json.Decoder(fleet_snapshot.Snapshot).decode),
    "routes": json_codec(msgspec.json.Decoder(Configuration).decode),
}

# These decode to state machines, whose content is read by `snapshot`.
STATE_MACHINES = ("lease_snapshot", "configuration_snapshot", "quota_snapshot")
# These do not encode to what was decoded: a heartbeat becomes a record, a configuration is never written.
READ_ONLY = ("heartbeat", "routes")
# These decode to Python types whose field names differ from the wire format.
WITH_OTHER_FIELD_NAMES = ("srv_snapshot", "handover_state", "handover_news", "endpoint_list")
# Unions of several message types, distinguished by the key `type`.
TAGGED_UNIONS = {
    "control_message": messages.Body,
    "log_body": log_messages.Body,
    "packet_body": gossip_messages.PacketBody,
    "lease_operation": lease_operations.Operation,
    "memory_part": state_codec.HardState | state_codec.LogEntries | state_codec.Snapshot,
    "configuration_entry": config_state_machine.ConfigChange | config_state_machine.ForceNewCluster,
    "quota_operation": quota_operations.Operation,
}


def type_tags(codec_name: str) -> list[str]:
    """Return the values that the key `type` may have."""
    return [kind.__struct_config__.tag for kind in get_args(TAGGED_UNIONS[codec_name])]


def epoch_numbers() -> list[int]:
    """Return the next epoch for founders at two times, with and without a known previous epoch."""
    return [
        persistent_state.next_epoch(known, unix_s, identity, by_operator)
        for known in (0, 456_789_012_345)
        for unix_s in (0.0, 1_764_000_000.5)
        for identity in (N1, N2)
        for by_operator in (False, True)
    ]


LONG_TEXT = b"".join(b'{"service": "s-%d", "share": %d}\n' % (n, n * n % 97) for n in range(400))

WORKER = {
    "instance": "w-1",
    "service": "chat",
    "address": "127.0.0.1:8001",
    "zone": "a",
    "state": 1,
    "seq": 17,
    "capacity": 8,
    "phase": "prefill",
    "models": ["m-small", "m-large"],
    "cold_left_ms": 2500,
}
MINIMAL_WORKER = {
    "instance": "w-2",
    "service": "chat",
    "address": "127.0.0.1:8002",
    "zone": "b",
    "state": 0,
    "seq": 0,
}
GONE_WORKER = MINIMAL_WORKER | {"instance": "w-3", "address": "127.0.0.1:8003", "state": 2, "seq": 9}
ENTRY = [3, None, b"\x82operation"]
VOTERS_ENTRY = [4, [N1, N2, N3], b""]
APPEND = {
    "type": "Put",
    "before": 11,
    "before_term": 3,
    "entries": [ENTRY, VOTERS_ENTRY, [4]],
    "commit": 10,
    "round": 7,
    "confirmed": [1234567, 890123],
}
INSTALL = {
    "type": "Install",
    "base": 40,
    "base_term": 5,
    "voters": [N1, N2],
    "state": b"\x81state",
    "round": 9,
}
LOG_BODIES = {
    "Ask": {"type": "Ask", "pre": True, "last": 12, "last_term": 4, "handed": True},
    "Ask, least": {"type": "Ask", "pre": False, "last": 0, "last_term": 0},
    "Vote": {"type": "Vote", "granted": True, "pre": False},
    "Put": APPEND,
    "Put, least": {
        "type": "Put",
        "before": 0,
        "before_term": 0,
        "entries": [],
        "commit": 0,
        "round": 1,
    },
    "Install": INSTALL,
    "Piece": {"type": "Piece", "number": 2, "offset": 65536, "total": 70000, "data": b"\0\1", "round": 3},
    "PieceTaken": {"type": "PieceTaken", "number": 2, "offset": 65538, "round": 3},
    "Taken": {"type": "Taken", "ok": False, "index": 9, "round": 8, "stamp": [77, 88]},
    "Taken, least": {"type": "Taken", "ok": True, "index": 9, "round": 8},
    "TimeIsUp": {"type": "TimeIsUp"},
}
LOG_MESSAGES = {name: [N1, N2, 256, 4, body] for name, body in LOG_BODIES.items()}
PACKETS = {
    "Probe": ["blue", N1, N2, {"type": "Probe", "number": 5, "target": N3}, [], [256, 4, N1]],
    "Probe, least": ["blue", N1, "127.0.0.2:9100", {"type": "Probe", "number": 5}],
    "Answer": ["blue", N2, N1, {"type": "Answer", "number": 5, "ok": False}, [[N3, 2, 1, N2], [N2, 1, 0]]],
    "Answer, least": ["blue", N2, N1, {"type": "Answer", "number": 5}],
    "Whole": [
        "blue",
        N1,
        N2,
        {"type": "Whole", "answer": True},
        [[N1, 1, 0, N1], [N2, 2, 1, N1], [N3, 3, 2, N1], ["n4#1@127.0.0.4:9100", 4, 3, N1]],
        [0, 0, ""],
    ],
}
ACQUIRE = {"type": "Acquire", "name": "compactor", "holder": N1, "ask": 5, "ttl": 5000000, "wait": 700}
LEASE = {
    "holder": N1,
    "ask": 5,
    "ttl": 5000000,
    "token": 68719476737,
    "renewals": 3,
    "waiters": [
        {"holder": N2, "ask": 6, "ttl": 4000000, "looks": 2},
        {"holder": N3, "ask": 7, "ttl": 3000000},
    ],
}
CHANGE = {
    "type": "ConfigChange",
    "base": 1,
    "version": 2,
    "digest": bytes(range(16)),
    "body": bytes.fromhex("7801abaee502000179007c"),
}
LOADS = {"w-1": [3, 4096], "w-2": [1], "w-3": []}
CACHED = [["w-1", "p1", 512], ["w-2", "p2", 64]]
OUTCOMES = [["w-1", "a", 5, 1, 2], ["w-2", "b"]]
WORKER_NEWS = {"type": "WorkerNews", "number": 4, "records": [WORKER, MINIMAL_WORKER, GONE_WORKER]}

FLEET_VIEW = {
    "fleet": "blue",
    "me": N1,
    "role": "leader",
    "epoch": 256,
    "term": 4,
    "leader": N1,
    "fresh": True,
    "open": True,
    "commit": 41,
    "lag": 1,
    "doubt": 2,
    "voters": [N1, N2, N3],
    "members": [
        {"identity": N1, "status": "alive", "incarnation": 1, "for_s": 12.5},
        {"identity": N3, "status": "suspect", "incarnation": 2, "for_s": 0.25},
    ],
    "leases": [
        {
            "name": "compactor",
            "holder": N1,
            "token": 68719476737,
            "ttl_s": 5.0,
            "renewals": 3,
            "renewed_s_ago": None,
            "waiters": [N2, N3],
        },
        {
            "name": "mailer",
            "holder": N2,
            "token": 68719476738,
            "ttl_s": 5.0,
            "renewals": 0,
            "renewed_s_ago": 0.75,
            "waiters": [],
        },
    ],
    "strangers": {"127.0.0.9:9100": "green"},
}
ENDPOINT_LIST = {
    "seq": 12,
    "whole": True,
    "hosts": [
        {
            "host": "h1",
            "dial": "127.0.0.1:8001",
            "site": "west",
            "class": "large",
            "block": 3,
            "health": "SERVING",
            "share": 2.5,
            "born_ms": 1764000000123,
        },
        {"host": "h2", "dial": "127.0.0.2:8001", "site": "new", "class": "new", "health": "DRAINING"},
        {"host": "h3", "dial": "127.0.0.3:8001", "health": "DELETED"},
    ],
}
ROUTES = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "a.example",
            "prefix": "/x/",
            "kind": "stream",
            "timeoutMs": 1000,
            "targetMs": 250,
            "priority": 7,
            "backend": "chat",
            "retries": 2,
            "sticky": True,
            "resume": True,
            "gap_aim_ms": 40.5,
        },
        {
            "name": "q",
            "host": "b.example",
            "prefix": "/",
            "kind": "safe",
            "timeoutMs": 100,
            "split": [{"backend": "chat", "weight": 3.0}, {"backend": "other", "weight": 0.5}],
        },
    ],
    "services": [
        {
            "name": "chat",
            "maxConns": 50,
            "engine": {
                "capacity": 8,
                "kvCapacity": 100000,
                "kvTokenBytes": 2048,
                "bandwidthMbps": 800.0,
                "kvTtlS": 30.0,
            },
        },
        {"name": "other", "engine": {}},
        {"name": "third"},
    ],
    "limits": {
        "maxHeaderBytes": 8192,
        "maxBodyBytes": 65536,
        "headerTimeoutMs": 500,
        "idleTimeoutMs": 700,
    },
}

# By codec and sample name: plain values as on the wire. Keys that are left out get their defaults.
SAMPLES: dict[str, dict[str, Any]] = {
    "control_message": {
        "Hello": {
            "type": "Hello",
            "identity": N1,
            "counted": True,
            "controls": ["127.0.0.1:9100", "127.0.0.2:9100"],
            "leader": N2,
            "leaving": True,
            "stamp": [11, 22],
            "answers": [33, 44],
        },
        "Hello, least": {"type": "Hello", "identity": N1, "counted": False, "controls": []},
        "Agreement": {"type": "Agreement", "messages": list(LOG_MESSAGES.values())},
        **{f"Agreement: {name}": {"type": "Agreement", "messages": [m]} for name, m in LOG_MESSAGES.items()},
        "WorkerNews": WORKER_NEWS | {"ages": {"w-1": 150, "w-2": 2000000}, "life": 99},
        "WorkerNews, least": {"type": "WorkerNews", "number": 0, "records": []},
        "WorkerNews, snapshot": WORKER_NEWS
        | {
            "number": 0,
            "ages": {"w-1": 150},
            "source": {
                "identity": N2,
                "voters": [N1, N2, N3],
                "receiver_incarnation": 99,
            },
        },
        "WorkerNewsTaken": {
            "type": "WorkerNewsTaken",
            "number": 4,
            "life": 99,
            "identity": N2,
            "voters": [N1, N2, N3],
        },
        "Ages": {
            "type": "Ages",
            "ages": {"w-1": 10, "w-2": 20},
            "routers": ["r-1", "r-2"],
            "switching": ["w-2"],
            "digest": 0x1234567890AB,
        },
        "Ages, least": {"type": "Ages", "ages": {}},
        "WorkersWanted": {"type": "WorkersWanted"},
        "Watch": {"type": "Watch", "router": "r-1", "version": 7, "loads": False, "caches": False},
        "Watch, least": {"type": "Watch", "router": "r-1", "version": 0},
        "Ping": {"type": "Ping", "sent_at": 123456789},
        "Ping, least": {"type": "Ping"},
        "Pong": {"type": "Pong", "sent_at": 123456789, "version": 7, "confirmed_age": 250},
        "Pong, unconfirmed": {"type": "Pong", "sent_at": 123456789, "version": 7, "confirmed_age": None},
        "ConfigNews": {"type": "ConfigNews", "version": 7, "body": b"\x78\x01body"},
        "CacheNews": {"type": "CacheNews", "body": bytes.fromhex("780163606060000000040001")},
        "FleetNews": {
            "type": "FleetNews",
            "controls": ["127.0.0.1:9100"],
            "routers": 3,
            "silent": {"w-2": 3000000},
            "switching": ["w-1"],
        },
        "FleetNews, least": {"type": "FleetNews", "controls": [], "routers": 1, "silent": {}},
        "RouterLoad": {
            "type": "RouterLoad",
            "router": "r-1",
            "seq": 18,
            "loads": LOADS,
            "cached": CACHED,
            "outcomes": OUTCOMES,
        },
        "RouterLoad, least": {"type": "RouterLoad", "router": "r-1", "seq": 0, "loads": {}},
        "LoadNews": {
            "type": "LoadNews",
            "loads": LOADS,
            "cached": CACHED,
            "whole": True,
            "outcomes": OUTCOMES,
        },
        "LoadNews, least": {"type": "LoadNews", "loads": {}},
    },
    "soft_state": {
        "full": {"workers": [WORKER, MINIMAL_WORKER, GONE_WORKER], "cached": CACHED, "routers": 4},
        "least": {"workers": [], "cached": []},
    },
    "log_body": LOG_BODIES,
    "packet_body": {name: packet[3] for name, packet in PACKETS.items()},
    "log_transfer": {"Put": APPEND, "Install": INSTALL},
    "fleet_tell": {
        "empty": [[], []],
        **{f"packet: {name}": [[packet], []] for name, packet in PACKETS.items()},
        **{f"message: {name}": [[], [message]] for name, message in LOG_MESSAGES.items()},
        "all": [list(PACKETS.values()), list(LOG_MESSAGES.values())],
    },
    "fleet_reply": {
        "answer": {"answer": {"token": 68719476737, "place": 0, "why": ""}, "leader": N1},
        "no answer": {"answer": None, "leader": N2},
        "least": {},
    },
    "fleet_view": {"full": FLEET_VIEW},
    "lease_operation": {
        "Acquire": ACQUIRE,
        "Acquire, least": {name: value for name, value in ACQUIRE.items() if name != "wait"},
        "Renew": {"type": "Renew", "name": "compactor", "token": 68719476737},
        "Release": {"type": "Release", "name": "compactor", "token": 68719476737},
        "HandOver": {"type": "HandOver", "name": "compactor", "token": 68719476737, "to": N2},
        "ForceRelease": {"type": "ForceRelease", "name": "compactor"},
        "LeaveQueue": {"type": "LeaveQueue", "name": "compactor", "holder": N2},
        "Expire": {"type": "Expire", "name": "compactor", "token": 68719476737, "renewals": 3},
        "Open": {"type": "Open"},
        "ExpireWait": {"type": "ExpireWait", "name": "compactor", "holder": N2, "ask": 6, "looks": 2},
    },
    "lease_answer": {
        "held": {"token": 68719476737, "place": 0, "why": ""},
        "waits": {"place": 2},
        "refused": {"why": "held"},
        "least": {},
    },
    "lease_snapshot": {
        "full": {
            "epoch": 256,
            "open": True,
            "granted": 2,
            "leases": {
                "compactor": LEASE,
                "mailer": {"holder": N2, "ask": 1, "ttl": 1000000, "token": 68719476738},
            },
        },
        "least": {},
    },
    "memory_part": {
        "Promise": {"type": "Promise", "identity": N1, "epoch": 256, "term": 4, "vote": N2},
        "Entries": {"type": "Entries", "first": 12, "entries": [ENTRY, VOTERS_ENTRY, [4]]},
        "Base": {"type": "Base", "index": 11, "term": 3, "voters": [N1, N2], "state": b"\x81state"},
    },
    "log_entry": {"operation": ENTRY, "voters": VOTERS_ENTRY, "neither": [4]},
    "configuration_entry": {
        "ConfigChange": CHANGE,
        "Refound": {"type": "Refound", "state": b"\x84state"},
    },
    "quota_operation": {
        "Draw": {"type": "Draw", "account": "a/c", "holder": N1, "units": 5, "number": 3, "token": 9},
        "Draw, least": {"type": "Draw", "account": "a/c", "holder": N1, "units": 5, "number": 3},
        "Give": {"type": "Give", "account": "a/c", "holder": N1, "token": 9, "units": 2, "number": 4},
        "Expire": {"type": "Expire", "account": "a/c", "holder": N1, "token": 9, "draws": 2},
        "Settle": {"type": "Settle", "account": "a/c", "token": 9},
        "SetAccounts": {
            "type": "SetAccounts",
            "accounts": [
                {"name": "a/c", "limit": 8, "sure": 3, "parent": "a"},
                {"name": "a", "limit": 12},
            ],
        },
        "Open": {"type": "Open"},
    },
    "quota_answer": {
        "full": {"token": 9, "units": 5, "wanted": 2, "why": ""},
        "refused": {"why": "no such account"},
        "least": {},
    },
    "quota_snapshot": {
        "full": {
            "epoch": 256,
            "open": True,
            "granted": 2,
            "accounts": {
                "a/c": {"name": "a/c", "limit": 8, "sure": 3, "parent": "a"},
                "a": {"name": "a", "limit": 12},
            },
            "held": {
                "a/c": {
                    N1: {"token": 9, "units": 5, "number": 3, "draws": 2, "lacks": 1},
                    N2: {"token": 10, "units": 1},
                }
            },
            "doubt": {"a/c": {8: 2}},
        },
        "least": {},
    },
    "srv_snapshot": {
        "full": {
            "written_at": 1764000000000000,
            "services": [
                {
                    "name": "_web._tcp.example",
                    "items": [["a.example", 8001, 10, 5, 1764000060000000], ["b.example", 8002, 20, 0, 7]],
                }
            ],
            "addresses": [
                {"name": "a.example", "kind": "A", "items": [["127.0.0.1", 1764000030000000]]},
                {"name": "a.example", "kind": "AAAA", "items": [["::1", 1764000030000000]]},
            ],
            "gone": [
                {"host": "h1", "at": 5, "dial": "127.0.0.1:8001", "target": "a.example", "port": 8001},
                {"host": "h2", "at": 6, "dial": "127.0.0.2:8001"},
            ],
            "started": {"h1": 1764000000000000},
        },
        "least": {"written_at": 1, "services": [], "addresses": []},
    },
    "handover_state": {
        "full": {
            "classes": ["nearby", "reserve"],
            "known": ENDPOINT_LIST,
            "held_back": ["h1"],
            "ids": ["f1", "f2"],
            "learnt": {"means": {"work": [1.0, 2.0]}},
            "parts": {"srv": {"written_at": 1, "services": [], "addresses": []}},
        },
        "least": {"known": {"seq": 0, "hosts": []}},
    },
    "handover_news": {"taken": {"taken": "f1"}, "over": {"over": "f1"}},
    "endpoint_list": {
        "full": ENDPOINT_LIST,
        "least": {"seq": 0, "hosts": [{"host": "h3", "dial": "127.0.0.3:80", "health": "DELETED"}]},
    },
    "heartbeat": {
        "full": {
            "backend": "chat",
            "addr": "127.0.0.1:8001",
            "zone": "a",
            "seq": 17,
            "state": "draining",
            "capacity": 8,
            "coldLeftMs": 2500.4,
            "phase": "prefill",
            "models": [{"name": "m-small"}, {"name": "m-large", "size": 7}],
        },
        "least": {"backend": "chat", "addr": "127.0.0.1:8001", "zone": "a", "seq": 0},
        "no room": {"backend": "c", "addr": "a:1", "zone": "a", "seq": 0, "state": "ready", "capacity": 0},
    },
    "worker_order": {
        "full": {
            "op": "switchPhase",
            "phase": "decode",
            "holder": "127.0.0.1:9100",
            "fenceToken": 68719476737,
        }
    },
    "prefill_result": {
        "full": {"kvHandle": "kv-1", "tokens": 512},
        "least": {"kvHandle": "kv-1"},
    },
    "fleet_snapshot": {
        "full": {"token": 68719476737, "written_at": 1764000000.5, "by": N1, "fleet": FLEET_VIEW},
    },
    "routes": {
        "full": ROUTES,
        "least": {"version": 1, "routes": [], "services": []},
    },
    "configuration_snapshot": {
        "full": {
            "current": {"version": 7, "body": b"\x78\x01body"},
            "accepted": [bytes(range(16)), bytes(range(16, 32))],
            "bases": [5, 6],
            "floor": 5,
        },
        "earlier format": {
            "current": {"version": 7, "body": b"\x78\x01body"},
            "accepted": [bytes(range(16)), bytes(range(16, 32))],
        },
        "least": {"current": {}, "accepted": []},
    },
}

# The history of a voter as frames of its file, each a sample of `memory_part`, in the order of their effect.
VOTER_HISTORY: list[dict[str, Any]] = [
    {"type": "Promise", "identity": N1, "epoch": 256, "term": 1, "vote": N1},
    {"type": "Base", "index": 0, "term": 0, "voters": [], "state": b""},
    {"type": "Entries", "first": 1, "entries": [[1, [N1], b""], [1, None, b"first"], [1, None, b"lost"]]},
    {"type": "Promise", "identity": N1, "epoch": 256, "term": 2, "vote": ""},
    {"type": "Promise", "identity": N1, "epoch": 256, "term": 2, "vote": N2},
    {"type": "Entries", "first": 3, "entries": [[2, None, b"second"], [2, [N1, N2, N3], b""]]},
    {"type": "Base", "index": 3, "term": 2, "voters": [N1], "state": b"\x81state"},
    {"type": "Entries", "first": 5, "entries": [[3, None, b""], [3, None, b"third"]]},
    {"type": "Promise", "identity": N1, "epoch": 256, "term": 3, "vote": N1},
]
TORN_BYTES = 9  # missing from the last frame in the torn file


def re_encode(codec_name: str, plain: Any) -> bytes:
    """Return what the program encodes after decoding this sample."""
    codec = CODECS[codec_name]
    return codec.write(codec.read(codec.encode(plain)))


def json_compatible(plain: Any) -> Any:
    """Convert to JSON types: bytes become an object with the single key `base64`."""
    if isinstance(plain, bytes):
        return {"base64": base64.b64encode(plain).decode()}
    if isinstance(plain, dict):
        return {str(key): json_compatible(value) for key, value in plain.items()}
    if isinstance(plain, list | tuple):
        return [json_compatible(value) for value in plain]
    return plain


def encoded_history() -> bytes:
    parts = [CODECS["memory_part"].read(msgspec.msgpack.encode(part)) for part in VOTER_HISTORY]
    return state_codec.MAGIC + b"".join(map(state_codec.encode_frame, parts))


def save_json(name: str, value: Any) -> None:
    (GOLDEN / f"{name}.json").write_text(json.dumps(value, indent=1) + "\n")


def load_json(name: str) -> Any:
    return json.loads((GOLDEN / f"{name}.json").read_text())


def ended_worker_row() -> WorkerRow:
    """Return the row of a worker that has ended, as a control process stores it."""
    [record] = CODECS["control_message"].read(msgspec.msgpack.encode(WORKER_NEWS)).records[:1]
    ended = msgspec.structs.replace(record, state=workers.WorkerState.GONE)
    return worker_row(workers.WorkerStateChange(ended.instance, ended))


def database_rows(folder: Path) -> dict[str, Any]:
    """Return the schema and rows of a control process's database."""
    connection = sqlite3.connect(folder / "control.db")
    try:
        return {
            "schema": connection.execute(
                "SELECT type, name, sql FROM sqlite_master ORDER BY name"
            ).fetchall(),
            "part": connection.execute("SELECT kind, content FROM part ORDER BY kind").fetchall(),
            "entry": connection.execute("SELECT position, content FROM entry ORDER BY position").fetchall(),
            "worker": connection.execute("SELECT instance, content FROM worker ORDER BY instance").fetchall(),
        }
    finally:
        connection.close()


def write_all() -> None:
    print("written with", hazelbend.__file__)
    GOLDEN.mkdir(parents=True, exist_ok=True)
    for codec_name, samples in SAMPLES.items():
        found = {}
        for name, plain in samples.items():
            content = re_encode(codec_name, plain)
            found[name] = {
                "read": CODECS[codec_name].encode(plain).hex(),
                "written": content.hex(),
                "plain": json_compatible(CODECS[codec_name].decode(content)),
            }
        save_json(codec_name, found)

    history = encoded_history()
    (GOLDEN / "memory").write_bytes(history)
    (GOLDEN / "memory.torn").write_bytes(history[:-TORN_BYTES])
    (GOLDEN / "memory.whole").write_bytes(state_codec.encode_state(state_codec.decode_state(history)[0]))

    async def store(folder: Path) -> None:
        control_store = ControlStore(folder)
        for part in VOTER_HISTORY:
            await control_store.save([CODECS["memory_part"].read(msgspec.msgpack.encode(part))], 4)
        await control_store.save([ended_worker_row()], 4)
        await control_store.close()

    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        asyncio.run(store(folder))
        shutil.copy(folder / "control.db", GOLDEN / "control.db")
        save_json("control_db", json_compatible(database_rows(folder)))

    write_soft_state(GOLDEN / "soft_state.file", re_encode("soft_state", SAMPLES["soft_state"]["full"]))

    registry = workers.WorkerRegistry(1_000_000)
    for record in CODECS["control_message"].read(msgspec.msgpack.encode(WORKER_NEWS)).records:
        registry.merge(record, 5_000_000)
    entry = msgspec.msgpack.decode(config_state_machine.encode_config_change(6, 7, b'{"version": 7}'))
    entry.pop("body")
    save_json(
        "numbers",
        {
            "worker_digest": registry.digest,
            "change_digest": config_state_machine.digest_of(6, b'{"version": 7}').hex(),
            "change_entry": json_compatible(entry),
            "cache_head": messages.CacheUpdate.from_prefixes({}).body[:2].hex(),
            "epochs": epoch_numbers(),
        },
    )


if __name__ == "__main__":
    write_all()
