"""A limit on the memory of all answers that a VM is reading whole.

The length of each answer is limited, but many long ones at once could still exhaust the
memory of a small VM, for example those of an endpoint that sends without end whatever
it is asked.
"""

import collections.abc
import typing

import attrs


@attrs.define
class _Download:
    """An answer that is being read.

    :param end: ends it.
    :param length: the bytes that were received, 0 at first.
    """

    end: collections.abc.Callable[[], None]
    length: int = 0


class Downloads:
    """The answers that are being read, and their lengths.

    :param max_bytes: limit on the sum of the lengths, bytes.

    >>> downloads = Downloads(10)
    >>> downloads.add("short", 4, lambda: print("short ends"))
    >>> downloads.add("long", 8, lambda: print("long ends"))
    long ends
    >>> downloads.total_bytes
    4
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self._download_by_answer: dict[typing.Hashable, _Download] = {}

    def add(
        self,
        answer: typing.Hashable,
        length: int,
        end: collections.abc.Callable[[], None],
    ) -> None:
        """Count received bytes; if there are too many, the longest answer is ended.

        :param answer: the answer.
        :param length: the number of bytes.
        :param end: ends the answer.
        """
        download = self._download_by_answer.setdefault(answer, _Download(end))
        download.length += length
        self.total_bytes += length
        while self.total_bytes > self.max_bytes:
            lengths = self._download_by_answer
            longest = max(lengths, key=lambda item: lengths[item].length)
            end_longest = lengths[longest].end
            self.remove(longest)
            end_longest()

    def remove(self, answer: typing.Hashable) -> None:
        """Remove an answer that was read or given up.

        :param answer: the answer; one that is not known is ignored.
        """
        download = self._download_by_answer.pop(answer, None)
        if download is not None:
            self.total_bytes -= download.length
