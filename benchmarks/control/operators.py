"""Operators: changes, resends, races and reads at any machine, and the checks of their results.

Calls have unknown outcomes: an answer may be lost, a machine may die, and the same change is resent, to any
machine. The checks are those of linearizability:

- of the changes on one version at most one is accepted, and each version names one change;
- a change that was rejected is never in force, and one that was accepted is never rejected;
- a read is as new as all that was acknowledged, and all that was read, before it began.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.control.fleet import Fleet, InvariantViolationError, Machine
from benchmarks.control.network import MS
from hazelbend.control.config_state_machine import ChangeResult, StoredConfig, decompress_body

# Each part draws from a random stream of its own: a fault that is skipped leaves the others as they were.
RNG_SALT = 0x1000000
ANSWER_TIMEOUT_US = 900 * MS  # after which an operator resends
RESEND_DELAY_US = 300 * MS
MAX_ATTEMPTS = 6
MAX_CALL_DELAY_US = 2_000 * MS  # of a call that comes twice


@dataclass(slots=True, frozen=True)
class Change:
    """One change, the same bytes however often it is sent."""

    base: int
    version: int
    body: bytes


class Operators:
    """All operators of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.acknowledged: dict[int, Change] = {}  # by version
        self.acknowledged_at: list[tuple[int, int]] = []  # when a newest version was, in order
        self.rejected: dict[tuple[int, bytes], Change] = {}
        self.sent: dict[int, set[bytes]] = {}
        self.reads = self.changes = self.resends = 0
        self.lost_answer_share = 0.0  # share of answers that operators never get
        self.doubles_calls = False  # each change comes twice, in any order with others
        self.body_bytes = 0  # so much is added to each body
        self.on_ack: Callable[[], None] | None = None  # called once, at the next acknowledgement
        self._random = random.Random(fleet.seed ^ RNG_SALT)
        self._version = 0
        self._newest_read = 0
        fleet.on_publish.append(self._published)

    @property
    def newest(self) -> int:
        """The newest version that was acknowledged."""
        return self.acknowledged_at[-1][1] if self.acknowledged_at else 0

    def newest_before(self, at: int) -> int:
        """The newest version that was acknowledged at this time."""
        return next((version for when, version in reversed(self.acknowledged_at) if when <= at), 0)

    # --- changes ---

    def change(self) -> None:
        """Send one more change to any machine, on the newest version that is known to be accepted."""
        self._version += self._random.randint(1, 3)
        change = self._new_change()
        if not self.doubles_calls:
            self._send(change, self._any_machine(), MAX_ATTEMPTS)
            return
        for _ in range(2):
            delay = self._random.randrange(MAX_CALL_DELAY_US)
            self.fleet.call_later(delay, lambda: self._send(change, self._any_machine(), MAX_ATTEMPTS))

    def race(self) -> None:
        """Send two changes with one base and one version to two machines."""
        self._version += 1
        for _ in range(2):
            self._send(self._new_change(), self._any_machine(), MAX_ATTEMPTS)

    def resend_old(self) -> None:
        """Resend a change that was acknowledged."""
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
        """Send it until it has a definite answer, to any machine, as an operator does."""
        self.sent.setdefault(change.version, set()).add(change.body)
        answered = False

        def on_result(result: ChangeResult | None) -> None:
            nonlocal answered
            if result is not None:
                self._decided(change, result)  # whether or not the operator gets the answer
            if answered:
                return
            answered = True
            if result is not None and self._random.random() < self.lost_answer_share:
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
        """The leader, to which others redirect, or any machine."""
        leader = self.fleet.leader
        follows = leader is not None and self._random.random() < 0.8
        return leader.address if leader is not None and follows else self._any_machine()

    def _decided(self, change: Change, result: ChangeResult) -> None:
        known = self.acknowledged.get(change.version)
        if result is ChangeResult.ACCEPTED:
            if (change.version, change.body) in self.rejected:
                raise InvariantViolationError(f"version {change.version} was refused and then accepted")
        elif result in (ChangeResult.CONFLICT, ChangeResult.VERSION_NOT_NEWER):
            self.resends += 1 if known == change else 0
            if known == change:
                raise InvariantViolationError(f"version {change.version} was acknowledged and then refused")
            self.rejected[change.version, change.body] = change

    def _acknowledge(self, change: Change) -> None:
        known = self.acknowledged.get(change.version)
        if known is not None and known != change:
            raise InvariantViolationError(f"two changes acknowledged as version {change.version}")
        rivals = [each for each in self.acknowledged.values() if each.base == change.base and each != change]
        if rivals:
            raise InvariantViolationError(
                f"versions {rivals[0].version} and {change.version} both acknowledged on {change.base}"
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

    def _published(self, machine: Machine, config: StoredConfig) -> None:
        """A control process publishes this configuration to routers."""
        if not config.version:
            return
        body = decompress_body(config)
        if (config.version, body) in self.rejected:
            raise InvariantViolationError(
                f"{machine.address} has {config.version} in force, which was refused"
            )
        if body not in self.sent.get(config.version, set()):
            raise InvariantViolationError(
                f"version {config.version} differs from what was sent under its number"
            )

    # --- reads ---

    def read(self, address: str | None = None) -> None:
        """Read at any machine, partitioned or not."""
        began_with = max(self.newest, self._newest_read)

        def on_result(config: StoredConfig | None) -> None:
            if config is None:
                return
            self.reads += 1
            if config.version < began_with:
                raise InvariantViolationError(
                    f"read {config.version} after {began_with} was acknowledged or read"
                )
            self._newest_read = max(self._newest_read, config.version)

        self.fleet.read(address or self._next_machine(), on_result)

    def check_end(self) -> None:
        """With all at rest: the newest acknowledged version, or a later one that was sent, is read."""
        found: list[StoredConfig] = []
        for _ in range(60):
            leader = self.fleet.leader
            if leader is not None:
                self.fleet.read(leader.address, lambda config: found.append(config) if config else None)
            self.fleet.run(200 * MS)
            if found:
                break
        if not found:
            raise InvariantViolationError("no leader answers though all is well")
        if found[-1].version < self.newest:
            raise InvariantViolationError(f"{self.newest} was acknowledged and {found[-1].version} is left")
