"""Typed errors with codes; every message names the remedy.

Each error knows how to show itself to a caller (SQLSTATE, detail and hint of
the PostgreSQL protocol) and to an operator (one line and an exit code).
"""

import enum
import sys
import typing


class Outcome(enum.Enum):
    """What is known about the effect of a request that got no answer."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class SardineholdError(Exception):
    """Base of all errors that sardinehold raises on purpose.

    :param message: what went wrong, in one sentence.
    :param remedy: what the reader can do about it, in one sentence.

    .. versionadded:: 0.1
    """

    code = "SH000"
    sqlstate = "XX000"
    exit_code = 1

    def __init__(self, message: str, remedy: str) -> None:
        """Keep the message and the remedy."""
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def format_message(self) -> str:
        """Return the line that an operator reads."""
        return f"{self.code}: {self.message} {self.remedy}"

    def show(self, file: typing.TextIO | None = None) -> None:
        """Write the message to ``file``, standard error by default."""
        print(self.format_message(), file=file or sys.stderr)


class SettingsError(SardineholdError):
    """Settings or command line arguments cannot be used."""

    code = "SH101"
    exit_code = 2


class DocumentError(SardineholdError):
    """A configuration document is not valid."""

    code = "SH102"
    exit_code = 2


class RequestError(SardineholdError):
    """A request could not be answered.

    :param outcome: whether the request is known not to have run.
    """

    code = "SH200"
    sqlstate = "58000"
    default_outcome = Outcome.NOT_RUN

    def __init__(
        self, message: str, remedy: str, outcome: Outcome | None = None
    ) -> None:
        """Keep the outcome, that of the class by default."""
        super().__init__(message, remedy)
        self.outcome = outcome or self.default_outcome


class AuthenticationError(RequestError):
    """The key is missing, unknown, or not allowed on the route."""

    code = "SH201"
    sqlstate = "28P01"


class KeyWithdrawn(RequestError):
    """The key of an open session has been withdrawn."""

    code = "SH202"
    sqlstate = "28000"


class UnknownRoute(RequestError):
    """The database name of the start-up message names no route."""

    code = "SH203"
    sqlstate = "3D000"


class InvalidToken(RequestError):
    """A session token is malformed, forged, or belongs to another team."""

    code = "SH204"
    sqlstate = "28000"


class RateExceeded(RequestError):
    """The team has used its rate and burst, and the wait is too long."""

    code = "SH205"
    sqlstate = "53400"


class QueueFull(RequestError):
    """Too many requests of the team wait already."""

    code = "SH206"
    sqlstate = "53300"


class DeadlineExceeded(RequestError):
    """The deadline passed before the request was answered."""

    code = "SH207"
    sqlstate = "57014"


class EndpointUnavailable(RequestError):
    """No endpoint of the group can take the request."""

    code = "SH208"
    sqlstate = "57P03"


class OutcomeUnknown(RequestError):
    """The request was sent, and its effect cannot be known."""

    code = "SH209"
    sqlstate = "08007"
    default_outcome = Outcome.UNKNOWN


class Unsupported(RequestError):
    """The feature is refused before it is sent on."""

    code = "SH210"
    sqlstate = "0A000"


class PositionLost(RequestError):
    """An acknowledged position of the session did not survive a failover."""

    code = "SH211"
    sqlstate = "40001"


class ShuttingDown(RequestError):
    """The proxy is stopping and takes no new work."""

    code = "SH212"
    sqlstate = "57P01"


class LeaseLapsed(RequestError):
    """The proxy is cut off and may not serve until it is connected again."""

    code = "SH213"
    sqlstate = "57P03"


class TransactionTimeout(RequestError):
    """A transaction was idle for longer than the route allows."""

    code = "SH214"
    sqlstate = "25P03"


class ProtocolViolation(RequestError):
    """A frame does not follow the PostgreSQL protocol or exceeds a limit."""

    code = "SH215"
    sqlstate = "08P01"


class UnknownStatement(RequestError):
    """A message names a prepared statement that the session does not have."""

    code = "SH216"
    sqlstate = "26000"


class PlatformError(SardineholdError):
    """The platform's object API did not do what was asked."""

    code = "SH300"


class PlatformUnavailable(PlatformError):
    """The platform cannot be reached; whether a change took effect is unknown."""

    code = "SH301"


class VersionConflict(PlatformError):
    """A conditional update met another version."""

    code = "SH302"


class WatchExpired(PlatformError):
    """A watch asked for a version that the platform no longer keeps."""

    code = "SH303"


class ObjectMissing(PlatformError):
    """The object does not exist."""

    code = "SH304"


class InvariantViolation(SardineholdError):
    """A promise of the system was found broken inside the program."""

    code = "SH900"
