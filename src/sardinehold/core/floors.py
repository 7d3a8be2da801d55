"""What a session's reads must not fall behind, across terms.

A read that ran on an endpoint may have seen more than was known of it. Until
a question asked after the answer tells how much, the session's next reads go
to the same endpoint, or to one known to have what that question found.
"""

from sardinehold import errors
from sardinehold.core import groups
from sardinehold.core import node as nodes
from sardinehold.core import positions
from sardinehold.core import tokens

_POSITION_LOST = (
    "A position that this session had seen did not survive a change of primary.",
    "Read again what the session relies on, then repeat the statement.",
)


def refresh(floor: tokens.Floor, group: groups.Group) -> bool:
    """Bring a floor into the group's current term.

    :returns: False if the floor is of a term that this node does not know yet.
    :raises sardinehold.errors.PositionLost: the position was lost; the floor
        starts anew, so this is said once.
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
    """Return the offset at which the current term took over the log."""
    starts = [start.offset for start in group.state.history]
    return starts[-1] if starts else 0


def resolve(floor: tokens.Floor, group: groups.Group) -> None:
    """Replace the endpoint read last by a position that covers the read."""
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


def note_read(floor: tokens.Floor, endpoint: str, now: float) -> bool:
    """Remember where a read ran; return whether the caller needs a new token.

    A token that names the endpoint covers all later reads there.
    """
    floor.endpoint = endpoint
    floor.seen_at = now
    if floor.token_endpoint == endpoint:
        return False
    floor.token_endpoint = endpoint
    return True


def note_write(floor: tokens.Floor, position: positions.Position) -> None:
    """Raise the floor to an acknowledged write.

    The write's position covers earlier reads of its term as well.
    """
    floor.position = max(floor.position, position)
    floor.endpoint = floor.token_endpoint = ""


def make_token(node: nodes.Node, floors: dict[str, tokens.Floor], owner: str) -> str:
    """Return the signed token, ``""`` while there is no key to sign with."""
    keys = node.view.token_keys if node.view else ()
    if not keys:
        return ""
    while len(floors) > tokens.MAX_GROUPS:
        floors.pop(next(iter(floors)))
    return tokens.sign_token(floors, owner, keys[0])
