"""The HTTP API of a control process: heartbeats of workers, configurations and status for operators."""

from __future__ import annotations

import asyncio
import time

import msgspec
import picologging

from hazelbend.consensus.identity import address_of
from hazelbend.control.announcements import AnnouncementOutcome
from hazelbend.control.config_state_machine import ChangeResult, StoredConfig, decompress_body
from hazelbend.control.configuration_reader import InvalidConfigurationError, check_configuration
from hazelbend.control.outputs import PutOutcome, ReadOutcome
from hazelbend.control.worker_recovery import HeartbeatRejectedError
from hazelbend.protocol.control_calls import parse_heartbeat
from hazelbend.system.clock import clock
from hazelbend.system.control_node import ControlNode
from hazelbend.system.settings import split_address
from hazelbend.transport.http.asgi_server import HttpRequest, HttpResponse

log = picologging.getLogger("hazelbend.control")

LEADER_TIMEOUT_S = 0.7  # for a call that waits for a leader to be elected
LEADER_POLL_S = 0.02
JSON = "application/json"
MAX_VERSION_DIGITS = 19  # of a number of 64 bits

NOT_FOUND = HttpResponse(404, b"no such call\n")
WORKERS_NOT_RECOVERED = HttpResponse(503, b"just started: not all workers that have ended are known\n")
CONFIG_CONFLICT = HttpResponse(412, b"another version is current\n")
CONFIG_VERSION_NOT_NEWER = HttpResponse(400, b"version: not above the current one\n")
CONFIG_BASE_TOO_OLD = HttpResponse(503, b"too old to know whether it was taken; read the configuration\n")
CONFIG_OUTCOME_UNKNOWN = HttpResponse(503, b"not known whether it was taken; send it again\n")


class CallRejectedError(Exception):
    """A call is rejected with an error response, given in `response`."""

    def __init__(self, response: HttpResponse) -> None:
        self.response = response
        super().__init__(f"{response.status} {response.body!r}")


class ControlApi:
    """Handles calls by the engine of a `ControlNode`."""

    def __init__(self, node: ControlNode, address: str) -> None:
        """`address` is that of this API. The APIs of the other control processes have the same port."""
        self._node = node
        self._port = split_address(address)[1]

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request."""
        try:
            return await self._dispatch(request)
        except CallRejectedError as error:
            return error.response

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        match (request.method, request.path):
            case ("POST", "/config/put"):
                return await self._put_config(request)
            case ("GET", "/config/get"):
                return await self._get_config(request)
            case ("GET", "/status"):
                return self._status()
            case ("POST", "/refound"):
                return await self._force_new_cluster()
        return await self._dispatch_worker_call(request)

    async def _dispatch_worker_call(self, request: HttpRequest) -> HttpResponse:
        match (request.method, request.path.split("/")):
            case ("POST", ["", "instances", instance, "heartbeat"]):
                return await self._heartbeat(instance, request.body)
            case ("POST", ["", "instances", instance, "deregister"]):
                return await self._deregister(instance)
        return NOT_FOUND

    # --- workers ---

    async def _heartbeat(self, instance: str, body: bytes) -> HttpResponse:
        try:
            record = parse_heartbeat(instance, body)
        except ValueError as error:
            raise CallRejectedError(HttpResponse(400, f"{error}\n".encode())) from None
        now = clock()
        try:
            request_id = self._node.engine.handle_heartbeat(record, now)
        except HeartbeatRejectedError:
            raise CallRejectedError(WORKERS_NOT_RECOVERED) from None
        if request_id is None and not self._node.engine.reaches_quorum_peers(now):
            self._node.advance()
            return HttpResponse(503, b"no other control process can be reached from here\n")
        return await self._wait_for_replicas(request_id)

    async def _deregister(self, instance: str) -> HttpResponse:
        return await self._wait_for_replicas(self._node.engine.handle_deregistration(instance, clock()))

    async def _wait_for_replicas(self, request_id: int | None) -> HttpResponse:
        """Wait until enough control processes have the record. None: there is nothing to wait for."""
        if request_id is None:
            self._node.advance()
            return HttpResponse(200, b"{}", JSON)
        outcome = await self._node.wait_for_outcome(request_id)
        if not isinstance(outcome, AnnouncementOutcome) or not outcome.acknowledged:
            return HttpResponse(503, b"too few control processes hold it\n")
        return HttpResponse(200, b"{}", JSON)

    # --- configurations ---

    async def _put_config(self, request: HttpRequest) -> HttpResponse:
        base_version = _read_base_version(request)
        try:
            version = check_configuration(request.body)
        except InvalidConfigurationError as error:
            return await self._answer_invalid_config(request, base_version, error)
        await self._require_leadership(request.path)
        request_id = self._node.engine.put_config(base_version, version, request.body, clock())
        if request_id is None:
            return HttpResponse(503, b"no majority that is large enough\n")
        outcome = await self._node.wait_for_outcome(request_id)
        return _put_response(outcome.result if isinstance(outcome, PutOutcome) else None, version)

    async def _answer_invalid_config(
        self, request: HttpRequest, base_version: int, error: InvalidConfigurationError
    ) -> HttpResponse:
        """Refuse an invalid configuration, unless an earlier release, with a laxer check, accepted it.

        An accepted change must not be refused when it is sent again, and whether this one was accepted is
        known only at the leader, with a majority's confirmation.
        """
        await self._confirm_config(request.path)
        result = self._node.engine.result_of_resend(base_version, request.body)
        if result is not None:
            return _put_response(result, None)
        return HttpResponse(400, "".join(f"{finding}\n" for finding in error.findings).encode())

    async def _get_config(self, request: HttpRequest) -> HttpResponse:
        config = await self._confirm_config(request.path)
        if not config.version:
            return HttpResponse(404, b"no configuration yet\n")
        return HttpResponse(200, decompress_body(config), JSON)

    async def _confirm_config(self, path: str) -> StoredConfig:
        """The newest configuration, confirmed by a majority after this call began.

        Raises:
            CallRejectedError: this process does not lead, or no majority answers.
        """
        await self._require_leadership(path)
        request_id = self._node.engine.read_config(clock())
        outcome = await self._node.wait_for_outcome(request_id) if request_id is not None else None
        if not isinstance(outcome, ReadOutcome) or outcome.config is None:
            raise CallRejectedError(HttpResponse(503, b"no majority answers\n"))
        return outcome.config

    async def _require_leadership(self, path: str) -> None:
        """Wait until this process leads.

        Raises:
            CallRejectedError: another process leads (the response is a redirect to it), no leader is known
                within the timeout, or this process leads but cannot commit, as its store refuses writes.
        """
        engine = self._node.engine
        deadline = time.monotonic() + LEADER_TIMEOUT_S
        while not engine.raft.has_committed_in_term:
            leader = engine.leader
            if leader and leader != engine.identity:
                host = split_address(address_of(leader))[0]
                location = f"http://{host}:{self._port}{path}"
                raise CallRejectedError(HttpResponse(307, headers={"Location": location}))
            if time.monotonic() >= deadline:
                raise CallRejectedError(HttpResponse(503, b"no leader is known\n"))
            await asyncio.sleep(LEADER_POLL_S)
        if self._node.is_abstaining:
            raise CallRejectedError(HttpResponse(503, b"the store refuses writes\n"))

    # --- operators ---

    def _status(self) -> HttpResponse:
        from hazelbend.system.control_status import control_status  # imported on demand: rarely used

        node = self._node
        status = control_status(node.engine, node.config, node.router_versions, clock())
        return HttpResponse(200, msgspec.json.encode(status) + b"\n", JSON)

    async def _force_new_cluster(self) -> HttpResponse:
        engine = self._node.engine
        try:
            request_id = engine.force_new_cluster(clock())
        except ValueError as error:
            return HttpResponse(409, f"{error}\n".encode())
        epoch = engine.raft.persistent.epoch
        log.warning("control: an operator has forced a new cluster, epoch %d", epoch)
        outcome = await self._node.wait_for_outcome(request_id)
        if not isinstance(outcome, PutOutcome) or outcome.result is not ChangeResult.ACCEPTED:
            return HttpResponse(503, b"epoch %d has begun, but is not stored yet; see the status\n" % epoch)
        return HttpResponse(200, b'{"epoch":%d}' % epoch, JSON)


def _read_base_version(request: HttpRequest) -> int:
    """The version that the new one is based on.

    Raises:
        CallRejectedError: the header is not a whole number, or longer than a version can be.
    """
    text = request.headers.get("base-version", "0")
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_VERSION_DIGITS):
        raise CallRejectedError(HttpResponse(400, b"Base-Version: no whole number of at most 19 digits\n"))
    return int(text)


def _put_response(result: ChangeResult | None, version: int | None) -> HttpResponse:
    """The response to a put with this result. `version`: None if it can't be read from the body."""
    match result:
        case ChangeResult.ACCEPTED:
            return HttpResponse(200, b"{}" if version is None else b'{"version":%d}' % version, JSON)
        case ChangeResult.CONFLICT:
            return CONFIG_CONFLICT
        case ChangeResult.VERSION_NOT_NEWER:
            return CONFIG_VERSION_NOT_NEWER
        case ChangeResult.BASE_TOO_OLD:
            return CONFIG_BASE_TOO_OLD
    return CONFIG_OUTCOME_UNKNOWN
