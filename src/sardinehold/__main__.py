"""Lets ``python -m sardinehold`` run the command."""

import sys

from sardinehold import cli

if __name__ == "__main__":
    sys.exit(cli.main())
