"""Reads the terms of a waiting job, which have the same form over STOMP and HTTP.

    after         `id, id;ended`: ids of jobs of the same client on which the job depends; each must have been
                  served, or with `;ended` must only have ended
    not-before    Unix time in milliseconds before which the job does not start
    wanted        milliseconds from now until the answer is wanted
    take-results  `1`: the results of the jobs in `after` are sent with the job

The HTTP header fields are X-After, X-Not-Before, X-Wanted-Ms and X-Take-Results.
"""

from __future__ import annotations

from hazelbend.job_queue.terms import Dependency, DependencyCondition, JobTerms
from hazelbend.protocol.http_fields import BadRequestError

MAX_AFTER_LENGTH = 16_384  # characters
MAX_ID_LENGTH = 128
MAX_UNIX_TIME_DIGITS = 15
MAX_WANTED_DIGITS = 9
MAX_QUOTED_LENGTH = 40  # characters of a client's text that an error message quotes
US_PER_MS = 1_000


def read_terms(after: str, not_before: str, wanted: str, take_results: str, now: int) -> JobTerms:
    """Return the terms in these texts. An empty text means that the term is not given.

    `now`: microseconds of the monotonic clock.

    Raises:
        BadRequestError: a text is not valid.
    """
    starts_at = None
    if not_before:
        starts_at = _number(not_before, "not-before", MAX_UNIX_TIME_DIGITS) * US_PER_MS
    due_at = 0
    if wanted:
        due_at = now + _number(wanted, "wanted", MAX_WANTED_DIGITS) * US_PER_MS
    return JobTerms(_after(after), starts_at, due_at, _flag(take_results))


def _after(text: str) -> tuple[Dependency, ...]:
    if len(text) > MAX_AFTER_LENGTH:
        raise BadRequestError("after is too long")
    found = []
    for dependency in text.split(",") if text else ():
        name, _, condition = (part.strip() for part in dependency.partition(";"))
        if not name or len(name) > MAX_ID_LENGTH or not name.isprintable():
            raise BadRequestError("after: an id is missing or unusable")
        try:
            found.append(Dependency(name, DependencyCondition(condition or "served")))
        except ValueError:
            raise BadRequestError(
                f"after: {condition[:MAX_QUOTED_LENGTH]!r} is neither served nor ended"
            ) from None
    return tuple(found)


def _number(text: str, name: str, max_digits: int) -> int:
    if not text.isascii() or not text.isdecimal() or len(text) > max_digits:
        raise BadRequestError(f"{name} is no whole number of milliseconds")
    return int(text)


def _flag(text: str) -> bool:
    if text not in ("", "0", "1"):
        raise BadRequestError("take-results is neither 0 nor 1")
    return text == "1"
