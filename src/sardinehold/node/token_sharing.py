"""Exchange of tokens between nodes while the allocator does not answer.

A node whose operations wait for tokens, and whose exchange with the allocator is
overdue, asks the pooler of its pool. The decisions are those of
:mod:`sardinehold.node.token_pool`.
"""

import math
import typing

import anyio

from sardinehold.node import clock
from sardinehold.node import pool_messages
from sardinehold.node import sections
from sardinehold.node import token_pool

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

TICK = 0.02
"""Seconds between two checks while tokens are wanted."""

REPEAT_INTERVAL = 0.15
"""Seconds after which a request is repeated if tokens are still wanted."""

POOLER_TIMEOUT = 0.12
"""Seconds after which a pooler that does not answer is avoided: a round trip across
regions, and the time that a busy processor needs."""

AVOID_DELAY = 2.0
"""Seconds for which a pooler that did not answer is not asked."""

LINE_INTERVAL = 1.0
"""Minimum seconds between two log lines about lent tokens."""


class TokenSharing:
    """Asks for tokens of other nodes, gives surplus, and pools them if chosen.

    :param node: the local node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize without requests."""
        self.node = node
        self._pool = token_pool.TokenPool()
        self._due = anyio.Event()
        self._asked_at = -math.inf
        self._asked: dict[str, tuple[int, int]] = {}
        self._target = ""
        self._unanswered_since = math.inf
        self._avoided_until: dict[str, float] = {}
        self._poolers_of = ""
        self._poolers: list[str] = []
        self._members: list[str] = []
        self._offers = 0
        self._loans = 0
        self._loans_seen = token_pool.SeenNumbers()
        self._lent = 0
        self._line_due = -math.inf

    def forget_members(self) -> None:
        """Find the poolers again: members have joined or left."""
        self._poolers_of = ""
        self._poolers = []

    def check_soon(self) -> None:
        """Check whether tokens are wanted: operations began to wait."""
        self._due.set()

    async def run(self) -> None:
        """Ask for tokens and collect them until cancelled."""
        while True:
            if not self._is_active(clock.read()):
                await self._due.wait()
            self._due = anyio.Event()
            self.step(clock.read())
            await anyio.sleep(TICK)

    def _is_active(self, now: float) -> bool:
        return bool(self.node.rate_limiter.list_waiting()) or not self._pool.is_idle()

    def step(self, now: float) -> None:
        """Ask for the tokens that are wanted, and collect those that others want."""
        limiter = self.node.rate_limiter
        exchange = self.node.exchange
        limiter.is_pooling = exchange.is_allocator_late(now)
        is_pooled = sections.has_pool(len(self.node.members))
        if is_pooled and (limiter.is_pooling or exchange.is_leader_new(now)):
            wants = limiter.list_wants(now)
            has_grown = any(
                wanted > self._asked.get(team, (0, 0))[0]
                for team, (wanted, _) in wants.items()
            )
            if wants and (has_grown or now - self._asked_at >= REPEAT_INTERVAL):
                self._ask(wants, now)
        self._collect(now)
        self._lend(now)

    # The borrower's side

    def _ask(self, wants: dict[str, tuple[int, int]], now: float) -> None:
        target = self._choose_pooler(now)
        if not target:
            return
        self._asked_at, self._asked = now, wants
        node = self.node
        want = pool_messages.Want(node.settings.name, node.incarnation, now, wants)
        if target == node.settings.name:
            self._handle_want(want, now)
            return
        self._unanswered_since = min(self._unanswered_since, now)
        self._send(target, want)

    def _choose_pooler(self, now: float) -> str:
        """Return the first pooler that answers, or else the one avoided longest."""
        self._find_members()
        if now - self._unanswered_since > POOLER_TIMEOUT:
            self._avoided_until[self._target] = now + AVOID_DELAY
        usable = (
            name for name in self._poolers if now >= self._avoided_until.get(name, now)
        )
        oldest = min(
            self._poolers,
            key=lambda name: self._avoided_until.get(name, -math.inf),
            default="",
        )
        target = next(usable, oldest)
        if target != self._target or now - self._unanswered_since > POOLER_TIMEOUT:
            self._target = target
            self._unanswered_since = math.inf
        return target

    def _find_members(self) -> None:
        holder = self.node.leadership.holder
        if self._poolers and self._poolers_of == holder:
            return
        self._poolers_of = holder
        name, members = self.node.settings.name, self.node.members
        self._poolers = sections.list_poolers(name, members, holder)
        self._members = [item.name for item in sections.list_pool(name, members)]

    def _handle_loan(self, loan: pool_messages.Loan, now: float) -> None:
        """Add lent tokens; a repeated message is ignored."""
        if loan.recipient != self.node.incarnation or loan.echo > now:
            return
        if not self._loans_seen.add(now, loan.incarnation, loan.number):
            return
        if loan.node == self._target:
            self._unanswered_since = math.inf
        for team, (tokens, lifetime) in loan.teams.items():
            # The pooler read its clock after this node had sent its request.
            lifetime = min(lifetime, token_pool.TOKEN_LIFETIME)
            deadline = loan.echo + lifetime * (1 - clock.RATE_MARGIN)
            self.node.rate_limiter.take_loan(team, tokens, deadline)
        self.node.aggregator.serve_waiting(now)

    # The pooler's side

    def _handle_want(self, want: pool_messages.Want, now: float) -> None:
        borrower = (want.node, want.incarnation)
        request = token_pool.Want(
            borrower, want.sent_at, want.teams, now + token_pool.WANT_LIFETIME
        )
        if not self._pool.add_want(now, request):
            return
        self._collect(now)
        loans = self._pool.serve(now)
        if all(loan.borrower != borrower for loan in loans):
            # An empty loan shows that this node is there.
            loans.append(token_pool.Loan(request))
        self._send_loans(loans, now)
        self._due.set()

    def _collect(self, now: float) -> None:
        """Ask the members for what is missing."""
        self._find_members()
        asked = self._pool.plan_collection(now, len(self._members))
        if not asked:
            return
        own = self.node.settings.name
        collection = pool_messages.Collection(own, self.node.incarnation, now, asked)
        members = self.node.members
        self.node.peers.send_to_all(
            collection.dump(),
            [
                members[name].address
                for name in self._members
                if name != own and name in members
            ],
        )
        self._handle_collection(collection, now)

    def _handle_offer(self, offer: pool_messages.Offer, now: float) -> None:
        if offer.recipient != self.node.incarnation or offer.echo > now:
            return
        # The member gave the tokens after this node had sent its request.
        margin = 1 - clock.RATE_MARGIN
        deadline = offer.echo + token_pool.TOKEN_LIFETIME * margin
        if self._pool.add_offer(
            now, offer.incarnation, offer.number, deadline, offer.teams
        ):
            self._lend(now)

    def _lend(self, now: float) -> None:
        self._send_loans(self._pool.serve(now), now)

    def _send_loans(self, loans: list[token_pool.Loan], now: float) -> None:
        for loan in loans:
            self._loans += 1
            message = pool_messages.Loan(
                self.node.settings.name,
                self.node.incarnation,
                loan.borrower[1],
                loan.echo,
                self._loans,
                loan.tokens,
            )
            self._count_lent(sum(tokens for tokens, _ in loan.tokens.values()), now)
            if loan.borrower[0] == self.node.settings.name:
                self._handle_loan(message, now)
            else:
                self._send(loan.borrower[0], message)

    def _count_lent(self, tokens: int, now: float) -> None:
        self._lent += tokens
        self.node.registry.count("tokens_lent_without_leader", tokens)
        if self._lent and now >= self._line_due:
            self._line_due = now + LINE_INTERVAL
            self.node.journal.note("tokens_lent", tokens=self._lent)
            self._lent = 0

    # The giver's side

    def _handle_collection(
        self, collection: pool_messages.Collection, now: float
    ) -> None:
        """Give the surplus of the static buckets to the pooler."""
        deadline = now + token_pool.TOKEN_LIFETIME
        given = self.node.rate_limiter.give_tokens(collection.teams, now, deadline)
        if not given:
            return
        self._offers += 1
        offer = pool_messages.Offer(
            self.node.settings.name,
            self.node.incarnation,
            collection.incarnation,
            collection.sent_at,
            self._offers,
            given,
        )
        if collection.node == self.node.settings.name:
            self._handle_offer(offer, now)
        else:
            self._send(collection.node, offer)

    # Messages

    def handle_message(self, message: pool_messages.Message) -> None:
        """Handle a message of another node."""
        now = clock.read()
        if isinstance(message, pool_messages.Want):
            self._handle_want(message, now)
        elif isinstance(message, pool_messages.Collection):
            self._handle_collection(message, now)
        elif isinstance(message, pool_messages.Offer):
            self._handle_offer(message, now)
        else:
            self._handle_loan(message, now)

    def _send(self, name: str, message: pool_messages.Message) -> None:
        member = self.node.members.get(name)
        if member is not None:
            self.node.peers.send(message.dump(), member.address)
