"""Reads and writes ledgers in the object API.

One object for each endpoint, written by conditional update only. Every write
carries a nonce of its own, by which a write whose reply was lost is
recognised when the object is read back.
"""

import uuid

import attrs
import orjson
import result

from mothworks import documents, ledger, objects

PREFIX = "ledger/"


@attrs.frozen
class Kept:
    """A ledger as it was read or written.

    :param ledger: its content.
    :param version: the object's version; None where there is no object.
    """

    ledger: ledger.Ledger
    version: str | None


@attrs.frozen
class Lost:
    """Another owner wrote the ledger; it must be read again."""


@attrs.frozen
class Unreadable:
    """What is stored is not a ledger that this version understands.

    A later version may have stored more than this one knows; a write from
    here would drop that, so the ledger is left alone.

    :param reason: what is not understood.
    """

    reason: str


ReadError = objects.Unavailable | Unreadable
StoreError = Lost | ReadError


class LedgerStore:
    """Ledgers in the object API.

    :param api: the object API's client.
    :param patience_s: longest time to learn a write's outcome, seconds.
    """

    def __init__(self, api: objects.Api, patience_s: float = objects.PATIENCE_S):
        self.api = api
        self.patience_s = patience_s

    def read(self, endpoint: str) -> result.Result[Kept, ReadError]:
        """Read an endpoint's ledger; an empty one where there is none.

        :param endpoint: the endpoint's name.
        """
        match self.api.get(PREFIX + endpoint):
            case result.Ok(stored):
                return _parse(stored)
            case result.Err(objects.Missing()):
                return result.Ok(Kept(ledger.Ledger(endpoint), None))
            case error:
                return error

    def write(
        self, kept: Kept, changed: ledger.Ledger
    ) -> result.Result[Kept, StoreError]:
        """Replace a ledger if nobody else did since it was read.

        :param kept: the ledger as last read or written.
        :param changed: its next state.
        :returns: the ledger as it stands now.
        """
        nonce = uuid.uuid4().hex
        changed = attrs.evolve(changed, nonce=nonce)
        body = orjson.dumps(documents.plain(changed))
        key = PREFIX + changed.endpoint
        written = objects.put_known(
            self.api, key, body, kept.version, nonce.encode(), self.patience_s
        )
        match written:
            case result.Ok(version):
                return result.Ok(Kept(changed, version))
            case result.Err(objects.Unavailable() as problem):
                return result.Err(problem)
        # Also where this write may have taken effect: then the ledger that is
        # read next holds its intent, and whoever reads it goes on from there.
        return result.Err(Lost())


def _parse(stored: objects.Stored) -> result.Result[Kept, Unreadable]:
    try:
        value = orjson.loads(stored.body)
    except orjson.JSONDecodeError as error:
        return result.Err(Unreadable(f"{stored.key}: {error}"))
    read = documents.structure(value, ledger.Ledger, stored.key)
    return read.map(lambda found: Kept(found, stored.version)).map_err(
        lambda problem: Unreadable(str(problem))
    )
