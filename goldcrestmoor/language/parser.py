"""Parse operator scripts into statements."""

import functools
from importlib import resources

import lark

from goldcrestmoor import util
from goldcrestmoor.errors import ErrorKind, ServiceError
from goldcrestmoor.language import statements as st

MAX_TEXT_CHARS = 1_000_000
TOKEN_HASH_CHARS = 64
MAX_EXPECTED_SHOWN = 8
HEX_DIGITS = frozenset("0123456789abcdef")
STANDALONE_STATEMENTS = (st.Show, st.Explain, st.LoadVersion)


def parse(text):
    """Parse an operator script.

    :param text: the script.
    :return: a :class:`~goldcrestmoor.language.statements.Script`.
    :raises ServiceError: ``BAD_REQUEST`` with the line and column of the error;
        ``TOO_LARGE`` when the script is too long.
    """
    if len(text) > MAX_TEXT_CHARS:
        raise ServiceError(ErrorKind.TOO_LARGE, "The script is too long.")
    try:
        parsed = _builder.transform(_parser().parse(text))
    except lark.exceptions.VisitError as e:
        raise e.orig_exc from e
    except lark.exceptions.UnexpectedInput as e:
        raise ServiceError(
            ErrorKind.BAD_REQUEST, _describe_syntax_error(e, text)
        ) from e
    return _build_script(parsed)


@functools.cache
def _parser():
    grammar = resources.files("goldcrestmoor.language").joinpath("grammar.lark")
    return lark.Lark(grammar.read_text(), parser="lalr", maybe_placeholders=False)


def _build_script(parsed):
    statements = tuple(statement for statement, _ in parsed)
    if len(statements) > 1 and any(
        isinstance(s, STANDALONE_STATEMENTS) for s in statements
    ):
        raise ServiceError(
            ErrorKind.BAD_REQUEST, "Only configuration changes may be combined."
        )
    bases = {base for _, base in parsed if base is not None}
    if len(bases) > 1:
        raise ServiceError(
            ErrorKind.BAD_REQUEST, "The changes specify different base versions."
        )
    return st.Script(statements, bases.pop() if bases else None)


def _describe_syntax_error(error, text):
    match error:
        case lark.exceptions.UnexpectedToken(token=token) if token.type != "$END":
            position = f"line {token.line}, column {token.column}"
            found = f"unexpected '{token}'"
            expected = error.accepts or error.expected
        case lark.exceptions.UnexpectedCharacters():
            position = f"line {error.line}, column {error.column}"
            found = f"unexpected character {text[error.pos_in_stream]!r}"
            expected = error.allowed or ()
        case _:
            lines = text.split("\n")
            position = f"line {len(lines)}, column {len(lines[-1]) + 1}"
            found = "unexpected end of script"
            expected = error.expected
    return f"At {position}: {found}{_format_expected(expected)}."


def _format_expected(expected):
    names = sorted(name for name in expected if not name.startswith(("_", "$")))
    if not names:
        return ""
    shown = ", ".join(names[:MAX_EXPECTED_SHOWN])
    more = ", ..." if len(names) > MAX_EXPECTED_SHOWN else ""
    return f"; expected {shown}{more}"


def _to_token_hash(text):
    if len(text) == TOKEN_HASH_CHARS and set(text) <= HEX_DIGITS:
        return text
    return util.hash_token(text)


def _option_builder(name):
    def build(self, children):
        return st.Option(name, children[-1])

    return build


class _Builder(lark.Transformer):
    """Builds statements from the parse tree, bottom-up."""

    def INT(self, token):  # noqa: N802
        return int(token)

    def text(self, children):
        return _unquote(children[0])

    def value(self, children):
        child = children[0]
        return child if isinstance(child, int) else _unquote(child)

    def switch(self, children):
        return children[0].type == "ON"

    def column(self, children):
        return str(children[0]).lower()

    def start(self, children):
        statements = [child for child in children if not isinstance(child, lark.Token)]
        return [c if isinstance(c, tuple) else (c, None) for c in statements]

    def condition(self, children):
        column, operator, value = children
        return st.Condition(column, str(operator), value)

    def where(self, children):
        return {"conditions": tuple(_drop_tokens(children))}

    def order(self, children):
        column = next(iter(_drop_tokens(children)))
        descending = children[-1] is not column
        return {"order_by": column, "descending": descending}

    def limit(self, children):
        return {"limit": children[-1]}

    def show(self, children):
        parts = {}
        for part in _drop_tokens(children):
            parts |= part
        return st.Show(st.Subject(children[1].lower()), **parts)

    def explain_request(self, children):
        return st.Explain("request", children[-1])

    def explain_host(self, children):
        return st.Explain("host", children[-1])

    def at(self, children):
        return children[-1]

    def change(self, children):
        statement, *base = children
        return statement, base[0] if base else None

    def load(self, children):
        return st.LoadVersion(model=children[-1], version=children[2])

    def create_account(self, children):
        return st.CreateAccount(children[2], tuple(children[3:]))

    def alter_account(self, children):
        return st.AlterAccount(children[2], tuple(children[3:]))

    def drop_account(self, children):
        return st.DropAccount(children[2])

    def model(self, children):
        return children[-1]

    def create_pool(self, children):
        model = children[5] if len(children) > 5 else ""
        return st.CreatePool(children[2], children[4].lower(), model)

    def drop_pool(self, children):
        return st.DropPool(children[2])

    def create_upstream(self, children):
        return st.CreateUpstream(children[2], tuple(children[3:]))

    def drop_upstream(self, children):
        return st.DropUpstream(children[2])

    def drain_upstream(self, children):
        return st.SetDraining("upstream", children[2], True)

    def resume_upstream(self, children):
        return st.SetDraining("upstream", children[2], False)

    def drain_host(self, children):
        return st.SetDraining("host", children[2], True)

    def resume_host(self, children):
        return st.SetDraining("host", children[2], False)

    def kind(self, children):
        return st.Option("kind", children[-1].lower())

    def token(self, children):
        return st.Option("token_hash", _to_token_hash(children[-1]))

    def pools(self, children):
        return st.Option("pools", tuple(_drop_tokens(children)))

    def on_version_change(self, children):
        return st.Option("delivery.on_version_change", children[-1].lower())

    share = _option_builder("share")
    staleness = _option_builder("staleness_bound")
    zone = _option_builder("zone")
    hedge = _option_builder("delivery.hedge")
    cut_off_serve = _option_builder("cut_off.serve")
    cut_off_share = _option_builder("cut_off.share")
    cut_off_staleness = _option_builder("cut_off.staleness_bound")
    pool = _option_builder("pool")
    address = _option_builder("address")
    port = _option_builder("port")
    slots = _option_builder("slots")
    fencing = _option_builder("fencing")


def _unquote(token):
    return token[1:-1] if token.type == "STRING" else str(token)


def _drop_tokens(children):
    return [child for child in children if not isinstance(child, lark.Token)]


_builder = _Builder()
