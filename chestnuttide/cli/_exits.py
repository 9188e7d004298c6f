"""Exit codes of the command line and the errors that cause them."""

import typing

from chestnuttide import errors

EXIT_OK: typing.Final = 0
EXIT_REFUSED: typing.Final = 1
EXIT_USAGE: typing.Final = 2
EXIT_UNREACHABLE: typing.Final = 3
EXIT_TIMEOUT: typing.Final = 4
# The code that shells report for a program interrupted with Ctrl-C.
EXIT_INTERRUPTED: typing.Final = 130

EXIT_HELP: typing.Final = f"""\
Exit codes:
  {EXIT_OK}    done
  {EXIT_REFUSED}    refused, or the awaited job did not succeed
  {EXIT_USAGE}    the command line or a file given on it is wrong
  {EXIT_UNREACHABLE}    no entry instance can be reached or understood
  {EXIT_TIMEOUT}    no answer, or the awaited state not reached, in time
  {EXIT_INTERRUPTED}  interrupted"""


class CommandError(errors.SchedulerError):
    """Error that ends a command with an exit code.

    Parameters
    ----------
    exit_code : int
        Exit code of the process.
    code : str
        Stable error code for programs.
    body : dict, optional
        Error response of the entry, as received.
    """

    def __init__(
        self,
        *,
        message: str,
        remedy: str,
        exit_code: int,
        code: str,
        body: dict[str, typing.Any] | None = None,
    ) -> None:
        super().__init__(message=message, remedy=remedy)
        self.exit_code = exit_code
        self.code = code
        self.body = body


def usage_error(message: str, remedy: str) -> CommandError:
    """Return the error for an invalid command line."""
    return CommandError(
        message=message, remedy=remedy, exit_code=EXIT_USAGE, code="usage"
    )


def timeout_error(message: str, remedy: str) -> CommandError:
    """Return the error for an expired timeout."""
    return CommandError(
        message=message, remedy=remedy, exit_code=EXIT_TIMEOUT, code="timeout"
    )


def unreachable_error(message: str, remedy: str) -> CommandError:
    """Return the error for an entry that cannot be reached."""
    return CommandError(
        message=message,
        remedy=remedy,
        exit_code=EXIT_UNREACHABLE,
        code="unreachable",
    )
