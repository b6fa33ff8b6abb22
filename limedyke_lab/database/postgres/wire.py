"""Server messages of the PostgreSQL protocol, version 3, built with py-postgresql's elements."""

from __future__ import annotations

from collections.abc import Sequence
from struct import Struct

from postgresql.protocol import element3
from postgresql.protocol.element3 import cat_messages

from limedyke_lab.database.errors import SqlError

OID_BOOL = 16
OID_BYTEA = 17
OID_INT8 = 20
OID_INT2 = 21
OID_INT4 = 23
OID_TEXT = 25
OID_FLOAT4 = 700
OID_FLOAT8 = 701
OID_NUMERIC = 1700

_TYPE_SIZES = {OID_BOOL: 1, OID_INT8: 8, OID_INT4: 4, OID_FLOAT8: 8}
_OID_OF_CLASS = {int: OID_INT8, float: OID_FLOAT8, str: OID_TEXT, bytes: OID_BYTEA, bool: OID_BOOL}
_INT8 = Struct("!q")
_INT4 = Struct("!i")
_INT2 = Struct("!h")
_FLOAT8 = Struct("!d")
_FLOAT4 = Struct("!f")
_DESCRIPTION_CACHE_ENTRIES = 1024
_TRUE_TEXTS = frozenset({"t", "true", "on", "yes", "1", "y"})

READY_IDLE = element3.Ready(b"I").bytes()
READY_TRANSACTION = element3.Ready(b"T").bytes()
READY_FAILED = element3.Ready(b"E").bytes()
PARSE_COMPLETE = element3.ParseCompleteMessage.bytes()
BIND_COMPLETE = element3.BindCompleteMessage.bytes()
CLOSE_COMPLETE = element3.CloseCompleteMessage.bytes()
NO_DATA = element3.NoDataMessage.bytes()
SUSPENDED = element3.SuspensionMessage.bytes()
EMPTY_QUERY = element3.NullMessage.bytes()
AUTHENTICATION_OK = element3.Authentication(0, b"").bytes()
BINARY = element3.BinaryFormat


def error_response(error: SqlError) -> bytes:
    """Return an ErrorResponse."""
    severity = b"FATAL" if error.fatal else b"ERROR"
    fields = {
        b"S": severity,
        b"V": severity,
        b"C": error.sqlstate.encode(),
        b"M": error.message.encode() or b"error",
    }
    if error.detail:
        fields[b"D"] = error.detail.encode()
    # element3 omits the zero byte that terminates the list of fields.
    fields[b"R"] = b"limedyke_lab\x00"
    return element3.Error(fields).bytes()


def parameter_status(name: str, value: str) -> bytes:
    """Return a ParameterStatus."""
    return element3.ShowOption(name.encode(), value.encode()).bytes()


def command_complete(tag: str) -> bytes:
    """Return a CommandComplete."""
    return element3.Complete(tag.encode()).bytes()


def column_types(rows: Sequence[Sequence[object]], width: int) -> tuple[int, ...]:
    """Return the type OID of each column, taken from its first non-NULL value."""
    types = []
    for index in range(width):
        oid = OID_TEXT
        for row in rows:
            if row[index] is not None:
                oid = _OID_OF_CLASS.get(row[index].__class__, OID_TEXT)
                break
        types.append(oid)
    return tuple(types)


_descriptions: dict[tuple[object, ...], bytes] = {}


def row_description(
    names: tuple[str, ...], types: tuple[int, ...], formats: tuple[bytes, ...]
) -> bytes:
    """Return a RowDescription; formats has no entry, one for all columns, or one per column."""
    key = (names, types, formats)
    found = _descriptions.get(key)
    if found is None:
        if len(_descriptions) >= _DESCRIPTION_CACHE_ENTRIES:
            _descriptions.clear()
        found = _descriptions[key] = _build_description(names, types, formats)
    return found


def _build_description(
    names: tuple[str, ...], types: tuple[int, ...], formats: tuple[bytes, ...]
) -> bytes:
    columns = []
    for name, oid, is_binary in zip(names, types, column_formats(formats, len(names)), strict=True):
        size = _TYPE_SIZES.get(oid, -1)
        columns.append((name.encode(), 0, 0, oid, size, -1, int(is_binary)))
    return element3.TupleDescriptor(columns).bytes()


def column_formats(formats: Sequence[bytes], width: int) -> tuple[bool, ...]:
    """Return for each column whether its values are sent in binary format."""
    if not formats:
        return (False,) * width
    if len(formats) == 1:
        return (formats[0] == BINARY,) * width
    return tuple(value == BINARY for value in formats)


def data_rows(
    rows: Sequence[Sequence[object]], formats: Sequence[bytes], types: Sequence[int]
) -> bytes:
    """Return the DataRow messages of the rows."""
    if not rows:
        return b""
    binary = column_formats(formats, len(rows[0]))
    if any(binary):
        encoded = [_encode_mixed_row(row, binary, types) for row in rows]
    else:
        encoded = [tuple([_encode_text(value) for value in row]) for row in rows]
    return cat_messages(encoded)


def _encode_text(value: object) -> bytes | None:
    kind = value.__class__
    if kind is str:
        return value.encode()
    if kind is int:
        return b"%d" % value
    if value is None:
        return None
    if kind is bool:
        return b"t" if value else b"f"
    if kind is bytes:
        return b"\\x" + value.hex().encode()
    return _encode_float(value)


def _encode_float(value: float) -> bytes:
    if value in (float("inf"), float("-inf")):
        return b"Infinity" if value > 0 else b"-Infinity"
    return repr(value).encode()


def _encode_mixed_row(
    row: Sequence[object], binary: tuple[bool, ...], types: Sequence[int]
) -> tuple[bytes | None, ...]:
    return tuple(
        _encode_binary(value, oid) if is_binary else _encode_text(value)
        for value, is_binary, oid in zip(row, binary, types, strict=True)
    )


def _encode_binary(value: object, oid: int) -> bytes | None:
    if value is None:
        return None
    if oid == OID_INT8:
        return _INT8.pack(int(value))
    if oid == OID_FLOAT8:
        return _FLOAT8.pack(float(value))
    if oid == OID_BOOL:
        return b"\x01" if value else b"\x00"
    if value.__class__ is bytes:
        return value
    return str(value).encode()


def decode_parameters(
    arguments: Sequence[bytes | None], formats: Sequence[bytes], types: Sequence[int]
) -> tuple[object, ...]:
    """Return the Python values of bound parameters."""
    binary = column_formats(formats, len(arguments))
    values = []
    for index, data in enumerate(arguments):
        oid = types[index] if index < len(types) else 0
        values.append(_decode(data, binary[index], oid))
    return tuple(values)


def _decode(data: bytes | None, is_binary: bool, oid: int) -> object:
    if data is None:
        return None
    try:
        return _decode_binary(data, oid) if is_binary else _decode_text(data, oid)
    except (ValueError, KeyError) as error:
        raise SqlError("22P02", f"invalid parameter value of type {oid}") from error


_BINARY_STRUCTS = {
    (OID_INT2, 2): _INT2,
    (OID_INT4, 4): _INT4,
    (OID_INT8, 8): _INT8,
    (OID_FLOAT4, 4): _FLOAT4,
    (OID_FLOAT8, 8): _FLOAT8,
}


def _decode_binary(data: bytes, oid: int) -> object:
    if oid == OID_BOOL:
        return int(data != b"\x00")
    if oid == OID_BYTEA:
        return data
    structure = _BINARY_STRUCTS.get((oid, len(data)))
    if structure is not None:
        return structure.unpack(data)[0]
    return data.decode()


def _decode_text(data: bytes, oid: int) -> object:
    text = data.decode()
    if oid in (OID_INT8, OID_INT4, OID_INT2):
        return int(text)
    if oid in (OID_FLOAT8, OID_FLOAT4):
        return float(text)
    if oid == OID_NUMERIC:
        return int(text) if text.lstrip("-").isdigit() else float(text)
    if oid == OID_BOOL:
        return int(text.strip().lower() in _TRUE_TEXTS)
    if oid == OID_BYTEA and text.startswith("\\x"):
        return bytes.fromhex(text[2:])
    return text
