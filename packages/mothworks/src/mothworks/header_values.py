"""Values of HTTP headers from untrusted senders."""

import re

import result

#: No sign, no exponent, and short enough to be finite.
DECIMAL = re.compile(r"\d{1,12}(\.\d{0,60})?|\.\d{1,60}", re.ASCII)
#: Printable characters of Latin-1 (RFC 9110, section 5.5).
SENDABLE = re.compile(r"[\x20-\x7e\xa0-\xff]*")


def is_sendable(text: str) -> bool:
    """Return whether a text can be the value of a header.

    :param text: the text.

    >>> is_sendable("i-1"), is_sendable("i-1\\r\\nX: y"), is_sendable("名")
    (True, False, False)
    """
    return SENDABLE.fullmatch(text) is not None


def decode_decimal(text: str) -> result.Result[float | None, str]:
    """Decode a decimal number that is not negative.

    :param text: the header's value; empty if the header is absent.
    :returns: the number, None for an absent header; or why it is unreadable.

    >>> decode_decimal(" 1.5 ")
    Ok(1.5)
    """
    value = text.strip()
    if not value:
        return result.Ok(None)
    if not DECIMAL.fullmatch(value):
        return result.Err(f"not a decimal number: {value[:20]!r}")
    return result.Ok(float(value))
