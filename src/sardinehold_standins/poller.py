"""Keeps the platform's list of groups up to date by asking the endpoints."""

import asyncio
import json
import time

import httpx

from sardinehold_standins import store as stores

TIMEOUT_SECONDS = 0.5
"""How long an endpoint may take to answer."""


async def poll_groups(store: stores.Store, period: float) -> None:
    """Refresh role, term and position of all endpoints that state a control URL.

    An endpoint that does not answer keeps what was last known of it.
    """
    async with httpx.AsyncClient(timeout=TIMEOUT_SECONDS, trust_env=False) as client:
        while True:
            for name, value in read_latest(store.groups).items():
                await refresh_group(client, store, name, value)
            await asyncio.sleep(period)


def read_latest(entries: stores.LaggingList) -> dict[str, dict]:
    """Return the entries of a list without its lag."""
    return {entry.name: entry.value for entry in entries.read_latest() if entry.value}


async def refresh_group(
    client: httpx.AsyncClient, store: stores.Store, name: str, value: dict
) -> None:
    """Ask all endpoints of one group."""
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
