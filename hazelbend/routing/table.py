"""The table of backends, listed or registered, with a client for each.

A listed backend comes from an endpoint list. A registered backend has connected to the dispatcher itself.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b

from hazelbend.decisions.interface import ListKind, MembershipUpdate, WorkerEntry, WorkerState
from hazelbend.routing.ports import BackendClient, Endpoint, EndpointList

ID_BYTES = 6


def stable_id(host: str) -> int:
    """Return an id for a host name that is the same on all dispatchers and after a restart; never 0."""
    return int.from_bytes(blake2b(host.encode(), digest_size=ID_BYTES).digest()) or 1


@dataclass(slots=True, eq=False)
class Backend:
    """A backend with its client and its counters."""

    id: int
    index: int  # from 1, in order of first appearance; a backend that returns keeps its index
    entry: Endpoint
    client: BackendClient
    is_listed: bool = True
    is_manually_drained: bool = False
    in_flight: int = 0  # attempts
    served: int = 0
    failed: int = 0

    @property
    def accepts_work(self) -> bool:
        """Whether new attempts may be sent to it."""
        return self.is_listed and not self.is_manually_drained and self.entry.state is WorkerState.READY

    def worker_entry(self) -> WorkerEntry:
        """Return the entry for the decision module. A manually drained backend is `DRAINING` there."""
        entry = self.entry
        state = entry.state
        if self.is_manually_drained and state is WorkerState.READY:
            state = WorkerState.DRAINING
        return WorkerEntry(self.id, entry.zone, entry.kind, entry.cell, state, entry.weight, entry.started_at)


class BackendTable:
    """The backends by id. A complete list replaces the listed backends, not the registered ones.

    Methods that change the table return the update to pass to the decision module.
    """

    def __init__(self, connect: Callable[[Endpoint], BackendClient]) -> None:
        """Create an empty table. `connect` creates the client of a listed backend."""
        self._connect = connect
        self.backends: dict[int, Backend] = {}
        # Called with a backend and the new value of its `accepts_work` when that changes.
        self.on_accepts_work_changed: Callable[[Backend, bool], None] | None = None
        self._registered: set[int] = set()
        self._indexes: dict[int, int] = {}
        self._manually_drained: set[int] = set()  # also ids of backends that are not listed at present

    # --- lists ---

    def apply(self, endpoints: EndpointList, kind: ListKind = ListKind.FULL) -> MembershipUpdate:
        """Apply an endpoint list, or changes to one."""
        if endpoints.failed:
            return MembershipUpdate(ListKind.FAILED)
        if not endpoints.is_complete:
            return MembershipUpdate(ListKind.DELTA, tuple(self._apply_entries(endpoints.entries)))
        listed = list(self._apply_entries(endpoints.entries))
        present = {entry.worker for entry in listed} | self._registered
        absent = [number for number in self.backends if number not in present]
        for number in absent:
            self._remove(self.backends[number])
        registered = [self.backends[number].worker_entry() for number in sorted(self._registered)]
        return MembershipUpdate(kind, (*listed, *registered))

    def _apply_entries(self, entries: Iterable[Endpoint]) -> Iterable[WorkerEntry]:
        for entry in entries:
            backend = self.backends.get(stable_id(entry.host))
            if backend is None:
                if entry.state is WorkerState.GONE:
                    continue
                backend = self._add(entry, self._connect(entry))
            elif backend.entry.dial != entry.dial:
                backend.client.close()
                backend.client = self._connect(entry)
            self._replace_entry(backend, entry)
            yield backend.worker_entry()
            if entry.state is WorkerState.GONE:
                self._remove(backend)

    # --- registered backends ---

    def register(self, entry: Endpoint, client: BackendClient) -> MembershipUpdate:
        """Add a backend that has connected to the dispatcher itself."""
        backend = self._add(entry, client)
        self._registered.add(backend.id)
        return MembershipUpdate(ListKind.DELTA, (backend.worker_entry(),))

    def change_registered(self, host: str, state: WorkerState) -> MembershipUpdate:
        """Set the state of a registered backend; `GONE` removes it."""
        backend = self.backends[stable_id(host)]
        self._replace_entry(backend, replace(backend.entry, state=state))
        update = MembershipUpdate(ListKind.DELTA, (backend.worker_entry(),))
        if state is WorkerState.GONE:
            self._registered.discard(backend.id)
            self._remove(backend)
        return update

    # --- manual drains ---

    def set_manual_drain(self, host: str, is_drained: bool) -> MembershipUpdate | None:
        """Drain or undrain a backend on an operator's command; return None if the host is not listed."""
        backend = self.backends.get(stable_id(host))
        if backend is None:
            return None
        accepted_work = backend.accepts_work
        backend.is_manually_drained = is_drained
        if is_drained:
            self._manually_drained.add(backend.id)
        else:
            self._manually_drained.discard(backend.id)
        self._report_accepts_work(backend, accepted_work)
        return MembershipUpdate(ListKind.DELTA, (backend.worker_entry(),))

    def rename_manual_drain(self, old_host: str, new_host: str) -> None:
        """Carry over the manual drain of a backend whose host name changes."""
        if stable_id(old_host) in self._manually_drained:
            self._manually_drained.discard(stable_id(old_host))
            self._manually_drained.add(stable_id(new_host))

    # --- queries ---

    def by_host(self, host: str) -> Backend | None:
        """Return the backend with this host name; None if the table has none."""
        return self.backends.get(stable_id(host))

    def registered(self) -> tuple[Backend, ...]:
        """Return the registered backends."""
        return tuple(self.backends[number] for number in sorted(self._registered))

    def listed(self) -> EndpointList:
        """Return the listed backends with their present entries."""
        entries = (
            backend.entry for number, backend in self.backends.items() if number not in self._registered
        )
        return EndpointList(tuple(entries), is_complete=True)

    def manually_drained(self) -> tuple[str, ...]:
        """Return the host names of the backends that an operator has drained."""
        return tuple(backend.entry.host for backend in self.backends.values() if backend.is_manually_drained)

    # --- changes to one backend ---

    def _add(self, entry: Endpoint, client: BackendClient) -> Backend:
        number = stable_id(entry.host)
        index = self._indexes.setdefault(number, len(self._indexes) + 1)
        is_drained = number in self._manually_drained
        backend = Backend(number, index, entry, client, is_manually_drained=is_drained)
        self.backends[number] = backend
        self._report_accepts_work(backend, False)
        return backend

    def _replace_entry(self, backend: Backend, entry: Endpoint) -> None:
        accepted_work = backend.accepts_work
        backend.entry = entry
        self._report_accepts_work(backend, accepted_work)

    def _remove(self, backend: Backend) -> None:
        """Remove a backend. It gets no new attempts; those in flight continue to their end."""
        accepted_work = backend.accepts_work
        backend.is_listed = False
        self.backends.pop(backend.id, None)
        self._report_accepts_work(backend, accepted_work)
        backend.client.close()

    def _report_accepts_work(self, backend: Backend, accepted_work: bool) -> None:
        """Call the callback if `accepts_work` differs from `accepted_work`, its value before the change."""
        if self.on_accepts_work_changed is not None and backend.accepts_work is not accepted_work:
            self.on_accepts_work_changed(backend, backend.accepts_work)
