"""An in-memory object API that injects planned faults, call by call."""

import collections
import enum

import result

from mothworks import objects


class Fault(enum.Enum):
    """A fault to inject into a call."""

    #: The reply is lost after the write took effect.
    REPLY_LOST = "lost"
    #: The connection is lost before the write takes effect.
    REQUEST_LOST = "dropped"
    #: The call is refused because the object API is down.
    UNAVAILABLE = "down"
    #: The read returns what was stored before the last write.
    STALE = "stale"


class MemoryApi(objects.Api):
    """Keeps all versions of every object, so that a test can inspect them.

    Puts and gets take their faults from ``put_faults`` and ``get_faults``.
    """

    def __init__(self):
        self.bodies_by_key = collections.defaultdict(list)
        self.put_faults = collections.deque()
        self.get_faults = collections.deque()
        self.down = False
        #: Called before a write takes effect, to simulate a faster write by
        #: another VM.
        self.before_put = lambda key: None
        self.write_count = 0

    def get(self, key):
        fault = self.get_faults.popleft() if self.get_faults else None
        if self.down or fault is Fault.UNAVAILABLE:
            return result.Err(objects.Unavailable("down"))
        version = len(self.bodies_by_key[key])
        if fault is Fault.STALE:
            version -= 1
        if version <= 0:
            return result.Err(objects.Missing(key))
        return result.Ok(
            objects.Stored(key, str(version), self.bodies_by_key[key][version - 1])
        )

    def put(self, key, body, version):
        fault = self.put_faults.popleft() if self.put_faults else None
        if self.down or fault is Fault.UNAVAILABLE:
            return result.Err(objects.Unavailable("down"))
        if fault is Fault.REQUEST_LOST:
            return result.Err(objects.Unknown("dropped"))
        self.before_put(key)
        self.write_count += 1
        bodies = self.bodies_by_key[key]
        if version != (str(len(bodies)) if bodies else None):
            outcome = result.Err(objects.Conflict(key))
        else:
            bodies.append(body)
            outcome = result.Ok(str(len(bodies)))
        return (
            result.Err(objects.Unknown("lost"))
            if fault is Fault.REPLY_LOST
            else outcome
        )

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
