"""
cyclamenshift.errors
====================

The exceptions of the package; each message includes a remedy.
"""


class CyclamenshiftError(Exception):
    """Base class of all exceptions that this package defines."""

    def __init__(self, problem: str, remedy: str) -> None:
        """Create an exception whose message is *problem* and *remedy*."""
        super().__init__(f'{problem} {remedy}')
        self.problem = problem
        self.remedy = remedy


class PluginError(CyclamenshiftError):
    """A plug-in name is unknown or registered twice."""


class SettingsError(CyclamenshiftError):
    """A settings file is invalid; the problem starts with file and line."""


class ProtocolError(CyclamenshiftError):
    """The remote end of a connection violated the protocol."""


class ControlError(CyclamenshiftError):
    """An entry VM refused an operator's request or is unreachable."""


class StartError(CyclamenshiftError):
    """A process can't start, for example because its port is in use."""
