"""The subcommands of the command line, one file each."""

import importlib

# Each is a function in the module of its name.
COMMAND_NAMES = ("ask", "check", "front", "keygen", "replay", "serve")


def load_command(name):
    """Import a subcommand and return its function.

    A daemon imports its own subcommand only: the others load parts of the service that
    it does not use.

    :param name: its name, from ``COMMAND_NAMES``.
    """
    return getattr(importlib.import_module(f"goldcrestmoor.commands.{name}"), name)
