"""The ``sardinehold`` command; one subcommand for each program."""

import argparse
import sys

import sardinehold
from sardinehold import errors


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all subcommands."""
    parser = argparse.ArgumentParser(prog="sardinehold", description=__doc__)
    parser.add_argument(
        "--version", action="version", version=f"sardinehold {sardinehold.__version__}"
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    try:
        build_parser().parse_args(arguments)
    except errors.SardineholdError as error:
        error.show()
        return error.exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
