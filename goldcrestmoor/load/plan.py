"""Description of the fleet that a trace is replayed against."""

import msgspec

from goldcrestmoor.errors import UserError


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet as seen by a replay, read from JSON.

    :param urls: the URLs of the hosts.
    :param token_by_account: the accounts' tokens.
    :param model_by_pool: the model of each engine pool.
    :param staleness_by_account: each trainer's staleness bound, in versions.
    :param control_address: the IP address of the control server that injects faults.
    :param control_port: the port of the control server; 0 when there is none.
    """

    urls: list[str]
    token_by_account: dict[str, str]
    model_by_pool: dict[str, str]
    staleness_by_account: dict[str, int]
    control_address: str = ""
    control_port: int = 0


def load(path):
    """Read a fleet's plan.

    :param path: the JSON file.
    :raises UserError: when the file cannot be read or is not a valid plan.
    """
    try:
        with open(path, "rb") as f:
            return msgspec.json.decode(f.read(), type=Plan)
    except OSError as e:
        raise UserError(f"Cannot read {path}: {e.strerror}.") from e
    except msgspec.MsgspecError as e:
        raise UserError(f"{path}: {e}.") from e
