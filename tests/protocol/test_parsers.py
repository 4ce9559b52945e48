"""Every parser returns a value or raises its documented error, for valid, cut, corrupted and random input."""

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
from tests.support.parser_kit import SEEDS, assert_raises_only, malformed_bytes, random_chunks
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
    lines = (line.partition(":") for line in data.decode("latin-1").split("\n"))
    return stomp_jobs.read_job(
        stomp.Frame("SEND", {name: value for name, _, value in lines}), "me", CATALOGUE
    )


def read_http_job(data: bytes) -> object:
    target, *lines = data.decode("latin-1").split("\n")
    headers = CIMultiDict((name, value) for name, _, value in (line.partition(":") for line in lines))
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
# For each parser: the function, valid input, and the errors that it may raise on invalid input.
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
    "http fields": (read_http_job, HEAD, BadRequestError),
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
def test_parser_raises_only_its_own_errors_on_garbage(name):
    parse, valid, errors = PARSERS[name]
    parse(valid)

    @given(SEEDS)
    def parse_garbage(seed):
        assert_raises_only(parse, malformed_bytes(valid, seed), *getattr(errors, "__args__", (errors,)))

    parse_garbage()


@given(
    st.lists(st.tuples(FRAME, st.binary(max_size=20)), min_size=1, max_size=4),
    SEEDS,
    st.sampled_from(["1.1", "1.2"]),
)
def test_frames_are_decoded_from_pieces_of_any_size(frames_and_bodies, seed, version):
    frames = [
        stomp.Frame(frame.command, frame.headers, body if frame.command == "SEND" else b"")
        for frame, body in frames_and_bodies
    ]
    reader = stomp.FrameReader()
    reader.version = version
    data = b"\n".join(stomp.encode(frame, version) for frame in frames) + b"\r\n"
    items = [item for piece in random_chunks(data, seed) for item in reader.feed(piece)]
    assert sum(isinstance(item, stomp.HeartBeat) for item in items) == len(frames)
    decoded_frames = [item for item in items if isinstance(item, stomp.Frame)]
    for frame, decoded in zip(frames, decoded_frames, strict=True):
        headers = {name: decoded.headers[name] for name in decoded.headers if name != "content-length"}
        expected = frame.headers if version == "1.2" else without_carriage_returns(frame.headers)
        assert (decoded.command, headers, decoded.body) == (frame.command, expected, frame.body)


def without_carriage_returns(headers):
    """Return the headers as version 1.1 encodes them: it has no escape for a carriage return."""
    found = {}
    for name, value in headers.items():
        found.setdefault(name.replace("\r", ""), value.replace("\r", ""))
    return found


@pytest.mark.parametrize(
    ("data", "message"),
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
def test_invalid_frame_raises_an_error_that_names_the_fault(data, message):
    with pytest.raises(stomp.StompError, match=message):
        read_frames(data)


def test_first_of_repeated_headers_counts_and_lines_may_end_in_crlf():
    [frame] = read_frames(b"SEND\r\na:1\r\na:2\r\n\r\n\0")
    assert frame.headers == {"a": "1"}


def test_heart_beat_interval_is_the_longer_of_both_sides():
    assert stomp.heart_beat_intervals("50,2000", (1_000, 1_000)) == (2_000, 1_000)
    assert stomp.heart_beat_intervals("0,0", (1_000, 1_000)) == (0, 0)


def test_zone_and_kind_names_in_a_list_are_decoded_to_numbers():
    endpoints = EndpointListCodec(("konya-1", "ankara-1"), ("big-box",)).decode(orjson.dumps(LIST))
    assert (
        endpoints.seq,
        endpoints.is_complete,
        endpoints.entries[0].zone,
        endpoints.entries[0].kind,
    ) == (41, True, 1, 0)
    other = LIST | {"hosts": [LIST["hosts"][0] | {"born_ms": 5, "site": "izmir-1"}]}
    [entry] = EndpointListCodec(("a", "b"), ()).decode(orjson.dumps(other)).entries
    assert (entry.zone, entry.started_at) == (2, 5_000), (
        "a zone that is not in the settings gets a new number"
    )


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
def test_list_with_an_invalid_entry_is_rejected(change):
    with pytest.raises(ValueError, match="list"):
        EndpointListCodec((), ()).decode(orjson.dumps(LIST | {"hosts": [LIST["hosts"][0] | change]}))


def test_worker_lines_are_decoded_to_progress_or_results():
    def read_fields(**fields):
        return read_line(orjson.dumps({"id": "9b", **fields}), "9b", FIELDS)

    assert read_fields(state="started") == ProgressReport()
    assert read_fields(state="running", share=0.4) == ProgressReport(0.4)
    assert read_fields(state="dreaming") is None
    assert read_fields(**LINE) == AttemptResult(Outcome.SERVED, "ü".encode(), LoadReport(7.0, 2.0, 1.5))
    outcomes = {state: read_fields(state=state).outcome for state in ("failed", "returned", "lost")}
    assert list(outcomes.values()) == [Outcome.ERROR, Outcome.FULL, Outcome.RESET]
    with pytest.raises(ValueError, match="this job"):
        read_fields(id="another", state="done", result="x")
    with pytest.raises(ValueError, match="result"):
        read_fields(state="done")


def test_job_is_read_from_the_header_fields():
    job = read_http_job(HEAD)
    assert (job.id, job.class_index, job.slots, job.expected_work, job.target) == (
        "9b",
        0,
        2.0,
        9,
        "/nearby/17?x=%20",
    )
    assert 0 < job.timeout_us < 480_000, "a margin of the client's timeout is reserved for transmission"
    assert job.key == read_http_job(HEAD.replace(b"?x=%20", b"")).key, (
        "the key is the last segment of the path, without the query"
    )
    assert len(astuple(job)) == 10


def test_timeout_is_limited_to_the_deadline_of_the_class():
    """A planned shutdown waits for every request, so none may have a timeout of an hour."""
    assert read_http_job(HEAD.replace(b":480", b":999999999")).timeout_us <= 5_000_000
    assert read_http_job(HEAD.replace(b"X-Timeout-Ms:480\n", b"")).timeout_us <= 5_000_000


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
def test_job_with_an_invalid_field_is_rejected(change):
    with pytest.raises(BadRequestError):
        read_http_job(HEAD.replace(*change))


def test_keyed_job_without_an_idempotency_key_is_rejected():
    with pytest.raises(BadRequestError, match="Idempotency-Key"):
        read_http_job(HEAD.replace(b"nearby", b"reserve"))


def test_settings_that_are_not_an_object_are_rejected():
    with pytest.raises(SettingsError):
        settings_from([])
