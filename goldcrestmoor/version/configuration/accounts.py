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
    """

    account_by_name: dict[str, ClientAccount]
    account_by_digest: dict[bytes, ClientAccount]

    def find(self, key):
        """Return the :class:`ClientAccount` that holds a key, or None.

        :param key: the key, as bytes.
        """
        return self.account_by_digest.get(key_digest(key))


def key_digest(key):
    """Return the digest under which a key is looked up.

    A look-up by digest takes the same time however much of a guessed key is right.

    :param key: the key, as bytes.
    """
    return hashlib.blake2b(key, digest_size=16).digest()
