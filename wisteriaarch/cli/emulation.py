"""Command ``emulate``: runs an emulator for tests and trials."""

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
from ..platform.duty_emulator import run_duties
from ..platform.server_emulator import run_server
from ..platform.store_emulator import run_store
from ..process.signals import StopSignals
from ..status import ExitStatus
from ..wire import Address
from .output import make_announcer


def emulate(options: argparse.Namespace, env: Environment) -> ExitStatus:
    """Run the emulator selected in ``options`` until a stop signal arrives."""
    with StopSignals() as signals:
        curio.run(
            _run_until_stopped, _select_emulator(options, make_announcer(env)), signals
        )
    return ExitStatus.SUCCESS


async def _run_until_stopped(
    run_emulator: Callable[[], Awaitable[None]], signals: StopSignals
) -> None:
    main_task = await curio.current_task()

    async def stop() -> None:
        await signals.wait()
        await main_task.cancel(blocking=False)

    await curio.spawn(stop, daemon=True)
    with contextlib.suppress(curio.TaskCancelled):
        await run_emulator()


def _select_emulator(
    options: argparse.Namespace, announce
) -> Callable[[], Awaitable[None]]:
    host_and_port = (options.host, options.port)
    if options.kind == "platform":
        return partial(run_platform, *host_and_port, announce)
    if options.kind == "service":
        return partial(run_service, *host_and_port, options.name, announce)
    if options.kind == "store":
        return partial(run_store, *host_and_port, announce)
    if options.kind == "duties":
        return partial(run_duties, *host_and_port, options.require_fence, announce)
    if options.kind == "server":
        return partial(
            run_server, *host_and_port, options.name, options.stage, announce
        )
    if options.kind == "proxy":
        return partial(
            run_proxy, *host_and_port, Address.parse(options.target), announce
        )
    return partial(run_engine, *host_and_port, _create_engine(options), announce)


def _create_engine(options: argparse.Namespace) -> EngineEmulator:
    engine = EngineEmulator(
        options.name,
        EngineCosts(**json.loads(options.costs)),
        OrderOptions(**json.loads(options.orders)),
        options.report_lag,
        options.software,
    )
    engine.order_handler.engine_state.role = options.role
    for model_spec in options.model or ():
        name, _, version = model_spec.partition("@")
        engine.order_handler.engine_state.models[name] = version
    return engine
