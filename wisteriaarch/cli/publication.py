"""Commands ``apply`` and ``status``."""

import argparse

import curio

from ..environment import Environment
from ..process.entry_status import EntryStatus
from ..process.http_store import HttpInstanceList, HttpObjectStore, HttpTableStore
from ..process.settings_models import load_model
from ..status import ExitStatus
from ..version.manifest import Manifest
from ..version.placement import check_placeable
from ..version.publication import Publisher, read_head
from ..wire import Address
from .fleet_view import FleetView, Outcome, wait_for_entries
from .output import platform_address, print_result


def open_publisher(platform: Address) -> Publisher:
    """Return a publisher that writes to ``platform``."""
    return Publisher(
        HttpTableStore(platform),
        HttpObjectStore(platform),
        HttpInstanceList(platform),
    )


def apply(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Accept a manifest and wait until it is in force on every entry."""
    manifest = load_model(Manifest, options.file)
    return curio.run(_apply_and_wait, options, env, manifest)


async def _apply_and_wait(options, env: Environment, manifest: Manifest) -> ExitStatus:
    platform = platform_address(options)
    await _check_placeable(platform, manifest)
    head = await open_publisher(platform).apply(manifest, options.expect_revision)
    outcome = await wait_for_entries(
        platform, lambda status: status.generation >= head.generation, options.timeout
    )
    content = {
        "revision": head.revision,
        "generation": head.generation,
        "in_force": outcome.met,
        "not_in_force": outcome.missing,
        "silent": outcome.silent,
    }
    text = f"revision {head.revision} is accepted" + outcome_text(outcome, "in force")
    print_result(options, env, content, text)
    return ExitStatus.NOT_IN_FORCE if outcome.missing else ExitStatus.SUCCESS


async def _check_placeable(platform: Address, manifest: Manifest) -> None:
    head = await read_head(HttpTableStore(platform))
    check_placeable(manifest, head, await HttpInstanceList(platform).list())


def outcome_text(outcome: Outcome, state: str) -> str:
    """Put an outcome in words, to follow what was accepted."""
    text = f" and {state} on {len(outcome.met)} entries"
    if outcome.missing:
        text += f"; not {state} on: {', '.join(outcome.missing)}"
    if outcome.silent:
        text += f"; silent, so refusing new requests: {', '.join(outcome.silent)}"
    return text


def show_status(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Show what is in force on each entry."""
    view = curio.run(FleetView.read, platform_address(options))
    entries = {
        name: status.model_dump(mode="json") if status else None
        for name, status in view.statuses.items()
    }
    lines = [
        f"{name}: {_status_line(status)}" for name, status in view.statuses.items()
    ]
    lines += _mark_lines(view)
    print_result(options, env, {"entries": entries}, "\n".join(lines))
    return ExitStatus.SUCCESS


def _status_line(status: EntryStatus | None) -> str:
    if status is None:
        return "not reachable"
    if status.confirmed_age_s is None:
        age = "never confirmed"
    else:
        age = f"confirmed {status.confirmed_age_s:.1f} s ago"
    parts = [
        f"revision {status.revision}",
        f"generation {status.generation}",
        f"{age} (by {status.basis})",
        f"{status.in_flight} in flight",
    ]
    held = sorted(name for name, group in status.groups.items() if group["held"])
    if held:
        parts.append(f"leases: {', '.join(held)}")
    if status.stopping:
        parts.append("stopping")
    return ", ".join(parts)


def _mark_lines(view: FleetView) -> list[str]:
    newest = max(view.answered(), key=lambda status: status.generation, default=None)
    if newest is None:
        return []
    lines = []
    for name, mark in sorted(newest.marks.items()):
        line = f"{name}: {mark['mark']}"
        if mark.get("replacement"):
            line += f", replaced by {mark['replacement']}"
        lines.append(line)
    return lines
