"""Sign-in sessions and the rate limit of failed sign-ins."""

import collections
import hmac
import secrets
import typing

from sardinehold import errors

IDLE_TIMEOUT = 30 * 60
"""Seconds without a request after which a session ends."""

SESSION_TIMEOUT = 12 * 3600
"""Seconds after which every session ends."""

MAX_SESSIONS = 1000
"""Concurrent sessions; beyond this the least recently used one ends."""

SIGN_IN_BURST = 5
"""Invalid keys that one source may send in a burst."""

SIGN_IN_REFILL_SECONDS = 10.0
"""Seconds after which a source may send one more invalid key."""

MAX_SOURCES = 10_000
"""Sources tracked; beyond this the one with the oldest failure is dropped."""


class SignInRequired(errors.SardineholdError):
    """The request has no valid session or key."""

    code = "SH401"


class TooManyTries(errors.SardineholdError):
    """A source sent too many invalid keys.

    :param retry_after: seconds after which the source may try again.
    """

    code = "SH403"

    def __init__(self, retry_after: float) -> None:
        """Initialise the error."""
        self.retry_after = retry_after
        super().__init__(
            "Too many invalid keys came from this address.",
            f"Wait {retry_after:.0f} seconds, then use a valid key.",
        )


class ForgedForm(errors.SardineholdError):
    """A form was not submitted from a page of this console."""

    code = "SH404"


class Session:
    """A session of a signed-in operator.

    :param operator: name of the operator.
    :param prefix: prefix of the operator's key.
    :param csrf: token that every form of the session must carry.
    :param deadline: monotonic time when the session ends in any case.
    :param idle_deadline: monotonic time when it ends without another request.
    """

    __slots__ = ("operator", "prefix", "csrf", "deadline", "idle_deadline")

    def __init__(
        self,
        operator: str,
        prefix: str,
        csrf: str,
        deadline: float,
        idle_deadline: float,
    ) -> None:
        """Initialise the session."""
        self.operator = operator
        self.prefix = prefix
        self.csrf = csrf
        self.deadline = deadline
        self.idle_deadline = idle_deadline

    def require_csrf(self, token: str) -> None:
        """Raise :class:`ForgedForm` unless ``token`` belongs to this session."""
        if not hmac.compare_digest(token.encode(), self.csrf.encode()):
            raise ForgedForm(
                "The form does not belong to this session.",
                "Open the page again and repeat the change.",
            )


class Sessions:
    """All sessions of this process.

    :param clock: returns monotonic seconds.
    """

    __slots__ = ("_clock", "_sessions")

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Initialise without sessions."""
        self._clock = clock
        self._sessions: collections.OrderedDict[str, Session] = (
            collections.OrderedDict()
        )

    def open(self, operator: str, prefix: str) -> str:
        """Start a session and return the value of its cookie."""
        now = self._clock()
        cookie = secrets.token_urlsafe(32)
        self._sessions[cookie] = Session(
            operator,
            prefix,
            secrets.token_urlsafe(32),
            now + SESSION_TIMEOUT,
            now + IDLE_TIMEOUT,
        )
        if len(self._sessions) > MAX_SESSIONS:
            self._sessions.popitem(last=False)
        return cookie

    def find(self, cookie: str) -> Session | None:
        """Return the session of a cookie and extend it, None if it has ended."""
        session = self._sessions.get(cookie)
        if session is None:
            return None
        now = self._clock()
        if now >= min(session.deadline, session.idle_deadline):
            self.close(cookie)
            return None
        session.idle_deadline = now + IDLE_TIMEOUT
        self._sessions.move_to_end(cookie)
        return session

    def close(self, cookie: str) -> None:
        """End the session of a cookie."""
        self._sessions.pop(cookie, None)


class Throttle:
    """Rate limit of failed sign-ins, with a token bucket for each source.

    :param clock: returns monotonic seconds.
    """

    __slots__ = ("_clock", "_buckets")

    def __init__(self, clock: typing.Callable[[], float]) -> None:
        """Initialise without sources."""
        self._clock = clock
        self._buckets: collections.OrderedDict[str, tuple[float, float]] = (
            collections.OrderedDict()
        )

    def require_attempt(self, source: str) -> None:
        """Raise :class:`TooManyTries` if the bucket of the source is empty."""
        tokens = self._refill(source)
        if tokens < 1:
            raise TooManyTries((1 - tokens) * SIGN_IN_REFILL_SECONDS + 1)

    def record_failure(self, source: str) -> None:
        """Take one token from the bucket of the source."""
        self._buckets[source] = (self._refill(source) - 1, self._clock())
        self._buckets.move_to_end(source)
        if len(self._buckets) > MAX_SOURCES:
            self._buckets.popitem(last=False)

    def _refill(self, source: str) -> float:
        now = self._clock()
        tokens, updated = self._buckets.get(source, (float(SIGN_IN_BURST), now))
        return min(
            float(SIGN_IN_BURST), tokens + (now - updated) / SIGN_IN_REFILL_SECONDS
        )
