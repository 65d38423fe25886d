"""
tests.golden
============

Transcripts of sessions, compared with the golden files in tests/golden.
"""

import pathlib
import re

from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode
from syrupy.location import PyTestLocation

#: The folder of the golden files.
GOLDEN_FOLDER = pathlib.Path(__file__).parent / 'golden'
#: What varies between runs, and its replacement.
MASKS = (
    (re.compile(r'127\.0\.0\.1:\d+'), 'ADDRESS'),
    (re.compile('[0-9a-f]{32}'), 'ID'),
    (re.compile(r'\d+ ms ago'), 'N ms ago'),
    (re.compile(r' by \w+ is in force'), ' by NAME is in force'),
)


class TextExtension(SingleFileSnapshotExtension):
    """Stores each transcript in a plain text file."""

    _write_mode = WriteMode.TEXT
    file_extension = 'txt'

    @classmethod
    def dirname(cls, *, test_location: PyTestLocation) -> str:
        """Return the folder of all golden files."""
        return str(GOLDEN_FOLDER / test_location.basename)


class Transcript:
    """The lines of one session, without what varies between runs."""

    def __init__(self) -> None:
        """Start without a line."""
        self.lines: list[str] = []

    def append(self, heading: str, *details: object) -> None:
        """Append a heading and its details, one on each line."""
        self.lines.append(heading)
        for detail in details:
            self.lines.extend(
                f'    {line}' for line in mask(str(detail)).splitlines()
            )

    def text(self) -> str:
        """Return the whole transcript."""
        return '\n'.join((*self.lines, ''))


def mask(text: str) -> str:
    """Return *text* with a replacement for all that varies between runs."""
    for pattern, replacement in MASKS:
        text = pattern.sub(replacement, text)
    return text
