"""Example of a session that moves between proxies, a retry, and error outcomes.

Usage: ``python examples/roaming.py KEY [HOST:PORT ...]`` with the key of a team
that ``make up`` prints; the proxies are those of ``make up`` by default.
"""

import sys
import uuid

import psycopg

PROXIES = ["127.0.0.1:6431", "127.0.0.1:6432", "127.0.0.1:6433"]
ATTEMPTS = 3
SAFE_TO_RETRY = "outcome: not run"


class Session:
    """A session that is resumed on any proxy by its token.

    :param key: API key of the team.
    :param route: name of the route, used as the database name.
    """

    def __init__(self, key: str, route: str) -> None:
        """Create a new, unconnected session."""
        self.key = key
        self.route = route
        self.token = ""
        self.connection: psycopg.Connection | None = None

    def move_to(self, proxy: str) -> None:
        """Resume the session on another proxy."""
        self.close()
        host, port = proxy.split(":")
        options = f"-c sardinehold.session={self.token}" if self.token else ""
        self.connection = psycopg.connect(
            host=host,
            port=port,
            dbname=self.route,
            user="example",
            password=self.key,
            options=options,
            autocommit=True,
        )

    def close(self) -> None:
        """Store the token and close the connection."""
        if self.connection is not None:
            self.keep_token()
            self.connection.close()

    def keep_token(self) -> None:
        """Store the token of the latest answer."""
        token = self.connection.info.parameter_status("sardinehold.session")
        self.token = token or self.token

    def execute(self, query: str, parameters: tuple = ()) -> psycopg.Cursor:
        """Run a statement and store the token of its answer."""
        cursor = self.connection.execute(query, parameters)
        self.keep_token()
        return cursor

    def execute_idempotent(self, query: str, parameters: tuple) -> psycopg.Cursor:
        """Run an idempotent statement, with retries.

        The comment with the idempotency key allows the proxy to retry it; this
        method also retries it after a lost connection.
        """
        marked = f"{query} /*idempotency_key='{uuid.uuid4()}'*/"
        for _ in range(ATTEMPTS - 1):
            try:
                return self.execute(marked, parameters)
            except psycopg.OperationalError as error:
                print(f"retrying: {error}; {parse_outcome(error)}")
        return self.execute(marked, parameters)


def parse_outcome(error: psycopg.Error) -> str:
    """Return a failed statement's effect as reported by the proxy."""
    return error.diag.message_detail or "outcome: unknown"


def main(arguments: list[str]) -> int:
    """Run the example and return the exit code."""
    if not arguments:
        print(__doc__, file=sys.stderr)
        return 2
    proxies = arguments[1:] or PROXIES
    session = Session(arguments[0], "letters")
    letter = str(uuid.uuid4())

    session.move_to(proxies[0])
    session.execute("INSERT INTO letter (id, body) VALUES (%s, 'draft')", (letter,))
    for proxy in proxies[1:]:
        session.move_to(proxy)
        row = session.execute("SELECT body FROM letter WHERE id = %s", (letter,))
        print(f"{proxy} shows the session's own write: {row.fetchone()[0]}")

    session.execute_idempotent(
        "UPDATE letter SET body = %s WHERE id = %s", ("trimmed", letter)
    )
    row = session.execute("SELECT body FROM letter WHERE id = %s", (letter,))
    print(f"after an idempotent update: {row.fetchone()[0]}")

    try:
        session.execute("COPY letter TO STDOUT")
    except psycopg.Error as error:
        outcome = parse_outcome(error)
        print(f"refused with {error.sqlstate}: {outcome}")
        print(f"  safe to send again: {SAFE_TO_RETRY in outcome}")
        print(f"  hint: {error.diag.message_hint}")
    session.close()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
