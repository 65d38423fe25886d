"""
cyclamenshift.errors
====================

The typed exceptions of the package; each message names the remedy.
"""


class CyclamenshiftError(Exception):
    """Base of every exception that this package raises on purpose."""

    def __init__(self, problem: str, remedy: str) -> None:
        """Keep *problem* and *remedy*; the message is both sentences."""
        super().__init__(f'{problem} {remedy}')
        self.problem = problem
        self.remedy = remedy


class PluginError(CyclamenshiftError):
    """A plug-in is unknown, or its name is taken."""


class SettingsError(CyclamenshiftError):
    """A settings file is wrong; the problem starts with file and line."""


class ProtocolError(CyclamenshiftError):
    """The other end of a stream sent something that is not allowed."""


class ControlError(CyclamenshiftError):
    """An entry VM refused an operator's call, or could not be reached."""


class StartError(CyclamenshiftError):
    """A process can't start, for example because its port is taken."""
