"""The zmq sockets between daemons: their options, keys and authenticator."""

import asyncio

import zmq
import zmq.asyncio
import zmq.auth.asyncio

# One thread handles far more than the control traffic of a host.
IO_THREADS = 1
# Equal to the send queue of a link, so that neither limit hides the other.
HIGH_WATER_MESSAGES = 1000
# Above the largest message, the handover of a step.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
# With the interval and the probes below, a dead peer is detected within 25 s.
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
# A peer that restarts is back within a second.
RECONNECT_MIN_MS = 100
# A peer that stays unavailable costs one attempt every two seconds.
RECONNECT_MAX_MS = 2000
# A round trip between regions takes at most a tenth of a second.
CONNECT_TIMEOUT_MS = 2000
# Two round trips and the key exchange.
HANDSHAKE_TIMEOUT_MS = 2000


class _FleetKeyProvider:
    """A CURVE credentials provider that accepts only the fleet's shared key."""

    __slots__ = ("_key",)

    def __init__(self, key):
        self._key = key

    def callback(self, domain, key):
        return key == self._key


class PeerSockets:
    """A zmq context whose sockets all use the fleet's CURVE keys.

    :param security: the :class:`~goldcrestmoor.settings.SecuritySettings`.
    :param address: this host's IP address, to which outgoing connections bind.
    """

    __slots__ = (
        "_public_key",
        "_secret_key",
        "_address",
        "_context",
        "_authenticator",
    )

    def __init__(self, security, address):
        self._address = address
        self._public_key = security.fleet_public_key.encode()
        self._secret_key = security.fleet_secret_key.encode()
        self._context = zmq.asyncio.Context(IO_THREADS)
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)

    def start(self):
        """Start to authenticate peers. Must be called before any socket is bound."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            "*", _FleetKeyProvider(self._public_key)
        )

    def bind(self, address, port):
        """Return a ROUTER socket that accepts the fleet's daemons.

        :param address: the IP address to listen on.
        :param port: the TCP port to listen on.
        """
        socket = self._socket(zmq.ROUTER)
        socket.curve_server = True
        socket.bind(f"tcp://{address}:{port}")
        return socket

    def connect(self, address, port):
        """Return a DEALER socket that is connecting to one peer.

        :param address: the peer's IP address.
        :param port: the peer's TCP port.
        """
        socket = self._socket(zmq.DEALER)
        socket.curve_serverkey = self._public_key
        # Nothing is queued for a peer without a connection: a message that waited
        # for one would arrive long after its caller timed out.
        socket.immediate = True
        socket.connect(f"tcp://{self._address}:0;{address}:{port}")
        return socket

    async def close(self):
        """Close the context. All of its sockets must be closed already."""
        self._authenticator.stop()
        # The authenticator's cancelled task still polls its socket. It must end
        # before the file descriptor can be reused for another socket.
        await asyncio.sleep(0)
        self._context.destroy(linger=0)
        await asyncio.sleep(0)

    def _socket(self, kind):
        socket = self._context.socket(kind)
        socket.curve_publickey = self._public_key
        socket.curve_secretkey = self._secret_key
        socket.linger = 0
        socket.sndhwm = HIGH_WATER_MESSAGES
        socket.rcvhwm = HIGH_WATER_MESSAGES
        socket.maxmsgsize = MAX_MESSAGE_BYTES
        socket.reconnect_ivl = RECONNECT_MIN_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        socket.connect_timeout = CONNECT_TIMEOUT_MS
        socket.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        socket.tcp_keepalive = 1
        socket.tcp_keepalive_idle = KEEPALIVE_IDLE_S
        socket.tcp_keepalive_intvl = KEEPALIVE_INTERVAL_S
        socket.tcp_keepalive_cnt = KEEPALIVE_PROBES
        return socket
