"""Entry point of the command line."""

import sys

import fire

import goldcrestmoor
from goldcrestmoor.commands import COMMAND_BY_NAME
from goldcrestmoor.errors import UserError


def main():
    """Run the subcommand given by the arguments."""
    if sys.argv[1:] == ["--version"]:
        print(f"goldcrestmoor {goldcrestmoor.__version__}")
        return
    try:
        fire.Fire(COMMAND_BY_NAME, name="goldcrestmoor")
    except UserError as e:
        print(f"goldcrestmoor: {e}", file=sys.stderr)
        sys.exit(e.exit_code)


if __name__ == "__main__":
    main()
