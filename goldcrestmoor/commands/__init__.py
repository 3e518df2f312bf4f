"""The subcommands of the command line, one file each.

All subcommands are registered in ``COMMAND_BY_NAME``.
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
