"""An object API in memory whose faults a test plans call by call."""

import collections
import enum

import result

from mothworks import objects


class Fault(enum.Enum):
    """What befalls the next call of its kind."""

    #: Reply lost after the write took effect.
    LOST = "lost"
    #: Connection lost before the write took effect.
    DROPPED = "dropped"
    #: Refused: the object API is down.
    DOWN = "down"
    #: The read returns what was stored before the last write.
    STALE = "stale"


class MemoryApi(objects.Api):
    """Keeps every value ever stored, so that a test can look back."""

    def __init__(self):
        self.bodies_by_key = collections.defaultdict(list)
        self.put_faults = collections.deque()
        self.get_faults = collections.deque()
        self.down = False
        #: Called before a write takes effect, as where another VM is faster.
        self.before_put = lambda key: None
        self.puts = 0

    def get(self, key):
        fault = self.get_faults.popleft() if self.get_faults else None
        if self.down or fault is Fault.DOWN:
            return result.Err(objects.Unavailable("down"))
        stored = len(self.bodies_by_key[key])
        if fault is Fault.STALE:
            stored -= 1
        if stored <= 0:
            return result.Err(objects.Missing(key))
        return result.Ok(
            objects.Stored(key, str(stored), self.bodies_by_key[key][stored - 1])
        )

    def put(self, key, body, version):
        fault = self.put_faults.popleft() if self.put_faults else None
        if self.down or fault is Fault.DOWN:
            return result.Err(objects.Unavailable("down"))
        if fault is Fault.DROPPED:
            return result.Err(objects.Unknown("dropped"))
        self.before_put(key)
        self.puts += 1
        bodies = self.bodies_by_key[key]
        if version != (str(len(bodies)) if bodies else None):
            outcome = result.Err(objects.Conflict(key))
        else:
            bodies.append(body)
            outcome = result.Ok(str(len(bodies)))
        return result.Err(objects.Unknown("lost")) if fault is Fault.LOST else outcome

    def list(self, prefix):
        if self.down:
            return result.Err(objects.Unavailable("down"))
        return result.Ok(
            {
                key: str(len(bodies))
                for key, bodies in self.bodies_by_key.items()
                if key.startswith(prefix) and bodies
            }
        )

    def delete(self, key, version):
        bodies = self.bodies_by_key[key]
        if not bodies or version != str(len(bodies)):
            return result.Err(objects.Conflict(key))
        bodies.clear()
        return result.Ok(None)
