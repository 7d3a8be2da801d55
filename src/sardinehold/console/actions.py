"""Operations shared by forms and API: propose and accept edits, read the history."""

from sardinehold import document
from sardinehold import errors
from sardinehold import operators
from sardinehold.console import audit
from sardinehold.console import context
from sardinehold.console import document_edits
from sardinehold.console import edits
from sardinehold.console import restriction
from sardinehold.console import route_edits
from sardinehold.console import store
from sardinehold.console import team_edits

# Importing these modules registers their edits.
EDIT_MODULES = (team_edits, route_edits, document_edits)


class EditResult:
    """A proposal and the key that its edit generated.

    :param secret: text of the key, to show once after the change; ``""`` for none.
    """

    __slots__ = ("proposal", "secret")

    def __init__(self, proposal: store.Proposal, secret: str) -> None:
        """Initialise the result."""
        self.proposal = proposal
        self.secret = secret


async def propose_edit(
    ctx: context.RequestContext,
    edit: edits.Edit,
    base_version: int,
    fields: dict,
    reason: str,
) -> EditResult:
    """Validate an edit on version ``base_version`` without storing it.

    :raises sardinehold.errors.SardineholdError: the edit is invalid, forbidden or in
        conflict with another change.
    """
    require_edit_access(ctx, edit, str(fields.get("team", "")))
    fields = await _load_earlier_version(ctx, edit, fields)
    drafts: list[edits.Draft] = []

    def apply(value: dict) -> None:
        draft = edits.Draft(value)
        edit.apply(draft, fields)
        drafts.append(draft)

    try:
        proposal = await ctx.console.store.propose(
            ctx.principal, base_version, reason.strip(), apply
        )
    except store.Conflict as conflict:
        conflict.differences = restriction.restrict_changes(
            conflict.differences, ctx.principal
        )
        raise
    proposal.warnings = [
        fault for fault in proposal.warnings if ctx.principal.may_see(fault.path)
    ]
    return EditResult(proposal, drafts[0].secret)


def require_edit_access(
    ctx: context.RequestContext, edit: edits.Edit, team: str
) -> None:
    """Raise :class:`sardinehold.operators.Forbidden` for an edit without permission.

    The final permission check is on the changes that an edit makes. This check comes
    first, so that neither a form nor a fault discloses data of other teams.
    """
    principal = ctx.principal
    if not principal.may_change:
        raise operators.Forbidden(
            f"{principal.name} has role view and may not change anything.",
            "Ask an operator with role operate.",
        )
    if not principal.sees_all and not edit.name.startswith("key."):
        raise operators.Forbidden(
            f"{principal.name} manages the keys of team {principal.team} only.",
            "Ask an operator for all teams.",
        )
    ctx.require_visibility(f"teams.{team}")


async def _load_earlier_version(
    ctx: context.RequestContext, edit: edits.Edit, fields: dict
) -> dict:
    if edit.name != "document.restore":
        return fields
    text = str(fields["version"])
    version = int(text) if text.isdecimal() else 0
    earlier = await audit.read_version(ctx.console.store.client, version)
    if earlier is None:
        raise _build_missing_version_error(text)
    return {**fields, "content": document.dump_document(earlier)}


def _build_missing_version_error(version: int | str) -> errors.ObjectMissing:
    return errors.ObjectMissing(
        f"The history has no version {version}.", "Choose a listed version."
    )


async def accept_edit(
    ctx: context.RequestContext, edit: edits.Edit, result: EditResult
) -> None:
    """Store a proposed change and record it in the timeline."""
    try:
        await ctx.console.store.accept(result.proposal)
    except store.Conflict as conflict:
        conflict.differences = restriction.restrict_changes(
            conflict.differences, ctx.principal
        )
        raise
    ctx.console.recorder.record(
        "document_accepted",
        document_version=result.proposal.config.version,
        operator=ctx.principal.name,
        edit=edit.name,
    )


async def read_entry(ctx: context.RequestContext, version: int) -> audit.Entry:
    """Return a version of the history with the changes visible to the operator.

    :raises sardinehold.errors.ObjectMissing: the version is not retained, or none of
        its changes is visible.
    """
    entry = await audit.read_entry(ctx.console.store.client, version)
    visible = restriction.restrict_entries([entry] if entry else [], ctx.principal)
    if not visible:
        raise _build_missing_version_error(version)
    return visible[0]


async def request_handover(
    ctx: context.RequestContext, group: str, target: str, reason: str
) -> None:
    """Request a planned handover and record it in the timeline."""
    await ctx.console.store.request_handover(
        ctx.principal, group, target, reason.strip()
    )
    ctx.console.recorder.record(
        "handover_requested",
        group=group,
        target=target,
        operator=ctx.principal.name,
    )
