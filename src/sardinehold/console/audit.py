"""The audit log: every version of the document with its author and reason.

``audit/<version>`` holds a whole version. It is written before the version is
replaced, so that no version is lost if the console stops between the two calls.
"""

import datetime
import typing

from sardinehold import changes
from sardinehold import document
from sardinehold import errors
from sardinehold import objects

KIND = "audit"
MAX_VERSIONS = 500
"""Versions that are retained; each new version deletes the oldest."""

MAX_HANDOVERS = 50
"""Planned handovers of one group that are retained."""

PAGE_LENGTH = 20
"""Versions on one page of the history."""


class Entry:
    """One version in the history.

    :param config: the document of that version.
    :param differences: changes from the previous version, None if that one is not
        retained.
    """

    __slots__ = ("config", "differences")

    def __init__(
        self, config: document.Document, differences: list[changes.Change] | None
    ) -> None:
        """Initialise the entry."""
        self.config = config
        self.differences = differences


async def archive_version(
    client: objects.ObjectClient, config: document.Document
) -> None:
    """Write this version to the audit log unless it is there already.

    An entry with the same number but another change identifier belongs to a document
    that has since been deleted from the platform; it is replaced.
    """
    value = {"document": document.dump_document(config)}
    name = str(config.version)
    try:
        await client.create(KIND, name, value)
    except errors.VersionConflict:
        found = await client.get(KIND, name)
        if found.value["document"].get("change_id") != config.change_id:
            await client.update(KIND, name, value, found.version)


async def prune_versions(client: objects.ObjectClient, newest: int) -> None:
    """Delete the version that exceeds the retention limit."""
    name = str(newest - MAX_VERSIONS)
    try:
        found = await client.get(KIND, name)
        await client.delete(KIND, name, found.version)
    except (errors.ObjectMissing, errors.VersionConflict):
        return


async def read_version(
    client: objects.ObjectClient, version: int
) -> document.Document | None:
    """Return a version of the document, None if it is not retained."""
    try:
        found = await client.get(KIND, str(version))
    except errors.ObjectMissing:
        return None
    return document.parse_document(found.value["document"], strict=False)


async def read_entry(client: objects.ObjectClient, version: int) -> Entry | None:
    """Return a version with its changes, None if it is not retained."""
    config = await read_version(client, version)
    if config is None:
        return None
    before = await read_version(client, version - 1)
    return _build_entry(config, before)


async def read_entries(client: objects.ObjectClient, newest: int) -> list[Entry]:
    """Return a page of versions, newest first."""
    versions = []
    for version in range(newest, max(0, newest - PAGE_LENGTH - 1), -1):
        versions.append(await read_version(client, version))
    entries = []
    for index, config in enumerate(versions[:PAGE_LENGTH]):
        if config is not None:
            before = versions[index + 1] if index + 1 < len(versions) else None
            entries.append(_build_entry(config, before))
    return entries


def _build_entry(config: document.Document, before: document.Document | None) -> Entry:
    if before is None and config.version > 1:
        return Entry(config, None)
    return Entry(config, changes.compare_documents(before, config))


async def record_handover(
    client: objects.ObjectClient, group: str, request: dict[str, str]
) -> None:
    """Append a planned handover to the audit log of its group."""
    name = f"handover-{group}"
    try:
        found = await client.get(KIND, name)
    except errors.ObjectMissing:
        await client.create(KIND, name, {"entries": [request]})
        return
    entries = [*found.value["entries"], request][-MAX_HANDOVERS:]
    await client.update(KIND, name, {"entries": entries}, found.version)


async def read_handovers(
    client: objects.ObjectClient, group: str
) -> list[dict[str, typing.Any]]:
    """Return the planned handovers of a group, newest first."""
    try:
        found = await client.get(KIND, f"handover-{group}")
    except errors.ObjectMissing:
        return []
    return list(reversed(found.value["entries"]))


def format_now() -> str:
    """Return the current time as ISO 8601 in UTC."""
    now = datetime.datetime.now(datetime.UTC)
    return now.strftime("%Y-%m-%dT%H:%M:%SZ")
