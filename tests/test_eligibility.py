"""Which endpoints may take a new statement, and the reasons for the others."""

import pytest

from sardinehold.node import clock
from sardinehold.node import eligibility
from sardinehold.node import evacuations


class Record:
    zone = "north"


class Endpoint:
    """The attributes of an endpoint that the rules read."""

    record = Record
    name = "g-1"
    failing_since = None
    cooldown_until = float("-inf")
    is_leaving = False
    region = "eu"
    exhausted_until = float("-inf")
    other_log_until = float("-inf")

    def accepts_new_work(self):
        return not self.is_leaving


class Waiter:
    avoided = frozenset()
    arrived_at = 0.0
    regions = None


class Group:
    primary = None
    evacuations = evacuations.Evacuations()
    endpoints = {}


def find(endpoint, use=eligibility.Use.READ, waiter=None, group=None):
    return eligibility.find_exclusion(
        endpoint, waiter or Waiter(), group or Group(), clock.read(), use
    )


@pytest.mark.parametrize("use", eligibility.Use)
def test_healthy_endpoint_is_not_excluded(use):
    assert find(Endpoint(), use) is None


@pytest.mark.parametrize(
    ("attribute", "value", "reason"),
    [
        ("failing_since", 1.0, "it is unreachable"),
        ("cooldown_until", float("inf"), "its owners cannot reach it"),
        ("is_leaving", True, "it is draining or gone"),
    ],
)
def test_reason_names_what_excludes_an_endpoint(attribute, value, reason):
    endpoint = Endpoint()
    setattr(endpoint, attribute, value)
    assert find(endpoint) == reason


def test_statement_does_not_return_to_an_endpoint_on_which_it_failed():
    waiter = Waiter()
    waiter.avoided = frozenset({"g-1"})
    assert find(Endpoint(), waiter=waiter) == "the statement failed there"


def test_draining_primary_is_not_excluded():
    endpoint = Endpoint()
    endpoint.is_leaving = True
    group = Group()
    group.primary = endpoint
    assert find(endpoint, group=group) is None
    assert find(endpoint, eligibility.Use.PRIMARY, group=group) is None


@pytest.mark.parametrize("use", eligibility.Use)
def test_primary_without_its_log_is_excluded(use):
    endpoint = Endpoint()
    endpoint.other_log_until = float("inf")
    assert find(endpoint, use) is None
    group = Group()
    group.primary = endpoint
    assert find(endpoint, use, group=group) == "it does not have the primary's log"
