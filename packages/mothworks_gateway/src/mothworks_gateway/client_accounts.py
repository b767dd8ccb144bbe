"""Client accounts: who may call, with which keys, and how much.

Keys are not stored. Lookups use a keyed digest whose secret is generated at random by
each process, so that a leaked digest does not reveal the key and can't be looked up in
a precomputed table.
"""

import enum
import functools
import hashlib
import secrets
import statistics

import attrs

#: Bytes of the secret and of a digest.
DIGEST_BYTES = 16

_secret = secrets.token_bytes(DIGEST_BYTES)


def digest(key: str) -> bytes:
    """Return the keyed digest of an API key, valid within this process.

    :param key: the key, as sent in an HTTP header.

    >>> digest("k-1") == digest("k-1")
    True
    """
    # Lone surrogates can't occur in a header; they are encoded so that lookup fails
    # without an exception.
    encoded = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(encoded, key=_secret, digest_size=DIGEST_BYTES).digest()


class CapUnit(enum.Enum):
    """What a usage cap counts."""

    REQUESTS = "requests"
    #: Prompt tokens plus the maximum number of output tokens of each request.
    TOKENS = "tokens"


@attrs.frozen
class UsageCap:
    """Rate limit of an account over all VMs together.

    :param per_s: units per second.
    :param burst: units that may accumulate while the account is idle.
    :param unit: what is counted.
    :param default_tokens: tokens counted for a request that specifies none.
    """

    per_s: float
    burst: float
    unit: CapUnit = CapUnit.REQUESTS
    default_tokens: int = 1

    def cost(self, tokens: int) -> float:
        """Return the units that a request consumes.

        :param tokens: prompt tokens plus maximum output tokens; 0 if it specifies none.

        >>> UsageCap(10.0, 10.0, CapUnit.TOKENS, default_tokens=200).cost(0)
        200
        """
        if self.unit is CapUnit.REQUESTS:
            return 1
        return tokens or self.default_tokens

    def scaled(self, share: float) -> "UsageCap":
        """Return this cap scaled down to a share of it.

        :param share: the share, at most 1.
        """
        if share == 1.0:
            return self
        return attrs.evolve(self, per_s=share * self.per_s, burst=share * self.burst)

    def max_units(self, seconds: float) -> float:
        """Return the maximum number of units that an account may use in any window.

        :param seconds: length of the window.
        """
        return self.per_s * seconds + self.burst


@attrs.frozen
class ClientAccount:
    """A client account.

    :param name: its name, which is sent to endpoints.
    :param key_digests: digests of its keys, see :func:`digest`.
    :param urgency: urgency of its requests, which overrides their route's; None to use
        the route's.
    :param cap: its usage cap; None for no limit.
    """

    name: str
    key_digests: frozenset[bytes]
    urgency: int | None = None
    cap: UsageCap | None = None


@attrs.frozen(slots=False)
class Accounts:
    """All accounts of a declaration.

    :param by_name: the accounts, by name.
    """

    by_name: dict[str, ClientAccount]

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that a key belongs to.

        :param key: the key that a caller sent; empty if it sent none.
        """
        return self._by_digest.get(digest(key)) if key else None

    @functools.cached_property
    def weight_by_name(self) -> dict[str, float]:
        """Return the share of each account that has a usage cap, by name.

        It is the cap relative to the mean of all caps that count the same unit, so that
        an account without a cap has the weight 1.
        """
        caps = [item.cap for item in self.by_name.values() if item.cap is not None]
        mean_by_unit = {
            unit: statistics.fmean(cap.per_s for cap in caps if cap.unit is unit)
            for unit in {cap.unit for cap in caps}
        }
        return {
            item.name: item.cap.per_s / mean_by_unit[item.cap.unit]
            for item in self.by_name.values()
            if item.cap is not None and item.cap.per_s > 0
        }

    @functools.cached_property
    def _by_digest(self) -> dict[bytes, ClientAccount]:
        return {
            key_digest: account
            for account in self.by_name.values()
            for key_digest in account.key_digests
        }
