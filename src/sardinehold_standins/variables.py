"""Session variables: SET, RESET and SHOW."""

REPORTED = {
    "server_version",
    "server_encoding",
    "client_encoding",
    "application_name",
    "datestyle",
    "intervalstyle",
    "timezone",
    "standard_conforming_strings",
}
"""Names in lower case of variables whose changes ParameterStatus reports."""

_DEFAULTS = {
    "transaction_isolation": "read committed",
    "default_transaction_isolation": "read committed",
    "default_transaction_read_only": "off",
    "statement_timeout": "0",
    "search_path": '"$user", public',
    "max_identifier_length": "63",
}


class Variables:
    """The variables of one session.

    A rollback undoes the changes of its transaction; local changes are undone at
    the end of the transaction.
    """

    __slots__ = ("_names", "_defaults", "_values", "_saved", "_local")

    def __init__(self) -> None:
        """Set all variables to their defaults."""
        self._names: dict[str, str] = {}
        self._defaults = dict(_DEFAULTS)
        self._values = dict(_DEFAULTS)
        self._saved: dict[str, str] | None = None
        self._local: dict[str, str | None] = {}

    def start(self, announced: dict[str, str]) -> None:
        """Set the defaults to the parameters reported at the start of the session."""
        self._names = {name.lower(): name for name in announced}
        self._defaults.update({k.lower(): v for k, v in announced.items()})
        self._values = dict(self._defaults)

    def read(self, name: str) -> str | None:
        """Return the value of a variable, None if it does not exist."""
        return self._values.get(name)

    def name(self, name: str) -> str:
        """Return the name of a variable in the case in which it is reported."""
        return self._names.get(name, name)

    def change(self, name: str, value: str, local: bool) -> None:
        """Set a variable; DEFAULT resets it."""
        if local:
            self._local.setdefault(name, self._values.get(name))
        if value.lower() == "default":
            self.reset(name)
        else:
            self._values[name] = value

    def reset(self, name: str) -> None:
        """Reset a variable, or all for ``all``, to the default."""
        if name == "all":
            self._values = dict(self._defaults)
        elif name in self._defaults:
            self._values[name] = self._defaults[name]
        else:
            self._values.pop(name, None)

    def begin(self) -> None:
        """Save the values at the start of a transaction."""
        self._saved = dict(self._values)

    def end(self, committed: bool) -> None:
        """Undo the local changes after a commit, or all changes after a rollback."""
        if self._saved is not None and not committed:
            self._values = self._saved
        for name, value in self._local.items() if committed else ():
            if value is None:
                self._values.pop(name, None)
            else:
                self._values[name] = value
        self._saved = None
        self._local = {}
