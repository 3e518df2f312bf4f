"""``goldcrestmoor check``: check a settings file."""

from goldcrestmoor import front_settings, settings


def check(path, front=False):
    """Check a settings file and name every fault in it.

    :param path: the settings file, JSON.
    :param front: whether it is for ``goldcrestmoor front``.
    """
    loaded = (front_settings if front else settings).load(path)
    print(f"{path}: good settings for host {loaded.host.id} in {loaded.host.zone}.")
