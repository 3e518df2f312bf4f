"""Idempotency keys: a request is sent at most once with the same key."""

from goldcrestmoor.request.key_mint import is_minted


class IdempotencyKeys:
    """Send requests with keys of either kind, minted or chosen by the caller.

    :param mint: the :class:`~goldcrestmoor.request.key_mint.KeyMint`.
    :param bound: the :class:`~goldcrestmoor.request.minted_keys.MintedKeys`.
    :param claims: the :class:`~goldcrestmoor.request.claims.ClaimedKeys`.
    """

    __slots__ = ("_mint", "_bound", "_claims")

    def __init__(self, *, mint, bound, claims):
        self._mint = mint
        self._bound = bound
        self._claims = claims

    def mint(self, account):
        """Return a new key that is bound to this host.

        :param account: the account's name.
        """
        return self._mint.mint(account)

    async def run(self, account, key, request, deadline, request_id, check=None):
        """Send a request with a key, or return its recorded response.

        :param account: the account's name.
        :param key: the key.
        :param request: the :class:`~goldcrestmoor.request.apps.AppRequest`.
        :param deadline: the time by which the response must be complete.
        :param request_id: the request's id.
        :param check: called just before each send; raises to prevent it.
        :return: an :class:`~goldcrestmoor.request.apps.AppResponse`.
        """
        run = self._bound.run if is_minted(key) else self._claims.run
        return await run(account, key, request, deadline, request_id, check)
