"""
cyclamenshift.control
=====================

The base of the components that decide and keep the shared state.
"""

from .component import Component


class Control(Component):
    """A component that follows or changes the state of the fleet."""

    kind = 'control'
