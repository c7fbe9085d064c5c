"""Command line: argument definitions and commands."""
