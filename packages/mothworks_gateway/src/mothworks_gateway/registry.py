"""The registry: the endpoints that this VM knows, by id.

Endpoints register themselves with the platform. What this VM observes itself (an
endpoint that reports that it is leaving, an address at which another endpoint answers)
takes effect immediately, since the platform's changes may arrive late.

An endpoint may restart under its name, and then has none of its former state. Each
incarnation is therefore a separate endpoint here with its own id, so that state stored
by id is never applied to a later incarnation.
"""

import collections.abc
import functools
import time

import attrs
import logbook

from mothworks import logs
from mothworks_gateway import caller_request

log = logbook.Logger("registry")

#: Maximum number of leaving endpoints to remember, and of removed ones: many times as
#: many as leave while the platform is unreachable.
MAX_REMEMBERED = 4096
#: Time for which a restored entry that contradicts what is known is left out, seconds:
#: longer than running endpoints take to write their entries again, and than the
#: platform takes to remove those of endpoints that are gone.
RESTORED_HOLD_S = 5.0
#: Why an endpoint that announced that it is leaving gets no new requests.
LEAVING_REASON = "it announced that it is leaving"


@attrs.frozen
class Entry:
    """An endpoint's own entry in the platform's registry.

    :param name: its name on the platform.
    :param service: the service that it belongs to.
    :param address: IP number and port.
    :param data_centre: where it runs.
    :param batch_slots: requests that it runs concurrently.
    :param draining: whether it is shutting down and must get no new requests.
    :param remaining_s: time until it shuts down, seconds; None if unknown.
    :param adapters_by_model: its loaded models and their adapters; None for a plain
        service.
    :param in_host_memory: models whose weights are in its host memory.
    :param on_disk: models whose weights are on its disk.
    :param started_ms: when it started, Unix time in milliseconds; 0 if unknown. It
        distinguishes the endpoint's incarnations.
    :param software_version: version of the endpoint's software; empty if unknown.
    """

    name: str
    service: str
    address: tuple[str, int]
    data_centre: str = ""
    batch_slots: int = 1
    draining: bool = False
    remaining_s: float | None = None
    adapters_by_model: dict[str, frozenset[str]] | None = None
    in_host_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    started_ms: int = 0
    software_version: str = ""

    @functools.cached_property
    def id(self) -> str:
        """Return the unique id of this incarnation."""
        return f"{self.name}@{self.started_ms}" if self.started_ms else self.name


@attrs.define(eq=False)
class Endpoint:
    """An endpoint and what this VM knows of it.

    :param entry: the newest entry.
    :param document: the platform's document of the entry, for peers.
    :param adapters_by_model: the models and adapters assumed to be loaded now.
    :param exclusion_reason: why this VM sends it no new requests; empty if it does.
    :param lapsed_until: monotonic time until which it stays in use although its entry
        is missing; None while the entry exists.
    """

    entry: Entry
    document: bytes = attrs.field(default=b"", repr=False)
    adapters_by_model: dict[str, frozenset[str]] = attrs.field(factory=dict)
    exclusion_reason: str = ""
    lapsed_until: float | None = None

    @property
    def id(self) -> str:
        """Return the id of this incarnation."""
        return self.entry.id

    @property
    def available(self) -> bool:
        """Return whether it accepts new requests."""
        return not (self.entry.draining or self.exclusion_reason)

    def can_run(self, target: caller_request.Target) -> bool:
        """Return whether it has what a request needs.

        :param target: what the request needs.
        """
        return target.allows(self.entry.software_version) and self.holds(
            target.model, target.adapter
        )

    def holds(self, model: str, adapter: str) -> bool:
        """Return whether a model and its adapter are loaded.

        :param model: the model; empty for a plain service, which needs none.
        :param adapter: the adapter; empty for none.
        """
        if not model:
            return True
        adapters = self.adapters_by_model.get(model)
        return adapters is not None and (not adapter or adapter in adapters)


@attrs.frozen
class RestoredEntry:
    """An entry of a restored platform that contradicts what this VM knows.

    :param entry: the entry.
    :param document: the platform's document of the entry.
    :param until: monotonic time until which it is left out.
    """

    entry: Entry
    document: bytes
    until: float


class Registry:
    """All known endpoints; notifies of changes."""

    def __init__(self):
        self.by_id: dict[str, Endpoint] = {}
        #: The id of the newest incarnation of each endpoint.
        self.id_by_name: dict[str, str] = {}
        #: Ids of endpoints that announced that they are leaving, the latest last. They
        #: are kept after an endpoint's removal: an entry that lapsed during an outage
        #: may be written again.
        self.leaving_ids: dict[str, None] = {}
        #: Ids of endpoints that were removed, the latest last.
        self.removed_ids: dict[str, None] = {}
        #: Restored entries that are left out for now.
        self.restored_by_name: dict[str, RestoredEntry] = {}
        #: The platform's cursor up to which the registry is complete.
        self.cursor = 0
        #: Functions to call after a change, without arguments.
        self.on_change: list[collections.abc.Callable[[], None]] = []

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that accept new requests.

        :param service: the service's name.
        """
        return [
            item
            for item in self.by_id.values()
            if item.entry.service == service and item.available
        ]

    def known_documents(self) -> dict[str, bytes]:
        """Return the documents that the platform has as far as known, by name."""
        document_by_name = {
            item.entry.name: item.document
            for item in self.by_id.values()
            if item.lapsed_until is None
        }
        for name, restored in self.restored_by_name.items():
            document_by_name[name] = restored.document
        return document_by_name

    def put(self, entry: Entry, document: bytes) -> None:
        """Add or update an entry.

        :param entry: the endpoint's entry.
        :param document: the platform's document of the entry.
        """
        self.restored_by_name.pop(entry.name, None)
        endpoint = self.find_by_name(entry.name)
        if endpoint is not None and entry.started_ms < endpoint.entry.started_ms:
            # Written before the endpoint restarted, and arrived late.
            self._log(entry, "older incarnation, left out")
            return
        if endpoint is not None and entry.started_ms > endpoint.entry.started_ms:
            self._remove(endpoint, "started again")
            endpoint = None
        if endpoint is None:
            self._add(entry, document)
            return
        previous = endpoint.entry
        endpoint.entry = entry
        endpoint.document = document
        endpoint.lapsed_until = None
        self._update_models(endpoint, previous, entry)
        if previous.draining != entry.draining:
            self._log(entry, "leaves" if entry.draining else "stays")

    def put_restored(self, entry: Entry, document: bytes) -> None:
        """Add or update an entry that the platform has after it was restored.

        The entry may be older than what is known: the endpoint may have left since. If
        the entry contradicts that, it takes effect only if the endpoint does not write
        another one for a while.

        :param entry: the endpoint's entry.
        :param document: the platform's document of the entry.
        """
        if not self._contradicts(entry):
            self.put(entry, document)
            return
        endpoint = self.by_id.get(entry.id)
        if endpoint is not None:
            endpoint.lapsed_until = None
        until = time.monotonic() + RESTORED_HOLD_S
        self.restored_by_name[entry.name] = RestoredEntry(entry, document, until)
        self._log(entry, "restored, left out for now")

    def find_by_name(self, name: str) -> Endpoint | None:
        """Return the newest incarnation of an endpoint; None if it is unknown.

        :param name: its name on the platform.
        """
        return self.by_id.get(self.id_by_name.get(name, ""))

    def remove(
        self,
        name: str,
        suspect_until: float = 0.0,
        reason: str = "lapsed during an outage",
    ) -> None:
        """Remove the endpoint of a missing entry, or mark it as lapsed.

        :param name: the endpoint's name.
        :param suspect_until: monotonic time until which the endpoint may be running
            although its entry is missing; it stays in use until then.
        :param reason: why it may be running, for the log.
        """
        self.restored_by_name.pop(name, None)
        endpoint = self.find_by_name(name)
        if endpoint is None:
            return
        if time.monotonic() < suspect_until:
            if endpoint.lapsed_until is None:
                self._log(endpoint.entry, reason)
            endpoint.lapsed_until = suspect_until
            return
        self._remove(endpoint, "removed")

    def record_restart(self, endpoint: Endpoint, started_ms: int) -> None:
        """Record a restart that an endpoint reported to this VM.

        Its new entry may arrive seconds later, or not at all while the platform is
        down. Until then, no model is assumed to be loaded.

        :param endpoint: the previous incarnation.
        :param started_ms: when the new one started; see :class:`Entry`.
        """
        if (
            self.find_by_name(endpoint.entry.name) is endpoint
            and started_ms > endpoint.entry.started_ms
        ):
            new_entry = attrs.evolve(
                endpoint.entry, started_ms=started_ms, adapters_by_model={}
            )
            self.put(new_entry, endpoint.document)
            self.notify_changed()

    def expire(self) -> None:
        """Apply what no newer entry has replaced in time.

        Endpoints whose lapsed entries did not return are removed, and restored entries
        that were left out take effect.
        """
        now = time.monotonic()
        due = [item for item in self.restored_by_name.values() if now > item.until]
        for restored in due:
            self.put(restored.entry, restored.document)
        if due:
            self.notify_changed()
        for item in list(self.by_id.values()):
            if item.lapsed_until is not None and now > item.lapsed_until:
                self._remove(item, "removed")
                self.notify_changed()

    def exclude(self, endpoint: Endpoint, reason: str) -> None:
        """Exclude an endpoint from new requests because of its own behaviour.

        :param endpoint: the endpoint.
        :param reason: the observed behaviour.
        """
        if not endpoint.exclusion_reason:
            endpoint.exclusion_reason = reason
            self._log(endpoint.entry, f"dismissed: {reason}")
            self.notify_changed()

    def record_leaving(self, endpoint_id: str) -> bool:
        """Exclude an endpoint that announced that it is leaving.

        :param endpoint_id: the endpoint; its entry may arrive later.
        :returns: whether this was not known yet.
        """
        if endpoint_id in self.leaving_ids:
            return False
        _remember(self.leaving_ids, endpoint_id)
        endpoint = self.by_id.get(endpoint_id)
        if endpoint is not None:
            self.exclude(endpoint, LEAVING_REASON)
        return True

    def notify_changed(self) -> None:
        """Call the :attr:`on_change` callbacks."""
        for notify in self.on_change:
            notify()

    def _contradicts(self, restored: Entry) -> bool:
        """Return whether a restored entry contradicts what is known.

        An endpoint that drains does not stop draining, so a draining entry is never
        outdated.
        """
        endpoint = self.by_id.get(restored.id)
        if endpoint is None:
            return restored.id in self.removed_ids
        return restored != endpoint.entry and not restored.draining

    def _add(self, entry: Entry, document: bytes) -> None:
        adapters_by_model = dict(entry.adapters_by_model or {})
        reason = LEAVING_REASON if entry.id in self.leaving_ids else ""
        self.by_id[entry.id] = Endpoint(entry, document, adapters_by_model, reason)
        self.id_by_name[entry.name] = entry.id
        self.removed_ids.pop(entry.id, None)
        self._log(entry, "appeared")

    def _remove(self, endpoint: Endpoint, outcome: str) -> None:
        del self.by_id[endpoint.id]
        del self.id_by_name[endpoint.entry.name]
        _remember(self.removed_ids, endpoint.id)
        self._log(endpoint.entry, outcome)

    def _update_models(self, endpoint: Endpoint, previous: Entry, entry: Entry) -> None:
        """Update the loaded models from a new entry, but not adapters of known models.

        Loading or unloading an adapter does not change an entry, so its adapters may be
        outdated. They are only used for a model that is new in the entry; otherwise
        adapters are tracked through orders.
        """
        old_models = previous.adapters_by_model or {}
        new_models = entry.adapters_by_model or {}
        for name in old_models.keys() - new_models.keys():
            endpoint.adapters_by_model.pop(name, None)
        for name in new_models.keys() - old_models.keys():
            adapters = endpoint.adapters_by_model.get(name, frozenset())
            endpoint.adapters_by_model[name] = adapters | new_models[name]

    def _log(self, entry: Entry, outcome: str) -> None:
        logs.event(
            log,
            "endpoint",
            endpoint=entry.id,
            service=entry.service,
            address=f"{entry.address[0]}:{entry.address[1]}",
            software=entry.software_version,
            revision=self.cursor,
            holds=sorted(entry.adapters_by_model or ()),
            in_host_memory=len(entry.in_host_memory),
            on_disk=len(entry.on_disk),
            outcome=outcome,
        )


def _remember(ids: dict[str, None], endpoint_id: str) -> None:
    """Add an id as the latest one; the oldest one is dropped if there are too many."""
    ids.pop(endpoint_id, None)
    ids[endpoint_id] = None
    if len(ids) > MAX_REMEMBERED:
        del ids[next(iter(ids))]
