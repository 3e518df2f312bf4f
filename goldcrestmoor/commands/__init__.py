"""The subcommands of the command line, one file each.

``COMMAND_BY_NAME`` is the one place where they are registered.
"""

from goldcrestmoor.commands.ask import ask
from goldcrestmoor.commands.check import check
from goldcrestmoor.commands.front import front
from goldcrestmoor.commands.keygen import keygen
from goldcrestmoor.commands.replay import replay
from goldcrestmoor.commands.serve import serve

COMMAND_BY_NAME = {
    "ask": ask,
    "check": check,
    "front": front,
    "keygen": keygen,
    "replay": replay,
    "serve": serve,
}
