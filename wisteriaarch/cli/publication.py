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
from .fleet_view import FleetView, WaitOutcome, wait_for_entries
from .output import platform_address, print_result


def open_publisher(platform: Address) -> Publisher:
    """Return a publisher that writes to ``platform``."""
    return Publisher(
        HttpTableStore(platform),
        HttpObjectStore(platform),
        HttpInstanceList(platform),
    )


def apply(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Publish a manifest and wait until it is in force on every entry."""
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
        "silent": outcome.isolated,
    }
    text = f"revision {head.revision} is accepted" + format_outcome(outcome, "in force")
    print_result(options, env, content, text)
    return ExitStatus.NOT_IN_FORCE if outcome.missing else ExitStatus.SUCCESS


async def _check_placeable(platform: Address, manifest: Manifest) -> None:
    head = await read_head(HttpTableStore(platform))
    check_placeable(manifest, head, await HttpInstanceList(platform).list())


def format_outcome(outcome: WaitOutcome, state: str) -> str:
    """Return an outcome as text that completes the sentence about the change."""
    text = f" and {state} on {len(outcome.met)} entries"
    if outcome.missing:
        text += f"; not {state} on: {', '.join(outcome.missing)}"
    if outcome.isolated:
        text += (
            f"; unresponsive and refusing new requests: {', '.join(outcome.isolated)}"
        )
    return text


def show_status(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Show the configuration in force on each entry."""
    view = curio.run(FleetView.read, platform_address(options))
    entries = {
        name: status.model_dump(mode="json") if status else None
        for name, status in view.statuses.items()
    }
    lines = [
        f"{name}: {_format_status(status)}" for name, status in view.statuses.items()
    ]
    lines += _format_marks(view)
    print_result(options, env, {"entries": entries}, "\n".join(lines))
    return ExitStatus.SUCCESS


def _format_status(status: EntryStatus | None) -> str:
    if status is None:
        return "unreachable"
    if status.confirmed_age_s is None:
        confirmation = "never confirmed"
    else:
        confirmation = f"confirmed {status.confirmed_age_s:.1f} s ago"
    parts = [
        f"revision {status.revision}",
        f"generation {status.generation}",
        f"{confirmation} (by {status.basis})",
        f"{status.in_flight} in flight",
    ]
    leased_groups = sorted(
        name for name, group in status.groups.items() if group["held"]
    )
    if leased_groups:
        parts.append(f"leases: {', '.join(leased_groups)}")
    if status.stopping:
        parts.append("stopping")
    return ", ".join(parts)


def _format_marks(view: FleetView) -> list[str]:
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
