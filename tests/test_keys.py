"""Callers' keys."""

import pytest

from sardinehold import keys


def test_new_key_verifies_and_is_not_kept():
    made = keys.generate_key()
    assert keys.verify_key(made.record, made.text)
    assert keys.parse_prefix(made.text) == made.record.prefix
    secret = made.text.rsplit("_", 1)[1]
    kept = [getattr(made.record, name) for name in made.record.__slots__]
    assert not any(secret in str(part) for part in kept)


def test_keys_and_salts_differ():
    made = [keys.generate_key() for _ in range(50)]
    assert len({key.text for key in made}) == 50
    assert len({key.record.salt for key in made}) == 50
    assert keys.hash_key(made[0].text).digest != made[0].record.digest


@pytest.mark.parametrize("change", [str.upper, lambda t: t[:-1], lambda t: t + "0"])
def test_other_text_does_not_verify(change):
    made = keys.generate_key()
    assert not keys.verify_key(made.record, change(made.text))


@pytest.mark.parametrize("text", ["", "shk", "shk_1", "abc_1_2", "shk_1_2_3", "\ud800"])
def test_what_is_no_key_has_no_prefix_and_verifies_nowhere(text):
    assert keys.parse_prefix(text) == ""
    assert not keys.verify_key(keys.generate_key().record, text)
