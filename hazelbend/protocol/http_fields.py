"""Reads a job from the header fields of a client's HTTP request.

The fields are X-Request-ID, X-Priority-Class, X-Tenant-Id, X-Timeout-Ms, X-Attrs, X-Cost and Idempotency-Key
(draft-ietf-httpapi-idempotency-key-header). Unusable fields raise BadRequestError.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from math import isfinite

from multidict import MultiMapping

from hazelbend.routing.ports import Job

MAX_TARGET_LENGTH = 8_190  # characters
MAX_REQUEST_ID_LENGTH = 128
MAX_IDEMPOTENCY_KEY_LENGTH = 256
MAX_TIMEOUT_DIGITS = 9
MAX_COST_DIGITS = 9
MAX_SLOTS = 1_000
MAX_QUOTED_LENGTH = 40  # characters of a client's text that an error message quotes
ANSWER_MARGIN_US = 25_000
ANSWER_MARGIN_DIVISOR = 10  # the margin is at most the timeout divided by this
US_PER_MS = 1_000
AFFINITY_KEY_BYTES = 8


class BadRequestError(Exception):
    """A client's request cannot be accepted; the text is the reason that the client gets."""


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The properties of a request class that a client listener needs."""

    name: str
    deadline_ms: int
    needs_idempotency_key: bool


@dataclass(slots=True, frozen=True)
class Catalogue:
    """The names of classes and tenants that requests may use, in the order of the settings."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[str, ...]
    margin_us: int = ANSWER_MARGIN_US  # reserved from a client's timeout for transmission in both directions

    def extends(self, older: Catalogue) -> bool:
        """Whether every name in the older catalogue has the same index here."""
        names = tuple(row.name for row in self.classes)
        older_names = tuple(row.name for row in older.classes)
        older_tenants = older.tenants
        return (
            names[: len(older_names)] == older_names and self.tenants[: len(older_tenants)] == older_tenants
        )

    def class_index(self, name: str) -> int:
        """Return the index of a class.

        Raises:
            BadRequestError: there is no class with this name.
        """
        for index, row in enumerate(self.classes):
            if row.name == name:
                return index
        raise BadRequestError(f"unknown class {name[:MAX_QUOTED_LENGTH]!r}")

    def tenant_index(self, name: str | None) -> int:
        """Return the index of a tenant; 0 if the settings have no tenants.

        Raises:
            BadRequestError: there is no tenant with this name.
        """
        if not self.tenants:
            return 0
        if name not in self.tenants:
            raise BadRequestError(f"unknown tenant {(name or '')[:MAX_QUOTED_LENGTH]!r}")
        return self.tenants.index(name)


def affinity_key(text: str) -> int:
    """Return a 64-bit hash of a request's key, the same on all dispatchers; 0 for an empty text."""
    if not text:
        return 0
    return int.from_bytes(blake2b(text.encode(), digest_size=AFFINITY_KEY_BYTES).digest()) or 1


def timeout_us(text: str | None, class_deadline_ms: int, margin_us: int) -> int:
    """Return the microseconds within which an answer is due, for a client's timeout in milliseconds.

    The timeout is limited to the class's deadline, so that a planned shutdown never waits longer for one
    request. The class's deadline also applies if the client gives no timeout (None). A margin for
    transmission in both directions is subtracted.

    Raises:
        BadRequestError: the text is not a whole number of milliseconds.
    """
    if text is None:
        milliseconds = class_deadline_ms
    elif text.isascii() and text.isdecimal() and len(text) <= MAX_TIMEOUT_DIGITS:
        milliseconds = min(int(text), class_deadline_ms)
    else:
        raise BadRequestError("the time-out is no whole number of milliseconds")
    total_us = milliseconds * US_PER_MS
    return total_us - min(margin_us, total_us // ANSWER_MARGIN_DIVISOR)


def parse_slots(text: str | None) -> float:
    """Return the job's slots from `name=value,name=value`; 1 if there is no `slots`.

    Raises:
        BadRequestError: the value is not a valid number of slots.
    """
    for attribute in (text or "").split(","):
        name, _, value = attribute.partition("=")
        if name.strip() == "slots":
            try:
                number = float(value)
            except ValueError:
                number = 0.0
            if not isfinite(number) or not 0 < number <= MAX_SLOTS:
                raise BadRequestError("slots is no number that a job can have")
            return number
    return 1.0


def read_job(target: str, headers: MultiMapping[str], body: bytes, catalogue: Catalogue) -> Job:
    """Return the job in a request for `target`, which is the path and query as received.

    Raises:
        BadRequestError: the request cannot be accepted.
    """
    if not target.startswith("/") or not _is_forwardable(target, MAX_TARGET_LENGTH) or "#" in target:
        raise BadRequestError("the target is no plain path")
    segments = target.partition("?")[0].split("/")
    request_id = _single_value(headers, "X-Request-ID") or ""
    if not _is_forwardable(request_id, MAX_REQUEST_ID_LENGTH):
        raise BadRequestError("X-Request-ID is missing or unusable")
    class_name = _single_value(headers, "X-Priority-Class")
    index = catalogue.class_index(segments[1] if class_name is None else class_name)
    request_class = catalogue.classes[index]
    if segments[1] != request_class.name:
        raise BadRequestError("the path is of another class")  # backends determine the class by the path
    idempotency_key = _single_value(headers, "Idempotency-Key")
    if request_class.needs_idempotency_key and not idempotency_key:
        raise BadRequestError("Idempotency-Key is missing")
    if idempotency_key is not None and not _is_forwardable(idempotency_key, MAX_IDEMPOTENCY_KEY_LENGTH):
        raise BadRequestError("Idempotency-Key is unusable")
    cost = headers.get("X-Cost", "")
    has_cost = cost.isascii() and cost.isdecimal() and len(cost) <= MAX_COST_DIGITS
    return Job(
        id=request_id,
        class_index=index,
        tenant=catalogue.tenant_index(_single_value(headers, "X-Tenant-Id")),
        timeout_us=timeout_us(
            _single_value(headers, "X-Timeout-Ms"), request_class.deadline_ms, catalogue.margin_us
        ),
        key=affinity_key(segments[-1]) if len(segments) > 2 else 0,
        slots=parse_slots(_single_value(headers, "X-Attrs")),
        expected_work=int(cost) if has_cost else 0,
        target=target,
        body=body,
        idempotency_key=idempotency_key,
    )


def _single_value(headers: MultiMapping[str], name: str) -> str | None:
    """Return the value of a field; None if the request does not have it.

    Several values are rejected, because a backend might use a different one.
    """
    values = headers.getall(name, [])
    if len(values) > 1:
        raise BadRequestError(f"{name} stands there more than once")
    return values[0] if values else None


def _is_forwardable(text: str, max_length: int) -> bool:
    """Whether the text can be forwarded unchanged to a backend in a header field."""
    return 0 < len(text) <= max_length and text.isascii() and text.isprintable()
