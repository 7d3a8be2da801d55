"""Orders to the platform that one node at a time may give."""

import httpx

from sardinehold import errors
from sardinehold.platform import store

CALL_TIMEOUT = 1.0
"""Seconds that an order may take; it is not repeated under the same token."""


class FailoverClient:
    """Orders changes of primary; implements the node's duty port.

    :param address: host and port of the platform's API.
    """

    def __init__(
        self,
        address: tuple[str, int],
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Prepare the client; it connects on the first call."""
        self._http = store.make_client(address, transport)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.aclose()

    async def promote(self, group: str, endpoint: str, holder: str, token: int) -> None:
        """Make an endpoint primary.

        :raises sardinehold.errors.PlatformUnavailable: no answer came; the
            order may have been taken.
        :raises sardinehold.errors.PlatformError: it was refused.
        """
        headers = {"X-Duty-Holder": holder, "X-Fencing-Token": str(token)}
        body = {"Service": group, "Id": endpoint}
        try:
            answer = await self._http.post(
                "/failover", json=body, headers=headers, timeout=CALL_TIMEOUT
            )
        except httpx.HTTPError as error:
            raise errors.PlatformUnavailable(
                f"The order to promote {endpoint} got no answer: {error!r}.",
                "Look at the endpoint before another order is given.",
            ) from error
        if answer.status_code >= 300:
            raise errors.PlatformError(
                f"The order to promote {endpoint} was refused with status"
                f" {answer.status_code}.",
                "Choose another endpoint, or try again.",
            )
