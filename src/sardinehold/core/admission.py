"""Admission control: each request needs a token of its team's rate limit."""

from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import balance as balances
from sardinehold.core import deadlines
from sardinehold.core import events
from sardinehold.core import handlers
from sardinehold.core import node as nodes
from sardinehold.core import pool
from sardinehold.core import request as requests
from sardinehold.core import routing
from sardinehold.core import statements
from sardinehold.core import variables

MAX_WAITING = 512
"""Maximum number of requests of one team that wait for tokens."""

WAIT_SHARE = 0.5
"""Fraction of the time to its deadline that a request may wait for a token."""

_REWRITE_REMEDY = "Write it with other statements, such as INSERT in place of COPY."

GRANT_RATE_MIN_WAIT = 0.5
"""Seconds the oldest request must have waited before the grant rate is used.

Only then is the current demand part of the rate at which tokens are granted.
"""

_READ = statements.Kind.READ
_LOCAL = frozenset(
    [
        statements.Kind.SET,
        statements.Kind.RESET,
        statements.Kind.SHOW,
        statements.Kind.DEALLOCATE,
        statements.Kind.DISCARD,
    ]
)


@handlers.handles(events.RequestArrived)
def accept(node: nodes.Node, event: events.RequestArrived) -> None:
    """Accept a request and fix its deadline."""
    session = node.sessions.get(event.session_id)
    if session is None:
        node.count("requests_without_session")
        return
    request = requests.Request(event, session, node.now)
    node.requests[request.request_id] = request
    session.request = request
    traits = event.traits
    if traits.refusal:
        error = errors.Unsupported(f"{traits.refusal}.", _REWRITE_REMEDY)
        requests.refuse(node, request, error)
        return
    try:
        if (
            traits.kind is not _READ
            and traits.kind in _LOCAL
            and variables.answer_locally(node, request)
        ):
            return
    except errors.Unsupported as error:
        requests.refuse(node, request, error)
        return
    if not request.is_read:
        _mark_idempotent(session, request)
    node.timers.set_shared(request.deadline, expire, request.request_id)
    balance = session.balance
    balance.record_arrival()
    if not balance.is_reviewed:
        start_review(node, balance)
    if balance.waiting or not balance.take(node.now):
        _queue_for_token(node, request, balance)
        return
    request.has_token = True
    if not balance.is_report_scheduled:
        _schedule_report(node, balance)
    if balance.tokens < balance.low_watermark:
        request_tokens(node, balance)
    routing.route(node, request)


def _mark_idempotent(session: object, request: requests.Request) -> None:
    """Mark a write with an idempotency key as retryable.

    A key from SET applies to the next write only.
    """
    key = request.traits.idempotency_key or session.idempotency_key
    if key and not request.in_transaction and not request.traits.begins:
        request.is_retryable = True
        session.idempotency_key = ""


def _queue_for_token(
    node: nodes.Node, request: requests.Request, balance: balances.Balance
) -> None:
    """Queue a request for a token, or refuse it if the wait would be too long."""
    limit = WAIT_SHARE * (request.deadline - node.now)
    expected = _predict_wait(node, balance)
    if len(balance.waiting) >= MAX_WAITING or expected > limit:
        requests.refuse(node, request, _make_rate_error(balance, expected))
        return
    request.advance("queue")
    request.wait_deadline = node.now + limit
    balance.waiting.append(request)
    node.timers.set_shared(request.wait_deadline, _refuse_overdue, request.request_id)
    request_tokens(node, balance)


def _predict_wait(node: nodes.Node, balance: balances.Balance) -> float:
    """Return the seconds that a new request would wait for a token.

    The grant rate does not reflect demand that has just moved to this node.
    It is used only after the oldest request has waited long enough to have
    influenced it, and never below this node's equal part of the team's rate.
    """
    if not balance.waiting or balance.grant_rate <= 0:
        return 0.0
    if node.now - balance.waiting[0].accepted_at < GRANT_RATE_MIN_WAIT:
        return 0.0
    equal_part = _find_limits(node, balance.owner)[0] / pool.count_members(node)
    return len(balance.waiting) / max(balance.grant_rate, equal_part)


def _refuse_overdue(node: nodes.Node, request_ids: list[int]) -> None:
    """Refuse requests whose wait for a token exceeded its limit."""
    for request_id in request_ids:
        request = node.requests.get(request_id)
        if request is None or request.has_token or not request.is_waiting():
            continue
        balance = request.session.balance
        expected = (
            len(balance.waiting) / balance.grant_rate if balance.grant_rate else 0.0
        )
        requests.refuse(node, request, _make_rate_error(balance, expected))


def _make_rate_error(balance: balances.Balance, expected: float) -> errors.RequestError:
    return errors.RateExceeded(
        f"{balance.owner} has exhausted its rate and burst;"
        f" the expected wait is {expected:.2f} s.",
        f"Send fewer statements; repeat this one after {max(expected, 1.0):.0f} s.",
    )


def find_balance(node: nodes.Node, owner: str) -> balances.Balance:
    """Return the owner's balance, created on first use."""
    balance = node.balances.get(owner)
    if balance is None:
        balance = node.balances[owner] = balances.Balance(owner, node.now)
    return balance


def start_review(node: nodes.Node, balance: balances.Balance) -> None:
    """Start periodic reviews of the demand, and request tokens."""
    balance.is_reviewed = True
    request_tokens(node, balance)
    _review_at(node, balance, node.now + balances.IDLE_TIMEOUT)


def _review_at(node: nodes.Node, balance: balances.Balance, time: float) -> None:
    """Schedule a review of a balance, batched with reviews of others."""
    step = balances.REVIEW_STEP
    node.timers.set_shared(time, _review_batch, balance, step)


def _review_batch(node: nodes.Node, batch: list[balances.Balance]) -> None:
    for balance in batch:
        _review(node, balance)


def _review(node: nodes.Node, balance: balances.Balance) -> None:
    """Request tokens before they are needed; return the surplus."""
    balance.review(node.now)
    _drop_ended(balance)
    if balance.is_idle():
        balance.is_reviewed = False
        return
    target = balance.find_target()
    if balance.tokens < target:
        request_tokens(node, balance)
    elif balance.spent_total != balance.spent_reported:
        report_balance(node, balance, 0)
    elif balance.is_return_due(node.now):
        return_tokens(node, balance, balance.tokens)
    elif balance.tokens > 2 * target + balances.FIRST_REQUEST:
        return_tokens(node, balance, balance.tokens - 2 * target)
    _review_at(node, balance, node.now + balance.find_interval())


def _drop_ended(balance: balances.Balance) -> None:
    """Remove requests that were refused while they waited."""
    waiting = balance.waiting
    while waiting and not waiting[0].is_waiting():
        waiting.popleft()


def request_tokens(node: nodes.Node, balance: balances.Balance) -> None:
    """Request the tokens that the demand needs.

    Requests to the allocator are at least ``REQUEST_INTERVAL`` apart; a
    request that comes too early is scheduled for later.
    """
    next_at = balance.requested_at + balances.REQUEST_INTERVAL
    if node.now < next_at:
        if balance.waiting and not balance.is_request_scheduled:
            balance.is_request_scheduled = True
            node.timers.set(next_at, _repeat_request, balance)
        return
    prefetch = _find_prefetch(node, balance.owner)
    wanted = max(balance.find_target(), prefetch) - balance.tokens
    if wanted > 0:
        balance.requested_at = node.now
        report_balance(node, balance, wanted)


def _find_prefetch(node: nodes.Node, owner: str) -> int:
    """Return the number of tokens to request before there is demand.

    The prefetched tokens of all members together stay within the owner's
    burst, since unused tokens on one node are missing on the others.
    """
    share = _find_limits(node, owner)[1] // pool.count_members(node)
    return max(1, min(balances.FIRST_REQUEST, share))


def _find_limits(node: nodes.Node, owner: str) -> tuple[float, int]:
    """Return rate and burst of a team or an open route."""
    content = node.view.document
    holder = content.teams.get(owner) or content.routes.get(
        owner.removeprefix(balances.ROUTE_PREFIX)
    )
    return (holder.rate, holder.burst) if holder else (0.0, 0)


def report_balance(node: nodes.Node, balance: balances.Balance, wanted: int) -> None:
    """Report the remaining tokens to the allocator and request ``wanted`` more."""
    balance.spent_reported = balance.spent_total
    node.actions.append(actions.RequestTokens(balance.owner, wanted, balance.tokens))


def _schedule_report(node: nodes.Node, balance: balances.Balance) -> None:
    """Schedule a report of spent tokens, so that the allocator's bucket refills."""
    balance.is_report_scheduled = True
    time = node.now + balances.REPORT_INTERVAL
    node.timers.set_shared(time, _report_batch, balance, balances.REVIEW_STEP)


def _report_batch(node: nodes.Node, batch: list[balances.Balance]) -> None:
    for balance in batch:
        balance.is_report_scheduled = False
        if balance.spent_total != balance.spent_reported:
            report_balance(node, balance, 0)


def _repeat_request(node: nodes.Node, balance: balances.Balance) -> None:
    """Request tokens again if requests still wait."""
    balance.is_request_scheduled = False
    if balance.waiting:
        request_tokens(node, balance)


def return_tokens(node: nodes.Node, balance: balances.Balance, tokens: int) -> None:
    """Return tokens that are not needed to the allocator."""
    taken = balance.withdraw(tokens)
    if taken:
        node.actions.append(actions.ReturnTokens(balance.owner, taken, balance.tokens))


@handlers.handles(events.TokensGranted)
def handle_grant(node: nodes.Node, event: events.TokensGranted) -> None:
    """Add granted tokens and route the waiting requests that they admit."""
    balance = find_balance(node, event.team)
    if event.deadline < node.now:
        return
    balance.grant(event.tokens, event.deadline)
    waiting = balance.waiting
    while waiting:
        request = waiting[0]
        if not request.is_waiting() or request.has_token:
            waiting.popleft()
            continue
        if not balance.take(node.now):
            break
        waiting.popleft()
        request.has_token = True
        if not balance.is_report_scheduled:
            _schedule_report(node, balance)
        routing.route(node, request)
    if not balance.is_reviewed:
        start_review(node, balance)


def expire(node: nodes.Node, request_ids: list[int]) -> None:
    """End the requests whose deadline has passed, if they have not ended."""
    for request_id in request_ids:
        request = node.requests.get(request_id)
        if request is not None:
            deadlines.end(node, request)
