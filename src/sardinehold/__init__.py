"""A database proxy that gives every caller session consistency.

The public face of the library: what an embedding program needs stands here,
everything else is reached through its module.
"""

from sardinehold import document
from sardinehold import errors
from sardinehold import settings

__version__ = "0.1.0"

__all__ = ["document", "errors", "settings", "__version__"]
