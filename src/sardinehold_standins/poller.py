"""Updates the platform's list of groups by polling the endpoints."""

import asyncio
import json
import time

import httpx

from sardinehold_standins import store as stores

TIMEOUT_SECONDS = 0.5
"""Timeout of a status request to an endpoint."""


async def poll_groups(store: stores.Store, period: float) -> None:
    """Refresh role, term and position of all endpoints with a control address.

    An endpoint that does not answer keeps its last known status.

    :param period: seconds between two polls.
    """
    async with httpx.AsyncClient(timeout=TIMEOUT_SECONDS, trust_env=False) as client:
        while True:
            for name, value in read_latest(store.groups).items():
                await refresh_group(client, store, name, value)
            await asyncio.sleep(period)


def read_latest(entries: stores.LaggingList) -> dict[str, dict]:
    """Return the current entries of a list, ignoring its lag."""
    return {entry.name: entry.value for entry in entries.read_latest() if entry.value}


async def refresh_group(
    client: httpx.AsyncClient, store: stores.Store, name: str, value: dict
) -> None:
    """Poll all endpoints of one group and update its entry."""
    endpoints = value["endpoints"]
    statuses = await asyncio.gather(
        *(_read_status(client, endpoint) for endpoint in endpoints.values())
    )
    refreshed = json.loads(json.dumps(value))
    for endpoint, status in zip(endpoints, statuses, strict=True):
        refreshed["endpoints"][endpoint].update(status)
    if refreshed != value:
        store.groups.put(time.monotonic(), name, refreshed)


async def _read_status(client: httpx.AsyncClient, endpoint: dict) -> dict:
    """Return role, term and position of an endpoint, ``{}`` without an answer."""
    control = endpoint.get("control")
    if not control:
        return {}
    try:
        response = await client.get(f"http://{control}/status")
        response.raise_for_status()
        status = response.json()
    except (httpx.HTTPError, ValueError):
        return {}
    return {
        "role": status["role"],
        "term": status["term"],
        "position": status["received"],
    }
