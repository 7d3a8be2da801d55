"""Callers' sessions over a real socket, with a fake engine and endpoint."""

import anyio
import builders_wire as builders
import pytest

from sardinehold import wire
from sardinehold.core import events

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_simple_query_is_answered_byte_for_byte():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        frames = await caller.ask("SELECT 1")
        assert builders.kinds(frames) == "TDCZ"
        assert wire.parse_row(frames[1][1]) == ("SELECT 1",)
