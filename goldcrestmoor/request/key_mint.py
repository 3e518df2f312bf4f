"""Keys that are bound to the host that mints them."""

import hashlib
import hmac

import msgspec

from goldcrestmoor import util
from goldcrestmoor.errors import ErrorKind, ServiceError

PREFIX = "gk1."
MAC_CHARACTERS = 32
FIELD_COUNT = 5


class MintedKey(msgspec.Struct, frozen=True):
    """The fields of a key.

    :param host: the host that minted the key, and the only one that sends with it.
    :param incarnation: the incarnation of that host.
    :param minted_ms: the time of minting, on that host's clock.
    """

    host: str
    incarnation: str
    minted_ms: int


def is_minted(key):
    """Return whether a key has the form of a minted key; the MAC is not checked.

    :param key: the key's text.
    """
    return key.startswith(PREFIX)


class KeyMint:
    """Mint and verify keys.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param host_id: this host.
    :param incarnation: this host's incarnation.
    :param secret: the secret shared by all hosts of the fleet, as text.
    """

    __slots__ = ("_clock", "_host_id", "_incarnation", "_secret")

    def __init__(self, *, clock, host_id, incarnation, secret):
        self._clock = clock
        self._host_id = host_id
        self._incarnation = str(incarnation)
        self._secret = hashlib.sha256(b"idempotency keys" + secret.encode()).digest()

    def mint(self, account):
        """Return a new key for an account.

        :param account: the account's name.
        """
        fields = (
            self._host_id,
            self._incarnation,
            str(self._clock.now_ms()),
            util.new_id(),
        )
        text = PREFIX + ".".join(fields)
        return f"{text}.{self._mac(text, account)}"

    def parse(self, key, account):
        """Verify a key and return its fields.

        :param key: the key's text.
        :param account: the account that uses the key.
        :raises ServiceError: ``BAD_REQUEST`` when the key was not minted for the
            account.
        """
        text, _, mac = key.rpartition(".")
        if not hmac.compare_digest(mac.encode(), self._mac(text, account).encode()):
            raise ServiceError(
                ErrorKind.BAD_REQUEST,
                "The key was not minted by this service for this account.",
            )
        # A host's name may contain dots, so the fields are split from the end.
        host, incarnation, minted_ms, _ = text[len(PREFIX) :].rsplit(
            ".", FIELD_COUNT - 2
        )
        return MintedKey(host, incarnation, int(minted_ms))

    def is_own(self, minted):
        """Return whether the current incarnation of this host minted a key.

        :param minted: the :class:`MintedKey`.
        """
        own = (self._host_id, self._incarnation)
        return (minted.host, minted.incarnation) == own

    def _mac(self, text, account):
        data = f"{account}\0{text}".encode()
        return hmac.new(self._secret, data, hashlib.sha256).hexdigest()[:MAC_CHARACTERS]
