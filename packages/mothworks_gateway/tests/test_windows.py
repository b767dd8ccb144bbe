"""Windows: an event counts until it is as old as the window is long."""

from mothworks_gateway import windows


def test_events_leave_the_window(monkeypatch):
    now = 100.0
    monkeypatch.setattr(windows.time, "monotonic", lambda: now)
    made = windows.Window(10.0)
    made.add()
    now = 104.0
    made.add()
    assert made.count() == 2
    now = 110.0
    assert made.count() == 2
    now = 110.1
    assert made.count() == 1
    now = 115.0
    assert made.count() == 0
