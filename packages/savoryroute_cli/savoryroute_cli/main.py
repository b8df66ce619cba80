"""Command line of savoryroute.

Usage:
  savoryroute check FILE
  savoryroute render FILE
  savoryroute compare OLD NEW
  savoryroute promote TRIAL PRODUCTION [--out FILE]
  savoryroute status ADDRESS... [--key-file FILE]
  savoryroute explain ADDRESS ACTION [--key-file FILE]
  savoryroute explain --logs LOGS ACTION
  savoryroute audit ADDRESS [--follow] [--key-file FILE]
  savoryroute call URL [--method M] [--data D] [--key K] [--timeout MS] [--retry]
  savoryroute (-h | --help)
  savoryroute --version

Commands:
  check    Check an environment document.
  render   Print a document as strict JSON, the form to publish.
  compare  List what changes between two documents.
  promote  Show what changes when a trial document becomes the production one.
  status   Show the active documents, members and readiness of daemons.
  explain  Show the recent decisions of a daemon about one action, or the log lines
           about one request in a file of daemons' logs.
  audit    Show the audit trail of a daemon.
  call     Send one request, with the key, deadline and retries of a caller.

Options:
  --out FILE       Write the production form of the trial document to a file.
  --key-file FILE  File with the operator key. Without it, the key is taken from the
                   environment variable SAVORYROUTE_OPERATOR_KEY.
  --logs LOGS      File with log lines of daemons. Text before the JSON is ignored.
  --follow         Continue to show new entries.
  --method M       HTTP method [default: GET].
  --data D         Body of the request.
  --key K          Idempotency key of the action.
  --timeout MS     Milliseconds that the whole action may take.
  --retry          Retry after a refusal that names a retry time.
  -h --help        Show this text.
  --version        Show the version.

Exit codes:
  0 done; 1 a check failed or the request was refused; 2 wrong usage;
  3 an address could not be reached.
"""

from __future__ import annotations

import sys

import docopt

import savoryroute

from .commands import COMMANDS
from .exit_code import ExitCode
from .options import Options, UsageError
from .output import print_error

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run one command and return the exit code.

    Args:
        argv: Arguments after the program's name; by default those of the process.
    """
    version = f"savoryroute {savoryroute.__version__}"
    try:
        arguments = docopt.docopt(__doc__, argv, version=version)
    except docopt.DocoptExit as exc:
        print_error(str(exc))
        return ExitCode.USAGE
    except SystemExit:
        return ExitCode.OK
    return _run(arguments)


def _run(arguments: dict) -> int:
    name = next(name for name in COMMANDS if arguments.get(name))
    try:
        return COMMANDS.get(name)(Options.from_docopt(arguments))
    except UsageError as exc:
        print_error(str(exc))
        return ExitCode.USAGE
    except KeyboardInterrupt:
        return ExitCode.OK


if __name__ == "__main__":
    sys.exit(main())
