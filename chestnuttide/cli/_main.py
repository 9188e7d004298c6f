"""The command line's entry point."""

import collections.abc
import json
import sys

from cleo import application
from cleo import exceptions
from cleo import helpers
from cleo.io.inputs import argv_input

import chestnuttide
from chestnuttide.cli import _api
from chestnuttide.cli import _commands
from chestnuttide.cli import _exits
from chestnuttide.cli import _trace


class _Application(application.Application):
    """The cleo application, with the exit codes in its help."""

    @property
    def help(self) -> str:
        """Text shown above the list of commands."""
        return f"{self.long_version}\n\n{_exits.EXIT_HELP}"


def main(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run one command.

    Parameters
    ----------
    argv : sequence of str, optional
        Arguments without the program's name; those of the process by
        default.

    Returns
    -------
    int
        The exit code.
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    if not arguments or arguments in (["--help"], ["-h"], ["help"]):
        arguments = ["list"]
    try:
        return _make_application().run(
            argv_input.ArgvInput(["chestnuttide", *arguments])
        )
    except exceptions.CleoError as error:
        # No options were parsed, so --json is looked up in the raw arguments.
        failure = _exits.usage_error(
            " ".join(str(error).split()), "(See chestnuttide COMMAND --help.)"
        )
    except _exits.CommandError as error:
        failure = error
    except KeyboardInterrupt:
        return _exits.EXIT_INTERRUPTED
    if "--json" in arguments:
        print(json.dumps(failure.body or _encode_failure(failure)))
    code = f"{failure.code}: " if failure.body else ""
    print(f"chestnuttide: {code}{failure}", file=sys.stderr)
    return failure.exit_code


def _encode_failure(failure: _exits.CommandError) -> dict[str, object]:
    return {
        _api.ERROR: {
            _api.CODE: failure.code,
            _api.MESSAGE: failure.message,
            _api.REMEDY: failure.remedy,
        }
    }


def _make_application() -> application.Application:
    app = _Application("chestnuttide", chestnuttide.__version__)
    app.auto_exits(False)
    app.catch_exceptions(False)
    app.definition.add_options(
        [
            helpers.option(
                "entry",
                None,
                "Address ip:port of an entry instance, or several, separated"
                f" by commas; default: ${_commands.ENTRY_VARIABLE}.",
                flag=False,
            ),
            helpers.option("json", None, "Print machine-readable JSON."),
            helpers.option(
                "timeout",
                None,
                "Timeout of the command in seconds; default:"
                f" {_commands.CALL_TIMEOUT_S:g}, or with --wait"
                f" {_commands.WAIT_TIMEOUT_S:g}.",
                flag=False,
            ),
        ]
    )
    for command in (*_commands.COMMANDS, _trace.Trace):
        app.add(command())
    return app
