"""Entry point of ``python -m sardinehold``."""

import sys

from sardinehold import cli

if __name__ == "__main__":
    sys.exit(cli.main())
