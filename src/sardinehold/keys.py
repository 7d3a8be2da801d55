"""Keys of callers, of which only the digests are stored.

A key has the form ``shk_<prefix>_<secret>`` and is shown once, when it is
generated. The prefix identifies the key's record, and ``shk_`` is the string to
search for when a key may have leaked. The secret has 256 random bits, so one salted
hash is sufficient.
"""

import hashlib
import hmac
import secrets

from sardinehold import document

KEY_MARKER = "shk"
PREFIX_BYTES = 4
SECRET_BYTES = 32
SALT_BYTES = 8


class GeneratedKey:
    """A generated key.

    :param text: the key itself, the caller's password; shown once, never stored.
    :param record: the record stored in the configuration document.
    """

    __slots__ = ("text", "record")

    def __init__(self, text: str, record: document.Key) -> None:
        """Store the text and the record."""
        self.text = text
        self.record = record


def generate_key() -> GeneratedKey:
    """Generate a random key."""
    prefix = secrets.token_hex(PREFIX_BYTES)
    text = f"{KEY_MARKER}_{prefix}_{secrets.token_hex(SECRET_BYTES)}"
    return GeneratedKey(text, hash_key(text))


def hash_key(text: str) -> document.Key:
    """Return the record of the key ``text``, with a new random salt."""
    salt = secrets.token_hex(SALT_BYTES)
    return document.Key(parse_prefix(text), salt, digest_key(text, salt))


def digest_key(text: str, salt: str) -> str:
    """Return the hexadecimal SHA-256 digest of a salted key."""
    return hashlib.sha256(f"{salt}:{text}".encode(errors="surrogatepass")).hexdigest()


def parse_prefix(text: str) -> str:
    """Return the public part of a key, ``""`` if ``text`` is not a key."""
    parts = text.split("_")
    if len(parts) != 3 or parts[0] != KEY_MARKER:
        return ""
    return parts[1]


def verify_key(record: document.Key, text: str) -> bool:
    """Return whether ``text`` is the key of ``record``, in constant time."""
    return hmac.compare_digest(digest_key(text, record.salt), record.digest)


def equals_in_constant_time(first: str, second: str) -> bool:
    """Return whether two key texts are equal, in constant time."""
    return hmac.compare_digest(
        first.encode(errors="surrogatepass"), second.encode(errors="surrogatepass")
    )
