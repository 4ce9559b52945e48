"""The table of backends: what lists have named or has connected by itself, and the client of each."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b

from hazelbend.decisions.interface import ListKind, MembershipUpdate, WorkerEntry, WorkerState
from hazelbend.routing.ports import BackendClient, Endpoint, EndpointList

ID_BYTES = 6


def stable_id(host: str) -> int:
    """Return the same number for a name at every dispatcher and after every restart; never 0."""
    return int.from_bytes(blake2b(host.encode(), digest_size=ID_BYTES).digest()) or 1


@dataclass(slots=True, eq=False)
class Backend:
    """A backend, and the client for it."""

    id: int
    index: int  # from 1, in order of first appearance; the same again after an absence
    entry: Endpoint
    client: BackendClient
    is_listed: bool = True
    is_manually_drained: bool = False
    in_flight: int = 0  # attempts
    served: int = 0
    failed: int = 0

    @property
    def accepts_work(self) -> bool:
        """Whether it may get new requests."""
        return self.is_listed and not self.is_manually_drained and self.entry.state is WorkerState.READY

    def worker_entry(self) -> WorkerEntry:
        """Return the entry as the decision module gets it."""
        entry = self.entry
        state = entry.state
        if self.is_manually_drained and state is WorkerState.READY:
            state = WorkerState.DRAINING
        return WorkerEntry(self.id, entry.zone, entry.kind, entry.cell, state, entry.weight, entry.started_at)


class BackendTable:
    """The backends by id. A complete list replaces what lists have named, not what has connected by itself.

    Methods that change the table return the update for the decision module.
    """

    def __init__(self, connect: Callable[[Endpoint], BackendClient]) -> None:
        """`connect` makes the client of a listed backend."""
        self._connect = connect
        self.servers: dict[int, Backend] = {}
        self.on_accepts_work_changed: Callable[[Backend, bool], None] | None = (
            None  # gets changes of `accepts_work`
        )
        self._registered: set[int] = set()  # have connected by themselves
        self._indexes: dict[int, int] = {}
        self._manually_drained: set[int] = set()  # kept while a backend is absent from the list

    # --- lists ---

    def apply(self, endpoints: EndpointList, kind: ListKind = ListKind.FULL) -> MembershipUpdate:
        """Take in a list, or changes of one."""
        if endpoints.failed:
            return MembershipUpdate(ListKind.FAILED)
        if not endpoints.is_complete:
            return MembershipUpdate(ListKind.DELTA, tuple(self._apply_entries(endpoints.entries)))
        listed = list(self._apply_entries(endpoints.entries))
        present = {entry.worker for entry in listed} | self._registered
        absent = [number for number in self.servers if number not in present]
        for number in absent:
            self._remove(self.servers[number])
        registered = [self.servers[number].worker_entry() for number in sorted(self._registered)]
        return MembershipUpdate(kind, (*listed, *registered))

    def _apply_entries(self, entries: Iterable[Endpoint]) -> Iterable[WorkerEntry]:
        for entry in entries:
            backend = self.servers.get(stable_id(entry.host))
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

    # --- backends that connect by themselves ---

    def register(self, entry: Endpoint, client: BackendClient) -> MembershipUpdate:
        """A backend has connected."""
        backend = self._add(entry, client)
        self._registered.add(backend.id)
        return MembershipUpdate(ListKind.DELTA, (backend.worker_entry(),))

    def change_registered(self, host: str, state: WorkerState) -> MembershipUpdate:
        """A registered backend has changed its state."""
        backend = self.servers[stable_id(host)]
        self._replace_entry(backend, replace(backend.entry, state=state))
        update = MembershipUpdate(ListKind.DELTA, (backend.worker_entry(),))
        if state is WorkerState.GONE:
            self._registered.discard(backend.id)
            self._remove(backend)
        return update

    # --- drains by hand ---

    def set_manual_drain(self, host: str, is_drained: bool) -> MembershipUpdate | None:
        """Drain or undrain a backend by hand; None if no such backend is listed."""
        backend = self.servers.get(stable_id(host))
        if backend is None:
            return None
        accepted_work = backend.accepts_work
        backend.is_manually_drained = is_drained
        if is_drained:
            self._manually_drained.add(backend.id)
        else:
            self._manually_drained.discard(backend.id)
        self._notify_watcher(backend, accepted_work)
        return MembershipUpdate(ListKind.DELTA, (backend.worker_entry(),))

    def rename_manual_drain(self, old_host: str, new_host: str) -> None:
        """A backend will be known by another name: its drain by hand stays."""
        if stable_id(old_host) in self._manually_drained:
            self._manually_drained.discard(stable_id(old_host))
            self._manually_drained.add(stable_id(new_host))

    # --- queries ---

    def by_host(self, host: str) -> Backend | None:
        """Return the listed backend of this name."""
        return self.servers.get(stable_id(host))

    def registered(self) -> tuple[Backend, ...]:
        """Return the backends that have connected by themselves."""
        return tuple(self.servers[number] for number in sorted(self._registered))

    def listed(self) -> EndpointList:
        """Return the backends that lists have named, as they are now."""
        entries = (
            backend.entry for number, backend in self.servers.items() if number not in self._registered
        )
        return EndpointList(tuple(entries), is_complete=True)

    def manually_drained(self) -> tuple[str, ...]:
        """Return the names of those that are drained by hand."""
        return tuple(backend.entry.host for backend in self.servers.values() if backend.is_manually_drained)

    # --- changes of one backend ---

    def _add(self, entry: Endpoint, client: BackendClient) -> Backend:
        number = stable_id(entry.host)
        index = self._indexes.setdefault(number, len(self._indexes) + 1)
        is_drained = number in self._manually_drained
        backend = Backend(number, index, entry, client, is_manually_drained=is_drained)
        self.servers[number] = backend
        self._notify_watcher(backend, False)
        return backend

    def _replace_entry(self, backend: Backend, entry: Endpoint) -> None:
        accepted_work = backend.accepts_work
        backend.entry = entry
        self._notify_watcher(backend, accepted_work)

    def _remove(self, backend: Backend) -> None:
        """It gets nothing new; attempts in flight end by themselves."""
        accepted_work = backend.accepts_work
        backend.is_listed = False
        self.servers.pop(backend.id, None)
        self._notify_watcher(backend, accepted_work)
        backend.client.close()

    def _notify_watcher(self, backend: Backend, accepted_work: bool) -> None:
        if self.on_accepts_work_changed is not None and backend.accepts_work is not accepted_work:
            self.on_accepts_work_changed(backend, backend.accepts_work)
