"""
cyclamenshift.decoding
======================

The exceptions of decoders.
"""

from typing import Final

import msgspec

#: The exceptions raised for a document that can't be decoded; the nesting of
#: one that another writer made may be too deep.
DECODING_ERRORS: Final = (msgspec.MsgspecError, ValueError, RecursionError)
