"""HTTP route for operators."""

import hmac
import logging
import math

import msgspec
from blacksheep import Content, Response

from goldcrestmoor import util
from goldcrestmoor.clock import MS_PER_SECOND
from goldcrestmoor.errors import ANSWER_BY_KIND, ErrorKind, ServiceError, to_body
from goldcrestmoor.language.executor import Outcome

log = logging.getLogger("goldcrestmoor.language")

MAX_BODY_BYTES = 4 * 1024 * 1024
BEARER = b"bearer "
OK_STATUS = 200


class AskBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The request body of ``POST /operator/ask``.

    :param text: the operator script.
    :param base_version: the configuration version that the changes are based on.
    """

    text: str
    base_version: int | None = None


def register_routes(app, *, executor, operator_token_hash):
    """Register ``POST /operator/ask`` on an application.

    :param app: the blacksheep application.
    :param executor: the :class:`~goldcrestmoor.language.executor.Executor`.
    :param operator_token_hash: SHA-256 of the operator token, in hexadecimal;
        all requests are rejected when it is empty.
    """

    async def ask(request):
        try:
            _authenticate(request, operator_token_hash)
            body_fields = await _read_body(request)
            result = await executor.execute(body_fields.text, body_fields.base_version)
        except ServiceError as e:
            return _error_response(e)
        return _json_response(_status(result), result)

    app.router.add_post("/operator/ask", ask)


def _authenticate(request, operator_token_hash):
    value = request.get_first_header(b"Authorization") or b""
    token = b""
    if value[: len(BEARER)].lower() == BEARER:
        token = value[len(BEARER) :].strip()
    given_hash = util.hash_token(token.decode("utf-8", "replace"))
    matches = hmac.compare_digest(given_hash, operator_token_hash)
    if not operator_token_hash or not matches:
        raise ServiceError(ErrorKind.UNAUTHORIZED, "The operator token is invalid.")


async def _read_body(request):
    length = request.get_first_header(b"Content-Length") or b"0"
    if length.isdigit() and int(length) > MAX_BODY_BYTES:
        raise ServiceError(ErrorKind.TOO_LARGE, "The request body is too large.")
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise ServiceError(ErrorKind.TOO_LARGE, "The request body is too large.")
    try:
        return msgspec.json.decode(bytes(body), type=AskBody)
    except msgspec.MsgspecError as e:
        raise ServiceError(
            ErrorKind.BAD_REQUEST, f"The request body is invalid: {e}."
        ) from e


def _status(answer):
    if isinstance(answer, Outcome) and answer.code is not None:
        return ANSWER_BY_KIND[answer.code].status
    return OK_STATUS


def _error_response(error):
    response = _json_response(error.answer.status, to_body(error))
    if error.retry_after_ms:
        seconds = math.ceil(error.retry_after_ms / MS_PER_SECOND)
        response.add_header(b"Retry-After", str(seconds).encode())
    return response


def _json_response(status, value):
    data = msgspec.json.encode(value)
    return Response(status, content=Content(b"application/json", data))
