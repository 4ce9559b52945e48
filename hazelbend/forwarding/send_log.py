"""Log lines about the sends of requests that must not run twice.

If such a request has run more than once, the question is why it was sent again. Each send that did not end
with a response for the client leaves a line with the id of the request: the worker, how the send ended, and
what shows that. A request without such a line was sent once at most, apart from its prefill calls.
"""

from __future__ import annotations

import picologging

from hazelbend.forwarding.errors import NotSentError, OutcomeUnknownError
from hazelbend.forwarding.ports import WorkerResponse
from hazelbend.forwarding.request_context import RequestContext
from hazelbend.placement.choices import Choice

log = picologging.getLogger("hazelbend.router")


def log_rejection(context: RequestContext, choice: Choice, response: WorkerResponse) -> None:
    """Log that a worker's response says that it has not run the request, so that it may be sent again."""
    if context.route.is_idempotent:
        return
    record = choice.worker.record
    log.info(
        "router: request %s: not executed by worker %s at %s: status %d %r, "
        "local port %d, earlier requests %d",
        context.request.id,
        record.instance,
        record.address,
        response.status,
        response.reason,
        response.connection.local_port,
        response.connection.earlier_requests,
    )


def log_not_sent(context: RequestContext, choice: Choice, error: NotSentError) -> None:
    """Log that nothing was sent to a worker, so that the request may be sent to another one."""
    _log_error(context, choice, "not sent to", error)


def log_unknown_outcome(context: RequestContext, choice: Choice, error: OutcomeUnknownError) -> None:
    """Log that a worker may have run the request, so that it must not be sent again."""
    _log_error(context, choice, "may have been executed by", error)


def _log_error(
    context: RequestContext, choice: Choice, outcome: str, error: NotSentError | OutcomeUnknownError
) -> None:
    if context.route.is_idempotent:
        return
    record = choice.worker.record
    log.info(
        "router: request %s: %s worker %s at %s: %s %r",
        context.request.id,
        outcome,
        record.instance,
        record.address,
        type(error).__name__,
        str(error),
    )
