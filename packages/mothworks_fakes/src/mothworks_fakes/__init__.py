"""Fakes of engines, services and the platform, for tests and measurements."""
