"""
cyclamenshift
=============

A fleet capacity and maintenance manager for pools of VMs.

The names exported here are the public API; everything else may change.
"""

from .clock import Clock
from .component import Component
from .errors import CyclamenshiftError
from .kernel import Kernel, build
from .model import Done, NotRun, Outcome, Reason, Request, Unknown
from .plugin import Plugin, find, register

__all__ = (
    'Clock',
    'Component',
    'CyclamenshiftError',
    'Done',
    'Kernel',
    'NotRun',
    'Outcome',
    'Plugin',
    'Reason',
    'Request',
    'Unknown',
    'build',
    'find',
    'register',
)
