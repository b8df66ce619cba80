"""Command line of the daemon."""

from __future__ import annotations

import asyncio
import signal
import sys

import uvloop
from docopt import docopt
from result import Err

from . import __version__
from .collector import tune_collector
from .coordination.node import Node
from .logs import configure
from .state.settings import Settings, read_settings

__all__ = ["main"]

USAGE = """Overload control daemon beside one upstream.

Usage:
  savoryrouted SETTINGS
  savoryrouted --check SETTINGS
  savoryrouted (-h | --help)
  savoryrouted --version

Options:
  --check    Check the settings file and exit.
  -h --help  Show this text.
  --version  Show the version.

Exit codes: 0 stopped by a signal, 1 invalid settings, 2 wrong usage,
3 a port is in use.
"""

EXIT_OK = 0
EXIT_SETTINGS = 1
EXIT_USAGE = 2
EXIT_PORT = 3


def main(argv: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM or SIGINT; return the exit code."""
    try:
        arguments = docopt(USAGE, argv, version=__version__)
    except SystemExit as exit_:
        if exit_.code is None:
            return EXIT_OK
        print(exit_.code, file=sys.stderr)
        return EXIT_USAGE
    read = read_settings(arguments["SETTINGS"])
    if isinstance(read, Err):
        print(read.err_value, file=sys.stderr)
        return EXIT_SETTINGS
    if arguments["--check"]:
        print("settings are in order")
        return EXIT_OK
    configure(read.ok_value.log_level, read.ok_value.host)
    try:
        uvloop.run(_run(read.ok_value))
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return EXIT_PORT
    return EXIT_OK


async def _run(settings: Settings) -> None:
    """Run the node until a signal stops it."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    node = Node(settings)
    await node.start()
    tune_collector()
    await stopped.wait()
    await node.stop()


if __name__ == "__main__":
    sys.exit(main())
