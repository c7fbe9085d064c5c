"""Replays drawn loads through the decisions on calls, on a clock that jumps ahead."""
