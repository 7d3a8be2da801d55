"""Tokens that a node lends out of its grants: moved, never copied."""

import random

import pytest

import builders_quota
from sardinehold.core import balance as balances
from sardinehold.core import lending
from sardinehold.core import quota

NOW = 100.0


@pytest.fixture
def lender():
    """Return a lender with six tokens that are valid for a second."""
    lender = lending.Lender(balances.Balance("desk", NOW))
    lender.balance.grant(6, NOW + 1.0)
    return lender


def make_usage(left=0, returned=0, wanted=0, received=1):
    return quota.Usage("desk", left, returned, wanted, received)


def test_lent_tokens_leave_the_balance_and_stay_outstanding(lender):
    assert lender.lend(NOW, "a", 1, 4) == 4
    assert lender.balance.tokens == 2
    assert lender.count_outstanding(NOW) == 4
    assert lender.lend(NOW, "b", 1, 4) == 2
    assert lender.lend(NOW, "c", 1, 1) == 0


def test_spent_tokens_stop_to_be_outstanding(lender):
    lender.lend(NOW, "a", 1, 4)
    lender.settle(NOW, "a", make_usage(left=1))
    assert lender.count_outstanding(NOW) == 1
    assert lender.balance.tokens == 2


def test_returned_tokens_keep_their_deadline(lender):
    lender.lend(NOW, "a", 1, 4)
    lender.settle(NOW + 0.5, "a", make_usage(left=1, returned=2))
    assert lender.balance.tokens == 4
    assert lender.count_outstanding(NOW + 0.5) == 1
    lender.balance.drop_expired(NOW + 1.01)
    assert lender.balance.tokens == 0


def test_tokens_of_another_lender_are_outstanding_but_not_taken_back(lender):
    lender.settle(NOW, "a", make_usage(left=3, returned=2))
    assert lender.balance.tokens == 6
    assert lender.count_outstanding(NOW) == 3
    assert lender.count_outstanding(NOW + quota.GRANT_LIFETIME) == 0


@pytest.mark.parametrize(
    ("received", "left"), [(0, 6), (1, 2), (quota.UNKNOWN_GRANT, 2)]
)
def test_only_a_grant_that_surely_was_lost_is_taken_back(lender, received, left):
    lender.lend(NOW, "a", 1, 4)
    lender.settle(NOW, "a", make_usage(left=4, received=received))
    assert lender.balance.tokens == left


def test_loans_expire_with_their_grant(lender):
    lender.lend(NOW, "a", 1, 4)
    assert lender.count_outstanding(NOW + 0.99) == 4
    assert lender.count_outstanding(NOW + 1.0) == 0
    lender.settle(NOW + 1.0, "a", make_usage(returned=4))
    assert lender.balance.tokens == 2


def test_tokens_that_are_about_to_expire_are_not_lent(lender):
    assert lender.lend(NOW + 0.96, "a", 1, 4) == 0


def test_parts_of_a_grant_are_valid_until_the_first_of_them_expires(lender):
    lender.balance.grant(2, NOW + 0.5)
    assert lender.lend(NOW, "a", 1, 7) == 7
    assert lender.find_lifetime(NOW, "a") == pytest.approx(0.5)
    assert lender.count_outstanding(NOW + 0.49) == 7
    assert lender.count_outstanding(NOW + 0.5) == 0


def test_request_is_served_when_tokens_arrive(lender):
    request = lending.Request("a", 3, [make_usage(wanted=8)], NOW + 0.1)
    lenders = {"desk": lender}
    request.serve(NOW, lenders)
    assert request.list_missing(lenders) == ["desk"]
    (grant,) = request.make_grants(NOW, lenders)
    assert (grant.grant_id, grant.tokens) == (3, 6)
    assert request.make_grants(NOW, lenders) == []
    lender.balance.grant(5, NOW + 1.0)
    request.serve(NOW, lenders)
    assert not request.list_missing(lenders)
    (grant,) = request.make_grants(NOW, lenders)
    assert (grant.grant_id, grant.tokens) == (3, 2)
    assert lender.count_outstanding(NOW) == 8


def test_request_for_an_unknown_team_does_not_wait():
    request = lending.Request("a", 3, [make_usage(wanted=8)], NOW + 0.1)
    request.serve(NOW, {})
    assert not request.list_missing({})
    assert request.make_grants(NOW, {}) == []


class Borrower(builders_quota.Balance):
    """A node that spends tokens of one lender or another."""

    __slots__ = ("lender_name",)

    def __init__(self, name):
        super().__init__(name)
        self.lender_name = ""

    def ask(self, now, name, lender, wanted, returned, is_lost):
        """Exchange with a lender; a lost answer leaves its tokens unused."""
        if name != self.lender_name:
            self.received = quota.UNKNOWN_GRANT
        self.lender_name = name
        usage = self.build_usage(now, wanted, returned)
        lender.settle(now, self.name, usage)
        request = lending.Request(self.name, self.sequence, [usage], now)
        request.serve(now, {"desk": lender})
        for grant in request.make_grants(now, {"desk": lender}):
            if not is_lost:
                self.accept(now, grant)


class Aggregator:
    """A lender with its exchange with the allocator."""

    def __init__(self, name):
        self.name = name
        self.balance = balances.Balance("desk", NOW)
        self.lender = lending.Lender(self.balance)
        self.sequence = 0
        self.received = 0

    def exchange(self, now, allocator, wanted, is_lost):
        self.balance.drop_expired(now)
        returned = self.balance.withdraw(self.balance.tokens) if not wanted else 0
        self.sequence += 1
        left = self.balance.tokens + self.lender.count_outstanding(now)
        usage = quota.Usage("desk", left, returned, wanted, self.received)
        grants = allocator.exchange(now, self.name, self.sequence, [usage])
        for grant in grants:
            if not is_lost:
                self.received = grant.grant_id
                self.balance.grant(grant.tokens, now + grant.lifetime)


@pytest.mark.parametrize("seed", range(40))
def test_no_window_exceeds_rate_and_burst_through_two_lenders(seed):
    """Borrowers change lenders, answers are lost, tokens are returned and expire."""
    chance = random.Random(seed)
    rate, burst = chance.choice([(5.0, 8), (30.0, 30), (100.0, 40)])
    now = NOW
    allocator = quota.Allocator(1, now, now)
    allocator.configure(now, {"desk": quota.Rate(rate, burst)})
    lenders = [Aggregator("one"), Aggregator("two")]
    borrowers = [Borrower(f"n{index}") for index in range(6)]
    for _ in range(4000):
        now += chance.expovariate(100.0)
        lender = chance.choice(lenders)
        if chance.random() < 0.3:
            wanted = chance.choice([0, 1, 20])
            lender.exchange(now, allocator, wanted, chance.random() < 0.05)
        borrower = chance.choice(borrowers)
        if chance.random() < 0.5:
            returned = chance.choice([0, 0, 2])
            borrower.ask(
                now,
                lender.name,
                lender.lender,
                chance.choice([0, 1, 8]),
                returned,
                chance.random() < 0.05,
            )
        if chance.random() < 0.012:
            for each in borrowers:
                each.spend(now, 99)
    spent = [moment for borrower in borrowers for moment in borrower.spent]
    assert len(spent) > 20
    assert builders_quota.find_worst_window(spent, rate, burst) <= 1e-6
