"""The control process, which connects the engine, the API, the publisher and the sender of phase orders."""

from __future__ import annotations

import msgspec
import picologging

from hazelbend.consensus.identity import address_of
from hazelbend.control import messages as m
from hazelbend.control.config_state_machine import StoredConfig
from hazelbend.control.load_table import CacheTable, RouterLoad
from hazelbend.control.settings import ControlSettings
from hazelbend.control.workers import WorkerRecord
from hazelbend.system.clock import clock
from hazelbend.system.control_api import ControlApi
from hazelbend.system.control_node import ControlNode
from hazelbend.system.phase_orders import PhaseOrderSender
from hazelbend.system.settings import Settings, split_address
from hazelbend.system.soft_state_saver import SoftStateSaver
from hazelbend.system.update_publisher import UpdatePublisher
from hazelbend.transport.connection_memory import ConnectionMemory, connection_limits
from hazelbend.transport.http.asgi_server import AsgiServer
from hazelbend.transport.peer.frame_link import FrameConnection, FrameServer
from hazelbend.transport.storage.control_store import ControlStore

log = picologging.getLogger("hazelbend.control")

MAX_CALL_BODY_BYTES = 8 * 1024 * 1024
RESERVED_FILE_DESCRIPTORS = 128  # for other uses; calls and the fleet's processes get half of the rest each
SOFT_STATE_FILE = "soft-state"  # in the data directory


class ControlDaemon:
    """All components of a control process."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        data_dir = settings.data_dir
        store = ControlStore(data_dir) if data_dir is not None else None
        soft_state_path = data_dir / SOFT_STATE_FILE if data_dir is not None else None
        caches = CacheTable()
        self._node = ControlNode(
            _engine_settings(settings),
            store,
            on_config=self._publish_config,
            on_workers=self._workers_changed,
        )
        self._soft_state = SoftStateSaver(self._node, caches, soft_state_path)
        self._publisher = UpdatePublisher(self._node, caches)
        self._phase_orders = PhaseOrderSender(
            self._node, self._publisher.loads.total_loads, announce=self._publisher.publish_fleet_status
        )
        api = ControlApi(self._node, settings.control_address)
        memory = ConnectionMemory(connection_limits(settings.memory_mb))
        descriptors = max((settings.max_file_descriptors - RESERVED_FILE_DESCRIPTORS) // 2, 1)
        max_connections = min(descriptors, memory.limits.connections)
        self._api_server = AsgiServer(api.handle, MAX_CALL_BODY_BYTES, max_connections, memory)
        self._frame_server = FrameServer(
            self._frame_received, self._connection_closed, max_connections, memory
        )
        self._peer_addresses: dict[FrameConnection, str] = {}  # of processes that have sent `PeerHello`

    async def start(self) -> None:
        """Restore the saved state, then start serving."""
        await self._node.restore()
        await self._soft_state.restore()
        await self._frame_server.listen(*split_address(self._settings.control_peer_address))
        await self._api_server.listen(*split_address(self._settings.control_address))
        self._publisher.start()
        self._soft_state.start()
        self._phase_orders.start()
        self._node.advance()

    async def close(self) -> None:
        """Hand over the leadership, complete the calls in flight, and stop."""
        self._phase_orders.close()
        await self._node.hand_over_leadership()
        await self._api_server.close()
        self._publisher.close()
        self._soft_state.close()
        await self._node.close()
        await self._frame_server.close()

    def reload(self, settings: Settings) -> None:
        """Apply changed seeds. All other settings take effect only at the next start."""
        self._node.engine.add_seed_addresses(settings.seed_peer_addresses, clock())

    def _publish_config(self, config: StoredConfig) -> None:
        self._publisher.publish_config(config)

    def _workers_changed(self, records: list[WorkerRecord], expired: list[str]) -> None:
        self._publisher.publish_workers(records, expired)
        self._phase_orders.workers_changed()

    def _frame_received(self, connection: FrameConnection, frame: bytes) -> None:
        try:
            body = m.decode(frame)
        except msgspec.DecodeError as error:
            log.warning("control: %s: undecodable message, disconnecting: %s", connection.peer_ip, error)
            connection.close()
            return
        match body:
            case m.SubscribeRequest():
                self._publisher.subscribe(connection, body)
            case m.Ping():
                connection.send(m.encode(self._node.confirmation(body)))
                self._publisher.record_ping(connection, body)
            case RouterLoad():
                self._publisher.merge_router_load(connection, body)
            case m.PeerHello():
                sender = self._peer_addresses.setdefault(connection, address_of(body.identity))
                self._node.receive(sender, body)
            case m.WorkerSyncRequest() if connection not in self._peer_addresses:
                self._publisher.send_all_workers(connection)
            case _ if connection in self._peer_addresses:
                self._node.receive(self._peer_addresses[connection], body)

    def _connection_closed(self, connection: FrameConnection) -> None:
        self._peer_addresses.pop(connection, None)
        self._publisher.connection_closed(connection)


def _engine_settings(settings: Settings) -> ControlSettings:
    return ControlSettings(
        address=settings.control_peer_address,
        seeds=settings.seed_peer_addresses,
        counts_for_quorum=settings.counts_for_quorum,
        may_bootstrap=settings.bootstrap,
        tolerance=settings.tolerated_losses,
        heartbeat_us=settings.heartbeat_us,
        lease_us=settings.lease_us,
        contact_us=settings.contact_us,
    )
