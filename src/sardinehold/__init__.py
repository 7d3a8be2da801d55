"""A database proxy that gives every caller session consistency.

The public face of the library: what an embedding program needs stands here,
everything else is reached through its module.
"""

import importlib
import types

__version__ = "0.1.0"

__all__ = ["document", "errors", "settings", "__version__"]


def __getattr__(name: str) -> types.ModuleType:
    """Load a public module when it is first used: a node needs few of them."""
    if name in __all__:
        return importlib.import_module(f"{__name__}.{name}")
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
