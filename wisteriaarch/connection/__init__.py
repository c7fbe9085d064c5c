"""Connections to callers, upstreams and other entries, and their messages."""
