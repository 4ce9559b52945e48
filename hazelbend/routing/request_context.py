"""The state of one request, from its arrival until it has its answer and its last attempt has ended."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from hazelbend.routing.ports import Answer, AttemptResult, BackendClient, Job
from hazelbend.routing.request_events import ClientDisconnected, RequestEvent
from hazelbend.routing.table import Backend


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a backend. Times are microseconds."""

    backend: Backend | None  # None: it was no longer listed when the attempt started
    worker_id: int
    started_at: int
    deadline: int
    client: BackendClient | None  # for the backend's address when the attempt started
    task: asyncio.Task[AttemptResult] | None = None
    is_permitted: bool = False  # it passed the check before the first byte and can no longer be withdrawn
    is_written: bool = False  # its last byte was written: from now on it may be executed
    is_reported: bool = False  # its result was put into the request's inbox
    is_finished: bool = False  # its result was handled


@dataclass(slots=True, eq=False)
class RequestContext:
    """The state of one request. Times are microseconds."""

    number: int
    job: Job
    arrived_at: int
    inbox: asyncio.Queue[RequestEvent] = field(default_factory=asyncio.Queue)
    attempts: list[Attempt] = field(default_factory=list)
    answered: asyncio.Future[Answer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    client_disconnected: bool = False  # set at once; the event `ClientDisconnected` goes through the inbox
    abandoned: bool = False  # its client disconnected before the answer, and it was counted as such
    task: asyncio.Task[None] | None = None
    replies: list[asyncio.Future[Answer]] = field(default_factory=list)  # returned by `reply`, not yet set

    @property
    def deadline(self) -> int:
        """The time at which the client gives up."""
        return self.arrived_at + self.job.timeout_us

    @property
    def is_closed(self) -> bool:
        """Whether no attempt may be sent any more: it has its answer, or its client has disconnected."""
        return self.client_disconnected or self.answered.done()

    @property
    def has_pending_events(self) -> bool:
        """Whether events are in its inbox, or attempts have yet to report their results."""
        return not (self.inbox.empty() and all(attempt.is_finished for attempt in self.attempts))

    def on_client_disconnected(self) -> None:
        """Record that the client has disconnected. No attempt is sent from this moment on."""
        if not self.client_disconnected:
            self.client_disconnected = True
            self.inbox.put_nowait(ClientDisconnected())

    def reply(self) -> asyncio.Future[Answer]:
        """Return a future of the answer, which the caller may cancel without affecting `answered`.

        It is set in the same iteration of the event loop as the answer. Callbacks of `answered` run one
        iteration later.
        """
        reply = asyncio.get_running_loop().create_future()
        if self.answered.done():
            reply.set_result(self.answered.result())
        else:
            self.replies.append(reply)
        return reply

    def withdraw_attempts(self) -> None:
        """Cancel the attempts of which nothing was written, whether or not the module cancels them too."""
        for attempt in self.attempts:
            if attempt.task is not None and not attempt.is_permitted and not attempt.is_finished:
                attempt.task.cancel()

    def cancel_attempts(self) -> None:
        """Cancel all attempts that have not finished."""
        for attempt in self.attempts:
            if attempt.task is not None and not attempt.is_finished:
                attempt.task.cancel()
