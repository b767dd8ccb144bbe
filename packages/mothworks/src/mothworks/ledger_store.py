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
    """Another owner wrote the ledger first; nothing was written."""


StoreError = Lost | objects.Unavailable


class LedgerStore:
    """Ledgers in the object API.

    :param api: the object API's client.
    """

    def __init__(self, api: objects.Api):
        self.api = api

    def read(self, endpoint: str) -> result.Result[Kept, objects.Unavailable]:
        """Read an endpoint's ledger; an empty one where there is none.

        :param endpoint: the endpoint's name.
        """
        match self.api.get(PREFIX + endpoint):
            case result.Ok(stored):
                value = orjson.loads(stored.body)
                found = documents.structure(value, ledger.Ledger, stored.key).unwrap()
                return result.Ok(Kept(found, stored.version))
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
        changed = attrs.evolve(changed, nonce=uuid.uuid4().hex)
        body = orjson.dumps(documents.plain(changed))
        match self.api.put(PREFIX + changed.endpoint, body, kept.version):
            case result.Ok(version):
                return result.Ok(Kept(changed, version))
            case result.Err(objects.Unavailable() as problem):
                return result.Err(problem)
        # A conflict may be the work of this very write: its reply was lost
        # and the client below sent it again.
        return self.read(changed.endpoint).and_then(
            lambda found: _recognise(found, changed)
        )


def _recognise(found: Kept, written: ledger.Ledger) -> result.Result[Kept, StoreError]:
    if found.ledger.nonce == written.nonce:
        return result.Ok(found)
    return result.Err(Lost())
