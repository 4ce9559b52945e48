"""The errors of a call to a worker, classified by whether the request may have been executed.

A request that is not idempotent may be sent again after a `NotSentError`, and never after an
`OutcomeUnknownError`.

    ForwardingError
    ├── NotSentError
    │   ├── SendWithdrawnError
    │   └── WorkerUnreachableError
    └── OutcomeUnknownError
        ├── ResponseBrokenError
        ├── InvalidResponseError
        ├── WorkerFailedError
        └── WorkerTimeoutError
"""

from __future__ import annotations


class ForwardingError(Exception):
    """A call to a worker has not produced a response for the client."""


class NotSentError(ForwardingError):
    """No byte was written, so the worker has not executed the request."""


class SendWithdrawnError(NotSentError):
    """The check before the first byte found that the worker must not get the request any more."""


class WorkerUnreachableError(NotSentError):
    """No connection to the worker could be established."""


class OutcomeUnknownError(ForwardingError):
    """The request was written at least in part, so the worker may have executed it."""


class ResponseBrokenError(OutcomeUnknownError):
    """The connection or the body ended before the response was complete."""


class InvalidResponseError(OutcomeUnknownError):
    """The response must not be forwarded to the client."""


class WorkerFailedError(OutcomeUnknownError):
    """The worker responded with a server error (5xx), and a retry at another worker is allowed."""


class WorkerTimeoutError(OutcomeUnknownError):
    """The response did not start in time, and a retry at another worker is allowed."""
