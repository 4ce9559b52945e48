"""Port reservation: no two test processes get the same port."""

from __future__ import annotations

import random
import socket

import pytest

from benchmarks.loopback_ports import LoopbackPorts

HOST = "127.0.0.1"


class PresetRandom(random.Random):
    """Returns the given numbers first, then random ones."""

    def __init__(self, *numbers: int) -> None:
        super().__init__()
        self.numbers = list(numbers)

    def randint(self, a: int, b: int) -> int:
        return self.numbers.pop(0) if self.numbers else super().randint(a, b)


@pytest.fixture
def port() -> int:
    return LoopbackPorts(random.SystemRandom()).reserve(HOST)


def test_second_process_that_draws_a_reserved_port_reserves_another(port):
    """The program of the first reservation does not listen yet. Without the reservation both processes found
    the port free, and the program that started later could not bind it."""
    first = LoopbackPorts(PresetRandom(port))
    second = LoopbackPorts(PresetRandom(port, port))
    assert first.reserve(HOST) == port
    assert second.reserve(HOST) != port


def test_program_binds_a_reserved_port_and_binds_it_again_after_its_end(port):
    ports = LoopbackPorts(PresetRandom(port))
    assert ports.reserve(HOST) == port
    for _ in range(2):
        with (
            socket.create_server((HOST, port)) as server,
            socket.create_connection((HOST, port)) as client,
        ):
            accepted, _ = server.accept()
            accepted.close()
            assert client.recv(1) == b""


def test_port_with_a_listener_is_not_reserved(port):
    with socket.create_server((HOST, port)):
        assert LoopbackPorts(PresetRandom(port)).reserve(HOST) != port


def test_connection_to_a_port_that_is_only_reserved_is_refused(port):
    ports = LoopbackPorts(PresetRandom(port))
    assert ports.reserve(HOST) == port
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection((HOST, port))
