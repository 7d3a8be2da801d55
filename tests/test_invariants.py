import pytest

from sardinehold import errors
from sardinehold.core import engine as engines
from sardinehold.core import invariants


def test_violated_invariant_raises_and_counts(monkeypatch):
    monkeypatch.setattr(invariants, "REGISTRY", {})

    @invariants.invariant("Numbers are positive.")
    def number_is_positive(number):
        return number > 0

    number_is_positive(1)
    with pytest.raises(errors.InvariantViolation, match="number_is_positive"):
        number_is_positive(-1)
    assert invariants.count_checks() == {"number_is_positive": 2}


def test_two_invariants_of_one_name_are_refused(monkeypatch):
    monkeypatch.setattr(invariants, "REGISTRY", {})

    def is_true(value):
        return value

    invariants.invariant("a")(is_true)
    with pytest.raises(ValueError, match="is_true"):
        invariants.invariant("b")(is_true)


def test_every_guarantee_of_a_node_has_an_invariant():
    assert engines.PARTS
    guarantees = {entry.guarantee for entry in invariants.REGISTRY.values()}
    for words in (
        "read-your-writes",
        "replaced",
        "never mix",
        "whose key",
        "caller's key",
        "withdrawn key",
        "rate and burst",
        "whole answer",
        "not run",
        "at most once",
        "leaving",
        "planned stop",
        "never reverts",
    ):
        assert any(words in guarantee for guarantee in guarantees), words
