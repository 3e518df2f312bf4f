"""``goldcrestmoor check``: validate a settings file."""

from goldcrestmoor import front_settings, settings


def check(path, front=False):
    """Validate a settings file and report every error in it.

    :param path: the settings file, JSON.
    :param front: validate the file as settings of ``goldcrestmoor front``.
    """
    loaded = (front_settings if front else settings).load(path)
    print(f"{path}: valid settings for host {loaded.host.id} in {loaded.host.zone}.")
