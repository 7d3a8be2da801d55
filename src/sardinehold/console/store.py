"""Access to the configuration in the platform's objects.

A change is one compare-and-swap update with a unique change identifier. If the
platform's response is lost, the document is read back and the identifier shows
whether the change took effect, so that no change is applied twice.
"""

import copy
import json
import typing
import uuid

import anyio

from sardinehold import changes
from sardinehold import document
from sardinehold import errors
from sardinehold import faults
from sardinehold import objects
from sardinehold import operators
from sardinehold import validation
from sardinehold.console import audit

MAX_VALUE_BYTES = 1024 * 1024
"""Largest value that the platform accepts."""

MAX_ATTEMPTS = 4
"""Attempts to write a change whose response is lost, or to read it back."""

RETRY_SECONDS = 0.25
"""Seconds before the second attempt, doubled for each further one."""


class StoredDocument:
    """The document as stored in the platform.

    :param config: the document, None if the platform has none.
    :param revision: the platform's version of the object, for compare-and-swap.
    """

    __slots__ = ("config", "revision")

    def __init__(self, config: document.Document | None, revision: int) -> None:
        """Initialise the stored document."""
        self.config = config
        self.revision = revision

    @property
    def version(self) -> int:
        """Version of the document, 0 if there is none."""
        return self.config.version if self.config is not None else 0


class Proposal:
    """A validated change that is not stored yet.

    :param before: the document that it changes.
    :param config: the new document.
    :param differences: changes between the two.
    :param warnings: likely mistakes in the new document.
    """

    __slots__ = ("before", "config", "differences", "warnings")

    def __init__(
        self,
        before: StoredDocument,
        config: document.Document,
        differences: list[changes.Change],
        warnings: list[faults.Fault],
    ) -> None:
        """Initialise the proposal."""
        self.before = before
        self.config = config
        self.differences = differences
        self.warnings = warnings


class Conflict(errors.VersionConflict):
    """The document was changed concurrently.

    :param base_version: version that the change is based on.
    :param config: the current document.
    :param differences: changes since the base version, None if that version is not
        retained.
    """

    code = "SH305"

    def __init__(
        self,
        base_version: int,
        config: document.Document | None,
        differences: list[changes.Change] | None,
    ) -> None:
        """Initialise the conflict."""
        self.base_version = base_version
        self.config = config
        self.differences = differences
        author = config.author if config is not None else "nobody"
        version = config.version if config is not None else 0
        super().__init__(
            f"The document is at version {version} by {author},"
            f" the change is based on version {base_version}.",
            "Check the other change, then repeat yours on the new version.",
        )


class UnknownEffect(errors.PlatformUnavailable):
    """The platform did not confirm whether a change took effect."""

    code = "SH306"


class NothingChanged(errors.DocumentError):
    """A change would not alter the document."""

    code = "SH103"


Edit = typing.Callable[[dict], None]
"""Function that changes the JSON value of a document in place."""


class Store:
    """Store of the configuration in the platform.

    :param client: the platform's object API.
    """

    __slots__ = ("client",)

    def __init__(self, client: objects.ObjectClient) -> None:
        """Initialise the store."""
        self.client = client

    async def read_current(self) -> StoredDocument:
        """Return the current document."""
        try:
            found = await self.client.get("document", "current")
        except errors.ObjectMissing:
            return StoredDocument(None, 0)
        return StoredDocument(
            document.parse_document(found.value, False), found.version
        )

    async def propose(
        self,
        principal: operators.Principal,
        base_version: int,
        reason: str,
        edit: Edit,
    ) -> Proposal:
        """Validate a change on version ``base_version`` without storing it.

        :raises Conflict: the document has another version.
        :raises sardinehold.errors.DocumentError: the new document has faults; the
            error lists them all.
        :raises sardinehold.operators.Forbidden: the operator lacks the permission.
        """
        before = await self.read_current()
        if before.version != base_version:
            raise await self._build_conflict(base_version, before)
        value = _copy_value(before)
        edit(value)
        value["version"] = before.version + 1
        value["author"] = principal.name
        value["reason"] = reason
        value["change_id"] = uuid.uuid4().hex
        value["written_at"] = audit.format_now()
        return _build_proposal(principal, before, value)

    async def _build_conflict(
        self, base_version: int, current: StoredDocument
    ) -> Conflict:
        base_document = (
            await audit.read_version(self.client, base_version)
            if base_version
            else None
        )
        differences = None
        if current.config is not None and (
            base_document is not None or base_version == 0
        ):
            differences = changes.compare_documents(base_document, current.config)
        return Conflict(base_version, current.config, differences)

    async def accept(self, proposal: Proposal) -> None:
        """Store the change of a proposal.

        :raises Conflict: another change was stored first.
        :raises UnknownEffect: the platform did not confirm the change.
        :raises sardinehold.errors.PlatformUnavailable: the platform does not answer;
            nothing was changed.
        """
        if proposal.before.config is not None:
            await self._archive(proposal.before.config)
        async for _ in _iterate_attempts():
            if await self._try_write(proposal):
                await self._finish_audit(proposal.config)
                return
        raise UnknownEffect(
            "The platform did not confirm whether the change took effect.",
            f"Check the history for version {proposal.config.version} by"
            f" {proposal.config.author} before you repeat the change.",
        )

    async def _archive(self, config: document.Document) -> None:
        async for _ in _iterate_attempts():
            try:
                await audit.archive_version(self.client, config)
                return
            except (errors.PlatformUnavailable, errors.VersionConflict):
                continue
        raise errors.PlatformUnavailable(
            "The platform does not answer; nothing was changed.",
            "Repeat the change when the platform is available.",
        )

    async def _try_write(self, proposal: Proposal) -> bool:
        """Return whether the change took effect, False if that is unknown."""
        value = document.dump_document(proposal.config)
        try:
            if proposal.before.config is None:
                await self.client.create("document", "current", value)
            else:
                revision = proposal.before.revision
                await self.client.update("document", "current", value, revision)
        except errors.VersionConflict:
            # An earlier attempt may have stored this change with its response lost,
            # so that the conflict is with the change itself.
            return await self._confirm_change(proposal)
        except errors.PlatformUnavailable:
            return False
        return True

    async def _confirm_change(self, proposal: Proposal) -> bool:
        proposed = proposal.config
        try:
            current = await self.read_current()
            if current.version > proposed.version:
                archived = await audit.read_version(self.client, proposed.version)
            else:
                archived = current.config
        except errors.PlatformUnavailable:
            return False
        if archived is not None and archived.change_id == proposed.change_id:
            return True
        raise await self._build_conflict(proposal.before.version, current)

    async def _finish_audit(self, config: document.Document) -> None:
        # If this fails, the next change archives this version.
        try:
            await audit.archive_version(self.client, config)
            await audit.prune_versions(self.client, config.version)
        except errors.PlatformError:
            return

    async def request_handover(
        self, principal: operators.Principal, group: str, target: str, reason: str
    ) -> None:
        """Request a planned handover of a group's primary from the supervisor.

        :param target: the endpoint to promote, ``""`` for the replica with the
            highest log position.
        :raises sardinehold.errors.DocumentError: the group or endpoint does not
            exist, or the reason is empty.
        :raises HandoverPending: another handover of the group is in progress.
        :raises UnknownEffect: the platform did not confirm the request.
        """
        operators.require_platform_operator(principal)
        current = await self.read_current()
        _require_endpoint(current.config, group, target, reason)
        request = {
            "target": target,
            "requested_by": principal.name,
            "reason": reason,
            "requested_at": audit.format_now(),
            "change_id": uuid.uuid4().hex,
        }
        await self._create_handover(group, request)
        try:
            await audit.record_handover(self.client, group, request)
        except errors.PlatformError:
            # The request object itself gives its author and reason.
            return

    async def _create_handover(self, group: str, request: dict[str, str]) -> None:
        async for _ in _iterate_attempts():
            try:
                await self.client.create("handover", group, request)
                return
            except errors.VersionConflict:
                await self._check_pending_handover(group, request)
                return
            except errors.PlatformUnavailable:
                continue
        raise UnknownEffect(
            f"The platform did not confirm the handover request for {group}.",
            "Check the group's page before you repeat the request.",
        )

    async def _check_pending_handover(
        self, group: str, request: dict[str, str]
    ) -> None:
        try:
            found = await self.client.get("handover", group)
        except errors.ObjectMissing:
            return
        if found.value["change_id"] == request["change_id"]:
            return
        raise HandoverPending(
            f"A handover of {group} requested by"
            f" {found.value['requested_by']} is under way.",
            "Wait until the group's page shows the new primary.",
        )


class HandoverPending(errors.VersionConflict):
    """Another handover of the group is in progress."""

    code = "SH307"


async def _iterate_attempts() -> typing.AsyncIterator[int]:
    """Yield attempt numbers from 0, with exponential backoff between them."""
    wait = RETRY_SECONDS
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await anyio.sleep(wait)
            wait *= 2
        yield attempt


def _copy_value(before: StoredDocument) -> dict:
    if before.config is None:
        return {"teams": {}, "groups": {}, "routes": {}, "operators": {}}
    return copy.deepcopy(document.dump_document(before.config))


def _build_proposal(
    principal: operators.Principal, before: StoredDocument, value: dict
) -> Proposal:
    config = document.parse_document(value)
    differences = changes.compare_documents(before.config, config)
    operators.require_permission(principal, differences)
    if not differences and before.config is not None:
        raise NothingChanged(
            "The change does not alter the document.",
            "Change a value, or go back without saving.",
        )
    if before.config is not None:
        reinstated = changes.find_reinstated_keys(before.config, config)
        if reinstated:
            raise validation.InvalidDocument(reinstated)
    size = len(json.dumps(value).encode())
    if size > MAX_VALUE_BYTES:
        raise errors.DocumentError(
            f"The document has {size} bytes, the platform accepts {MAX_VALUE_BYTES}.",
            "Remove withdrawn keys, or unused teams and routes.",
        )
    return Proposal(before, config, differences, validation.find_warnings(config))


def _require_endpoint(
    config: document.Document | None, group: str, target: str, reason: str
) -> None:
    known = config.groups.get(group) if config is not None else None
    if known is None:
        raise errors.DocumentError(
            f"The document has no group {group}.", "Name a group of the document."
        )
    names = [endpoint.name for endpoint in known.endpoints]
    if target and target not in names:
        raise errors.DocumentError(
            f"Group {group} has no endpoint {target}.",
            faults.suggest_name(target, names),
        )
    if not reason:
        raise errors.DocumentError(
            "The handover has no reason.", "Give a reason for the audit log."
        )
