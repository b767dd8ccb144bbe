"""News that is piggybacked on probes, each item a bounded number of times.

With n VMs an item reaches all of them with high probability after each has
sent it about log(n) times; a multiple of that covers lost packets. An item
about a VM replaces the older item about the same VM.
"""

import math

import attrs
import msgpack

from mothworks import members

#: Sendings of one item, as a multiple of log2 of the number of VMs.
SENDINGS_PER_LOG = 3
#: Bytes of news in one packet, so that packets stay below 1,200 bytes.
PACKET_BYTES = 1_100


@attrs.define
class Item:
    """News that is still being sent.

    :param row: the news.
    :param size: its bytes in a packet.
    :param sendings: how often it was sent.
    """

    row: members.Row
    size: int
    sendings: int = 0


class Gossip:
    """The news that one VM still sends."""

    def __init__(self):
        self.item_by_name: dict[str, Item] = {}

    def add(self, row: members.Row) -> None:
        """Start to send a row in place of older news of the same VM.

        :param row: the news.
        """
        self.item_by_name[row.name] = Item(row, len(msgpack.packb(row)))

    def take(self, vms: int) -> tuple[members.Row, ...]:
        """Return the news for one packet, the least sent first.

        :param vms: number of VMs that the news has to reach.
        """
        if not self.item_by_name:
            return ()
        most = SENDINGS_PER_LOG * math.ceil(math.log2(vms + 2))
        room = PACKET_BYTES
        taken = []
        for item in sorted(self.item_by_name.values(), key=lambda item: item.sendings):
            if item.size > room:
                continue
            room -= item.size
            item.sendings += 1
            taken.append(item.row)
            if item.sendings >= most:
                del self.item_by_name[item.row.name]
        return tuple(taken)
