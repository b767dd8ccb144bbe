"""Operators' keys: who holds a key, compared in constant time."""

import hmac

from mothworks import settings


def find(
    operators: tuple[settings.Operator, ...], key_hash: str
) -> settings.Operator | None:
    """Return the operator whose key has a hash, or None.

    Every key is compared, in constant time, so that the time of the answer
    says neither how much of a key was right nor whose it was.

    :param operators: who may query and command.
    :param key_hash: SHA-256 hash of the presented key; empty for none.
    """
    found = None
    for operator in operators:
        if hmac.compare_digest(operator.key_sha256, key_hash):
            found = operator
    return found
