"""Operators' keys: finds an operator by key in constant time."""

import hmac

from mothworks import settings


def find(
    operators: tuple[settings.Operator, ...], key_hash: str
) -> settings.Operator | None:
    """Return the operator whose key has this hash, or None.

    The hash is compared with every operator's hash, each in constant time, so
    that the response time reveals neither a partial match nor whose key it is.

    :param operators: all operators.
    :param key_hash: SHA-256 hash of the presented key; empty for none.
    """
    matching_operator = None
    for operator in operators:
        if hmac.compare_digest(operator.key_sha256, key_hash):
            matching_operator = operator
    return matching_operator
