"""
cyclamenshift.__main__
======================

Runs the operators' command as ``python -m cyclamenshift``.
"""

import sys

from .cmdline import main

if __name__ == '__main__':
    sys.exit(main())
