"""A clock that tests move, for modules that read the time by themselves."""

from mothworks_gateway import suspension


class Clock:
    """Stands for the module ``time`` of some modules, and for the suspension clock.

    :param monkeypatch: pytest's fixture.
    :param modules: the modules under test.
    """

    def __init__(self, monkeypatch, *modules):
        self.now = 1000.0
        #: Time that the steady clock did not count.
        self.suspended = 0.0
        for module in modules:
            monkeypatch.setattr(module, "time", self)
        monkeypatch.setattr(suspension, "now", lambda: self.now)

    def monotonic(self):
        return self.now - self.suspended

    def advance(self, seconds):
        self.now += seconds

    def suspend(self, seconds):
        """Let time pass that the steady clock does not count."""
        self.now += seconds
        self.suspended += seconds
