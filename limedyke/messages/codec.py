"""Codec of the internal protocol: ormsgpack of ``[kind, fields]``.

Decoding validates every field against its annotation with pydantic, so a damaged or foreign
message is rejected here.
"""

from __future__ import annotations

from functools import cache

import ormsgpack
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from limedyke.messages.registry import CLASS_BY_KIND, KIND_BY_CLASS
from limedyke.result_codes import Failure, ResultCode


@cache
def _adapter(cls: type) -> TypeAdapter:
    return TypeAdapter(cls)


def encode(message: object) -> bytes:
    """Return the bytes of a registered message.

    :raises KeyError: if the class is not registered
    """
    return ormsgpack.packb((KIND_BY_CLASS[type(message)], message))


def decode(data: bytes) -> Result[object, Failure]:
    """Return the message in ``data``, or a PROTOCOL_VIOLATION failure."""
    try:
        kind, fields = ormsgpack.unpackb(data)
        cls = CLASS_BY_KIND[kind]
        return Ok(_adapter(cls).validate_python(fields))
    except (
        ormsgpack.MsgpackDecodeError,
        ValidationError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        return Err(Failure(ResultCode.PROTOCOL_VIOLATION, f"internal message: {error}"))
