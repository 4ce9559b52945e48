"""The control process: agreement, watches, orders and API, wired together."""

from __future__ import annotations

import msgspec
import picologging

from hazelbend.consensus.identity import address_of
from hazelbend.control import messages as m
from hazelbend.control.load_table import CacheTable, RouterLoad
from hazelbend.control.outputs import ControlSettings
from hazelbend.control.workers import WorkerRecord
from hazelbend.system.agreement import Agreement
from hazelbend.system.clock import clock
from hazelbend.system.control_api import ControlApi
from hazelbend.system.phase_orders import PhaseOrders
from hazelbend.system.settings import Settings, split_address
from hazelbend.system.soft_state_saver import SoftStateSaver
from hazelbend.system.update_publisher import UpdatePublisher
from hazelbend.transport.http.asgi_server import AsgiServer
from hazelbend.transport.peer.frame_link import FrameConnection, FrameServer
from hazelbend.transport.storage.control_store import ControlStore

log = picologging.getLogger("hazelbend.control")

LARGEST_CALL = 8 * 1024 * 1024  # bytes of a call's body
SOFT_STATE = "soft-state"  # file beside the store


class ControlDaemon:
    """Everything that runs in a control process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        engine_settings = ControlSettings(
            address=settings.control_peer_address,
            seeds=settings.seed_peer_addresses,
            counts_for_quorum=settings.counts_for_quorum,
            may_bootstrap=settings.bootstrap,
            tolerance=settings.tolerated_losses,
            heartbeat_us=settings.heartbeat_us,
            lease_us=settings.lease_us,
        )
        folder = settings.data_dir
        self._agreement = Agreement(
            engine_settings,
            ControlStore(folder) if folder is not None else None,
            lambda config: self._publisher.publish_config(config),
            self._workers_changed,
        )
        caches = CacheTable()
        soft_state = folder / SOFT_STATE if folder is not None else None
        self._soft_state = SoftStateSaver(self._agreement, caches, soft_state)
        self._publisher = UpdatePublisher(self._agreement, caches)
        self._orders = PhaseOrders(
            self._agreement, self._publisher.loads.totals, self._publisher.publish_fleet_status
        )
        self._api = AsgiServer(ControlApi(settings, self._agreement).answer, LARGEST_CALL)
        self._server = FrameServer(self._hear, self._gone)
        self._senders: dict[FrameConnection, str] = {}  # addresses of control processes

    async def start(self) -> None:
        """Recall, then serve."""
        await self._agreement.restore()
        await self._server.listen(*split_address(self._settings.control_peer_address))
        await self._api.listen(*split_address(self._settings.control_address))
        await self._soft_state.restore()
        self._publisher.start()
        self._soft_state.start()
        self._orders.start()
        self._agreement.pump()

    async def close(self) -> None:
        """Hand the lead over and end."""
        self._orders.close()
        await self._agreement.hand_over()
        await self._api.close()
        self._publisher.close()
        self._soft_state.close()
        await self._agreement.close()
        await self._server.close()

    def reload(self, settings: Settings) -> None:
        """The settings file has changed: the seeds may be others."""
        self._agreement.engine.learn_seeds(settings.seed_peer_addresses, clock())

    def _workers_changed(self, records: list[WorkerRecord]) -> None:
        self._publisher.publish_workers(records)
        self._orders.workers_changed()

    def _hear(self, connection: FrameConnection, frame: bytes) -> None:
        try:
            body = m.decode(frame)
        except msgspec.DecodeError as error:
            log.warning("control: %s: no message: %s", connection.peer_ip, error)
            connection.close()
            return
        match body:
            case m.Watch():
                self._publisher.subscribe(connection, body)
            case m.Ping():
                pong = msgspec.structs.replace(self._agreement.confirmation(), sent_at=body.sent_at)
                connection.send(m.encode(pong))
            case RouterLoad():
                self._publisher.merge_router_load(connection, body)
            case m.PeerHello():
                sender = self._senders.setdefault(connection, address_of(body.identity))
                self._agreement.receive(sender, body)
            case _ if connection in self._senders:
                self._agreement.receive(self._senders[connection], body)

    def _gone(self, connection: FrameConnection) -> None:
        self._senders.pop(connection, None)
        self._publisher.connection_closed(connection)
