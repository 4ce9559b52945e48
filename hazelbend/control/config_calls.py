"""Operators' calls that put and read the configuration, pending until the replicated log decides them."""

from __future__ import annotations

from collections.abc import Callable

from hazelbend.consensus.raft import RaftNode, ReadIndexOutcome
from hazelbend.control.config_state_machine import ChangeResult, ConfigStateMachine, encode_config_change
from hazelbend.control.outputs import CallOutcome, PutOutcome, ReadOutcome


class ConfigCalls:
    """The pending calls."""

    def __init__(
        self, raft: RaftNode, state_machine: ConfigStateMachine, next_request_id: Callable[[], int]
    ) -> None:
        self._raft = raft
        self._state_machine = state_machine
        self._next_request_id = next_request_id
        self._puts: dict[int, int] = {}  # request id by proposal id
        self._reads: dict[int, int] = {}  # request id by read id

    def put(self, base: int, version: int, body: bytes, now: int) -> int | None:
        """Propose a validated configuration; see `ControlEngine.put_config`."""
        proposal_id = self._raft.propose(encode_config_change(base, version, body), now)
        return None if proposal_id is None else self.track_proposal(proposal_id)

    def track_proposal(self, proposal_id: int) -> int:
        """Report the outcome of this proposal as a `PutOutcome`; returns its request id."""
        request_id = self._next_request_id()
        self._puts[proposal_id] = request_id
        return request_id

    def read(self, now: int) -> int | None:
        """Read the newest committed configuration; see `ControlEngine.read_config`."""
        read_id = self._raft.request_read(now)
        if read_id is None:
            return None
        request_id = self._next_request_id()
        self._reads[read_id] = request_id
        return request_id

    def take_outcomes(self) -> list[CallOutcome]:
        """The outcomes of the operators' calls that were decided since the last call of this method."""
        outcomes: list[CallOutcome] = []
        raft_outcomes = self._raft.outcomes
        self._raft.outcomes = []
        for outcome in raft_outcomes:
            if isinstance(outcome, ReadIndexOutcome):
                if (request_id := self._reads.pop(outcome.read_id, None)) is not None:
                    config = self._state_machine.current if outcome.confirmed else None
                    outcomes.append(ReadOutcome(request_id, config))
            elif (request_id := self._puts.pop(outcome.proposal_id, None)) is not None:
                result = outcome.result if isinstance(outcome.result, ChangeResult) else None
                outcomes.append(PutOutcome(request_id, result))
        return outcomes
