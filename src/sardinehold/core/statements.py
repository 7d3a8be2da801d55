"""Traits of statements that determine their routing."""

import enum


class Kind(enum.Enum):
    """Kinds of statements that are routed differently."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    RESET = "reset"
    SHOW = "show"
    DEALLOCATE = "deallocate"
    DISCARD = "discard"
    EMPTY = "empty"


class Traits:
    """The traits of one statement text, which may hold several statements.

    :param kind: kind of the statement; WRITE if it cannot be determined, or if
        one of several statements is not a read.
    :param begins: whether it leaves a transaction open that it began.
    :param ends: whether it ends the transaction that was open before it.
    :param reverts: whether it undoes a part of the open transaction.
    :param pins: whether it leaves state on the connection that no other
        session may see (temporary table, advisory lock, LISTEN, cursor).
    :param setting: name of the variable that SET, RESET or SHOW names; what
        DISCARD drops; ``all`` for DEALLOCATE ALL.
    :param value: the value that SET gives, as text; the name that DEALLOCATE gives.
    :param local: whether SET is LOCAL to the transaction.
    :param idempotency_key: the key that a sqlcommenter comment carries.
    :param refusal: reason why the statement is not supported, or ``""``.
    :param commits: whether it contains a COMMIT, whatever follows.
    """

    __slots__ = (
        "kind",
        "begins",
        "ends",
        "reverts",
        "pins",
        "setting",
        "value",
        "local",
        "idempotency_key",
        "refusal",
        "commits",
    )

    def __init__(
        self,
        kind: Kind,
        begins: bool = False,
        ends: bool = False,
        pins: bool = False,
        setting: str = "",
        value: str = "",
        local: bool = False,
        idempotency_key: str = "",
        refusal: str = "",
        reverts: bool = False,
        commits: bool = False,
    ) -> None:
        """Store the traits."""
        self.kind = kind
        self.begins = begins
        self.ends = ends
        self.reverts = reverts
        self.pins = pins
        self.setting = setting
        self.value = value
        self.local = local
        self.idempotency_key = idempotency_key
        self.refusal = refusal
        self.commits = commits

    @property
    def discards_all(self) -> bool:
        """Whether it drops all prepared statements and settings of its session."""
        return self.kind is Kind.DISCARD and self.setting == "all"


_NOT_COMBINABLE = "Settings of sardinehold must be sent in a statement of their own"


def merge_traits(found: list[Traits]) -> Traits:
    """Return the traits of several statements sent as one request."""
    if len(found) == 1:
        return found[0]
    kind = Kind.READ
    is_open = ends = pins = reverts = False
    refusal = ""
    for traits in found:
        if traits.kind is not Kind.READ:
            kind = Kind.WRITE
        if traits.ends:
            ends = ends or not is_open
            is_open = traits.begins
        is_open = is_open or traits.begins
        reverts = reverts or traits.reverts
        pins = pins or traits.pins or _leaves_state(traits)
        refusal = refusal or traits.refusal or _find_misplaced(traits)
    return Traits(
        kind,
        begins=is_open,
        ends=ends,
        pins=pins,
        refusal=refusal,
        reverts=reverts,
        commits=any(traits.commits for traits in found),
    )


def _leaves_state(traits: Traits) -> bool:
    kinds = (Kind.SET, Kind.RESET, Kind.DISCARD)
    return traits.kind in kinds and not traits.local


def _find_misplaced(traits: Traits) -> str:
    return _NOT_COMBINABLE if traits.setting.startswith("sardinehold.") else ""
