"""Decides for which client account a request with an API key is served.

Workload: thousands of requests a second from a hundred accounts; nearly all have a
valid key, which costs one digest and one look-up. A withdrawn key is sent on for
minutes, by callers that keep their connections open and repeat what is refused;
operators must see whose it was. So the digests of withdrawn keys are kept, a bounded
number of them.
"""

import collections

import msgspec

from goldcrestmoor.version.configuration.accounts import ClientAccount, key_digest

# All keys of a hundred accounts, replaced several times; about 200 bytes each.
MAX_WITHDRAWN = 2048

# What requests count as that are refused without belonging to an account.
MISSING = "missing"
UNKNOWN = "unknown"

# The account of requests on public routes that have no valid key.
NO_ACCOUNT = ClientAccount("")


class Admitted(msgspec.Struct, frozen=True):
    """The request is served.

    :param account: the :class:`ClientAccount` that it belongs to.
    """

    account: ClientAccount


class Refused(msgspec.Struct, frozen=True):
    """The request needs a valid key and has none.

    :param account: the name of the account that held its key until it was withdrawn,
        else ``MISSING`` or ``UNKNOWN``.
    :param is_first_use: whether it is the first request with this withdrawn key.
    """

    account: str
    is_first_use: bool = False


class _WithdrawnKey:
    __slots__ = ("account", "was_used")

    def __init__(self, account):
        self.account = account
        self.was_used = False


class KeyCheck:
    """Checks keys, and remembers which account held those that were withdrawn."""

    __slots__ = ("_account_by_digest", "_withdrawn_by_digest")

    def __init__(self):
        self._account_by_digest = {}
        self._withdrawn_by_digest = collections.OrderedDict()

    def adopt(self, accounts):
        """Follow a change of the configuration.

        :param accounts: the new
            :class:`~goldcrestmoor.version.configuration.accounts.AccountDirectory`;
            None where callers have no accounts any more.
        """
        before = self._account_by_digest
        self._account_by_digest = accounts.account_by_digest if accounts else {}
        for digest in self._account_by_digest:
            self._withdrawn_by_digest.pop(digest, None)
        for digest, account in before.items():
            if digest not in self._account_by_digest:
                self._withdrawn_by_digest[digest] = _WithdrawnKey(account.name)
        while len(self._withdrawn_by_digest) > MAX_WITHDRAWN:
            self._withdrawn_by_digest.popitem(last=False)

    def check(self, key, is_public):
        """Return :class:`Admitted` or :class:`Refused`.

        :param key: the key that the request has, as bytes; empty for none.
        :param is_public: whether it needs none.
        """
        if not key:
            return Admitted(NO_ACCOUNT) if is_public else Refused(MISSING)
        digest = key_digest(key)
        account = self._account_by_digest.get(digest)
        if account is not None:
            return Admitted(account)
        if is_public:
            return Admitted(NO_ACCOUNT)
        withdrawn = self._withdrawn_by_digest.get(digest)
        if withdrawn is None:
            return Refused(UNKNOWN)
        is_first_use, withdrawn.was_used = not withdrawn.was_used, True
        return Refused(withdrawn.account, is_first_use)
