"""The values that cross the forwarder's border, and the Protocols that transports implement."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

Headers: TypeAlias = tuple[tuple[str, str], ...]
BeforeFirstByte: TypeAlias = Callable[[], int | None]
"""Asked in the turn of the loop in which a call can be written: the microseconds that are left for it, or
None where it may no longer be sent."""


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A whole request of a client. Times in microseconds."""

    id: str
    method: str
    target: str  # path and query as they came
    host: str
    headers: Headers  # those that are passed on
    body: bytes
    arrived_at: int
    patience: int | None  # what the client will wait; None: it has not said
    token_usage: str | None = None
    prefix_hash: str | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(slots=True, frozen=True)
class WorkerCall:
    """A request to a worker."""

    address: str
    request: ClientRequest
    extra: Headers


class NotSentError(Exception):
    """Not a byte was written. `withdrawn`: by our own check; else the worker could not be reached."""

    def __init__(self, withdrawn: bool) -> None:
        super().__init__("withdrawn" if withdrawn else "not reached")
        self.withdrawn = withdrawn


class BrokenError(Exception):
    """The call was written, in part at least, and its answer is not whole: it may have run."""


class WorkerAnswer(Protocol):
    """The head of a worker's answer, and the way to its body."""

    status: int
    headers: Headers
    not_executed: bool  # the worker says that it has not run the request and will not
    held: int | None  # requests that the worker says it holds

    def chunks(self) -> AsyncIterator[bytes]:
        """The body as it comes. Raises BrokenError where it ends too soon."""

    async def body(self) -> bytes:
        """The whole body. Raises BrokenError where it ends too soon."""

    def close(self) -> None:
        """Let it go; a body that was not read whole costs the connection."""


class WorkerClient(Protocol):
    """The way to the workers."""

    async def send(self, call: WorkerCall, before_first_byte: BeforeFirstByte) -> WorkerAnswer:
        """Connect, ask `before_first_byte`, write, and read the head of the answer.

        Raises:
            NotSentError: it surely has not run.
            BrokenError: it may have run.
        """

    async def free_handle(self, address: str, instance: str, handle: str) -> None:
        """Free the memory that this worker keeps under a handle; failures are nobody's concern."""


class ClientReply(Protocol):
    """The way back to the client."""

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """The whole answer at once."""

    async def begin(self, status: int, headers: Headers) -> None:
        """The head of a streamed answer."""

    async def write(self, data: bytes) -> None:
        """More of it."""

    async def finish(self) -> None:
        """Its end."""

    def abort(self) -> None:
        """It ends here and is not whole: the client must see that."""
