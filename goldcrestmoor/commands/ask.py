"""``goldcrestmoor ask``: send an operator's statements to a host."""

import http.client
import os
import urllib.parse

import fire.decorators
import msgspec
import tabulate

from goldcrestmoor.errors import (
    ANSWER_BY_KIND,
    ErrorBody,
    ErrorKind,
    ServiceError,
    UserError,
)
from goldcrestmoor.language import parser, statements
from goldcrestmoor.language.executor import Outcome
from goldcrestmoor.language.tables import Table

TOKEN_VARIABLE = "GOLDCRESTMOOR_TOKEN"
DEFAULT_URL = "http://127.0.0.1:8080"
CONNECT_TIMEOUT_S = 5
ANSWER_TIMEOUT_S = 30
STATUS_OK = 200
UNKNOWN_TEXT = "unknown, ask SHOW VERSION"


@fire.decorators.SetParseFn(str, "text", "url", "token", "file")
def ask(text="", url=DEFAULT_URL, token="", json=False, file=""):
    """Send statements to a host, to query its state or change the configuration.

    :param text: the statements, such as "SHOW UPSTREAMS".
    :param url: the host's base URL, as http://address:port.
    :param token: the operator token; by default read from GOLDCRESTMOOR_TOKEN.
    :param json: print the response as JSON, for scripts.
    :param file: read the statements from this file instead.
    """
    text = _read_text(text, file)
    token = token or os.environ.get(TOKEN_VARIABLE, "")
    status, body = _post(url, token, text)
    try:
        answer = _decode(status, body)
    except msgspec.MsgspecError:
        raise _connection_lost(text) from None
    _print(answer, json)
    match answer:
        case ErrorBody(code=code, message=message):
            raise _user_error(code, message)
        case Outcome(outcome=outcome, code=ErrorKind() as code, message=message):
            raise _user_error(code, _format_outcome(outcome, message))


def _read_text(text, file):
    if bool(text) == bool(file):
        raise UserError("Give either a text or --file.")
    if not file:
        return text
    try:
        with open(file, encoding="utf-8") as f:
            return f.read()
    except OSError as e:
        raise UserError(f"Cannot read {file}: {e.strerror}.") from e


def _post(url, token, text):
    connection = _connect(url)
    headers = {
        "Authorization": f"Bearer {token}",
        "Content-Type": "application/json",
    }
    try:
        body = msgspec.json.encode({"text": text})
        connection.request("POST", "/operator/ask", body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        raise _connection_lost(text) from None
    finally:
        connection.close()


def _connect(url):
    try:
        parts = urllib.parse.urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise ValueError
        connection = http.client.HTTPConnection(
            parts.hostname, parts.port, timeout=CONNECT_TIMEOUT_S
        )
    except ValueError:
        raise UserError(f"{url!r} is not of the form http://address:port.") from None
    try:
        connection.connect()
    except OSError as e:
        raise _user_error(
            ErrorKind.PEER_UNREACHABLE, f"Cannot reach {url}: {e}."
        ) from e
    connection.sock.settimeout(ANSWER_TIMEOUT_S)
    return connection


def _decode(status, body):
    fields = msgspec.json.decode(body, type=dict)
    if "outcome" in fields:
        return msgspec.convert(fields, Outcome)
    return msgspec.convert(fields, Table if status == STATUS_OK else ErrorBody)


def _print(answer, as_json):
    if as_json:
        print(msgspec.json.encode(answer).decode())
        return
    match answer:
        case Table(columns=columns, rows=rows):
            print(tabulate.tabulate(rows, headers=columns, disable_numparse=True))
        case Outcome(outcome=outcome, message=message, code=None):
            print(_format_outcome(outcome, message))


def _format_outcome(outcome, message):
    return message if message.startswith(outcome) else f"{outcome}: {message}"


def _connection_lost(text):
    if _may_change_configuration(text):
        return _user_error(ErrorKind.CONFIG_UNKNOWN, UNKNOWN_TEXT)
    return _user_error(
        ErrorKind.PEER_UNREACHABLE,
        "The connection was lost before a valid response arrived.",
    )


def _may_change_configuration(text):
    # A host of a newer release may support statements that this release cannot
    # parse, so a text that fails to parse counts as a change.
    try:
        script = parser.parse(text)
    except ServiceError:
        return True
    read_only = (statements.Show, statements.Explain)
    return not all(isinstance(s, read_only) for s in script.statements)


def _user_error(kind, message):
    return UserError(message, ANSWER_BY_KIND[kind].exit_code)
