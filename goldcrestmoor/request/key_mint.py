"""Keys that are bound to the host that minted them."""

import hashlib
import hmac

import msgspec

from goldcrestmoor import util
from goldcrestmoor.errors import ErrorKind, ServiceError

PREFIX = "gk1."
MAC_CHARACTERS = 32
FIELD_COUNT = 5


class MintedKey(msgspec.Struct, frozen=True):
    """A key's parts.

    :param host: the host that minted it, and alone sends with it.
    :param incarnation: which run of that host minted it.
    :param minted_ms: when, on that host's clock.
    """

    host: str
    incarnation: str
    minted_ms: int


def is_minted(key):
    """Tell whether a key claims to have been minted by a host.

    :param key: the key's text.
    """
    return key.startswith(PREFIX)


class KeyMint:
    """Mint keys and check them.

    :param clock: the :class:`~goldcrestmoor.clock.Clock`.
    :param host_id: this host.
    :param incarnation: this run of it.
    :param secret: what all hosts of the fleet share, as text.
    """

    __slots__ = ("_clock", "_host_id", "_incarnation", "_secret")

    def __init__(self, *, clock, host_id, incarnation, secret):
        self._clock = clock
        self._host_id = host_id
        self._incarnation = str(incarnation)
        self._secret = hashlib.sha256(b"idempotency keys" + secret.encode()).digest()

    def mint(self, account):
        """Return a new key of an account.

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
        """Return the parts of a key.

        :param key: the key's text.
        :param account: the account that uses it.
        :raises ServiceError: ``BAD_REQUEST`` when it was not minted for it.
        """
        text, _, mac = key.rpartition(".")
        if not hmac.compare_digest(mac.encode(), self._mac(text, account).encode()):
            raise ServiceError(ErrorKind.BAD_REQUEST, "The key was not minted here.")
        # A host's name may hold dots, so the parts are taken from the end.
        host, incarnation, minted_ms, _ = text[len(PREFIX) :].rsplit(
            ".", FIELD_COUNT - 2
        )
        return MintedKey(host, incarnation, int(minted_ms))

    def is_own(self, minted):
        """Tell whether this run of this host minted a key.

        :param minted: the :class:`MintedKey`.
        """
        own = (self._host_id, self._incarnation)
        return (minted.host, minted.incarnation) == own

    def _mac(self, text, account):
        data = f"{account}\0{text}".encode()
        return hmac.new(self._secret, data, hashlib.sha256).hexdigest()[:MAC_CHARACTERS]
