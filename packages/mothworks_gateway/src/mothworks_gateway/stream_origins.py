"""Stream origins: which service and software version began each resumable stream.

What two software versions write does not fit together, so a stream goes on only at the
version that began it. Its caller names the request that began it, possibly at another
VM, which may be gone. So each VM publishes the streams that it begins to a few owners
(:mod:`owners`), and a VM whose caller takes a stream up asks them.

A stream whose origin nobody knows goes on only if all endpoints that can have begun it
are of one version (:mod:`software_versions`). Otherwise it is refused at once, and its
caller may begin anew.
"""

import collections
import collections.abc
import time

import attrs
import gevent
import logbook
import result
import xxhash

from mothworks import kernel, logs, messages, peers
from mothworks_gateway import caller_request, owners, registry, software_versions

log = logbook.Logger("stream_origins")

#: Number of VMs that store the origin of a stream, besides the one that began it.
COPIES = 2
#: Number of VMs that are asked for an origin: VMs that joined may rank before those
#: that store it.
MAX_ASKED = COPIES + 2
#: Most VMs that are asked which versions served, until one has seen all of them.
MAX_ASKED_FOR_VERSIONS = 8
#: Time for which origins are batched before they are sent together, seconds.
BATCH_DELAY_S = 0.04
#: Timeout of a query, seconds.
QUERY_TIMEOUT_S = 0.1
#: Time for which an origin is stored, seconds: longer than streams are taken up.
RETENTION_S = 2 * software_versions.MAX_STREAM_S
#: Maximum number of origins that are stored; the oldest are evicted first.
MAX_ORIGINS = 200_000
#: Longest id that is stored; callers choose ids.
MAX_ID_LENGTH = 64
#: Number of groups of streams; each group has the same owners.
GROUPS = 64
#: Interval at which expired origins are dropped, seconds.
EVICTION_INTERVAL_S = 5.0


@messages.message(147)
@attrs.frozen
class StreamsBegan:
    """Publishes the origins of streams to an owner.

    :param service: the service.
    :param software_version: the software version of the endpoints that began them.
    :param stream_ids: ids of the requests that began them, packed.
    """

    service: str
    software_version: str
    stream_ids: tuple[str | bytes, ...]


@messages.message(148)
@attrs.frozen
class OriginQuery:
    """Asks for the origin of a stream.

    :param service: the service that is to go on with it.
    :param stream_id: id of the request that began it; empty if it is unknown.
    """

    service: str
    stream_id: str


@messages.message(149)
@attrs.frozen
class OriginReply:
    """The reply.

    :param known: whether the origin is known.
    :param service: the service.
    :param software_version: the software version.
    :param versions: the software versions of the service that the sender observed; see
        :class:`software_versions.ObservedVersions`.
    :param complete: whether it observed all.
    """

    known: bool
    service: str = ""
    software_version: str = ""
    versions: tuple[str, ...] = ()
    complete: bool = False


@attrs.frozen
class StreamOrigin:
    """What began a stream.

    :param service: the service.
    :param software_version: the software version of the endpoint.
    """

    service: str
    software_version: str


@attrs.frozen
class _Stored:
    """An origin and when it was stored.

    :param origin: the origin.
    :param at: monotonic time.
    """

    origin: StreamOrigin
    at: float


class StreamOrigins(kernel.Part):
    """Stores the origins of streams, and pins requests that take streams up.

    :param node_kernel: the node's kernel.
    """

    def __init__(self, node_kernel: kernel.Kernel):
        super().__init__(node_kernel)
        self.name = node_kernel.settings.name
        self.peers = node_kernel.get(peers.Peers)
        self.owners = node_kernel.get(owners.Owners)
        self.versions = node_kernel.get(software_versions.SoftwareVersions)
        self.stored_by_id: collections.OrderedDict[str, _Stored] = (
            collections.OrderedDict()
        )
        #: Ids to publish, by owner and origin.
        self.batch: collections.defaultdict[tuple[str, StreamOrigin], list[str]] = (
            collections.defaultdict(list)
        )
        self.peers.handle(StreamsBegan, self._on_began)
        self.peers.handle(OriginQuery, self._serve_query)

    def start(self) -> None:
        """Start to drop expired origins."""
        self.tasks.every(EVICTION_INTERVAL_S, self._evict_expired)

    def record(self, stream_id: str, entry: registry.Entry) -> None:
        """Store and publish which endpoint begins a stream, or goes on with it.

        :param stream_id: id of the request that began it.
        :param entry: the endpoint's entry.
        """
        if not _is_storable(stream_id):
            return
        origin = StreamOrigin(entry.service, entry.software_version)
        stored = self.stored_by_id.get(stream_id)
        if stored is not None and stored.origin == origin:
            return
        self._store(stream_id, origin)
        if not self.batch:
            self.tasks.spawn(self._flush_later)
        for vm in self._ranked(stream_id)[:COPIES]:
            if vm != self.name:
                self.batch[vm, origin].append(stream_id)

    def pin(
        self, request: caller_request.CallerRequest
    ) -> result.Result[caller_request.CallerRequest, str]:
        """Return a request that takes a stream up, for the endpoints that may run it.

        :param request: the request.
        :returns: the request, or why no endpoint may run it.
        """
        origin = self.find(request.resumes) if request.resumes else None
        source = "known"
        if origin is None:
            origin, source = self._only_origin(request), "only version"
        logs.event(
            log,
            "taken up",
            request=request.id,
            resumes=request.resumes,
            after_event=request.after_event,
            software=origin.software_version if origin else "",
            outcome=source if origin else "unknown, refused",
        )
        if origin is None:
            return result.Err("the software version that began its stream is unknown")
        if not any(share.service == origin.service for share in request.route.shares):
            return result.Err("its route no longer has the service of its stream")
        return result.Ok(request.pinned(origin.software_version, origin.service))

    def find(self, stream_id: str) -> StreamOrigin | None:
        """Return what began a stream, as far as this VM or an owner knows.

        :param stream_id: id of the request that began it.
        """
        if not _is_storable(stream_id):
            return None
        stored = self.stored_by_id.get(stream_id)
        if stored is not None:
            return stored.origin
        for reply in self._ask("", stream_id, MAX_ASKED):
            if reply.known:
                origin = StreamOrigin(reply.service, reply.software_version)
                self._store(stream_id, origin)
                return origin
        return None

    def _ask(
        self, service: str, stream_id: str, count: int
    ) -> collections.abc.Iterator[OriginReply]:
        """Yield the replies of a stream's owners, one after the other.

        Unlike other calls of owners, it waits for a connection to open, and asks those
        that did not answer lately last: a stream that is refused is lost.
        """
        query = OriginQuery(service, stream_id)
        ranked = [vm for vm in self._ranked(stream_id)[:count] if vm != self.name]
        for vm in sorted(ranked, key=self.owners.is_unresponsive):
            match self.peers.call(vm, query, QUERY_TIMEOUT_S):
                case result.Ok(OriginReply() as reply):
                    yield reply
                case result.Err(failure):
                    thing = "the origins of streams"
                    self.owners.record_silent(vm, failure.reason, thing)

    def _only_origin(
        self, request: caller_request.CallerRequest
    ) -> StreamOrigin | None:
        """Return the origin of a stream if there is only one that it can have."""
        if len(request.route.shares) > 1:
            return None
        service = request.target.service
        own = self.versions.observed(service)
        versions, complete = own.versions, own.complete
        if len(versions) == 1 and not complete:
            for reply in self._ask(service, request.resumes, MAX_ASKED_FOR_VERSIONS):
                versions |= set(reply.versions)
                complete = reply.complete
                if complete or len(versions) > 1:
                    break
        if len(versions) == 1 and not complete:
            self.versions.read_lease()
            recorded = self.versions.observed(service)
            versions, complete = versions | recorded.versions, recorded.complete
        if len(versions) != 1 or not complete:
            return None
        (version,) = versions
        return StreamOrigin(service, version)

    def _ranked(self, stream_id: str) -> list[str]:
        """Return the VMs that store a stream's origin, and their successors."""
        group = xxhash.xxh32_intdigest(stream_id.encode()) % GROUPS
        return self.owners.ranked(f"streams {group}")

    def _store(self, stream_id: str, origin: StreamOrigin) -> None:
        self.stored_by_id[stream_id] = _Stored(origin, time.monotonic())
        self.stored_by_id.move_to_end(stream_id)
        if len(self.stored_by_id) > MAX_ORIGINS:
            self.stored_by_id.popitem(last=False)

    def _evict_expired(self) -> None:
        oldest_at = time.monotonic() - RETENTION_S
        while self.stored_by_id:
            stream_id, stored = next(iter(self.stored_by_id.items()))
            if stored.at >= oldest_at:
                return
            del self.stored_by_id[stream_id]

    def _flush_later(self) -> None:
        gevent.sleep(BATCH_DELAY_S)
        self.flush()

    def flush(self) -> None:
        """Send all batched origins to their owners now."""
        batch, self.batch = self.batch, collections.defaultdict(list)
        for (vm, origin), stream_ids in batch.items():
            message = StreamsBegan(
                origin.service, origin.software_version, tuple(map(_pack, stream_ids))
            )
            self.peers.send_nowait(vm, message)

    def _on_began(self, _: str, message: StreamsBegan, __) -> None:
        origin = StreamOrigin(message.service, message.software_version)
        for packed in message.stream_ids:
            is_hex = isinstance(packed, bytes)
            self._store(packed.hex() if is_hex else packed, origin)

    def _serve_query(self, _: str, query: OriginQuery, reply: peers.Reply) -> None:
        stored = self.stored_by_id.get(query.stream_id)
        if stored is not None:
            origin = stored.origin
            reply(OriginReply(True, origin.service, origin.software_version))
            return
        observed = self.versions.observed(query.service)
        reply(
            OriginReply(
                False, versions=tuple(observed.versions), complete=observed.complete
            )
        )


def _is_storable(stream_id: str) -> bool:
    """Return whether an id names a stream; the id of an unnamed one is empty."""
    return 0 < len(stream_id) <= MAX_ID_LENGTH


def _pack(stream_id: str) -> str | bytes:
    """Return the bytes of an id in lower-case hexadecimal, or else the id itself."""
    try:
        packed = bytes.fromhex(stream_id)
    except ValueError:
        return stream_id
    return packed if packed.hex() == stream_id else stream_id
