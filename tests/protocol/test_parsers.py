"""Every parser, by random cuts of valid messages and by garbage: a value or a plain no, nothing else."""

from dataclasses import astuple

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict

from hazelbend.decisions.interface import LoadReport, Outcome
from hazelbend.decisions.settings import SettingsError, settings_from
from hazelbend.dispatcher.config import ConfigError, from_object
from hazelbend.protocol import stomp, stomp_jobs
from hazelbend.protocol.discovery import EndpointListCodec
from hazelbend.protocol.http_fields import BadRequestError, Catalogue, RequestClass, read_job
from hazelbend.protocol.worker_lines import LoadReportFields, read_line
from hazelbend.routing.ports import AttemptResult, ProgressReport
from tests.support.parser_kit import SEEDS, malformed_bytes, random_chunks, assert_raises_only
from tests.support.site_kit import SETTINGS, host_entry

FIELDS = LoadReportFields({"inflight": "in_flight", "queue": "queued", "x0": "free_slots"})
CATALOGUE = Catalogue(
    (RequestClass("nearby", 5_000, False), RequestClass("reserve", 7_500, True)), ("ege-volt",)
)
LIST = {
    "seq": 41,
    "whole": True,
    "hosts": [host_entry("s-1", "127.0.0.1:70"), host_entry("s-2", "h:7", "DRAINING")],
}
LINE = {
    "id": "9b",
    "from": "s",
    "state": "done",
    "result": "ü",
    "load": {"inflight": 7, "queue": 2, "x0": 1.5},
}
HEAD = (
    b"/nearby/17?x=%20\nX-Request-ID:9b\nX-Tenant-Id:ege-volt\nX-Timeout-Ms:480\n"
    b"X-Attrs:slots=2,memory=1\nX-Cost:9"
)
TEXT = st.text(st.characters(exclude_categories=["Cs"], exclude_characters="\0"), max_size=12)
FRAME = st.builds(
    stomp.Frame,
    st.sampled_from(["SEND", "SUBSCRIBE", "ACK"]),
    st.dictionaries(TEXT.filter(lambda name: name and name != "content-length"), TEXT, max_size=4),
)


def read_frames(data: bytes) -> list[stomp.Frame | stomp.HeartBeat]:
    return list(stomp.FrameReader().feed(data))


def read_stomp_job(data: bytes) -> object:
    rows = (row.partition(":") for row in data.decode("latin-1").split("\n"))
    return stomp_jobs.read_job(stomp.Frame("SEND", {name: value for name, _, value in rows}), "me", CATALOGUE)


def read_http(data: bytes) -> object:
    target, *rows = data.decode("latin-1").split("\n")
    headers = CIMultiDict((name, value) for name, _, value in (row.partition(":") for row in rows))
    return read_job(target, headers, b"", CATALOGUE)


def read_config(data: bytes) -> object:
    return from_object(conf) if isinstance(conf := orjson.loads(data), dict) else None


CONF = {
    "listen": "127.0.0.1:0",
    "seed": "8c",
    "settings": SETTINGS,
    "known": LIST,
    "limits": {"sockets": 500},
}
PARSERS = {
    "stomp frames": (
        read_frames,
        stomp.encode(stomp.Frame("SEND", {"a:b": "c\\"}, b"x\0y")) * 2,
        stomp.StompError,
    ),
    "stomp jobs": (
        read_stomp_job,
        b"class:nearby\ntenant:ege-volt\ndeadline:50\nrequest-id:1\nslots:2",
        BadRequestError,
    ),
    "heart-beat": (
        lambda data: stomp.heart_beat_intervals(data.decode("latin-1"), (1, 1)),
        b"10,20",
        stomp.StompError,
    ),
    "http fields": (read_http, HEAD, BadRequestError),
    "lists": (EndpointListCodec(("a",), ("k",)).decode, orjson.dumps(LIST), ValueError),
    "worker lines": (lambda data: read_line(data, "9b", FIELDS), orjson.dumps(LINE), ValueError),
    "load reports": (
        lambda data: FIELDS.read_text(data.decode("latin-1")),
        orjson.dumps(LINE["load"]),
        KeyError,
    ),
    "settings": (lambda data: settings_from(orjson.loads(data)), orjson.dumps(SETTINGS), ValueError),
    "configuration": (read_config, orjson.dumps(CONF), ConfigError | orjson.JSONDecodeError),
}


@pytest.mark.parametrize("name", PARSERS)
def test_garbage_gets_a_value_or_a_plain_no(name):
    parse, valid, no = PARSERS[name]
    parse(valid)

    @given(SEEDS)
    def survive(seed):
        assert_raises_only(parse, malformed_bytes(valid, seed), *getattr(no, "__args__", (no,)))

    survive()


@given(
    st.lists(st.tuples(FRAME, st.binary(max_size=20)), min_size=1, max_size=4),
    SEEDS,
    st.sampled_from(["1.1", "1.2"]),
)
def test_frames_are_the_same_however_they_are_cut(parts, seed, version):
    frames = [
        stomp.Frame(frame.command, frame.headers, body if frame.command == "SEND" else b"")
        for frame, body in parts
    ]
    reader = stomp.FrameReader()
    reader.version = version
    data = b"\n".join(stomp.encode(frame, version) for frame in frames) + b"\r\n"
    items = [item for piece in random_chunks(data, seed) for item in reader.feed(piece)]
    assert sum(isinstance(item, stomp.HeartBeat) for item in items) == len(frames)
    got = [item for item in items if isinstance(item, stomp.Frame)]
    for frame, back in zip(frames, got, strict=True):
        headers = {name: back.headers[name] for name in back.headers if name != "content-length"}
        clean = frame.headers if version == "1.2" else strip_returns(frame.headers)
        assert (back.command, headers, back.body) == (frame.command, clean, frame.body)


def strip_returns(headers):
    """Version 1.1 has no escape for a carriage return."""
    found = {}
    for name, value in headers.items():
        found.setdefault(name.replace("\r", ""), value.replace("\r", ""))
    return found


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (b"GET / HTTP/1.1\r\n", "begins"),
        (b"SEND\n" + b"a:" + b"b" * stomp.MAX_HEAD_BYTES, "over"),
        (b"SEND\n" + b"a:b\n" * 65 + b"\n\0", "headers"),
        (b"SEND\ncontent-length:99999\n\n", "body"),
        (b"SEND\n\n" + b"x" * (stomp.MAX_BODY_BYTES + 1), "body"),
        (b"SEND\ncontent-length:1\n\nxy", "content-length"),
        (b"SEND\na:\\t\n\n\0", "escape"),
        (b"SEND\na\n\n\0", "header"),
        (b"ACK\nid:1\n\nx\0", "no body"),
        (b"SEND\n\xff:1\n\n\0", "UTF-8"),
    ],
)
def test_what_is_no_frame_is_told_by_its_fault(data, words):
    with pytest.raises(stomp.StompError, match=words):
        read_frames(data)


def test_of_repeated_headers_the_first_counts_and_lines_may_end_in_crlf():
    [frame] = read_frames(b"SEND\r\na:1\r\na:2\r\n\r\n\0")
    assert frame.headers == {"a": "1"}


def test_heart_beats_are_the_slower_of_both_sides_wishes():
    assert stomp.heart_beat_intervals("50,2000", (1_000, 1_000)) == (2_000, 1_000)
    assert stomp.heart_beat_intervals("0,0", (1_000, 1_000)) == (0, 0)


def test_a_list_is_read_with_its_names_as_places():
    news = EndpointListCodec(("konya-1", "ankara-1"), ("big-box",)).decode(orjson.dumps(LIST))
    assert (news.seq, news.is_complete, news.entries[0].zone, news.entries[0].kind) == (41, True, 1, 0)
    other = LIST | {"hosts": [LIST["hosts"][0] | {"born_ms": 5, "site": "izmir-1"}]}
    [entry] = EndpointListCodec(("a", "b"), ()).decode(orjson.dumps(other)).entries
    assert (entry.zone, entry.started_at) == (2, 5_000), "a zone that no setting names is a zone of its own"


@pytest.mark.parametrize(
    "change",
    [
        {"dial": "nowhere"},
        {"dial": "h:0"},
        {"health": "WELL"},
        {"host": ""},
        {"born_ms": "1"},
        {"share": True},
    ],
)
def test_a_list_with_a_bad_entry_is_a_failed_list(change):
    with pytest.raises(ValueError, match="list"):
        EndpointListCodec((), ()).decode(orjson.dumps(LIST | {"hosts": [LIST["hosts"][0] | change]}))


def test_lines_are_news_or_the_end():
    def line(**fields):
        return read_line(orjson.dumps({"id": "9b", **fields}), "9b", FIELDS)

    assert line(state="started") == ProgressReport()
    assert line(state="running", share=0.4) == ProgressReport(0.4)
    assert line(state="dreaming") is None
    assert line(**LINE) == AttemptResult(Outcome.SERVED, "ü".encode(), LoadReport(7.0, 2.0, 1.5))
    outcomes = {state: line(state=state).outcome for state in ("failed", "returned", "lost")}
    assert list(outcomes.values()) == [Outcome.ERROR, Outcome.FULL, Outcome.RESET]
    with pytest.raises(ValueError, match="this job"):
        line(id="another", state="done", result="x")
    with pytest.raises(ValueError, match="result"):
        line(state="done")


def test_a_job_is_read_from_its_fields():
    job = read_http(HEAD)
    assert (job.id, job.class_index, job.slots, job.expected_work, job.target) == (
        "9b",
        0,
        2.0,
        9,
        "/nearby/17?x=%20",
    )
    assert 0 < job.timeout_us < 480_000, "some of the client's time is kept for the way back"
    assert job.key == read_http(HEAD.replace(b"?x=%20", b"")).key, (
        "the key is the path's last part, not the query"
    )
    assert len(astuple(job)) == 10


def test_a_client_waits_no_longer_than_its_class_allows():
    """Guards a planned end, which waits for every flow: none may ask for an hour."""
    assert read_http(HEAD.replace(b":480", b":999999999")).timeout_us <= 5_000_000
    assert read_http(HEAD.replace(b"X-Timeout-Ms:480\n", b"")).timeout_us <= 5_000_000


@pytest.mark.parametrize(
    "change",
    [
        (b"9b", b""),
        (b"480", b"4.8"),
        (b"ege-volt", b"x"),
        (b"/nearby", b"/far"),
        (b"/nearby", b"nearby"),
        (b"=2", b"=-2"),
    ],
)
def test_a_job_with_a_bad_field_is_refused(change):
    with pytest.raises(BadRequestError):
        read_http(HEAD.replace(*change))


def test_a_keyed_job_needs_its_key():
    with pytest.raises(BadRequestError, match="Idempotency-Key"):
        read_http(HEAD.replace(b"nearby", b"reserve"))


def test_settings_that_are_no_object_are_refused():
    with pytest.raises(SettingsError):
        settings_from([])
