"""Command ``emulate``: runs a stand-in for tests and trials."""

import argparse
import contextlib
import json
from collections.abc import Awaitable, Callable
from functools import partial

import curio

from ..emulator.costs import EngineCosts
from ..emulator.engine import EngineEmulator, run_engine
from ..emulator.orders import OrderOptions
from ..emulator.platform import run_platform
from ..emulator.proxy import run_proxy
from ..emulator.service import run_service
from ..environment import Environment
from ..platform.server_emulator import run_server
from ..platform.store_emulator import run_store
from ..process.signals import StopSignals
from ..status import ExitStatus
from ..wire import Address
from .output import announcer


def emulate(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Run the stand-in that ``options`` name until a stop signal arrives."""
    with StopSignals() as signals:
        curio.run(_run_until_stopped, _stand_in(options, announcer(env)), signals)
    return ExitStatus.SUCCESS


async def _run_until_stopped(
    stand_in: Callable[[], Awaitable[None]], signals: StopSignals
) -> None:
    serving = await curio.current_task()

    async def stop() -> None:
        await signals.wait()
        await serving.cancel(blocking=False)

    await curio.spawn(stop, daemon=True)
    with contextlib.suppress(curio.TaskCancelled):
        await stand_in()


def _stand_in(options: argparse.Namespace, announce) -> Callable[[], Awaitable[None]]:
    at = (options.host, options.port)
    if options.kind == "platform":
        return partial(run_platform, *at, announce)
    if options.kind == "service":
        return partial(run_service, *at, options.name, announce)
    if options.kind == "store":
        return partial(run_store, *at, announce)
    if options.kind == "server":
        return partial(run_server, *at, options.name, options.stage, announce)
    if options.kind == "proxy":
        return partial(run_proxy, *at, Address.parse(options.target), announce)
    return partial(run_engine, *at, _engine_emulator(options), announce)


def _engine_emulator(options: argparse.Namespace) -> EngineEmulator:
    engine = EngineEmulator(
        options.name,
        EngineCosts(**json.loads(options.costs)),
        OrderOptions(**json.loads(options.orders)),
        options.report_lag,
    )
    engine.desk.held.role = options.role
    for held in options.model or ():
        name, _, version = held.partition("@")
        engine.desk.held.models[name] = version
    return engine
