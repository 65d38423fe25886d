"""
cyclamenshift.control
=====================

The base class of the components that manage the shared state.
"""

from .component import Component


class Control(Component):
    """A component that monitors or changes the state of the fleet."""

    kind = 'control'
