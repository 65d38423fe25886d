"""
cyclamenshift.__main__
======================

Runs the command line for operators as ``python -m cyclamenshift``.
"""

import sys

from .cmdline import main

if __name__ == '__main__':
    sys.exit(main())
