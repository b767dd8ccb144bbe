"""The membership table: what this VM believes of every VM that runs a node.

Each VM alone raises its own incarnation number. Of two beliefs about a VM the
one with the higher incarnation is newer; at the same incarnation, suspicion
goes before life and death before suspicion. All VMs that heard the same
beliefs hold the same table, in whatever order they heard them.
"""

import collections.abc
import enum
import time
import typing

import attrs
import logbook
import xxhash

log = logbook.Logger("members")

#: Rounds after which a dead VM is forgotten, about an hour. Until then it is
#: dialled now and then, so that the two sides of a partition find each other.
FORGET_ROUNDS = 3600


class State(enum.IntEnum):
    """What is believed of a VM; a higher value wins at one incarnation."""

    ALIVE = 0
    #: It did not answer; it has some rounds left to refute.
    SUSPECT = 1
    DEAD = 2
    #: It said itself that it stops.
    LEFT = 3


@attrs.frozen
class Member:
    """A VM that runs a node.

    :param name: the VM's name.
    :param address: its IP number.
    :param peer_port: its port for peers, TCP and UDP.
    :param port: its port for callers.
    :param data_centre: where it runs.
    :param region: that data centre's region.
    :param leaving: it is shutting down and takes no new ownership.
    """

    name: str
    address: str
    peer_port: int
    port: int
    data_centre: str
    region: str
    leaving: bool = False


class Row(typing.NamedTuple):
    """A belief about one VM, as peers send it to each other.

    :param state: a :class:`State`.
    :param incarnation: the VM's own number for its newest announcement.
    :param name: see :class:`Member`, here and below.
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
        """Return the VM that the row is about."""
        return Member(*self[2:])


#: Types of a row's fields, for rows that come from the network.
ROW_TYPES = (int, int, str, str, int, int, str, str, bool)


def parse_rows(values: collections.abc.Iterable) -> tuple[Row, ...]:
    """Return rows that were read from the network.

    :param values: sequences of plain values.
    :raises TypeError: where one is not a row.
    """
    checked = []
    for value in values:
        if [type(item) for item in value] != list(ROW_TYPES):
            raise TypeError(f"not a row of members: {value!r:.80}")
        checked.append(Row(*value))
    return tuple(checked)


@attrs.define
class Record:
    """What this VM believes of another.

    :param member: the VM.
    :param incarnation: its newest known incarnation.
    :param state: whether it lives.
    :param rounds: probe rounds left in this state, for suspect and dead VMs.
    """

    member: Member
    incarnation: int
    state: State
    rounds: int = 0

    @property
    def live(self) -> bool:
        """Return whether the VM counts as live, suspect or not."""
        return self.state <= State.SUSPECT

    def row(self) -> Row:
        """Return the belief as it is sent to peers."""
        return Row(int(self.state), self.incarnation, *attrs.astuple(self.member))


class Members:
    """The table of one VM.

    :param me: this VM.
    :param spread: called with each row that peers should hear.
    :param changed: called without arguments when live VMs changed.
    :param suspicion_rounds: returns the rounds that a suspect has left.
    """

    def __init__(
        self,
        me: Member,
        spread: collections.abc.Callable[[Row], None],
        changed: collections.abc.Callable[[], None],
        suspicion_rounds: collections.abc.Callable[[], int],
    ):
        # Whole seconds of wall time let a VM that restarts under its old name
        # go on above its former incarnation, unheard by it.
        self.own = Record(me, int(time.time()), State.ALIVE)
        self.spread = spread
        self.changed = changed
        self.suspicion_rounds = suspicion_rounds
        self.record_by_name: dict[str, Record] = {}

    def live(self) -> list[Member]:
        """Return all live VMs but this one."""
        return [item.member for item in self.record_by_name.values() if item.live]

    def dead(self) -> list[Member]:
        """Return the VMs that are believed dead and not yet forgotten."""
        return [
            item.member
            for item in self.record_by_name.values()
            if item.state is State.DEAD
        ]

    def find(self, name: str) -> Record | None:
        """Return what is believed of a VM, dead ones included.

        :param name: the VM's name.
        """
        return self.record_by_name.get(name)

    def rows(self) -> list[Row]:
        """Return the whole table, this VM included."""
        records = (self.own, *self.record_by_name.values())
        return [item.row() for item in records]

    def digest(self) -> int:
        """Return a hash that is equal where two VMs hold the same live VMs."""
        live = [
            f"{item.member.name}\0{item.incarnation}"
            for item in (self.own, *self.record_by_name.values())
            if item.live
        ]
        return xxhash.xxh64_intdigest("\n".join(sorted(live)).encode())

    def announce(self, me: Member) -> None:
        """Tell peers what changed about this VM.

        :param me: this VM as it is now.
        """
        if me != self.own.member:
            self.own.member = me
            self._raise_incarnation(self.own.incarnation)

    def leave(self) -> Row:
        """Mark this VM as stopped and return the row that says so."""
        self.own.incarnation += 1
        self.own.state = State.LEFT
        return self.own.row()

    def suspect(self, name: str) -> None:
        """Note that a VM did not answer a probe.

        :param name: the VM's name.
        """
        record = self.record_by_name.get(name)
        if record is not None and record.state is State.ALIVE:
            self.merge(record.row()._replace(state=int(State.SUSPECT)))

    def tick(self) -> None:
        """Let one probe round pass for suspect and dead VMs."""
        for record in list(self.record_by_name.values()):
            if record.state is State.ALIVE:
                continue
            record.rounds -= 1
            if record.rounds > 0:
                continue
            if record.state is State.SUSPECT:
                self.merge(record.row()._replace(state=int(State.DEAD)))
            else:
                del self.record_by_name[record.member.name]

    def merge(self, row: Row) -> bool:
        """Take a belief if it is newer than the one held.

        :param row: what a peer believes.
        :returns: whether it was newer.
        """
        if row.name == self.own.member.name:
            return self._hear_of_self(row)
        known = self.record_by_name.get(row.name)
        if known is None:
            # A suspicion of a VM never heard of gives no address to check it.
            if row.state != State.ALIVE:
                return False
        elif (row.incarnation, row.state) <= (known.incarnation, known.state):
            return False
        state = State(min(row.state, State.LEFT))
        member = row.member()
        self.record_by_name[row.name] = Record(
            member, row.incarnation, state, self._rounds(state)
        )
        self.spread(row)
        if known is None or known.state is not state:
            log.info("{} is {}", row.name, state.name.lower())
        if (
            known is None
            or known.live != (state <= State.SUSPECT)
            or known.member != member
        ):
            self.changed()
        return True

    def _rounds(self, state: State) -> int:
        match state:
            case State.ALIVE:
                return 0
            case State.SUSPECT:
                return self.suspicion_rounds()
        return FORGET_ROUNDS

    def _hear_of_self(self, row: Row) -> bool:
        # A paused VM wakes to find itself suspected or dead, and a restarted
        # one meets news of its former life. Peers would drop it; the higher
        # incarnation refutes the news wherever it has got to.
        own = self.own
        if own.state is State.LEFT or row.incarnation < own.incarnation:
            return False
        if row == own.row():
            return False
        self._raise_incarnation(row.incarnation)
        return True

    def _raise_incarnation(self, above: int) -> None:
        self.own.incarnation = above + 1
        self.spread(self.own.row())
