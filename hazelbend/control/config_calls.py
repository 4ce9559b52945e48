"""Operators' calls to put and read the configuration, from the call until the replicated log decides it."""

from __future__ import annotations

from collections.abc import Callable

from hazelbend.consensus.raft import RaftNode
from hazelbend.control.config_state_machine import ChangeResult, ConfigStateMachine, encode_config_change
from hazelbend.control.outputs import CallOutcome, PutOutcome, ReadOutcome


class ConfigCalls:
    """The calls that are pending."""

    def __init__(
        self, raft: RaftNode, state_machine: ConfigStateMachine, next_request_id: Callable[[], int]
    ) -> None:
        self._raft = raft
        self._state_machine = state_machine
        self._next_request_id = next_request_id
        self._puts: dict[int, int] = {}  # request id by the log's ticket
        self._reads: dict[int, int] = {}  # request id by the log's ticket

    def put(self, base: int, version: int, body: bytes, now: int) -> int | None:
        """Propose a validated configuration; see `ControlEngine.put_config`."""
        ticket = self._raft.propose(encode_config_change(base, version, body), now)
        if ticket is None:
            return None
        request_id = self._next_request_id()
        self._puts[ticket] = request_id
        return request_id

    def read(self, now: int) -> int | None:
        """Read the newest committed configuration; see `ControlEngine.read_config`."""
        ticket = self._raft.read(now)
        if ticket is None:
            return None
        request_id = self._next_request_id()
        self._reads[ticket] = request_id
        return request_id

    def take_outcomes(self) -> list[CallOutcome]:
        """The outcomes of calls that the log has decided since the last call."""
        outcomes: list[CallOutcome] = []
        decided = self._raft.done
        self._raft.done = []
        for done in decided:
            if (request_id := self._puts.pop(done.ticket, None)) is not None:
                result = done.result if done.ok and isinstance(done.result, ChangeResult) else None
                outcomes.append(PutOutcome(request_id, result))
            elif (request_id := self._reads.pop(done.ticket, None)) is not None:
                outcomes.append(ReadOutcome(request_id, self._state_machine.current if done.ok else None))
        return outcomes
