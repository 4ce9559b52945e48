"""Operators: changes, resends, races and reads at any machine, and the checks of their results.

The outcome of a call can be unknown, because an answer may be lost or a machine may be killed. The operator
then resends the same change to any machine. The checks are those of linearizability:

- of the changes with one base at most one is accepted, and each version identifies one change;
- a change that was rejected is never current, and one that was accepted is never rejected;
- a read is at least as new as everything that was acknowledged or read before it started.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.control.fleet import Fleet, InvariantViolationError, Machine
from benchmarks.control.network import MS
from hazelbend.control.config_state_machine import ChangeResult, StoredConfig, decompress_body

# Each component has its own random stream, so that skipping a fault does not change the other draws.
RNG_SALT = 0x1000000
ANSWER_TIMEOUT_US = 900 * MS  # after which an operator resends
RESEND_DELAY_US = 300 * MS
MAX_ATTEMPTS = 6
MAX_CALL_DELAY_US = 2_000 * MS  # of a call that is sent twice


@dataclass(slots=True, frozen=True)
class Change:
    """One change. Resends have the same bytes."""

    base: int
    version: int
    body: bytes


class Operators:
    """All operators of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.acknowledged: dict[int, Change] = {}  # by version
        self.acknowledged_at: list[tuple[int, int]] = []  # (time, version) of each new highest version
        self.rejected: dict[tuple[int, bytes], Change] = {}
        self.sent: dict[int, set[bytes]] = {}  # bodies by version
        self.reads = self.changes = self.resends = 0
        self.lost_answer_fraction = 0.0  # share of answers that operators never get
        self.duplicates_calls = False  # whether each change is sent twice, in any order with others
        self.body_bytes = 0  # random bytes that are added to each body, in hex
        self.on_ack: Callable[[], None] | None = None  # called once, at the next acknowledgement
        self._random = random.Random(fleet.seed ^ RNG_SALT)
        self._version = 0
        self._newest_read = 0
        fleet.on_publish.append(self._on_publish)

    @property
    def newest(self) -> int:
        """The highest version that was acknowledged; 0 if none was."""
        return self.acknowledged_at[-1][1] if self.acknowledged_at else 0

    def newest_before(self, at: int) -> int:
        """The highest version that was acknowledged up to this time; 0 if none was."""
        return next(
            (version for acknowledged, version in reversed(self.acknowledged_at) if acknowledged <= at), 0
        )

    # --- changes ---

    def change(self) -> None:
        """Send one more change to any machine, with the highest acknowledged version as its base."""
        self._version += self._random.randint(1, 3)
        change = self._new_change()
        if not self.duplicates_calls:
            self._send(change, self._any_machine(), MAX_ATTEMPTS)
            return
        for _ in range(2):
            delay = self._random.randrange(MAX_CALL_DELAY_US)
            self.fleet.call_later(delay, lambda: self._send(change, self._any_machine(), MAX_ATTEMPTS))

    def send_conflicting_changes(self) -> None:
        """Send two different changes with the same base and version, each to any machine."""
        self._version += 1
        for _ in range(2):
            self._send(self._new_change(), self._any_machine(), MAX_ATTEMPTS)

    def resend_old(self) -> None:
        """Resend any change that was acknowledged."""
        if self.acknowledged:
            version = self._random.choice(sorted(self.acknowledged))
            self.resends += 1
            self._send(self.acknowledged[version], self._any_machine(), 2)

    def _new_change(self) -> Change:
        padding = self._random.randbytes(self.body_bytes).hex().encode() if self.body_bytes else b""
        body = b'{"version":%d,"by":%d,"pad":"%s"}' % (
            self._version,
            self._random.getrandbits(32),
            padding,
        )
        return Change(self.newest, self._version, body)

    def _any_machine(self) -> str:
        return self._random.choice(sorted(self.fleet.machines))

    def _send(self, change: Change, address: str, attempts: int) -> None:
        """Send a change, and resend it until its outcome is known, as an operator does."""
        self.sent.setdefault(change.version, set()).add(change.body)
        answered = False

        def on_result(result: ChangeResult | None) -> None:
            nonlocal answered
            if result is not None:
                self._check_result(change, result)  # even if the operator does not receive the answer
            if answered:
                return
            answered = True
            if result is not None and self._random.random() < self.lost_answer_fraction:
                result = None
            if result is ChangeResult.ACCEPTED:
                self._acknowledge(change)
            elif result in (None, ChangeResult.BASE_TOO_OLD) and attempts > 1:
                self.fleet.call_later(
                    RESEND_DELAY_US, lambda: self._send(change, self._next_machine(), attempts - 1)
                )

        self.fleet.put(address, change.base, change.version, change.body, on_result)
        self.fleet.call_later(ANSWER_TIMEOUT_US, lambda: on_result(None))

    def _next_machine(self) -> str:
        """The leader, to which other machines redirect, or any machine."""
        leader = self.fleet.leader
        follows_redirect = leader is not None and self._random.random() < 0.8
        return leader.address if leader is not None and follows_redirect else self._any_machine()

    def _check_result(self, change: Change, result: ChangeResult) -> None:
        known = self.acknowledged.get(change.version)
        if result is ChangeResult.ACCEPTED:
            if (change.version, change.body) in self.rejected:
                raise InvariantViolationError(f"version {change.version} was rejected and then accepted")
        elif result in (ChangeResult.CONFLICT, ChangeResult.VERSION_NOT_NEWER):
            self.resends += 1 if known == change else 0
            if known == change:
                raise InvariantViolationError(f"version {change.version} was acknowledged and then rejected")
            self.rejected[change.version, change.body] = change

    def _acknowledge(self, change: Change) -> None:
        known = self.acknowledged.get(change.version)
        if known is not None and known != change:
            raise InvariantViolationError(f"two changes were acknowledged as version {change.version}")
        rivals = [
            other for other in self.acknowledged.values() if other.base == change.base and other != change
        ]
        if rivals:
            raise InvariantViolationError(
                f"versions {rivals[0].version} and {change.version}, both with base {change.base}, "
                "were acknowledged"
            )
        if known is None:
            self.changes += 1
        self.acknowledged[change.version] = change
        if change.version > self.newest:
            self.acknowledged_at.append((self.fleet.now, change.version))
        if self.on_ack is not None:
            on_ack = self.on_ack
            self.on_ack = None
            on_ack()

    def _on_publish(self, machine: Machine, config: StoredConfig) -> None:
        """Check a configuration that a control process publishes to routers."""
        if not config.version:
            return
        body = decompress_body(config)
        if (config.version, body) in self.rejected:
            raise InvariantViolationError(
                f"{machine.address} published version {config.version}, which was rejected"
            )
        if body not in self.sent.get(config.version, set()):
            raise InvariantViolationError(
                f"version {config.version} differs from every change sent with this version"
            )

    # --- reads ---

    def read(self, address: str | None = None) -> None:
        """Read at this machine, or by default at the leader or any machine, even a partitioned one."""
        minimum_version = max(self.newest, self._newest_read)

        def on_result(config: StoredConfig | None) -> None:
            if config is None:
                return
            self.reads += 1
            if config.version < minimum_version:
                raise InvariantViolationError(
                    f"read version {config.version} after {minimum_version} was acknowledged or read"
                )
            self._newest_read = max(self._newest_read, config.version)

        self.fleet.read(address or self._next_machine(), on_result)

    def check_end(self) -> None:
        """Check, without other load, that a read returns the highest acknowledged version or a later one."""
        found: list[StoredConfig] = []
        for _ in range(60):
            leader = self.fleet.leader
            if leader is not None:
                self.fleet.read(leader.address, lambda config: found.append(config) if config else None)
            self.fleet.run(200 * MS)
            if found:
                break
        if not found:
            raise InvariantViolationError("no leader answers a read after the recovery time")
        if found[-1].version < self.newest:
            raise InvariantViolationError(
                f"version {self.newest} was acknowledged, but a read returned {found[-1].version}"
            )
