"""Sliding windows: an event counts until it is older than the window's length."""

from mothworks_gateway import sliding_windows


def test_events_leave_the_window(monkeypatch):
    now = 100.0
    monkeypatch.setattr(sliding_windows.time, "monotonic", lambda: now)
    window = sliding_windows.WindowedCount(10.0)
    window.add()
    now = 104.0
    window.add()
    assert window.count() == 2
    now = 110.0
    assert window.count() == 2
    now = 110.1
    assert window.count() == 1
    now = 115.0
    assert window.count() == 0
