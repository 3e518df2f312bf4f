"""What a replay needs to know of the fleet that it plays against."""

import msgspec

from goldcrestmoor.errors import UserError


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet as a replay sees it, read from JSON.

    :param urls: the hosts.
    :param token_by_account: the accounts' tokens.
    :param model_by_pool: the model of each engine pool.
    :param staleness_by_account: each trainer's bound, in versions.
    :param control_address: where faults are injected.
    :param control_port: its port; 0 when nobody injects faults.
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
    :raises UserError: when it is not one.
    """
    try:
        with open(path, "rb") as f:
            return msgspec.json.decode(f.read(), type=Plan)
    except OSError as e:
        raise UserError(f"Cannot read {path}: {e.strerror}.") from e
    except msgspec.MsgspecError as e:
        raise UserError(f"{path}: {e}.") from e
