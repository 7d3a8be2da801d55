"""A database proxy that gives every caller session consistency.

The package exports the modules that an embedding program needs; everything else
is imported from its module.
"""

import importlib
import types

__version__ = "0.1.0"

__all__ = ["document", "errors", "settings", "__version__"]


def __getattr__(name: str) -> types.ModuleType:
    """Import a public module on first use, since a node needs only a few of them."""
    if name in __all__:
        return importlib.import_module(f"{__name__}.{name}")
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
