"""Authentication and authorization of operators."""

import pathlib

from sardinehold import changes
from sardinehold import document
from sardinehold import errors
from sardinehold import keys

BOOTSTRAP_NAME = "bootstrap"
"""Name in the audit log of an operator who signs in with the bootstrap key."""

_DUMMY_KEY = document.Key("", "0" * 16, "0" * 64)
"""Verified if a key is unknown, so that known and unknown prefixes take the same
time."""


class Forbidden(errors.SardineholdError):
    """The operator's role or team does not allow this."""

    code = "SH402"


class Principal:
    """An authenticated operator.

    :param name: name in the audit log.
    :param role: whether the operator may make changes.
    :param team: the only team that the operator may see and change, ``""`` for all.
    """

    __slots__ = ("name", "role", "team")

    def __init__(self, name: str, role: document.Role, team: str = "") -> None:
        """Store the fields of the principal."""
        self.name = name
        self.role = role
        self.team = team

    @property
    def may_change(self) -> bool:
        """Whether the operator may make changes at all."""
        return self.role is document.Role.OPERATE

    @property
    def sees_all(self) -> bool:
        """Whether the operator may see every team, group and operator."""
        return not self.team

    def may_see(self, path: str) -> bool:
        """Return whether the operator may see the value at a path of the document."""
        return self.sees_all or _is_inside(path, f"teams.{self.team}")

    def may_edit(self, path: str) -> bool:
        """Return whether the operator may change the value at a path of the document.

        An operator of one team may change its keys. Rate, burst and weight
        divide resources that all teams share, so only a platform operator may
        change them.
        """
        if not self.may_change:
            return False
        return self.sees_all or _is_inside(path, f"teams.{self.team}.keys")


def _is_inside(path: str, root: str) -> bool:
    return path == root or path.startswith(root + ".")


def require_platform_operator(principal: Principal) -> None:
    """Raise :class:`Forbidden` unless the operator may change the whole platform."""
    if not (principal.may_change and principal.sees_all):
        raise Forbidden(
            f"{principal.name} may not change the platform.",
            "Ask an operator with role operate for all teams.",
        )


def require_permission(principal: Principal, proposed: list[changes.Change]) -> None:
    """Raise :class:`Forbidden` if the operator may not make one of the changes."""
    if not principal.may_change:
        raise Forbidden(
            f"{principal.name} has role view and may not change anything.",
            "Ask an operator with role operate.",
        )
    denied_paths = [
        change.path for change in proposed if not principal.may_edit(change.path)
    ]
    if denied_paths:
        shown = [path for path in denied_paths if principal.may_see(path)]
        what = ", ".join(shown[:5]) or "values outside the operator's team"
        raise Forbidden(
            f"{principal.name} may not change {what}.",
            "Ask an operator with role operate for all teams.",
        )


def authenticate(
    config: document.Document | None, bootstrap: str, text: str
) -> Principal | None:
    """Return the operator whose key is ``text``, None if the key is not valid.

    :param bootstrap: the bootstrap key of the console's settings, ``""`` for none.
    """
    if bootstrap and keys.equals_in_constant_time(bootstrap, text):
        return Principal(BOOTSTRAP_NAME, document.Role.OPERATE)
    prefix = keys.parse_prefix(text)
    owner = None
    if config is not None:
        owner = next(
            (o for o in config.operators.values() if o.key.prefix == prefix), None
        )
    record = owner.key if owner is not None else _DUMMY_KEY
    if not keys.verify_key(record, text) or owner is None or record.withdrawn:
        return None
    return Principal(owner.name, owner.role, owner.team)


def find_principal(
    config: document.Document | None, bootstrap: str, name: str, prefix: str
) -> Principal | None:
    """Return the operator of an earlier sign-in, None if the key is no longer valid."""
    if name == BOOTSTRAP_NAME and bootstrap and keys.parse_prefix(bootstrap) == prefix:
        return Principal(BOOTSTRAP_NAME, document.Role.OPERATE)
    operator = config.operators.get(name) if config is not None else None
    if operator is None or operator.key.prefix != prefix or operator.key.withdrawn:
        return None
    return Principal(name, operator.role, operator.team)


def read_bootstrap(path: str) -> str:
    """Return the key in the file ``path``, ``""`` for no file.

    :raises sardinehold.errors.SettingsError: the file does not contain a key.
    """
    if not path:
        return ""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError):
        text = ""
    if not keys.parse_prefix(text):
        raise errors.SettingsError(
            f"The file {path} of [console] bootstrap_key does not contain a key.",
            "Write the first line of `sardinehold keys new` into it.",
        )
    return text


def require_platform_visibility(principal: Principal) -> None:
    """Raise :class:`Forbidden` unless the operator may see the whole platform."""
    if not principal.sees_all:
        raise Forbidden(
            f"{principal.name} may see team {principal.team} only.",
            "Ask an operator for all teams.",
        )
