"""The registry: the endpoints that this VM knows, by id.

Endpoints register themselves with the platform. What this VM observes itself (an
endpoint that reports that it is leaving, an address at which another endpoint answers)
takes effect immediately, since the platform's changes may arrive late.

An endpoint may restart under its name, and then has none of its former state. Each
incarnation is therefore a separate endpoint here with its own id, so that state stored
by id is never applied to a later incarnation.
"""

import collections.abc
import time

import attrs
import logbook

from mothworks import logs

log = logbook.Logger("registry")

#: Maximum number of leaving endpoints to remember: many times as many as leave while
#: the platform is unreachable.
MAX_LEAVING = 4096
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

    @property
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

    def holds(self, model: str, adapter: str) -> bool:
        """Return whether a model and its adapter are loaded.

        :param model: the model; empty for a plain service, which needs none.
        :param adapter: the adapter; empty for none.
        """
        if not model:
            return True
        adapters = self.adapters_by_model.get(model)
        return adapters is not None and (not adapter or adapter in adapters)


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
        #: The platform's revision up to which the registry is complete.
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
            if item.available and item.entry.service == service
        ]

    def put(self, entry: Entry, document: bytes) -> None:
        """Add or update an entry.

        :param entry: the endpoint's entry.
        :param document: the platform's document of the entry.
        """
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
        """Remove endpoints whose lapsed entries did not return in time."""
        now = time.monotonic()
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
        self.leaving_ids[endpoint_id] = None
        if len(self.leaving_ids) > MAX_LEAVING:
            del self.leaving_ids[next(iter(self.leaving_ids))]
        endpoint = self.by_id.get(endpoint_id)
        if endpoint is not None:
            self.exclude(endpoint, LEAVING_REASON)
        return True

    def notify_changed(self) -> None:
        """Call the :attr:`on_change` callbacks."""
        for notify in self.on_change:
            notify()

    def _add(self, entry: Entry, document: bytes) -> None:
        adapters_by_model = dict(entry.adapters_by_model or {})
        reason = LEAVING_REASON if entry.id in self.leaving_ids else ""
        self.by_id[entry.id] = Endpoint(entry, document, adapters_by_model, reason)
        self.id_by_name[entry.name] = entry.id
        self._log(entry, "appeared")

    def _remove(self, endpoint: Endpoint, outcome: str) -> None:
        del self.by_id[endpoint.id]
        del self.id_by_name[endpoint.entry.name]
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
            revision=self.cursor,
            holds=sorted(entry.adapters_by_model or ()),
            in_host_memory=len(entry.in_host_memory),
            on_disk=len(entry.on_disk),
            outcome=outcome,
        )
