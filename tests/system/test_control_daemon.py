"""The start of a control process: what is restored, and when it begins to serve."""

from __future__ import annotations

import asyncio
from pathlib import Path

from hazelbend.control import messages as m
from hazelbend.control.workers import WorkerRecord, WorkerState
from hazelbend.system.control_daemon import SOFT_STATE_FILE, ControlDaemon
from hazelbend.system.settings import read_settings
from hazelbend.transport.http.asgi_server import AsgiServer
from hazelbend.transport.peer.frame_link import FrameServer
from hazelbend.transport.storage.soft_state_file import write_soft_state

SETTINGS = """
nodeName: edge-1
role: control
ip: 127.0.0.1
zone: z
listen: {{control: "127.0.0.1:7000"}}
portRange: [7100, 7115]
dataDir: "{data_dir}"
"""


def test_control_process_listens_only_after_it_has_restored_its_workers(monkeypatch, tmp_path: Path):
    """Guards against a late heartbeat that arrives before the record of the worker's end is restored."""
    ended = WorkerRecord("i-1", "s", "10.9.0.1:80", "z", WorkerState.GONE, 2)
    write_soft_state(tmp_path / SOFT_STATE_FILE, m.encode_soft_state(m.SoftState((ended,), ())))
    daemon = ControlDaemon(read_settings(SETTINGS.format(data_dir=tmp_path)))
    tracked: list[set[str]] = []

    async def listen(server: object, host: str, port: int) -> None:
        tracked.append(set(daemon._node.engine.registry.tracked))

    async def close(server: object) -> None:
        pass

    monkeypatch.setattr(AsgiServer, "listen", listen)
    monkeypatch.setattr(AsgiServer, "close", close)
    monkeypatch.setattr(FrameServer, "listen", listen)

    async def run() -> None:
        await daemon.start()
        await daemon.close()

    asyncio.run(run())
    assert tracked == [{"i-1"}, {"i-1"}]
