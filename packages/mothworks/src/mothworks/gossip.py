"""Gossip of membership updates, piggybacked on probes a bounded number of times.

Among n VMs an update reaches all of them with high probability once each VM
has sent it about log(n) times; a multiple of that makes up for lost packets.
An update of a VM replaces an older update of the same VM.
"""

import math

import attrs
import msgpack

from mothworks import members

#: Transmissions of one update, as a multiple of log2 of the number of VMs.
TRANSMISSIONS_PER_LOG2 = 3
#: Maximum total size of the updates in a packet; keeps packets below 1,200 bytes.
MAX_UPDATE_BYTES = 1_100


@attrs.define
class PendingUpdate:
    """A membership update that has transmissions left.

    :param row: the update.
    :param size: its encoded size, bytes.
    :param transmissions: how often it was sent.
    """

    row: members.Row
    size: int
    transmissions: int = 0


class UpdateQueue:
    """The membership updates that one VM still has to send."""

    def __init__(self):
        self.pending_by_name: dict[str, PendingUpdate] = {}

    def add(self, row: members.Row) -> None:
        """Queue an update in place of an older one of the same VM.

        :param row: the update.
        """
        self.pending_by_name[row.name] = PendingUpdate(row, len(msgpack.packb(row)))

    def next_updates(self, vm_count: int) -> tuple[members.Row, ...]:
        """Return the updates for one packet, those sent least often first.

        Counts a transmission of each, and drops those that have none left.

        :param vm_count: number of VMs that the updates have to reach.
        """
        if not self.pending_by_name:
            return ()
        max_transmissions = TRANSMISSIONS_PER_LOG2 * math.ceil(math.log2(vm_count + 2))
        free_bytes = MAX_UPDATE_BYTES
        selected = []
        for pending in sorted(
            self.pending_by_name.values(), key=lambda pending: pending.transmissions
        ):
            if pending.size > free_bytes:
                continue
            free_bytes -= pending.size
            pending.transmissions += 1
            selected.append(pending.row)
            if pending.transmissions >= max_transmissions:
                del self.pending_by_name[pending.row.name]
        return tuple(selected)
