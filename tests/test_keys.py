"""Generating and verifying callers' keys."""

import pytest

from sardinehold import keys


def test_new_key_verifies_and_is_not_stored():
    generated = keys.generate_key()
    assert keys.verify_key(generated.record, generated.text)
    assert keys.parse_prefix(generated.text) == generated.record.prefix
    secret = generated.text.rsplit("_", 1)[1]
    stored = [getattr(generated.record, name) for name in generated.record.__slots__]
    assert not any(secret in str(part) for part in stored)


def test_keys_and_salts_differ():
    generated = [keys.generate_key() for _ in range(50)]
    assert len({key.text for key in generated}) == 50
    assert len({key.record.salt for key in generated}) == 50
    assert keys.hash_key(generated[0].text).digest != generated[0].record.digest


@pytest.mark.parametrize("change", [str.upper, lambda t: t[:-1], lambda t: t + "0"])
def test_other_text_does_not_verify(change):
    generated = keys.generate_key()
    assert not keys.verify_key(generated.record, change(generated.text))


@pytest.mark.parametrize("text", ["", "shk", "shk_1", "abc_1_2", "shk_1_2_3", "\ud800"])
def test_text_that_is_not_a_key_has_no_prefix_and_does_not_verify(text):
    assert keys.parse_prefix(text) == ""
    assert not keys.verify_key(keys.generate_key().record, text)
