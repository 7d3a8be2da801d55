"""Client of the platform's failover API, used by the leading node only."""

import httpx

from sardinehold import errors
from sardinehold.platform import store

CALL_TIMEOUT = 1.0
"""Seconds that a call may take; it is not retried with the same fencing token."""


class FailoverClient:
    """Requests changes of primary; implements the node's port for promotions.

    :param address: host and port of the platform's API.
    """

    def __init__(
        self,
        address: tuple[str, int],
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Create the client; it connects on the first call."""
        self._http = store.make_client(address, transport)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def promote(self, group: str, endpoint: str, holder: str, token: int) -> None:
        """Promote an endpoint to primary.

        :param holder: name of the node that leads.
        :param token: fencing token, used for this call only.
        :raises sardinehold.errors.PlatformUnavailable: no answer came; the
            promotion may have been executed.
        :raises sardinehold.errors.PlatformError: the platform refused.
        """
        headers = {"X-Duty-Holder": holder, "X-Fencing-Token": str(token)}
        body = {"Service": group, "Id": endpoint}
        try:
            answer = await self._http.post(
                "/failover", json=body, headers=headers, timeout=CALL_TIMEOUT
            )
        except httpx.HTTPError as error:
            raise errors.PlatformUnavailable(
                f"The request to promote {endpoint} got no answer: {error!r}.",
                "Check the endpoint's role before another promotion is requested.",
            ) from error
        if answer.status_code >= 300:
            raise errors.PlatformError(
                f"The request to promote {endpoint} was refused with status"
                f" {answer.status_code}.",
                "Choose another endpoint, or retry.",
            )
