"""The simulator link: decoding of events, encoding of replies, the loop, and malformed input."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hazelbend.benchlink import event_loop, records
from hazelbend.benchlink.decoder import Decoder, settings_from_json
from hazelbend.benchlink.encoder import encode_reply
from hazelbend.benchlink.errors import MalformedInputError
from hazelbend.benchlink.messages import Message
from hazelbend.decisions import interface as dy
from hazelbend.decisions.dispatcher import Dispatcher

U32 = st.integers(0, 2**32 - 1)
U52 = st.integers(0, 2**52 - 1)


def record(code: int, layout: str, *values: float) -> bytes:
    return struct.pack("<B" + layout, code, *values).ljust(records.EVENT_SIZE, b"\0")


def batch(rows: list[bytes], tail: bytes = b"", now: int = 5) -> bytes:
    body = b"".join(rows) + tail
    return records.BATCH_HEADER.pack(len(rows), len(body), now) + body


def decode(rows: list[bytes], tail: bytes = b"") -> list[tuple[int, Message]]:
    return Decoder().decode(len(rows), b"".join(rows) + tail)


def to(instance: int) -> bytes:
    return record(130, "I", instance)


def run(data: bytes) -> bytes:
    sink = io.BytesIO()
    event_loop.run(io.BytesIO(data), sink)
    return sink.getvalue()


CONF = json.dumps({"lanes": [{"semantics": "read_like", "objective_us": 1000}], "unheard_of": 1}).encode()
ENTRY = struct.pack("<IBBHBfQ", 77, 1, 0, 5, 1, 2.0, 0)
START = [
    record(130, "I", 3),
    record(10, "QII", 9, 0, len(CONF)),
    record(110, "BII", 0, len(CONF), 1),
    record(20, "BQB", 2, 1, 0),
]


@given(xid=U52, patience=U32, hint=U32, valid=st.booleans(), key=st.integers(0, 2**64 - 1))
def test_request(xid, patience, hint, valid, key):
    row = record(30, "QHBQHfIIf", xid, 1, valid, key, 2, 2.0, patience, hint, 0.0)
    [(instance, event)] = decode([to(4), row])
    assert instance == 4
    assert event == dy.RequestArrived(xid, patience, 2, 1, 2.0, hint if valid else 0, key)


@given(xid=U52, worker=U32, outcome=st.sampled_from(list(dy.Outcome)), closed=st.booleans(), elapsed=U32)
def test_outcome(xid, worker, outcome, closed, elapsed):
    row = record(50, "QBIHIIBB4f", xid, closed, worker, outcome, elapsed, 0, 2, 0, 0.0, 0.0, 0.0, 0.0)
    assert decode([to(1), row]) == [(1, dy.AttemptEnded(xid, worker, 2, outcome, closed, elapsed, None))]


def test_load_report_values_are_read_by_the_configured_columns():
    words = {"report": {"columns": ["backlog", "x0"]}, "domain": {"report_x0": "free slots"}}
    conf = json.dumps(words).encode()
    probe = record(80, "HIIB4f", 1, 7, 20, 2, 3.0, 4.0, 9.0, 9.0)
    messages = decode([to(1), record(10, "QII", 1, 0, len(conf)), probe], conf)
    assert messages[1][1] == dy.ProbeEnded(7, dy.Outcome.SERVED, 20, dy.LoadReport(None, 3.0, 4.0))


@given(xid=U52, worker=U32, number=st.integers(0, 255), token=st.integers(0, 2**64 - 1))
def test_actions(xid, worker, number, token):
    actions = [
        dy.Send(xid, worker, 5),
        dy.Refuse(xid, 6),
        dy.Fail(xid),
        dy.Cancel(xid, number),
        dy.StartTimer(7, token),
        dy.Probe(worker),
        dy.Subscribe(),
    ]
    reply = encode_reply([(3, actions), (4, [])])
    size, count = records.REPLY_HEADER.unpack_from(reply)
    assert (count, size, len(reply)) == (8, 8 * records.ACTION_SIZE, 8 + 8 * records.ACTION_SIZE)
    rows = [reply[8 + 24 * i : 32 + 24 * i] for i in range(count)]
    assert struct.unpack_from("<BI", rows[0]) == (130, 3)
    assert struct.unpack_from("<BQII", rows[1]) == (10, xid, 5, worker)
    assert struct.unpack_from("<BQI", rows[2]) == (20, xid, 6)
    assert struct.unpack_from("<BQ", rows[3]) == (30, xid)
    assert struct.unpack_from("<BQB", rows[4]) == (40, xid, number)
    assert struct.unpack_from("<BIQ", rows[5]) == (50, 7, token)
    assert struct.unpack_from("<BI", rows[6]) == (60, worker)
    assert struct.unpack_from("<BB", rows[7]) == (110, 1)


def test_empty_batch_has_an_empty_reply():
    assert run(batch([])) == records.REPLY_HEADER.pack(0, 0)


def test_request_is_sent_to_the_listed_worker():
    request = record(30, "QHBQHfIIf", 12, 0, 0, 0, 0, 1.0, 1_000_000, 0, 0.0)
    reply = run(batch([*START, request], CONF + ENTRY))
    assert struct.pack("<BQII", 10, 12, 0, 77) in reply


def test_membership_update_uses_the_last_list_with_its_number():
    other = struct.pack("<IBBHBfQ", 88, 1, 0, 5, 1, 2.0, 0)
    rows = [to(1), record(110, "BII", 0, 0, 1), record(20, "BQB", 1, 1, 0)]
    rows += [record(110, "BII", 0, len(ENTRY), 1), record(20, "BQB", 1, 2, 0)]
    assert [message.entries[0].worker for _, message in decode(rows, ENTRY + other)] == [77, 88]


def test_event_for_a_killed_instance_is_rejected():
    data = batch(START, CONF + ENTRY) + batch([to(3), record(100, "")])
    with pytest.raises(MalformedInputError, match="before its settings"):
        run(data + batch([to(3), record(70, "Q", 0)]))


MALFORMED = {
    "unknown code": batch([to(1), record(99, "")]),
    "before any instance": batch([record(60, "Q", 1)]),
    "do not fit": records.BATCH_HEADER.pack(9, 0, 0),
    "input ends after 3 bytes": b"abc",
    "input ends after 2 of 48": records.BATCH_HEADER.pack(1, 48, 0) + b"ab",
    "outside the tail": batch([to(1), record(10, "QII", 1, 0, 500)], b"{}"),
    "never declared": batch([to(1), record(20, "BQB", 1, 1, 4)]),
    "not a JSON object": batch([to(1), record(10, "QII", 1, 0, 2)], b"[]"),
    "not JSON": batch([to(1), record(10, "QII", 1, 0, 2)], b"{x"),
    "unknown outcome": batch([to(1), record(80, "HIIB4f", 44, 7, 20, 0, 0.0, 0.0, 0.0, 0.0)]),
    "is not a number": batch([to(1), record(10, "QII", 1, 0, 18)], b'{"fleet_size": []}'),
}


@pytest.mark.parametrize("words", MALFORMED)
def test_malformed_input_ends_with_one_line_on_stderr(words):
    command = [sys.executable, "-m", "hazelbend.benchlink"]
    done = subprocess.run(command, input=MALFORMED[words], capture_output=True, check=False)
    assert done.returncode != 0
    assert done.stdout == b""
    assert words in done.stderr.decode()
    assert done.stderr.count(b"\n") == 1


@given(data=st.binary(max_size=300))
def test_noise_never_ends_in_a_traceback(data):
    try:
        run(data)
    except MalformedInputError as error:
        assert str(error)


def test_exception_in_the_decision_module_is_reported(monkeypatch):
    def fail(self, event, now):
        raise ValueError("failure in a test")

    monkeypatch.setattr(Dispatcher, "handle", fail)
    reply = run(batch(START, CONF + ENTRY))
    assert reply[8 + records.ACTION_SIZE] == 100
    assert reply.endswith(b"ValueError: failure in a test")


def test_missing_settings_get_the_defaults():
    assert settings_from_json(b"{}") == (dy.Settings(), ())
