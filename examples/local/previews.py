"""Readers on a route with bounded staleness and on a route without a key."""

import asyncio
import bisect
import contextlib
import random
import time

import psycopg
import traffic

PREVIEW_ROUTE = "previews"
OPEN_ROUTE = "public"

MARGIN_SECONDS = 0.25
"""Tolerance on top of the allowed age, for the transit time of an answer."""


class Previewer:
    """A reader of other sessions' writes that checks their age.

    :param team: team whose key is used, ``""`` on the open route.
    :param writers: sessions whose letters are read; empty on the open route.
    :param rate: statements per second.
    """

    def __init__(
        self,
        fleet,
        record: traffic.Record,
        team: str,
        writers: list[traffic.Caller],
        rate: float,
        seed: str,
    ) -> None:
        """Create an unconnected reader."""
        self.fleet = fleet
        self.record = record
        self.team = team
        self.writers = writers
        self.rate = rate
        self.route = PREVIEW_ROUTE if team else OPEN_ROUTE
        self.max_age = fleet.document["routes"][self.route].get("max_age")
        self._generator = random.Random(seed)

    async def run(self, deadline: float) -> None:
        """Read through changing proxies until a deadline on the monotonic clock."""
        while time.monotonic() < deadline:
            proxy = self._generator.choice(list(self.fleet.proxies))
            dsn = self.fleet.format_dsn(proxy, self.route, self.team)
            try:
                async with asyncio.timeout(traffic.ATTEMPT_SECONDS):
                    connection = await psycopg.AsyncConnection.connect(
                        dsn, autocommit=True
                    )
            except (psycopg.Error, TimeoutError):
                await asyncio.sleep(traffic.RETRY_SECONDS)
                continue
            await self._read_on(connection, deadline)
            with contextlib.suppress(psycopg.Error, TimeoutError):
                await asyncio.wait_for(connection.close(), 1.0)

    async def _read_on(
        self, connection: psycopg.AsyncConnection, deadline: float
    ) -> None:
        """Read on one connection until it breaks or a random move to another proxy."""
        while time.monotonic() < deadline and not connection.closed:
            await asyncio.sleep(self._generator.expovariate(self.rate))
            await self._read(connection)
            if self._generator.random() < traffic.ROAM_SHARE:
                return

    async def _read(self, connection: psycopg.AsyncConnection) -> None:
        """Read once, count the statement, and check the age of the result."""
        writer = self._generator.choice(self.writers) if self.writers else None
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(traffic.ATTEMPT_SECONDS):
                if writer is None:
                    await connection.execute("SELECT title FROM page")
                    self._count(None)
                    return
                cursor = await connection.execute(traffic.READ, (writer.name,))
                row = await cursor.fetchone()
        except TimeoutError:
            self._count("timeout")
            connection.pgconn.finish()
            return
        except psycopg.Error as error:
            self._count(error.sqlstate or "lost")
            return
        self._count(None)
        self._check(writer, row[0] if row else 0, sent_at)

    def _count(self, sqlstate: str | None) -> None:
        """Count a statement for the team; the open route is counted as a team."""
        self.record.count(self.team or f"({OPEN_ROUTE})", sqlstate)

    def _check(self, writer: traffic.Caller, seen_number: int, sent_at: float) -> None:
        """Record a read that is older than the route allows."""
        limit = sent_at - self.max_age - MARGIN_SECONDS
        count = bisect.bisect_left(writer.acknowledged_at, limit)
        self.record.aged_reads += 1
        if count and seen_number < writer.acknowledged_numbers[count - 1]:
            expected = writer.acknowledged_numbers[count - 1]
            self.record.too_old.append(
                f"{writer.name}: {seen_number} before {expected}"
            )


def build_previewers(
    fleet, record: traffic.Record, callers: list[traffic.Caller], seed: int
) -> list[Previewer]:
    """Return readers of two teams on the preview route, and one on the open route."""
    group = fleet.document["routes"][PREVIEW_ROUTE]["group"]
    writers = [caller for caller in callers if caller.group == group]
    return [
        Previewer(fleet, record, "print", writers, 10.0, f"{seed}/preview/1"),
        Previewer(fleet, record, "web", writers, 10.0, f"{seed}/preview/2"),
        Previewer(fleet, record, "", [], 20.0, f"{seed}/open"),
    ]
