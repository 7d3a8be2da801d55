"""Starts a node from a checkout; the platform runs it in the repository root."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from sardinehold.platform import daemon  # noqa: E402

sys.exit(daemon.main())
