"""Authenticates requests by the API keys of the configuration in effect."""

import logging

from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.request.key_check import Admitted, KeyCheck, Refused

log = logging.getLogger("goldcrestmoor.keys")


class ClientKeys:
    """The API keys in force, and what their check shows to operators.

    :param metrics: the :class:`~goldcrestmoor.process.metrics.Metrics`.
    :ivar accounts: the
        :class:`~goldcrestmoor.version.configuration.accounts.AccountDirectory` in
        force; None where callers have no accounts.
    """

    __slots__ = ("accounts", "_check", "_metrics")

    def __init__(self, *, metrics):
        self.accounts = None
        self._check = KeyCheck()
        self._metrics = metrics

    def adopt(self, table):
        """Put the accounts of a configuration in force.

        :param table: the ``RouteTable`` that came into effect.
        """
        self.accounts = table.accounts
        self._check.adopt(table.accounts)
        if table.accounts is None:
            self._metrics.accounts.set(0)
            return
        self._metrics.accounts.set(len(table.accounts.account_by_name))
        for fault in table.accounts.faults:
            log.error("Configuration %d: %s", table.version, fault)

    def authenticate(self, key, is_public):
        """Return the ``ClientAccount`` of a request.

        :param key: the key that it has, as bytes; empty for none.
        :param is_public: whether it needs none.
        :return: the account, with an empty name for none; None where callers have no
            accounts.
        :raises ServiceError: ``UNAUTHORIZED`` when it needs a valid key and has none.
        """
        if self.accounts is None:
            return None
        match self._check.check(key, is_public):
            case Admitted(account):
                return account
            case Refused(account, is_first_use):
                self._metrics.unauthorized.labels(account).inc()
                if is_first_use:
                    log.warning("A withdrawn key of account %s is still used.", account)
                text = "A valid API key is needed."
                raise ServiceError(ErrorKind.UNAUTHORIZED, text)
