"""Stand-ins for engines, services and the platform, for tests and measurements."""
