"""A limit on the memory of all request bodies that are arriving at a VM.

The length of each body is limited, but thousands of connections that each send
a long body slowly could still exhaust the memory of a small VM.
"""


class Uploads:
    """Reservations of memory for bodies that are arriving.

    :param max_bytes: limit on the sum of the reservations, bytes.

    >>> uploads = Uploads(10)
    >>> uploads.reserve(8), uploads.reserve(8)
    (True, False)
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.reserved_bytes = 0

    def reserve(self, length: int) -> bool:
        """Reserve memory for a body; return whether the limit allows it.

        :param length: the body's length, bytes. With no other reservation, any
            length is allowed.
        """
        if self.reserved_bytes and self.reserved_bytes + length > self.max_bytes:
            return False
        self.reserved_bytes += length
        return True

    def free(self, length: int) -> None:
        """Release a body's reservation.

        :param length: the reserved bytes.
        """
        self.reserved_bytes -= length
