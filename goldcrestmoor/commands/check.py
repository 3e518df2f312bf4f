"""``goldcrestmoor check``: validate a settings file, or an operator's configuration."""

import pathlib

from goldcrestmoor import front_settings, settings
from goldcrestmoor.errors import UserError


def check(path, front=False, configuration=False):
    """Validate a settings file and report every error in it.

    :param path: the settings file, JSON.
    :param front: validate the file as settings of ``goldcrestmoor front``.
    :param configuration: validate the file as the configuration that the operator of
        the users' platform writes.
    """
    if configuration:
        _check_configuration(path)
        return
    loaded = (front_settings if front else settings).load(path)
    print(f"{path}: valid settings for host {loaded.host.id} in {loaded.host.zone}.")


def _check_configuration(path):
    # Loads the whole daemon, which the other checks don't need.
    from goldcrestmoor.process.front import decode_configuration

    try:
        table = decode_configuration(pathlib.Path(path).read_bytes())
    except OSError as e:
        raise UserError(f"Cannot read {path}: {e.strerror}.") from e
    except (ValueError, TypeError) as e:
        raise UserError(f"{path}: not a valid configuration: {e}.") from e
    accounts = table.accounts
    if accounts is not None and accounts.faults:
        raise UserError("\n".join((f"{path}:", *accounts.faults)))
    count = "no" if accounts is None else len(accounts.account_by_name)
    print(f"{path}: valid configuration {table.version} with {count} client accounts.")
