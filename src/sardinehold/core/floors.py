"""Read floors of sessions: positions below which their reads must not fall.

A read may have seen a later position than the last one that the endpoint
reported to this node.
Until a probe sent after the answer returns a position that covers the read,
the session's next reads go to the same endpoint; afterwards, to any endpoint
known to have reached that position. Floors are translated across terms.
"""

from sardinehold import errors
from sardinehold.core import groups
from sardinehold.core import node as nodes
from sardinehold.core import positions
from sardinehold.core import tokens

_POSITION_LOST = (
    "A position that this session had seen was lost in a change of primary.",
    "Read again the data that the session depends on, then repeat the statement.",
)


def translate(floor: tokens.Floor, group: groups.Group) -> bool:
    """Translate a floor into the group's current term.

    :returns: False if the floor's term is not known to this node yet.
    :raises sardinehold.errors.PositionLost: the position was lost; the floor
        is reset, so that the error is raised once.
    """
    state = group.state
    if state is None:
        return False
    position = floor.position
    if position.term == state.term:
        return True
    if position.term > state.term:
        return False
    translated = state.translate(position)
    if translated is None:
        floor.position = positions.Position(state.term, 0)
        floor.endpoint = floor.token_endpoint = ""
        raise errors.PositionLost(*_POSITION_LOST)
    if floor.endpoint:
        start = _find_start(group)
        translated = positions.Position(state.term, max(translated.offset, start))
        floor.endpoint = ""
    floor.token_endpoint = ""
    floor.position = translated
    return True


def _find_start(group: groups.Group) -> int:
    """Return the log offset at which the current term started."""
    starts = [start.offset for start in group.state.history]
    return starts[-1] if starts else 0


def resolve(floor: tokens.Floor, group: groups.Group) -> None:
    """Replace the floor's endpoint by a position that covers its last read.

    The floor is unchanged while no probe was sent after that read.
    """
    endpoint = group.endpoints.get(floor.endpoint)
    found = None
    if endpoint is not None:
        found = endpoint.samples.find_offset_after(floor.seen_at)
    if found is None and group.primary is not None:
        found = group.primary.samples.find_offset_after(floor.seen_at)
    if found is None:
        return
    offset = max(floor.position.offset, found)
    floor.position = positions.Position(floor.position.term, offset)
    floor.endpoint = ""


def record_read(floor: tokens.Floor, endpoint: str, now: float) -> bool:
    """Record the endpoint of a read; return whether the caller needs a new token.

    A token that names the endpoint covers all later reads there.
    """
    floor.endpoint = endpoint
    floor.seen_at = now
    if floor.token_endpoint == endpoint:
        return False
    floor.token_endpoint = endpoint
    return True


def record_write(floor: tokens.Floor, position: positions.Position) -> None:
    """Raise the floor to the position of an acknowledged write.

    That position also covers earlier reads of its term.
    """
    floor.position = max(floor.position, position)
    floor.endpoint = floor.token_endpoint = ""


def make_token(node: nodes.Node, floors: dict[str, tokens.Floor], owner: str) -> str:
    """Return the signed session token, ``""`` while there is no signing key."""
    keys = node.view.token_keys if node.view else ()
    if not keys:
        return ""
    while len(floors) > tokens.MAX_GROUPS:
        floors.pop(next(iter(floors)))
    return tokens.sign_token(floors, owner, keys[0])
