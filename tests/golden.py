"""
tests.golden
============

Transcripts of whole sessions, compared with the files in tests/golden.
"""

import pathlib
import re

from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode
from syrupy.location import PyTestLocation

#: Where the golden files are.
FOLDER = pathlib.Path(__file__).parent / 'golden'
#: What differs from run to run, and what stands for it.
MASKS = (
    (re.compile(r'127\.0\.0\.1:\d+'), 'ADDRESS'),
    (re.compile('[0-9a-f]{32}'), 'ID'),
    (re.compile(r'\d+ ms ago'), 'N ms ago'),
    (re.compile(r' by \w+ is in force'), ' by NAME is in force'),
)


class TextExtension(SingleFileSnapshotExtension):
    """One plain text file for each transcript."""

    _write_mode = WriteMode.TEXT
    file_extension = 'txt'

    @classmethod
    def dirname(cls, *, test_location: PyTestLocation) -> str:
        """Return the folder of all golden files."""
        return str(FOLDER / test_location.basename)


class Transcript:
    """The lines of one session, with what differs masked."""

    def __init__(self) -> None:
        """Start without a line."""
        self.lines: list[str] = []

    def note(self, heading: str, *details: object) -> None:
        """Add a heading and its details, one a line."""
        self.lines.append(heading)
        for detail in details:
            self.lines.extend(
                f'    {line}' for line in mask(str(detail)).splitlines()
            )

    def text(self) -> str:
        """Return the whole transcript."""
        return '\n'.join((*self.lines, ''))


def mask(text: str) -> str:
    """Return *text* with what differs from run to run masked."""
    for pattern, stands_for in MASKS:
        text = pattern.sub(stands_for, text)
    return text
