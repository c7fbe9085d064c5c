"""Emulators of the platform, engines and plain services, for tests and trials."""
