"""Fault matrix: injects every fault at every step of every procedure."""
