"""
cyclamenshift.platform.rows
===========================

Encodes and decodes the rows and transactions of the platform's store.
"""

import base64
from typing import Any, Final, NotRequired, TypedDict

import msgspec

from ..decoding import DECODING_ERRORS
from ..store import ABSENT, Fields, Key, Row, Transaction
from .wire import (
    OPERATOR_TABLE,
    STATUS_TABLE,
    WORKER_TABLE,
    Unreadable,
    convert,
)

#: The tables shared with the platform's own programs; values are JSON.
JSON_TABLES: Final = frozenset((OPERATOR_TABLE, STATUS_TABLE, WORKER_TABLE))

#: Base64 writes each group of bytes, also an incomplete one, as characters.
BASE64_BYTES: Final = 3
BASE64_CHARACTERS: Final = 4

#: A row; a deleted one has no value.
RowBody = TypedDict(
    'RowBody',
    {
        'table': str,
        'part': NotRequired[str],
        'key': str,
        'ver': NotRequired[int],
        'value': NotRequired[str],
        'removed': NotRequired[bool],
    },
)
#: A page of rows; ``ver`` is the newest version of the whole store.  Each row
#: is decoded by itself, so that an odd one does not hide the others.
RowsBody = TypedDict(
    'RowsBody',
    {
        'rows': NotRequired[list[Any]],
        'hasMore': NotRequired[bool],
        'ver': NotRequired[int],
    },
)


def decode_rows(page: RowsBody) -> list[Row]:
    """Return the rows of one page, without those that have no key."""
    bodies = (convert(row, RowBody) for row in page.get('rows', ()))
    return [
        _decode_row(body) for body in bodies if not isinstance(body, Unreadable)
    ]


def _decode_row(body: RowBody) -> Row:
    key = Key(body['table'], body['key'], body.get('part', ''))
    if body.get('removed') or 'value' not in body:
        return Row(key, ABSENT, {})
    return Row(key, body.get('ver', ABSENT), _decode_fields(key, body['value']))


def _decode_fields(key: Key, value: str) -> Fields:
    """Return the fields of a row, or none if *value* can't be decoded."""
    decode_value = (
        msgspec.json.decode
        if key.table in JSON_TABLES
        else msgspec.msgpack.decode
    )
    try:
        return decode_value(base64.b64decode(value), type=dict[str, Any])
    except DECODING_ERRORS:
        return {}


def size_of_value(fields: Fields) -> int:
    """Return the size of the value of a row that is not shared, bytes."""
    groups = -(-len(msgspec.msgpack.encode(fields)) // BASE64_BYTES)
    return groups * BASE64_CHARACTERS


def _encode_value(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _encode_fields(key: Key, fields: Fields) -> str:
    encoder = msgspec.json if key.table in JSON_TABLES else msgspec.msgpack
    return _encode_value(encoder.encode(fields))


def encode_transaction(transaction: Transaction) -> dict[str, Any]:
    """Return *transaction* as the JSON object that the store accepts."""
    return {
        'precondition': [
            {**_encode_key(check.key), 'ver': check.version}
            for check in transaction.checks
        ],
        'puts': [
            {
                **_encode_key(write.key),
                'value': _encode_fields(write.key, write.fields),
            }
            for write in transaction.writes
            if write.fields is not None
        ],
        'remove': [
            _encode_key(write.key)
            for write in transaction.writes
            if write.fields is None
        ],
    }


def _encode_key(key: Key) -> dict[str, str]:
    return {'table': key.table, 'part': key.partition, 'key': key.name}
