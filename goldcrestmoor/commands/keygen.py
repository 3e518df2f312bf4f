"""``goldcrestmoor keygen``: generate the keys for the settings file."""

import json
import secrets

import zmq

from goldcrestmoor import util


def keygen():
    """Print a new fleet key pair and a new operator token with its hash."""
    public, secret = zmq.curve_keypair()
    token = secrets.token_urlsafe()
    security = {
        "fleet_public_key": public.decode(),
        "fleet_secret_key": secret.decode(),
        "operator_token_hash": util.hash_token(token),
    }
    print(json.dumps({"operator_token": token, "security": security}, indent=4))
