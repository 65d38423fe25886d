"""
tests.standins.store_limits
===========================

The limits of the platform's store on transactions.
"""

from cyclamenshift.platform.rows import size_of_value
from cyclamenshift.store import Transaction

#: The most checks and writes of a transaction.
MAX_TRANSACTION_ENTRIES = 100
#: The longest text of a key, bytes.
MAX_KEY_SIZE = 200
#: The largest value of a row, and of all values of a transaction, bytes.
MAX_ROW_SIZE = 65_536
MAX_TRANSACTION_SIZE = 1_000_000


def find_excess(transaction: Transaction) -> str:
    """Return why the store rejects *transaction*, '' if it does not."""
    entries = len(transaction.checks) + len(transaction.writes)
    if entries > MAX_TRANSACTION_ENTRIES:
        return 'too many entries'
    names = [text for write in transaction.writes for text in write.key]
    if any(len(text.encode()) > MAX_KEY_SIZE for text in names):
        return 'a key is too long'
    sizes = [
        size_of_value(write.fields)
        for write in transaction.writes
        if write.fields is not None
    ]
    if max(sizes, default=0) > MAX_ROW_SIZE:
        return 'a row is too large'
    return 'too large' if sum(sizes) > MAX_TRANSACTION_SIZE else ''
