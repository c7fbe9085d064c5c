"""Definition of the command line's arguments."""

import argparse

from .. import __version__

APPLY_TIMEOUT_S = 15.0
MARK_TIMEOUT_S = 120.0
SETTINGS_VARIABLE = "WISTERIAARCH_BOOT"
MARK_COMMANDS = {
    "drain": "stop routing to an upstream and wait until it is unused",
    "undrain": "resume routing to an upstream",
    "replace": "drain an upstream and route to another in its place",
    "withdraw": "stop routing to an upstream permanently",
}


def build_parser(program_name: str) -> argparse.ArgumentParser:
    """Return the argument parser for all commands."""
    parser = argparse.ArgumentParser(
        prog=program_name,
        description="Serve language-model requests from a fixed fleet of engines.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_serve(commands)
    _add_gateway(commands)
    _add_check(commands)
    _add_apply(commands)
    _add_status(commands)
    _add_mark_commands(commands)
    _add_emulate(commands)
    _add_explain(commands)
    return parser


def _add_serve(commands) -> None:
    parser = commands.add_parser("serve", help="run an entry")
    parser.add_argument("--config", required=True, metavar="FILE", help="settings file")


def _add_gateway(commands) -> None:
    parser = commands.add_parser("gateway", help="run an entry on the users' platform")
    parser.add_argument(
        "--config",
        metavar="FILE",
        help=f"settings file; default: the file that {SETTINGS_VARIABLE} names",
    )


def _add_check(commands) -> None:
    parser = commands.add_parser("check", help="check a manifest or settings file")
    parser.add_argument("file", metavar="FILE")
    parser.add_argument(
        "--settings", action="store_true", help="FILE is a settings file"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def _add_apply(commands) -> None:
    parser = commands.add_parser("apply", help="apply a manifest")
    parser.add_argument("file", metavar="FILE")
    parser.add_argument("--expect-revision", type=int, metavar="N")
    _add_timeout(parser, APPLY_TIMEOUT_S)
    _add_platform_options(parser)


def _add_mark_commands(commands) -> None:
    for name, help_text in MARK_COMMANDS.items():
        parser = commands.add_parser(name, help=help_text)
        parser.add_argument("upstream", metavar="OLD" if name == "replace" else "NAME")
        if name == "replace":
            parser.add_argument("replacement", metavar="NEW")
        _add_timeout(parser, MARK_TIMEOUT_S)
        _add_platform_options(parser)


def _add_timeout(parser, default_s: float) -> None:
    parser.add_argument(
        "--timeout",
        type=float,
        default=default_s,
        metavar="SECONDS",
        help="maximum wait",
    )


def _add_status(commands) -> None:
    parser = commands.add_parser(
        "status", help="show the configuration in force on each entry"
    )
    _add_platform_options(parser)


def _add_explain(commands) -> None:
    parser = commands.add_parser("explain", help="show the log lines about one request")
    parser.add_argument("request", metavar="ID")
    parser.add_argument(
        "files", nargs="*", metavar="FILE", help="log files; default: standard input"
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def _add_platform_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--platform", required=True, metavar="HOST:PORT")
    parser.add_argument("--json", action="store_true", help="print JSON")


def _add_emulate(commands) -> None:
    parser = commands.add_parser("emulate", help="run an emulator for tests and trials")
    kinds = parser.add_subparsers(dest="kind", required=True, metavar="KIND")
    parsers = {
        kind: kinds.add_parser(kind)
        for kind in (
            "platform",
            "engine",
            "service",
            "proxy",
            "store",
            "server",
            "duties",
        )
    }
    for kind, parser in parsers.items():
        parser.add_argument("--host", default="127.0.0.1")
        parser.add_argument("--port", type=int, default=0)
        parser.add_argument("--name", default=kind)
    parsers["duties"].add_argument("--require-fence", action="store_true")
    parsers["proxy"].add_argument("--target", required=True, metavar="HOST:PORT")
    parsers["server"].add_argument("--stage", choices=["prefill", "decode"])
    engine = parsers["engine"]
    engine.add_argument("--costs", default="{}", metavar="JSON")
    engine.add_argument("--orders", default="{}", metavar="JSON")
    engine.add_argument("--software", default="", metavar="VERSION")
    engine.add_argument("--report-lag", type=float, default=0.2, metavar="SECONDS")
    engine.add_argument(
        "--role", choices=["mixed", "prefill", "decode"], default="mixed"
    )
    engine.add_argument("--model", action="append", metavar="NAME@VERSION")
