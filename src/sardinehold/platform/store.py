"""Client of the platform's metadata store: objects, lists and watches.

A node has exactly one such client. Every call has a deadline; a call that was
not answered may nevertheless have been executed.
"""

import contextlib
import typing
import urllib.parse

import httpx

from sardinehold import errors
from sardinehold import metrics
from sardinehold import objects
from sardinehold.platform import bodies

CALL_TIMEOUT = 1.2
"""Seconds without a received byte after which a call times out. A healthy store answers
in milliseconds, and an unresponsive connection must be detected within the time in
which a configuration must be applied. A large answer may take longer in total."""

KEEPALIVE = 1.0
"""Idle timeout in seconds of pooled connections: longer than the interval at which the
leader lease is renewed, but over before a call on another connection has timed out, so
that an idle connection that became unresponsive is not used after that failure."""

_REMEDY = "Check that the platform's store is up and that this VM can reach it."
_JSON = {"Content-Type": "application/json"}

ERA_HEADER = "Store-Era"
"""Header of every answer: a number that rises by one each time that the store comes
back from an older copy."""


def make_client(
    address: tuple[str, int], transport: httpx.AsyncBaseTransport | None
) -> httpx.AsyncClient:
    """Create a client for one of the platform's plain HTTP addresses."""
    return httpx.AsyncClient(
        base_url=f"http://{address[0]}:{address[1]}",
        verify=False,
        trust_env=False,
        transport=transport,
        limits=httpx.Limits(keepalive_expiry=KEEPALIVE),
    )


class StoreClient:
    """Reads and writes objects; implements the node's store port.

    :param address: host and port of the store.
    :param registry: metrics; calls are counted by method and result.
    """

    def __init__(
        self,
        address: tuple[str, int],
        transport: httpx.AsyncBaseTransport | None = None,
        registry: metrics.Registry | None = None,
    ) -> None:
        """Create the client; it connects on the first call."""
        self._registry = registry or metrics.Registry()
        self._http = make_client(address, transport)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def list(self, kind: str) -> objects.Changes:
        """Read all objects of a kind, page by page.

        The returned revision is that of the first page: a watch from there
        repeats changes made while later pages were read, but misses none.
        """
        found: list[objects.StoredObject] = []
        unread: list[str] = []
        revision = 0
        params: dict[str, typing.Any] = {}
        while True:
            answer, era = await self._call("GET", f"/api/objects/{kind}", params=params)
            items = answer.get("items") or []
            with _refuse_malformed(f"the list of {kind}"):
                found.extend(_parse_items(kind, items, era, unread))
                revision = revision or _parse_version(answer["StoreRevision"], era)
            if not answer.get("HasMore") or not items:
                return objects.Changes(found, revision, unread)
            params = {"after": _find_last_name(items)}

    async def watch(self, kind: str, revision: int, wait: float) -> objects.Changes:
        """Return the changes after ``revision``, waiting at most ``wait`` seconds.

        A deleted object has None as value. Raises WatchExpired when the store
        no longer holds the revision.
        """
        since = objects.find_revision(revision)
        answer, era = await self._call(
            "GET",
            f"/api/objects/{kind}",
            params={"Watch": since, "WaitMs": int(wait * 1000)},
            timeout=wait + CALL_TIMEOUT,
        )
        found = []
        unread: list[str] = []
        with _refuse_malformed(f"the watch of {kind}"):
            for event in answer.get("events") or []:
                found.extend(_parse_event(kind, event, era, unread))
            current = _parse_version(answer["StoreRevision"], era)
        return objects.Changes(found, current, unread)

    async def create(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        """Create an object; raises VersionConflict if it exists."""
        body = {"meta": {"Name": name}, "spec": value}
        answer, era = await self._call("POST", f"/api/objects/{kind}", json=body)
        with _refuse_malformed(f"the creation of {kind}/{name}"):
            return _parse_object(kind, answer, era)

    async def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> objects.StoredObject:
        """Replace an object; raises VersionConflict if its version differs."""
        meta = {"Name": name, "Revision": objects.find_revision(version)}
        body = {"meta": meta, "spec": value}
        answer, era = await self._call("PUT", _make_path(kind, name), json=body)
        with _refuse_malformed(f"the update of {kind}/{name}"):
            return _parse_object(kind, answer, era)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object; raises VersionConflict if its version differs.

        Raises ObjectMissing if the object does not exist.
        """
        await self._call(
            "DELETE",
            _make_path(kind, name),
            params={"Revision": objects.find_revision(version)},
        )

    async def _call(
        self,
        method: str,
        path: str,
        timeout: float = CALL_TIMEOUT,
        **arguments: typing.Any,
    ) -> tuple[dict, int]:
        """Return the body of an answer and the store's era."""
        try:
            answer = await self._http.request(
                method, path, timeout=timeout, headers=_JSON, **arguments
            )
        except httpx.HTTPError as error:
            self._count(method, type(error).__name__)
            raise errors.PlatformUnavailable(
                f"The store did not answer {method} {path}: {type(error).__name__}.",
                _REMEDY,
            ) from error
        self._count(method, str(answer.status_code))
        if answer.status_code >= 400:
            raise _build_error(answer.status_code, f"{method} {path}")
        with _refuse_malformed(f"{method} {path}"):
            era = int(answer.headers.get(ERA_HEADER, 0))
            return (bodies.decode(answer.content) if answer.content else {}), era

    def _count(self, method: str, result: str) -> None:
        name = metrics.label_name("store_calls", method=method, result=result)
        self._registry.count(name)


@contextlib.contextmanager
def _refuse_malformed(call: str) -> typing.Iterator[None]:
    """Raise the error that callers of the store expect if an answer cannot be read."""
    try:
        yield
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise errors.PlatformUnavailable(
            f"The store's answer to {call} is malformed: {error!r}.", _REMEDY
        ) from error


def _make_path(kind: str, name: str) -> str:
    """Return the path of an object, whose name may have any characters."""
    return f"/api/objects/{kind}/{urllib.parse.quote(name, safe='')}"


def _build_error(status: int, call: str) -> errors.PlatformError:
    if status == 404:
        return errors.ObjectMissing(f"{call} found no object.", "Create it first.")
    if status == 409:
        return errors.VersionConflict(
            f"{call} conflicts with another version.", "Read the object and retry."
        )
    if status == 410:
        return errors.WatchExpired(
            f"{call} asked for a revision that the store no longer holds.",
            "List the objects again.",
        )
    if status == 429 or status >= 500:
        return errors.PlatformUnavailable(
            f"The store answered {call} with status {status}.", _REMEDY
        )
    return errors.PlatformError(
        f"The store refused {call} with status {status}.",
        "Compare the versions of sardinehold and of the platform.",
    )


def _parse_version(revision: typing.Any, era: int) -> int:
    return objects.make_version(era, int(revision))


def _parse_object(kind: str, value: dict, era: int) -> objects.StoredObject:
    meta = value["meta"]
    version = _parse_version(meta["Revision"], era)
    name = meta["Name"]
    if not isinstance(name, str):
        raise TypeError(f"name {name!r:.80}")
    # Other nodes cannot be sent text that is no Unicode.
    name.encode()
    return objects.StoredObject(kind, name, version, value.get("spec"))


def _parse_items(
    kind: str, items: list, era: int, unread: list[str]
) -> list[objects.StoredObject]:
    """Parse the items of a list; add the errors of malformed ones to ``unread``.

    An item of which only the content is unreadable is returned with an empty one.
    """
    found = []
    for item in items:
        try:
            stored = _parse_object(kind, item, era)
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            unread.append(repr(error))
            continue
        reason = _find_fault(stored.value)
        if reason:
            unread.append(f"{stored.name}: {reason}")
            stored.value = {}
        found.append(stored)
    return found


def _find_fault(value: typing.Any) -> str:
    """Return why an object's content cannot be used, ``""`` if it can."""
    if isinstance(value, bodies.Unreadable):
        return value.reason
    if value is None:
        # Without content it would count as deleted.
        return "it has no content"
    try:
        bodies.check_value(value)
    except ValueError as error:
        return repr(error)
    return ""


def _parse_event(
    kind: str, event: typing.Any, era: int, unread: list[str]
) -> list[objects.StoredObject]:
    """Parse an event of a watch; a deleted object has None as value."""
    if not isinstance(event, dict):
        unread.append(f"event {event!r}")
        return []
    if not event.get("IsGone"):
        return _parse_items(kind, [event.get("Object")], era, unread)
    found = _parse_items(kind, [event.get("Object")], era, [])
    for stored in found:
        stored.value = None
    return found


def _find_last_name(items: list) -> str:
    """Return the name of the last item that has one.

    :raises sardinehold.errors.PlatformUnavailable: none has one.
    """
    for item in reversed(items):
        if isinstance(item, dict) and isinstance(item.get("meta"), dict):
            return str(item["meta"].get("Name", ""))
    raise errors.PlatformUnavailable(
        "The store listed objects without names only.", _REMEDY
    )
