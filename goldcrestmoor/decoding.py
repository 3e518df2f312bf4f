"""Decoding of what other programs have written, which may be anything."""

# Of a number that fits into 64 bits with its sign.
MAX_DIGITS = 18
MAX_INTEGER = 10**MAX_DIGITS - 1


def decode(decoder, data):
    """Return the object that bytes describe.

    :param decoder: a ``msgspec`` decoder.
    :param data: the bytes.
    :raises ValueError: whatever is wrong with them.
    """
    try:
        return decoder.decode(data)
    except RecursionError as e:
        raise ValueError("it is nested too deeply") from e


def parse_integer(text):
    """Return the whole number in a text, or None if it holds anything else.

    :param text: a string or bytes, decimal digits only.
    """
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)
