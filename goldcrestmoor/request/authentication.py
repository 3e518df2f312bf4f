"""Authentication of client accounts and their access to pools."""

import hmac

from goldcrestmoor import util
from goldcrestmoor.errors import ErrorKind, ServiceError

SCHEME = b"bearer "
MAX_TOKEN_BYTES = 512


class Authenticator:
    """Find client accounts by the tokens that callers send.

    :param lease: provides the
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    """

    __slots__ = ("_lease",)

    def __init__(self, lease):
        self._lease = lease

    def account(self, headers):
        """Return the account that a request's token belongs to.

        :param headers: ``(name, value)`` byte pairs.
        :raises ServiceError: ``UNAUTHORIZED`` without a known token;
            ``CONFIG_LAPSED`` when the configuration lease has expired, because the
            account may be one that is not served until it is renewed.
        """
        token_hash = util.hash_token(_read_token(headers))
        view = self._lease.view()
        found = None
        # Every account is compared, so that the duration reveals nothing.
        for account in view.configuration.accounts_by_name.values():
            if hmac.compare_digest(account.token_hash, token_hash):
                found = account
        if found is not None:
            return found
        if view.lease_expired:
            text = "The configuration lease has expired; this token is not served."
            raise ServiceError(ErrorKind.CONFIG_LAPSED, text)
        raise ServiceError(ErrorKind.UNAUTHORIZED, "The token is unknown.")


def check_pool(account, configuration, pool, kind):
    """Return a pool that an account may use.

    :param account: the account.
    :param configuration: the current configuration.
    :param pool: the pool's name.
    :param kind: the kind of upstream that the route serves.
    :raises ServiceError: ``FORBIDDEN`` when the account may not use the pool,
        ``NOT_FOUND`` when no pool of that kind has the name.
    """
    # The account's pools are checked first, so that an account can't probe for the
    # pools of others.
    if pool not in account.pools:
        raise ServiceError(ErrorKind.FORBIDDEN, "The account may not use this pool.")
    found = configuration.pools_by_name.get(pool)
    if found is None or found.kind != kind:
        raise ServiceError(ErrorKind.NOT_FOUND, f"There is no {kind} pool {pool}.")
    return found


def check_access(view, account, pool):
    """Raise when an account that was authorized earlier may no longer use a pool.

    Call this right before a side effect: the configuration may have changed while the
    request's body was read, while the request was queued or during a process pause.

    :param view: the current
        :class:`~goldcrestmoor.version.configuration.document.ConfigurationView`.
    :param account: the account as it was when the request was authorized.
    :param pool: the pool's name.
    :raises ServiceError: ``UNAUTHORIZED``, ``CONFIG_LAPSED`` or ``FORBIDDEN``.
    """
    known = view.configuration.accounts_by_name.get(account.name)
    if known is None or known.token_hash != account.token_hash:
        kind = ErrorKind.CONFIG_LAPSED if view.lease_expired else ErrorKind.UNAUTHORIZED
        raise ServiceError(kind, "The account is no longer served by this host.")
    if pool not in known.pools:
        raise ServiceError(ErrorKind.FORBIDDEN, "The account may not use this pool.")


def _read_token(headers):
    for name, value in headers:
        if name.lower() != b"authorization":
            continue
        if value[: len(SCHEME)].lower() == SCHEME and len(value) <= MAX_TOKEN_BYTES:
            return value[len(SCHEME) :].strip().decode("latin-1")
    raise ServiceError(ErrorKind.UNAUTHORIZED, "A bearer token is missing.")
