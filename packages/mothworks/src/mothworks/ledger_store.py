"""Reads and writes ledgers in the object API.

Each endpoint has one object, written only by conditional updates. Every write
carries its own nonce, which identifies a write whose reply was lost when the
object is read back.
"""

import uuid

import attrs
import orjson
import result

from mothworks import documents, ledger, objects

PREFIX = "ledger/"


@attrs.frozen
class StoredLedger:
    """A ledger as last read or written.

    :param ledger: its content.
    :param version: the object's version; None if there is no object.
    """

    ledger: ledger.Ledger
    version: str | None


@attrs.frozen
class WriteConflict:
    """Another owner wrote the ledger; it must be read again."""


@attrs.frozen
class Unreadable:
    """The stored ledger has a format that this version cannot read.

    A later version may have stored fields that this one does not know. A
    write would drop them, so the ledger is not written.

    :param reason: the parse error.
    """

    reason: str


ReadError = objects.Unavailable | Unreadable
StoreError = WriteConflict | ReadError


class LedgerStore:
    """Stores ledgers in the object API.

    :param api: the object API's client.
    :param confirm_timeout_s: timeout for determining a write's outcome, seconds.
    """

    def __init__(
        self, api: objects.Api, confirm_timeout_s: float = objects.CONFIRM_TIMEOUT_S
    ):
        self.api = api
        self.confirm_timeout_s = confirm_timeout_s

    def read(self, endpoint: str) -> result.Result[StoredLedger, ReadError]:
        """Read an endpoint's ledger; return an empty one if none is stored.

        :param endpoint: the endpoint's name.
        """
        match self.api.get(PREFIX + endpoint):
            case result.Ok(stored):
                return _parse(stored)
            case result.Err(objects.Missing()):
                return result.Ok(StoredLedger(ledger.Ledger(endpoint), None))
            case error:
                return error

    def write(
        self, stored: StoredLedger, updated: ledger.Ledger
    ) -> result.Result[StoredLedger, StoreError]:
        """Replace a ledger unless it was replaced since it was read.

        :param stored: the ledger as last read or written.
        :param updated: its next state.
        :returns: the ledger as stored now.
        """
        nonce = uuid.uuid4().hex
        updated = attrs.evolve(updated, nonce=nonce)
        body = orjson.dumps(documents.to_plain(updated))
        key = PREFIX + updated.endpoint
        written = objects.put_and_confirm(
            self.api, key, body, stored.version, nonce.encode(), self.confirm_timeout_s
        )
        match written:
            case result.Ok(version):
                return result.Ok(StoredLedger(updated, version))
            case result.Err(objects.Unavailable() as problem):
                return result.Err(problem)
        # This write may have taken effect all the same. The next read then
        # returns its intent, and its reader continues from there.
        return result.Err(WriteConflict())


def _parse(stored: objects.Stored) -> result.Result[StoredLedger, Unreadable]:
    try:
        value = orjson.loads(stored.body)
    except orjson.JSONDecodeError as error:
        return result.Err(Unreadable(f"{stored.key}: {error}"))
    read = documents.structure(value, ledger.Ledger, stored.key)
    return read.map(lambda parsed: StoredLedger(parsed, stored.version)).map_err(
        lambda problem: Unreadable(str(problem))
    )
