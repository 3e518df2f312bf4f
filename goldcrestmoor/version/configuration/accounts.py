"""The client accounts of one version of the configuration, and their API keys."""

import hashlib

import msgspec


class ClientAccount(msgspec.Struct, frozen=True):
    """A client account.

    :param name: its name, which servers are told.
    :param priority: replaces the priority of the route; None to keep that one.
    """

    name: str
    priority: int | None = None


class AccountDirectory(msgspec.Struct, frozen=True):
    """The accounts by name and by key.

    :param account_by_name: the accounts.
    :param account_by_digest: the accounts by the digests of their keys.
    :param faults: what is wrong with the accounts as the operator wrote them, as
        sentences that hold no key.
    """

    account_by_name: dict[str, ClientAccount]
    account_by_digest: dict[bytes, ClientAccount]
    faults: tuple[str, ...] = ()


class ListedAccount(msgspec.Struct, frozen=True):
    """An account as the operator wrote it.

    :param name: its name; anything but a usable name makes its keys unusable.
    :param keys: its keys; all but strings that aren't empty are ignored.
    :param priority: its priority, None for none.
    """

    name: object
    keys: list[object]
    priority: object


def make_directory(listed):
    """Return the :class:`AccountDirectory` of the accounts that an operator listed.

    The operator's store has accepted them, so that a fault in one account must not keep
    the others out of force. A key that several accounts hold would let one act as the
    other, and is assigned to none.

    :param listed: an iterable of :class:`ListedAccount`.
    """
    account_by_name, labels_by_digest, faults = {}, {}, []
    for number, entry in enumerate(listed, 1):
        label = f"number {number} (without a usable name)"
        if _is_usable_name(entry.name):
            label = entry.name
            if label in account_by_name:
                faults.append(f"Account {label} is listed twice; the first counts.")
            else:
                account = _make_account(entry, faults)
                account_by_name[label] = account
        else:
            faults.append(f"Account {label} is ignored with its keys.")
        for key in entry.keys:
            if isinstance(key, str) and key:
                labels = labels_by_digest.setdefault(key_digest(key.encode()), [])
                if label not in labels:
                    labels.append(label)
    account_by_digest = {}
    for digest, labels in labels_by_digest.items():
        if len(labels) > 1:
            names = " and ".join(labels)
            faults.append(f"A key that accounts {names} hold is assigned to none.")
        elif labels[0] in account_by_name:
            account_by_digest[digest] = account_by_name[labels[0]]
    return AccountDirectory(account_by_name, account_by_digest, tuple(faults))


def _make_account(entry, faults):
    priority = entry.priority
    if isinstance(priority, float) and priority.is_integer():
        priority = int(priority)
    # A boolean is an int, too.
    if priority is not None and (type(priority) is not int or priority < 0):
        faults.append(
            f"Account {entry.name} has the unknown priority {priority!r}; the priority "
            "of the route counts."
        )
        priority = None
    return ClientAccount(entry.name, priority)


def _is_usable_name(name):
    """Return whether servers can be told a name, in a header."""
    return (
        isinstance(name, str)
        and bool(name)
        and name == name.strip()
        and name.isprintable()
    )


def key_digest(key):
    """Return the digest under which a key is looked up.

    A look-up by digest takes the same time however much of a guessed key is right.

    :param key: the key, as bytes.
    """
    return hashlib.blake2b(key, digest_size=16).digest()
