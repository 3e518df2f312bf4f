"""Entry point of the command line."""

import sys

import fire

import goldcrestmoor
from goldcrestmoor.commands import COMMAND_NAMES, load_command
from goldcrestmoor.errors import UserError


def main():
    """Run the subcommand given by the arguments."""
    if sys.argv[1:] == ["--version"]:
        print(f"goldcrestmoor {goldcrestmoor.__version__}")
        return
    names = [name for name in sys.argv[1:2] if name in COMMAND_NAMES] or COMMAND_NAMES
    try:
        fire.Fire({name: load_command(name) for name in names}, name="goldcrestmoor")
    except UserError as e:
        print(f"goldcrestmoor: {e}", file=sys.stderr)
        sys.exit(e.exit_code)


if __name__ == "__main__":
    main()
