"""The destinations of the STOMP listener, and the headers of the frames that are sent to them."""

from __future__ import annotations

import math
from hashlib import blake2b
from urllib.parse import quote

from hazelbend.protocol.http_fields import BadRequestError, Catalogue, affinity_key, parse_slots, timeout_us
from hazelbend.protocol.stomp import Frame
from hazelbend.routing.ports import Answer, Job, Verdict

JOBS_DESTINATION = "/hazelbend/jobs"  # clients send jobs here
ANSWERS_DESTINATION = "/hazelbend/answers"  # clients subscribe to the answers to their jobs
CANCEL_DESTINATION = "/hazelbend/cancel"  # clients send the request-id of a waiting job here to cancel it
WORK_DESTINATION = "/hazelbend/work"  # servers subscribe to jobs
UPDATES_DESTINATION = "/hazelbend/news"  # servers report the progress and the end of jobs here

MAX_REQUEST_ID_LENGTH = 128  # characters
MAX_KEY_LENGTH = 256
JOB_ID_BYTES = 16
US_PER_MS = 1_000
MS_PER_S = 1_000


def request_id(frame: Frame) -> str:
    """Return the client's own id for a job.

    Raises:
        BadRequestError: the id is missing or unusable.
    """
    text = frame.get("request-id")
    if not text or len(text) > MAX_REQUEST_ID_LENGTH or not text.isprintable():
        raise BadRequestError("request-id is missing or unusable")
    return text


def read_job(frame: Frame, identity: str, catalogue: Catalogue) -> Job:
    """Return the job in a client's SEND frame.

    Its id is a digest of the client's identity and the client's own id for the job.

    Raises:
        BadRequestError: the job cannot be accepted.
    """
    own_id = request_id(frame)
    key = frame.get("key")
    index = catalogue.class_index(frame.get("class"))
    request_class = catalogue.classes[index]
    if len(key) > MAX_KEY_LENGTH:
        raise BadRequestError(f"key is over {MAX_KEY_LENGTH} characters")
    job_id = blake2b(f"{identity}\0{own_id}".encode(), digest_size=JOB_ID_BYTES).hexdigest()
    path = f"/{quote(request_class.name, safe='')}"
    quoted_key = quote(key, safe="")
    return Job(
        id=job_id,
        class_index=index,
        tenant=catalogue.tenant_index(frame.get("tenant") or None),
        timeout_us=timeout_us(frame.headers.get("deadline"), request_class.deadline_ms, catalogue.margin_us),
        key=affinity_key(quoted_key),
        slots=parse_slots(f"slots={frame.get('slots', '1')}"),
        target=f"{path}/{quoted_key}" if key else path,
        body=frame.body,
        idempotency_key=job_id if request_class.needs_idempotency_key else None,
    )


def answer_headers(answer: Answer) -> dict[str, str]:
    """Return the headers of the MESSAGE with an answer for a client; `retry-after` is in seconds."""
    headers = {"status": answer.verdict.value}
    if answer.verdict is Verdict.REFUSED and answer.retry_after > 0:
        milliseconds = math.ceil(answer.retry_after / US_PER_MS)
        headers["retry-after"] = f"{milliseconds / MS_PER_S:.3f}"
    if answer.verdict is Verdict.FAILED and answer.is_expired:
        headers["reason"] = "deadline"
    if answer.reason:
        headers["reason"] = answer.reason
    return headers


def work_headers(job: Job, remaining_us: int, catalogue: Catalogue) -> dict[str, str]:
    """Return the headers of the MESSAGE with a job for a server.

    `remaining_us`: microseconds until the client gives up.
    """
    headers = {
        "request-id": job.id,
        "class": catalogue.classes[job.class_index].name,
        "deadline": str(max(remaining_us // US_PER_MS, 1)),
        "target": job.target,
    }
    if catalogue.tenants:
        headers["tenant"] = catalogue.tenants[job.tenant]
    if job.idempotency_key is not None:
        headers["idempotency-key"] = job.idempotency_key
    return headers
