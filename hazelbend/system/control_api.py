"""The calls of workers and operators to a control process."""

from __future__ import annotations

import asyncio
import time

import msgspec
import picologging

from hazelbend.consensus.identity import address_of
from hazelbend.control.announcements import AnnouncementOutcome
from hazelbend.control.config_state_machine import ChangeResult, decompress_body
from hazelbend.control.configuration import InvalidConfigurationError, check_configuration
from hazelbend.control.outputs import PutOutcome, ReadOutcome
from hazelbend.protocol.control_calls import read_heartbeat
from hazelbend.system.agreement import Agreement
from hazelbend.system.clock import clock
from hazelbend.system.control_status import control_status
from hazelbend.system.settings import Settings, split_address
from hazelbend.transport.http.asgi_server import HttpRequest, HttpResponse

log = picologging.getLogger("hazelbend.control")

LEADER_WAIT = 0.7  # seconds that a call waits for a leader to be known
LEADER_LOOK = 0.02
JSON = "application/json"


class ControlApi:
    """Answers calls from what the agreement knows, and through it."""

    def __init__(self, settings: Settings, agreement: Agreement) -> None:
        self._settings, self._agreement = settings, agreement

    async def answer(self, call: HttpRequest) -> HttpResponse:
        """The answer to any call."""
        engine = self._agreement.engine
        match (call.method, call.path.split("/")):
            case ("POST", ["", "instances", instance, "heartbeat"]):
                return await self._heartbeat(instance, call.body)
            case ("POST", ["", "instances", instance, "deregister"]):
                return await self._worker_done(engine.handle_deregistration(instance, clock()))
            case ("POST", ["", "config", "put"]):
                return await self._put(call)
            case ("GET", ["", "config", "get"]):
                return await self._get()
            case ("GET", ["", "status"]):
                return self._status()
            case ("POST", ["", "refound"]):
                return self._refound()
        return HttpResponse(404, b"no such call\n")

    # --- workers ---

    async def _heartbeat(self, instance: str, body: bytes) -> HttpResponse:
        try:
            record = read_heartbeat(instance, body)
        except ValueError as error:
            return HttpResponse(400, f"{error}\n".encode())
        engine, now = self._agreement.engine, clock()
        number = engine.handle_heartbeat(record, now)
        if number is None and not engine.reaches_quorum_peers(now):
            self._agreement.pump()
            return HttpResponse(503, b"no other control process can be reached from here\n")
        return await self._worker_done(number)

    async def _worker_done(self, number: int | None) -> HttpResponse:
        if number is None:
            self._agreement.pump()
            return HttpResponse(200, b"{}", JSON)
        answer = await self._agreement.wait_for(number)
        if not isinstance(answer, AnnouncementOutcome) or not answer.held:
            return HttpResponse(503, b"too few control processes hold it\n")
        return HttpResponse(200, b"{}", JSON)

    # --- operators ---

    async def _put(self, call: HttpRequest) -> HttpResponse:
        base = call.headers.get("base-version", "0")
        if not (base.isascii() and base.isdecimal()):
            return HttpResponse(400, b"Base-Version: no whole number\n")
        try:
            version = check_configuration(call.body)
        except InvalidConfigurationError as error:
            return HttpResponse(400, "".join(f"{each}\n" for each in error.findings).encode())
        redirect = await self._redirect(call.path)
        if redirect is not None:
            return redirect
        number = self._agreement.engine.put(int(base), version, call.body, clock())
        if number is None:
            return HttpResponse(503, b"no majority that is large enough\n")
        answer = await self._agreement.wait_for(number)
        match answer.result if isinstance(answer, PutOutcome) else None:
            case ChangeResult.ACCEPTED:
                return HttpResponse(200, b'{"version":%d}' % version, JSON)
            case ChangeResult.CONFLICT:
                return HttpResponse(412, b"another version is current\n")
            case ChangeResult.NOT_ABOVE:
                return HttpResponse(400, b"version: not above the current one\n")
            case ChangeResult.FORGOTTEN:
                return HttpResponse(503, b"too old to know whether it was taken; read the configuration\n")
        return HttpResponse(503, b"not known whether it was taken; send it again\n")

    async def _get(self) -> HttpResponse:
        redirect = await self._redirect("/config/get")
        if redirect is not None:
            return redirect
        number = self._agreement.engine.read(clock())
        answer = await self._agreement.wait_for(number) if number is not None else None
        if not isinstance(answer, ReadOutcome) or answer.config is None:
            return HttpResponse(503, b"no majority answers\n")
        if not answer.config.version:
            return HttpResponse(404, b"no configuration yet\n")
        return HttpResponse(200, decompress_body(answer.config), JSON)

    def _refound(self) -> HttpResponse:
        try:
            epoch = self._agreement.engine.force_new_cluster(clock())
        except ValueError as error:
            return HttpResponse(409, f"{error}\n".encode())
        log.warning("control: epoch %d is founded here by an operator", epoch)
        self._agreement.pump()
        return HttpResponse(200, b'{"epoch":%d}' % epoch, JSON)

    async def _redirect(self, path: str) -> HttpResponse | None:
        """None once this process leads; else the way to the leader, or 503 where none is known."""
        engine = self._agreement.engine
        end = time.monotonic() + LEADER_WAIT
        while not engine.raft.settled:
            leader = engine.leader
            if leader and leader != engine.identity:
                host = split_address(address_of(leader))[0]
                port = split_address(self._settings.control_address)[1]
                return HttpResponse(307, headers={"Location": f"http://{host}:{port}{path}"})
            if time.monotonic() >= end:
                return HttpResponse(503, b"no leader is known\n")
            await asyncio.sleep(LEADER_LOOK)
        return None

    def _status(self) -> HttpResponse:
        status = control_status(self._agreement.engine, self._agreement.config.version, clock())
        return HttpResponse(200, msgspec.json.encode(status) + b"\n", JSON)
