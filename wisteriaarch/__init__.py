"""Serving system that routes requests to a fixed fleet of language-model engines."""

__version__ = "0.1.0"
