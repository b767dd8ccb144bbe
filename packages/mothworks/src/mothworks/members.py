"""The membership table: the state of every VM that runs a node, as this VM knows it.

Only a VM itself increments its incarnation number. Of two rows about a VM, the
one with the higher incarnation is newer; at the same incarnation, SUSPECT
overrides ALIVE and DEAD overrides SUSPECT. All VMs that received the same rows
therefore hold the same table, whatever the order in which the rows arrived.
"""

import collections.abc
import enum
import time
import typing

import attrs
import logbook
import xxhash

log = logbook.Logger("members")

#: Rounds after which a dead VM is removed, about an hour. Until then, connections
#: to it are attempted at times, so that the two sides of a partition can rejoin.
DEAD_RETENTION_ROUNDS = 3600


class State(enum.IntEnum):
    """The state of a VM; at equal incarnation the higher value takes precedence."""

    ALIVE = 0
    #: It did not acknowledge a probe and has some rounds left to refute this.
    SUSPECT = 1
    DEAD = 2
    #: It announced that it stopped.
    LEFT = 3


@attrs.frozen
class Member:
    """A VM that runs a node.

    :param name: the VM's name.
    :param address: its IP address.
    :param peer_port: its port for peers, TCP and UDP.
    :param port: its port for callers.
    :param data_centre: where it runs.
    :param region: that data centre's region.
    :param leaving: whether it is shutting down and must not own anything new.
    """

    name: str
    address: str
    peer_port: int
    port: int
    data_centre: str
    region: str
    leaving: bool = False


class Row(typing.NamedTuple):
    """The state of one VM as sent between peers.

    :param state: a :class:`State`.
    :param incarnation: the version of the state, incremented only by the VM itself.
    :param name: see :class:`Member` for this and the following fields.
    """

    state: int
    incarnation: int
    name: str
    address: str
    peer_port: int
    port: int
    data_centre: str
    region: str
    leaving: bool

    def member(self) -> Member:
        """Return the VM that the row describes."""
        return Member(*self[2:])


#: Types of a row's fields, to validate rows received from the network.
ROW_FIELD_TYPES = (int, int, str, str, int, int, str, str, bool)


def parse_rows(values: collections.abc.Iterable) -> tuple[Row, ...]:
    """Validate and return rows received from the network.

    :param values: sequences of plain values.
    :raises TypeError: if one of them is not a row.
    """
    parsed = []
    for value in values:
        if [type(item) for item in value] != list(ROW_FIELD_TYPES):
            raise TypeError(f"not a membership row: {value!r:.80}")
        parsed.append(Row(*value))
    return tuple(parsed)


@attrs.define
class Record:
    """The state of a VM in the membership table.

    :param member: the VM.
    :param incarnation: its newest known incarnation.
    :param state: its newest known state.
    :param rounds_left: probe rounds left in this state, unless it is ALIVE.
    """

    member: Member
    incarnation: int
    state: State
    rounds_left: int = 0

    @property
    def live(self) -> bool:
        """Return whether the VM counts as live, which includes suspects."""
        return self.state <= State.SUSPECT

    def row(self) -> Row:
        """Return the row to send to peers."""
        return Row(int(self.state), self.incarnation, *attrs.astuple(self.member))


class Members:
    """The membership table of one VM.

    :param me: this VM.
    :param on_update: called with each row to gossip to peers.
    :param on_live_change: called without arguments when the live VMs changed.
    :param get_suspicion_rounds: returns the rounds that a new suspect has to refute.
    """

    def __init__(
        self,
        me: Member,
        on_update: collections.abc.Callable[[Row], None],
        on_live_change: collections.abc.Callable[[], None],
        get_suspicion_rounds: collections.abc.Callable[[], int],
    ):
        # Starting at the wall time in whole seconds puts a VM that restarts under
        # the same name above its former incarnation, which it does not know.
        self.own = Record(me, int(time.time()), State.ALIVE)
        self.on_update = on_update
        self.on_live_change = on_live_change
        self.get_suspicion_rounds = get_suspicion_rounds
        self.record_by_name: dict[str, Record] = {}
        #: The live VMs except this one; None after a change. Each probe, packet and
        #: heartbeat needs them.
        self._live: list[Member] | None = None

    def live(self) -> list[Member]:
        """Return all live VMs except this one."""
        if self._live is None:
            records = self.record_by_name.values()
            self._live = [item.member for item in records if item.live]
        return [*self._live]

    def dead(self) -> list[Member]:
        """Return the dead VMs that are not yet removed."""
        return [
            item.member
            for item in self.record_by_name.values()
            if item.state is State.DEAD
        ]

    def find(self, name: str) -> Record | None:
        """Return the record of a VM, also of a dead one, or None if it is unknown.

        :param name: the VM's name.
        """
        return self.record_by_name.get(name)

    def rows(self) -> list[Row]:
        """Return the rows of the whole table, including this VM."""
        records = (self.own, *self.record_by_name.values())
        return [item.row() for item in records]

    def digest(self) -> int:
        """Return a hash that is equal if two tables have the same live VMs.

        The incarnations must be equal too; whether a VM is a suspect is ignored.
        """
        live = [
            f"{item.member.name}\0{item.incarnation}"
            for item in (self.own, *self.record_by_name.values())
            if item.live
        ]
        return xxhash.xxh64_intdigest("\n".join(sorted(live)).encode())

    def announce(self, me: Member) -> None:
        """Announce a change of this VM to peers.

        :param me: the current description of this VM.
        """
        if me != self.own.member:
            self.own.member = me
            self._raise_incarnation(self.own.incarnation)

    def leave(self) -> Row:
        """Mark this VM as stopped and return the row that announces it."""
        self.own.incarnation += 1
        self.own.state = State.LEFT
        return self.own.row()

    def suspect(self, name: str) -> None:
        """Mark a live VM as suspect because it did not acknowledge a probe.

        :param name: the VM's name.
        """
        record = self.record_by_name.get(name)
        if record is not None and record.state is State.ALIVE:
            self.merge(record.row()._replace(state=int(State.SUSPECT)))

    def tick(self) -> None:
        """Count down one probe round: suspects become dead, dead VMs are removed."""
        for record in list(self.record_by_name.values()):
            if record.state is State.ALIVE:
                continue
            record.rounds_left -= 1
            if record.rounds_left > 0:
                continue
            if record.state is State.SUSPECT:
                self.merge(record.row()._replace(state=int(State.DEAD)))
            else:
                del self.record_by_name[record.member.name]
                self._live = None

    def merge(self, row: Row) -> bool:
        """Apply a received row if it is newer than the current record.

        :param row: the row of a peer.
        :returns: whether it was applied, or refuted because it is about this VM.
        """
        if row.name == self.own.member.name:
            return self._refute(row)
        current = self.record_by_name.get(row.name)
        if current is None:
            # Ignores the suspicion, death or leave of an unknown VM: there is no
            # known address at which to check it.
            if row.state != State.ALIVE:
                return False
        elif (row.incarnation, row.state) <= (current.incarnation, current.state):
            return False
        state = State(min(row.state, State.LEFT))
        member = row.member()
        self.record_by_name[row.name] = Record(
            member, row.incarnation, state, self._initial_rounds(state)
        )
        self._live = None
        self.on_update(row)
        if current is None or current.state is not state:
            log.info("{} is {}", row.name, state.name.lower())
        if (
            current is None
            or current.live != (state <= State.SUSPECT)
            or current.member != member
        ):
            self.on_live_change()
        return True

    def _initial_rounds(self, state: State) -> int:
        match state:
            case State.ALIVE:
                return 0
            case State.SUSPECT:
                return self.get_suspicion_rounds()
        return DEAD_RETENTION_ROUNDS

    def _refute(self, row: Row) -> bool:
        # After a pause a VM may find itself suspect or dead, and after a restart
        # it receives rows of its previous run. Peers would remove it. A higher
        # incarnation overrides such rows wherever they have spread.
        own = self.own
        if own.state is State.LEFT or row.incarnation < own.incarnation:
            return False
        if row == own.row():
            return False
        self._raise_incarnation(row.incarnation)
        return True

    def _raise_incarnation(self, previous: int) -> None:
        self.own.incarnation = previous + 1
        self.on_update(self.own.row())
