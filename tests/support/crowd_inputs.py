"""What the members of a crowd send over HTTP/1.1: heads, bodies and chunks that stop short of their end."""

from __future__ import annotations

from tests.support.crowd_kit import Input

PIECE = 64 * 1024
SMALL_PIECE = 1_400


def repeated(pattern: bytes, size: int) -> tuple[bytes, int]:
    """A piece made of `pattern`, and how often it is sent for `size` bytes together."""
    piece = pattern * max(1, PIECE // len(pattern))
    return piece, size // len(piece)


def body(head: bytes, size: int, missing: int = 1, piece_size: int = PIECE) -> Input:
    """A body with a length, in pieces, all but its last `missing` bytes. `head` has no final empty line."""
    length = f"Content-Length: {size}\r\n\r\n".encode()
    whole, rest = divmod(size - missing, piece_size)
    return Input(head + length, b"x" * piece_size, whole, b"x" * rest)


def one_chunk(head: bytes, size: int) -> Input:
    """A chunked body of one chunk, all but its last byte."""
    start = f"Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n".encode()
    whole, rest = divmod(size - 1, PIECE)
    return Input(head + start, b"x" * PIECE, whole, b"x" * rest)


def small_chunks(head: bytes, size: int) -> Input:
    """A chunked body in chunks of one byte, `size` bytes on the wire, without an end."""
    return Input(head + b"Transfer-Encoding: chunked\r\n\r\n", *repeated(b"1\r\nx\r\n", size))


def endless_field(head: bytes, size: int) -> Input:
    """A head with one field that does not end."""
    return Input(head + b"Long: ", *repeated(b"x", size))


def endless_fields(head: bytes, size: int) -> Input:
    """A head with fields without end."""
    return Input(head, *repeated(b"Name: value\r\n", size))


def empty_lines(size: int) -> Input:
    """Empty lines without end before a request."""
    return Input(b"", *repeated(b"\r\n", size))


def surplus(request: bytes, size: int) -> Input:
    """A whole request, then bytes that are none."""
    return Input(request, *repeated(b"\x00", size))
