"""Uploads: the bytes of request bodies that arrive now, bounded for the VM.

Each body is bounded by itself, but thousands of connections that each send a
long one slowly would together fill a small VM's memory.
"""


class Uploads:
    """The room for bodies that arrive.

    :param most: bytes of all of them together.

    >>> room = Uploads(10)
    >>> room.reserve(8), room.reserve(8)
    (True, False)
    """

    def __init__(self, most: int):
        self.most = most
        self.reserved = 0

    def reserve(self, length: int) -> bool:
        """Take room for a body; returns whether there was enough.

        :param length: its bytes. One body always finds room.
        """
        if self.reserved and self.reserved + length > self.most:
            return False
        self.reserved += length
        return True

    def free(self, length: int) -> None:
        """Give back a body's room.

        :param length: what was reserved.
        """
        self.reserved -= length
