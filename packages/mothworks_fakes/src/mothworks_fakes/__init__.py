"""Small stand-ins for engines, services and platform, for tests and measurements."""
