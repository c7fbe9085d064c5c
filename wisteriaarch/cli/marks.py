"""Commands that mark an upstream: ``drain``, ``undrain``, ``replace``, ``withdraw``."""

import argparse

import curio

from ..environment import Environment
from ..errors import ConfigError
from ..process.entry_status import EntryStatus
from ..process.http_store import HttpInstanceList
from ..status import ExitStatus
from ..steps import Step, reach_step
from ..version.head import Head, MarkKind, UpstreamMark
from ..wire import Address
from .fleet_view import wait_for_entries
from .output import platform_address, print_result
from .publication import format_outcome, open_publisher


def drain(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Stop routing to an upstream and wait until no entry uses it."""
    return curio.run(_mark_and_wait, options, env, UpstreamMark(MarkKind.DRAINING))


def withdraw(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Stop routing to an upstream permanently and wait until no entry uses it."""
    return curio.run(_mark_and_wait, options, env, UpstreamMark(MarkKind.WITHDRAWN))


def replace(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Drain an upstream and route to another one in its place."""
    return curio.run(_replace_and_wait, options, env)


async def _replace_and_wait(options, env: Environment) -> ExitStatus:
    await _check_replacement(options)
    mark = UpstreamMark(MarkKind.DRAINING, options.replacement)
    return await _mark_and_wait(options, env, mark)


async def _check_replacement(options) -> None:
    listed = await HttpInstanceList(platform_address(options)).list()
    kinds = {item.instance_id: item.kind for item in listed if not item.leaving}
    kind = kinds.get(options.upstream)
    candidates = sorted(
        name
        for name, candidate_kind in kinds.items()
        if candidate_kind != "entry"
        and kind in (None, candidate_kind)
        and name != options.upstream
    )
    if options.replacement not in candidates:
        raise ConfigError(
            f"field 'NEW': got {options.replacement!r}; expected a listed upstream of "
            f"the same kind: {', '.join(candidates) or 'none is listed'}"
        )


async def _mark_and_wait(options, env: Environment, mark: UpstreamMark) -> ExitStatus:
    platform = platform_address(options)
    head = await open_publisher(platform).mark(options.upstream, mark)
    await reach_step(Step.DRAIN_MARKED)
    outcome = await wait_for_entries(
        platform,
        lambda status: _is_unused(status, head, options.upstream),
        options.timeout,
    )
    await reach_step(Step.DRAIN_EMPTY)
    content = {
        "upstream": options.upstream,
        "mark": mark.mark.value,
        "replacement": mark.replacement,
        "generation": head.generation,
        "unused_by": outcome.met,
        "still_used_by": outcome.missing,
        "silent": outcome.isolated,
    }
    text = f"{options.upstream} is marked {mark.mark.value}"
    text += format_outcome(outcome, "unused")
    print_result(options, env, content, text)
    return ExitStatus.NOT_IN_FORCE if outcome.missing else ExitStatus.SUCCESS


def _is_unused(status: EntryStatus, head: Head, upstream: str) -> bool:
    return status.generation >= head.generation and not status.upstream_requests.get(
        upstream
    )


def undrain(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Remove an upstream's mark and wait until every entry routes to it again."""
    return curio.run(_unmark_and_wait, options, env, platform_address(options))


async def _unmark_and_wait(options, env: Environment, platform: Address) -> ExitStatus:
    head = await open_publisher(platform).mark(options.upstream, None)
    outcome = await wait_for_entries(
        platform, lambda status: status.generation >= head.generation, options.timeout
    )
    content = {
        "upstream": options.upstream,
        "mark": None,
        "generation": head.generation,
        "in_force": outcome.met,
        "not_in_force": outcome.missing,
        "silent": outcome.isolated,
    }
    text = f"{options.upstream} has no mark" + format_outcome(outcome, "in force")
    print_result(options, env, content, text)
    return ExitStatus.NOT_IN_FORCE if outcome.missing else ExitStatus.SUCCESS
