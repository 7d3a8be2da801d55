"""Client of the platform's object API over HTTP and JSON.

Every call has a deadline, takes a token of the process's token bucket, and
waits for a jittered backoff after failures: otherwise all nodes would call a
platform that has just recovered at the same time (thundering herd).
"""

import random
import ssl
import typing
import urllib.parse

import anyio
import httpx

from sardinehold import errors
from sardinehold import objects
from sardinehold import settings

CALL_TIMEOUT = 2.0
"""Timeout of a call in seconds."""

BACKOFF_FIRST = 0.05
"""Upper bound in seconds of the backoff after the first failure."""

BACKOFF_LIMIT = 2.0
"""Upper bound in seconds of any backoff."""

BUCKET_RATE = 20.0
"""Sustained rate of calls per second of one process."""

BUCKET_BURST = 40
"""Calls that one process may make at once after an idle period."""

ERA_HEADER = "Store-Era"
"""Header of the platform's answers: rises by one with each restore from a copy."""

REMEDY = "Check that the platform is up and reachable from this VM."


class Backoff:
    """Full-jitter exponential backoff.

    See M. Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog.

    :param first: upper bound of the first backoff in seconds.
    :param limit: upper bound of every backoff in seconds.
    """

    __slots__ = ("first", "limit", "failures", "generator")

    def __init__(
        self,
        first: float = BACKOFF_FIRST,
        limit: float = BACKOFF_LIMIT,
        generator: random.Random | None = None,
    ) -> None:
        """Create a backoff without failures."""
        self.first = first
        self.limit = limit
        self.failures = 0
        self.generator = generator or random.Random()

    def record_failure(self) -> float:
        """Count a failure and return the backoff in seconds."""
        bound = min(self.limit, self.first * 2 ** min(self.failures, 16))
        self.failures += 1
        return self.generator.uniform(0, bound)

    def record_success(self) -> None:
        """Reset the count of failures."""
        self.failures = 0


class TokenBucket:
    """Token bucket that limits a rate.

    :param rate: tokens per second.
    :param burst: capacity in tokens.
    """

    __slots__ = ("rate", "burst", "tokens", "updated")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Create a full bucket."""
        self.rate = rate
        self.burst = burst
        self.tokens = float(burst)
        self.updated = now

    def reserve(self, now: float) -> float:
        """Take a token and return the seconds until it may be used."""
        elapsed = max(0.0, now - self.updated)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.updated = now
        self.tokens -= 1
        return max(0.0, -self.tokens / self.rate)


class HttpObjectClient:
    """HTTP implementation of :class:`sardinehold.objects.ObjectClient`.

    Versions carry the store's era, see :mod:`sardinehold.objects`. A condition or watch
    of an earlier era fails as one of an outdated revision does.

    :param url: base URL of the object API.
    :param caller: name of this VM, sent with each call.
    :param tls: certificate files, empty for the system's authorities.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_http",
        "_bucket",
        "_backoff",
        "_retry_at",
        "_clock",
        "calls",
        "era",
    )

    def __init__(
        self,
        url: str,
        caller: str,
        tls: settings.Tls | None = None,
        clock: typing.Callable[[], float] = anyio.current_time,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create the client; it connects on the first call."""
        self._http = httpx.AsyncClient(
            base_url=url,
            headers={"X-Caller": caller},
            verify=_build_context(tls or settings.Tls()),
            transport=transport,
            trust_env=False,
        )
        self._clock = clock
        self._bucket = TokenBucket(BUCKET_RATE, BUCKET_BURST, clock())
        self._backoff = Backoff()
        self._retry_at = 0.0
        self.calls: dict[str, int] = {}
        self.era = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def get(self, kind: str, name: str) -> objects.StoredObject:
        """Read one object; raises ObjectMissing if it does not exist."""
        answer = await self._call("GET", _make_path(kind, name))
        return _parse_object(_read_body(answer), _read_era(answer))

    async def list(self, kinds: tuple[str, ...]) -> objects.Changes:
        """Read all objects of some kinds at one revision."""
        answer = await self._call(
            "GET", "/v1/objects", params={"kinds": ",".join(kinds)}
        )
        return _parse_changes(answer)

    async def create(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        """Create an object; raises VersionConflict if it exists."""
        return await self._put(kind, name, value, {"If-None-Match": "*"})

    async def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> objects.StoredObject:
        """Replace an object; raises VersionConflict if its version differs."""
        headers = self._make_condition(version)
        return await self._put(kind, name, value, headers)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object; raises VersionConflict if its version differs."""
        headers = self._make_condition(version)
        await self._call("DELETE", _make_path(kind, name), headers=headers)

    def _make_condition(self, version: int) -> dict[str, str]:
        """Return the header of a conditional write; raises VersionConflict."""
        if objects.find_era(version) < self.era:
            raise errors.VersionConflict(
                "The version precedes a restore of the platform's store.",
                "Read the object and retry.",
            )
        return {"If-Match": f'"{objects.find_revision(version)}"'}

    async def watch(
        self, kinds: tuple[str, ...], revision: int, wait: float
    ) -> objects.Changes:
        """Return the changes after ``revision``, waiting at most ``wait`` seconds."""
        since = objects.find_revision(revision)
        params = {"kinds": ",".join(kinds), "revision": since, "wait": wait}
        answer = await self._call(
            "GET", "/v1/watch", params=params, timeout=wait + CALL_TIMEOUT
        )
        changes = _parse_changes(answer)
        if objects.find_era(changes.revision) != objects.find_era(revision):
            raise errors.WatchExpired(
                "The platform's store was restored from an older copy.",
                "List the objects again.",
            )
        return changes

    async def list_vms(self) -> objects.Changes:
        """Read the list of live and leaving VMs, which may be out of date."""
        return _parse_changes(await self._call("GET", "/v1/vms"))

    async def list_groups(self) -> objects.Changes:
        """Read the database groups that the platform runs."""
        return _parse_changes(await self._call("GET", "/v1/groups"))

    async def _put(
        self, kind: str, name: str, value: dict, headers: dict[str, str]
    ) -> objects.StoredObject:
        answer = await self._call(
            "PUT", _make_path(kind, name), headers=headers, json=value
        )
        revision = _read_body(answer).get("version") or 0
        version = objects.make_version(_read_era(answer), revision)
        return objects.StoredObject(kind, name, version, value)

    async def _call(
        self,
        method: str,
        path: str,
        timeout: float = CALL_TIMEOUT,
        **arguments: typing.Any,
    ) -> httpx.Response:
        await self._throttle()
        call = f"{method} {path.split('/')[2]}"
        self.calls[call] = self.calls.get(call, 0) + 1
        try:
            answer = await self._http.request(
                method, path, timeout=timeout, **arguments
            )
        except httpx.HTTPError as error:
            self._back_off()
            raise errors.PlatformUnavailable(
                f"The platform did not answer {call}: {type(error).__name__}.", REMEDY
            ) from error
        self._check(answer, call)
        self.era = max(self.era, _read_era(answer))
        return answer

    async def _throttle(self) -> None:
        now = self._clock()
        wait = max(self._bucket.reserve(now), self._retry_at - now)
        if wait > 0:
            await anyio.sleep(wait)

    def _back_off(self, at_least: float = 0.0) -> None:
        wait = max(at_least, self._backoff.record_failure())
        self._retry_at = self._clock() + wait

    def _check(self, answer: httpx.Response, call: str) -> None:
        status = answer.status_code
        if status == 429 or status >= 500:
            self._back_off(_parse_seconds(answer.headers.get("Retry-After", "")))
            raise errors.PlatformUnavailable(
                f"The platform answered {call} with status {status}.", REMEDY
            )
        self._backoff.record_success()
        if status < 400:
            return
        raise _build_error(status, call)


def _make_path(kind: str, name: str) -> str:
    """Return the path of an object; a name may contain any characters."""
    return f"/v1/objects/{kind}/{urllib.parse.quote(name, safe='')}"


def _build_error(status: int, call: str) -> errors.PlatformError:
    if status == 404:
        return errors.ObjectMissing(f"{call} found no object.", "Create it first.")
    if status == 410:
        return errors.WatchExpired(
            f"{call} asked for a revision that the platform no longer holds.",
            "List the objects again.",
        )
    if status == 412:
        return errors.VersionConflict(
            f"{call} conflicts with another version.", "Read the object and retry."
        )
    return errors.PlatformError(
        f"The platform refused {call} with status {status}.",
        "Compare the versions of sardinehold and of the platform.",
    )


def _build_context(tls: settings.Tls) -> ssl.SSLContext | bool:
    if not tls.authority:
        return True
    context = ssl.create_default_context(cafile=tls.authority)
    if tls.certificate:
        context.load_cert_chain(tls.certificate, tls.key)
    return context


def _parse_seconds(text: str) -> float:
    try:
        return min(BACKOFF_LIMIT, float(text))
    except ValueError:
        return 0.0


def _read_era(answer: httpx.Response) -> int:
    try:
        return int(answer.headers.get(ERA_HEADER, 0))
    except ValueError as error:
        raise errors.PlatformUnavailable(
            f"The platform's answer has a malformed {ERA_HEADER}.", REMEDY
        ) from error


def _read_body(answer: httpx.Response) -> dict:
    """Decode an answer; raises PlatformUnavailable if it is no JSON object."""
    try:
        body = answer.json()
    except (ValueError, RecursionError) as error:
        raise _build_malformed(error) from error
    if not isinstance(body, dict):
        raise _build_malformed(TypeError(type(body).__name__))
    return body


def _build_malformed(error: Exception) -> errors.PlatformUnavailable:
    return errors.PlatformUnavailable(
        f"The platform's answer cannot be read: {error!r:.200}.", REMEDY
    )


def _parse_object(body: dict, era: int) -> objects.StoredObject:
    try:
        revision = body.get("version") or 0
        version = objects.make_version(era, revision) if revision else 0
        return objects.StoredObject(body["kind"], body["name"], version, body["value"])
    except (KeyError, TypeError, AttributeError) as error:
        raise _build_malformed(error) from error


def _parse_changes(answer: httpx.Response) -> objects.Changes:
    body, era = _read_body(answer), _read_era(answer)
    try:
        revision = objects.make_version(era, body["revision"])
        found = [_parse_object(entry, era) for entry in body["objects"]]
    except (KeyError, TypeError) as error:
        raise _build_malformed(error) from error
    return objects.Changes(found, revision)
