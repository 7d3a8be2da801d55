"""Fleet invariants that each agent checks at run time."""

from sardinehold.core import invariants
from sardinehold.core import view as core_view


@invariants.invariant("An accepted configuration never reverts.")
def snapshot_never_reverts(before: int, after: int) -> bool:
    """Return whether a view's version did not decrease."""
    return after >= before


@invariants.invariant("A withdrawn key stops working within seconds.")
def lease_counts_from_the_past(now: float, as_of: float) -> bool:
    """Return whether a lease counts from an instant in the past."""
    return as_of <= now


@invariants.invariant("No write is acknowledged by a primary that was replaced.")
def term_grows_with_each_primary(
    before: core_view.GroupState, after: core_view.GroupState
) -> bool:
    """Return whether the term grows when the primary changes, and never decreases."""
    if after.term < before.term:
        return False
    return after.primary == before.primary or after.term > before.term


@invariants.invariant("A shared role has one holder that acts.")
def role_acts_within_lease(
    now: float, write_deadline: float, named: int, epoch: int
) -> bool:
    """Return whether a holder acts within its lease and in the epoch of the view."""
    return named == epoch and now < write_deadline


@invariants.invariant("No write is acknowledged by a primary that was replaced.")
def promotion_follows_fence(phase: core_view.Phase, fenced: bool) -> bool:
    """Return whether a replica is promoted only after the fence is passed."""
    return phase is core_view.Phase.SEALED and fenced
