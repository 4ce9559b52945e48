"""The errors of a call to a worker, sorted by what is known about the execution of the request.

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
    """A call to a worker has not given a response for the client."""


class NotSentError(ForwardingError):
    """Not a byte was written: the worker has not executed the request."""


class SendWithdrawnError(NotSentError):
    """The check before the first byte found that the worker must not get the request now."""


class WorkerUnreachableError(NotSentError):
    """No connection to the worker could be made."""


class OutcomeUnknownError(ForwardingError):
    """The request was written, at least in part: the worker may have executed it."""


class ResponseBrokenError(OutcomeUnknownError):
    """The connection or the body ended before the response was complete."""


class InvalidResponseError(OutcomeUnknownError):
    """The response is not one that may be passed on as the answer to this request."""


class WorkerFailedError(OutcomeUnknownError):
    """The worker responded with a server error (5xx), and another worker may execute the request."""


class WorkerTimeoutError(OutcomeUnknownError):
    """The response has not started in time, and the request is to be sent to another worker."""
