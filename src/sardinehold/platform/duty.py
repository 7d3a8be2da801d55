"""Orders to the platform that one node at a time may give."""

import httpx

from sardinehold import errors

CALL_TIMEOUT = 1.0
"""Seconds that an order may take; it is not repeated under the same token."""


class DutyClient:
    """Orders changes of primary; implements the node's duty port.

    :param address: host and port of the platform's API.
    """

    def __init__(
        self,
        address: tuple[str, int],
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Prepare the client; it connects on the first call."""
        self._http = httpx.AsyncClient(
            base_url=f"http://{address[0]}:{address[1]}",
            verify=False,  # noqa: S501 - plain HTTP, no context needed
            trust_env=False,
            transport=transport,
            timeout=CALL_TIMEOUT,
        )

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
            answer = await self._http.post("/failover", json=body, headers=headers)
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
