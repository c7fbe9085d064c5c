"""Adapter for the users' platform: wire names, message formats and store access.

It only translates; routing, scheduling and control decisions are made elsewhere.
"""
