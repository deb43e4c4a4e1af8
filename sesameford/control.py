"""``sesamefordctl``, the operators' command-line tool."""

import sys
from argparse import ArgumentParser, Namespace, RawDescriptionHelpFormatter
from asyncio import run
from collections.abc import Awaitable, Callable
from os import environ
from pathlib import Path

import shtab

from sesameford import __version__
from sesameford.control_client import Client, ControlError, open_client
from sesameford.control_commands import (
    apply_command,
    diff_command,
    evacuate_command,
    get_command,
    history_command,
    restore_command,
    status_command,
    validate_command,
)

EXIT_CODES = """\
exit codes:
  0  done; also when the declared tree was in force already
  1  diff: the file differs from the tree in force
  2  wrong usage or bad input; nothing was changed
  3  conflict: another change was accepted first; nothing was changed
  4  no instance could be reached, or no quorum; a change may still be accepted:
     run the same command again
  5  the operator's key was refused
  6  accepted, but not in force on every live instance within --wait-seconds

environment:
  SESAMEFORD_SERVERS       instances, separated by commas
  SESAMEFORD_OPERATOR_KEY  the operator's key
"""

EVACUATION_HELP = {
    "evacuate": "give the targets of a data centre no new work",
    "restore": "give the targets of an evacuated data centre work again",
}

Command = Callable[[Client, Namespace], Awaitable[int]]


def make_parser() -> ArgumentParser:
    """Return the parser of the command line."""
    parser = ArgumentParser(
        prog="sesamefordctl",
        description="Show and change the settings tree of a router fleet.",
        epilog=EXIT_CODES,
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    shtab.add_argument_to(parser, ["--print-completion"])
    commands = parser.add_subparsers(dest="command", required=True)

    validate = commands.add_parser("validate", help="check a tree file; asks nobody")
    _add_file(validate)
    _add_output(validate)

    apply = commands.add_parser(
        "apply", help="declare a tree file as the tree in force"
    )
    _add_file(apply)
    _add_common(apply)
    apply.add_argument(
        "--base-revision",
        type=int,
        help="the revision that the file is based on; by default the one it was last"
        " applied as, or the present one for a file never applied from here",
    )
    _add_wait(apply)

    diff = commands.add_parser(
        "diff", help="compare a tree file with the tree in force"
    )
    _add_file(diff)
    _add_common(diff)

    get = commands.add_parser("get", help="print the tree in force, or a node of it")
    get.add_argument("path", nargs="?", help="a node, such as customers/clubs/anand")
    get.add_argument(
        "--effective",
        action="store_true",
        help="each value in force with the branch that it comes from",
    )
    _add_common(get)

    status = commands.add_parser("status", help="what one instance knows of all")
    _add_common(status)

    for name, text in EVACUATION_HELP.items():
        order = commands.add_parser(name, help=text)
        order.add_argument("data_centre")
        _add_common(order)
        _add_wait(order)

    history = commands.add_parser("history", help="accepted changes, newest first")
    history.add_argument("--before", type=int, help="only revisions below this one")
    _add_common(history)
    return parser


def _add_file(parser: ArgumentParser) -> None:
    """Add the argument for the tree file."""
    file = parser.add_argument("file", type=Path, help="a tree in YAML")
    file.complete = shtab.FILE  # type: ignore[attr-defined]


def _add_wait(parser: ArgumentParser) -> None:
    """Add the options to wait until a change is in force."""
    parser.add_argument(
        "--wait",
        action="store_true",
        help="end only when every live instance has the change in force",
    )
    parser.add_argument("--wait-seconds", type=float, default=30.0)


def _add_output(parser: ArgumentParser) -> None:
    """Add the option for the output format."""
    parser.add_argument(
        "--output", choices=["table", "json"], default="table", help="form of output"
    )


def _add_common(parser: ArgumentParser) -> None:
    """Add the options of every command that sends requests to an instance."""
    _add_output(parser)
    parser.add_argument(
        "--server",
        action="append",
        help="an instance's operators' port, such as http://127.0.0.1:7001; may be"
        " given several times, and any one that answers will do",
    )
    parser.add_argument(
        "--key-file", type=Path, help="a file that holds the operator's key"
    )
    parser.add_argument(
        "--authority-file", help="certificates to trust, in place of the machine's own"
    )
    parser.add_argument(
        "--timeout-seconds",
        type=float,
        default=20.0,
        help="how long to go on asking when no instance can answer",
    )


COMMANDS: dict[str, Command] = {
    "apply": apply_command,
    "diff": diff_command,
    "evacuate": evacuate_command,
    "get": get_command,
    "history": history_command,
    "restore": restore_command,
    "status": status_command,
}


def _servers(arguments: Namespace) -> list[str]:
    """Return the base addresses of the instances."""
    addresses = arguments.server or environ.get("SESAMEFORD_SERVERS", "").split(",")
    servers = [server.strip() for server in addresses if server.strip()]
    if not servers:
        raise ControlError("no instance named: use --server", exit_code=2)
    for server in servers:
        if not server.startswith(("http://", "https://")):
            raise ControlError(f"{server}: not an http address", exit_code=2)
    return servers


def _key(arguments: Namespace) -> str:
    """Return the operator's key."""
    if arguments.key_file is not None:
        try:
            key = arguments.key_file.read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise ControlError(f"{arguments.key_file}: {error}", exit_code=2) from error
    else:
        key = environ.get("SESAMEFORD_OPERATOR_KEY", "").strip()
    if not key or not key.isprintable() or not key.isascii():
        raise ControlError("no usable operator's key: use --key-file", exit_code=2)
    return str(key)


async def run_command(arguments: Namespace) -> int:
    """Run one command of parsed arguments and return its exit code."""
    if arguments.command == "validate":
        return validate_command(arguments)
    async with open_client(
        _servers(arguments),
        _key(arguments),
        arguments.timeout_seconds,
        arguments.authority_file,
    ) as client:
        return await COMMANDS[arguments.command](client, arguments)


def main(argv: list[str] | None = None) -> int:
    """Run the tool.

    Args:
        argv: The arguments, by default those of the process.

    Returns:
        The exit code; ``--help`` lists them.
    """
    arguments = make_parser().parse_args(argv)
    try:
        return run(run_command(arguments))
    except ControlError as error:
        print(f"sesamefordctl: {error}", file=sys.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    sys.exit(main())
