"""
cyclamenshift.platform.rows
===========================

Rows and transactions as the platform's store writes them.
"""

import base64
from typing import Any, Final, NotRequired, TypedDict

import msgspec

from ..store import ABSENT, Fields, Key, Row, Transaction
from .wire import OPERATOR_TABLE, STATUS_TABLE, WORKER_TABLE

#: The tables whose values others read or write, so that they are JSON.
JSON_TABLES: Final = frozenset((OPERATOR_TABLE, STATUS_TABLE, WORKER_TABLE))

#: A row; a dropped one has no value.
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
#: Rows; ``ver`` is the newest version of the whole store.
RowsBody = TypedDict(
    'RowsBody',
    {
        'rows': NotRequired[list[RowBody]],
        'hasMore': NotRequired[bool],
        'ver': NotRequired[int],
    },
)


def rows_of(page: RowsBody) -> list[Row]:
    """Return the rows of one page."""
    return [_row(body) for body in page.get('rows', ())]


def _row(body: RowBody) -> Row:
    key = Key(body['table'], body['key'], body.get('part', ''))
    if body.get('removed') or 'value' not in body:
        return Row(key, ABSENT, {})
    return Row(key, body.get('ver', ABSENT), _fields(key, body['value']))


def _fields(key: Key, value: str) -> Fields:
    """Return the fields of a row; none for bytes that can't be read."""
    decode_fields = (
        msgspec.json.decode
        if key.table in JSON_TABLES
        else msgspec.msgpack.decode
    )
    try:
        return decode_fields(base64.b64decode(value), type=dict[str, Any])
    except (msgspec.MsgspecError, ValueError):
        return {}


def _value(key: Key, fields: Fields) -> str:
    encoder = msgspec.json if key.table in JSON_TABLES else msgspec.msgpack
    return base64.b64encode(encoder.encode(fields)).decode()


def transaction_body(transaction: Transaction) -> dict[str, Any]:
    """Return *transaction* as the store takes it."""
    return {
        'precondition': [
            {**_place(check.key), 'ver': check.version}
            for check in transaction.checks
        ],
        'puts': [
            {**_place(write.key), 'value': _value(write.key, write.fields)}
            for write in transaction.writes
            if write.fields is not None
        ],
        'remove': [
            _place(write.key)
            for write in transaction.writes
            if write.fields is None
        ],
    }


def _place(key: Key) -> dict[str, str]:
    return {'table': key.table, 'part': key.partition, 'key': key.name}
