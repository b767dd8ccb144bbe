"""A virtual clock for modules that read the time themselves."""

from mothworks_gateway import boot_clock


class Clock:
    """Replaces the module ``time`` in some modules, and the boot clock.

    :param monkeypatch: pytest's fixture.
    :param modules: the modules under test.
    """

    def __init__(self, monkeypatch, *modules):
        self.now = 1000.0
        #: Total time that the monotonic clock did not count, seconds.
        self.suspended = 0.0
        for module in modules:
            monkeypatch.setattr(module, "time", self)
        monkeypatch.setattr(boot_clock, "now", lambda: self.now)

    def monotonic(self):
        return self.now - self.suspended

    def advance(self, seconds):
        self.now += seconds

    def suspend(self, seconds):
        """Advance the time without advancing the monotonic clock."""
        self.now += seconds
        self.suspended += seconds
