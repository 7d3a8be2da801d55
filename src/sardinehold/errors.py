"""Typed errors with codes; every message includes a remedy.

Each error has a form for callers (SQLSTATE, detail and hint of the PostgreSQL
protocol) and one for operators (one line and an exit code).
"""

import enum
import sys
import typing


class Outcome(enum.Enum):
    """State of the effect of a request that failed: not run, or unknown."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class SardineholdError(Exception):
    """Base class of all errors that sardinehold raises deliberately.

    :param message: description of the failure, in one sentence.
    :param remedy: action that resolves it, in one sentence.

    .. versionadded:: 0.1
    """

    code = "SH000"
    sqlstate = "XX000"
    exit_code = 1

    def __init__(self, message: str, remedy: str) -> None:
        """Store the message and the remedy."""
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def format_message(self) -> str:
        """Return code, message and remedy as one line for an operator."""
        return f"{self.code}: {self.message} {self.remedy}"

    def show(self, file: typing.TextIO | None = None) -> None:
        """Write the message to ``file``, standard error by default."""
        print(self.format_message(), file=file or sys.stderr)


class SettingsError(SardineholdError):
    """Settings or command line arguments are not valid."""

    code = "SH101"
    exit_code = 2


class DocumentError(SardineholdError):
    """A configuration document is not valid."""

    code = "SH102"
    exit_code = 2


class RequestError(SardineholdError):
    """A request failed.

    :param outcome: whether the request did not run, or may have run.
    """

    code = "SH200"
    sqlstate = "58000"
    default_outcome = Outcome.NOT_RUN

    def __init__(
        self, message: str, remedy: str, outcome: Outcome | None = None
    ) -> None:
        """Store the outcome, by default that of the class."""
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
    """The database name of the startup message is not the name of a route."""

    code = "SH203"
    sqlstate = "3D000"


class InvalidToken(RequestError):
    """A session token is malformed, forged, or belongs to another team."""

    code = "SH204"
    sqlstate = "28000"


class RateExceeded(RequestError):
    """The team has exceeded its rate and burst, and the wait would be too long."""

    code = "SH205"
    sqlstate = "53400"


class QueueFull(RequestError):
    """Too many requests of the team are already queued."""

    code = "SH206"
    sqlstate = "53300"


class DeadlineExceeded(RequestError):
    """The deadline of the request passed before it completed."""

    code = "SH207"
    sqlstate = "57014"


class EndpointUnavailable(RequestError):
    """No endpoint of the group can accept the request."""

    code = "SH208"
    sqlstate = "57P03"


class OutcomeUnknown(RequestError):
    """The request was sent, and whether it took effect is unknown."""

    code = "SH209"
    sqlstate = "08007"
    default_outcome = Outcome.UNKNOWN


class Unsupported(RequestError):
    """The feature is not supported; the request was not sent to an endpoint."""

    code = "SH210"
    sqlstate = "0A000"


class PositionLost(RequestError):
    """An acknowledged log position of the session was lost in a failover."""

    code = "SH211"
    sqlstate = "40001"


class ShuttingDown(RequestError):
    """The proxy is shutting down and accepts no new requests."""

    code = "SH212"
    sqlstate = "57P01"


class LeaseLapsed(RequestError):
    """The lease of the proxy expired; it refuses requests until it is reconnected."""

    code = "SH213"
    sqlstate = "57P03"


class TransactionTimeout(RequestError):
    """A transaction exceeded the idle timeout of its route."""

    code = "SH214"
    sqlstate = "25P03"


class ProtocolViolation(RequestError):
    """A frame violates the PostgreSQL protocol or exceeds a limit."""

    code = "SH215"
    sqlstate = "08P01"


class UnknownStatement(RequestError):
    """A message refers to a prepared statement that the session does not have."""

    code = "SH216"
    sqlstate = "26000"


class PlatformError(SardineholdError):
    """A request to the platform's object API failed."""

    code = "SH300"


class PlatformUnavailable(PlatformError):
    """The platform is unreachable; whether a change took effect is unknown."""

    code = "SH301"


class VersionConflict(PlatformError):
    """A conditional update was refused because the object has another version."""

    code = "SH302"


class WatchExpired(PlatformError):
    """A watch requested a revision that the platform no longer stores."""

    code = "SH303"


class StoreRestored(PlatformError):
    """The platform's store was restored from an older copy during the call.

    What the call read may be gone; what it wrote may have met other contents than its
    condition meant.
    """

    code = "SH308"


class ObjectMissing(PlatformError):
    """The object does not exist."""

    code = "SH304"


class InvariantViolation(SardineholdError):
    """An invariant of the system was violated inside the program."""

    code = "SH900"
