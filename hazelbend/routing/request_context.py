"""The state of one request, from its arrival until its answer is given and its last attempt has ended."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from hazelbend.routing.ports import Answer, AttemptResult, BackendClient, Job
from hazelbend.routing.request_events import ClientDisconnected, RequestEvent
from hazelbend.routing.table import Backend


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have the request served. Times are microseconds."""

    backend: Backend | None  # None: it is not listed any more
    worker_id: int
    started_at: int
    deadline: int
    client: BackendClient | None  # for the backend's address at the start
    task: asyncio.Task[AttemptResult] | None = None
    is_permitted: bool = False  # the check before the first byte was passed: it cannot be withdrawn any more
    is_written: bool = False  # its last byte was written: from now on it may be executed
    is_reported: bool = False  # its end is in the request's inbox
    is_finished: bool = False  # and was handled


@dataclass(slots=True, eq=False)
class RequestContext:
    """One request. Times are microseconds."""

    number: int
    job: Job
    arrived_at: int
    inbox: asyncio.Queue[RequestEvent] = field(default_factory=asyncio.Queue)
    attempts: list[Attempt] = field(default_factory=list)
    answered: asyncio.Future[Answer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    client_disconnected: bool = False  # set at once; `ClientDisconnected` is handled in its turn
    abandoned: bool = False  # counted as given up by its client
    task: asyncio.Task[None] | None = None
    replies: list[asyncio.Future[Answer]] = field(default_factory=list)

    @property
    def deadline(self) -> int:
        """When the client gives up."""
        return self.arrived_at + self.job.timeout_us

    @property
    def is_closed(self) -> bool:
        """Whether nothing more may be sent: it has its answer, or its client has gone."""
        return self.client_disconnected or self.answered.done()

    @property
    def has_pending_events(self) -> bool:
        """Whether events are in its inbox, or are to come from its attempts."""
        return not (self.inbox.empty() and all(attempt.is_finished for attempt in self.attempts))

    def leave(self) -> None:
        """The client has gone: nothing is sent from this moment on."""
        if not self.client_disconnected:
            self.client_disconnected = True
            self.inbox.put_nowait(ClientDisconnected())

    def reply(self) -> asyncio.Future[Answer]:
        """Return a future of the answer that the caller may cancel; `answered` is not affected.

        It is set in the turn of the loop in which the answer is given; callbacks of `answered` run a turn
        later.
        """
        reply = asyncio.get_running_loop().create_future()
        if self.answered.done():
            reply.set_result(self.answered.result())
        else:
            self.replies.append(reply)
        return reply

    def withdraw_attempts(self) -> None:
        """Cancel the attempts of which nothing was written, whatever cancels the module may send."""
        for attempt in self.attempts:
            if attempt.task is not None and not attempt.is_permitted and not attempt.is_finished:
                attempt.task.cancel()

    def cancel_attempts(self) -> None:
        """Cancel all attempts."""
        for attempt in self.attempts:
            if attempt.task is not None and not attempt.is_finished:
                attempt.task.cancel()
