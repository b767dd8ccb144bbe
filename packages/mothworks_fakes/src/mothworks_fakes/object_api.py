"""Fake of the platform's object API.

It supports versions, conditional writes and watches.
"""

import collections
import urllib.parse

import attrs
import gevent
import gevent.event

from mothworks_fakes import gates, web

#: Maximum size of an object, as on the platform.
MAX_OBJECT_BYTES = 1_000_000
#: Key prefix of claims; gates block only writes of claims.
CLAIM_PREFIX = "claims/"


@attrs.frozen
class Item:
    """A stored object.

    :param revision: the store's revision at the object's last write.
    :param body: its content.
    """

    revision: int
    body: bytes


class ObjectApi(web.Fake):
    """Stores objects in memory.

    Clients may be identified by the path of their base URL,
    ``/clients/<name>``, so that a test can cut one of them off.

    :param port: TCP port; 0 lets the kernel choose.
    :param seed: seed of the random faults.
    """

    def __init__(self, port: int = 0, seed: int = 0):
        super().__init__(port, seed)
        self.item_by_key: dict[str, Item] = {}
        self.revision = 0
        self.changes: list[tuple[int, str]] = []
        self.changed = gevent.event.Event()
        self.reads = 0
        #: Number of reads by the first segment of the key.
        self.reads_by_kind: collections.Counter[str] = collections.Counter()
        self.writes = 0
        #: Fraction of reads that return the previous version of the object.
        self.stale_reads = 0.0
        #: Names of clients whose calls fail, as when the network is partitioned.
        self.cut_off: set[str] = set()
        self.previous_by_key: dict[str, Item | None] = {}

    def serve(self, method: str, path: str, environ: dict) -> web.Reply:
        """Handle one call; see :meth:`web.Fake.serve`."""
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if path.startswith("/clients/"):
            client, _, rest = path.removeprefix("/clients/").partition("/")
            if client in self.cut_off:
                raise web.BreakConnection
            path = f"/{rest}"
        key = path.removeprefix("/objects/")
        match method:
            case "GET" if path == "/watch":
                return self._watch(query)
            case "GET" if path == "/objects":
                return self._list(query["prefix"])
            case "GET":
                return self._get(key)
            case "PUT":
                return self._put(key, environ)
            case "DELETE":
                return self._delete(key, environ)
        return web.json_reply({}, "405 Method Not Allowed")

    def _count_read(self, key: str) -> None:
        self.reads += 1
        self.reads_by_kind[key.partition("/")[0]] += 1

    def _get(self, key: str) -> web.Reply:
        self._count_read(key)
        item = self.item_by_key.get(key)
        if self.random.random() < self.stale_reads:
            item = self.previous_by_key.get(key)
        if item is None:
            return web.json_reply({}, "404 Not Found")
        return web.Reply("200 OK", [("ETag", str(item.revision))], [item.body])

    def _list(self, prefix: str) -> web.Reply:
        self._count_read(prefix)
        return web.json_reply(
            {
                key: str(item.revision)
                for key, item in self.item_by_key.items()
                if key.startswith(prefix)
            }
        )

    def _put(self, key: str, environ: dict) -> web.Reply:
        self.writes += 1
        body = environ["wsgi.input"].read()
        if len(body) > MAX_OBJECT_BYTES:
            return web.json_reply({}, "413 Content Too Large")
        self._reach(gates.Step.BEFORE_CLAIM, key)
        if not self._condition_holds(key, environ):
            return web.json_reply({}, "412 Precondition Failed")
        self._record_change(key)
        self.item_by_key[key] = Item(self.revision, body)
        version = str(self.revision)
        self._reach(gates.Step.AFTER_CLAIM, key)
        return web.Reply("200 OK", [("ETag", version)], [b"{}"])

    def _delete(self, key: str, environ: dict) -> web.Reply:
        self.writes += 1
        if not self._condition_holds(key, environ):
            return web.json_reply({}, "412 Precondition Failed")
        self._record_change(key)
        del self.item_by_key[key]
        return web.json_reply({})

    def _reach(self, step: gates.Step, key: str) -> None:
        if key.startswith(CLAIM_PREFIX):
            self.gates.reach(step)

    def _condition_holds(self, key: str, environ: dict) -> bool:
        item = self.item_by_key.get(key)
        if environ.get("HTTP_IF_NONE_MATCH") == "*":
            return item is None
        return item is not None and environ.get("HTTP_IF_MATCH") == str(item.revision)

    def _record_change(self, key: str) -> None:
        self.revision += 1
        self.previous_by_key[key] = self.item_by_key.get(key)
        self.changes.append((self.revision, key))
        self.changed.set()
        self.changed.clear()

    def _watch(self, query: dict[str, str]) -> web.Reply:
        prefix = query["prefix"]
        self._count_read(prefix)
        cursor = int(query.get("cursor") or self.revision)
        with gevent.Timeout(float(query["wait"]), False):
            while not self._keys_changed_after(prefix, cursor):
                self.changed.wait()
        keys = self._keys_changed_after(prefix, cursor)
        return web.json_reply({"cursor": str(self.revision), "keys": keys})

    def _keys_changed_after(self, prefix: str, cursor: int) -> list[str]:
        keys = []
        for revision, key in reversed(self.changes):
            if revision <= cursor:
                break
            if key.startswith(prefix):
                keys.append(key)
        return sorted(set(keys))
