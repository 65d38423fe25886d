"""
cyclamenshift.command
=====================

The base class of the operators' commands, and their HTTP client.
"""

import abc
import argparse
from http import HTTPStatus
from typing import Any, Final, NamedTuple

import httpx

from .errors import ControlError
from .plugin import Plugin

#: The exit codes of ``cyclamenshift``.
EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2

#: Time limit for the response of an entry VM, seconds.
TIMEOUT_S: Final = 30


class Report(NamedTuple):
    """The output of a command, as JSON and as text, and its exit code."""

    value: Any
    lines: tuple[str, ...]
    code: int = EXIT_OK


class Command(Plugin):
    """A sub-command of ``cyclamenshift``."""

    kind = 'command'
    help: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command to *parser*."""

    @abc.abstractmethod
    async def run(self, options: argparse.Namespace) -> Report:
        """
        Run the command.

        Raises ControlError or SettingsError.
        """


async def call(
    options: argparse.Namespace,
    method: str,
    path: str,
    body: Any = None,
) -> Any:
    """
    Send a request to the entry VM and return its JSON response.

    Raises ControlError if it refuses or can't be reached.
    """
    try:
        async with httpx.AsyncClient(timeout=TIMEOUT_S) as client:
            response = await client.request(
                method,
                f'{options.entry}{path}',
                json=body,
            )
    except httpx.HTTPError as error:
        raise ControlError(
            f'Cannot reach the entry VM at {options.entry}: '
            f'{type(error).__name__}.',
            'Use --entry to select another one.',
        ) from error
    if response.status_code != HTTPStatus.OK:
        raise _refusal(response)
    return response.json()


def _refusal(response: httpx.Response) -> ControlError:
    try:
        problem = response.json()
        return ControlError(problem['reason'], problem['remedy'])
    except (ValueError, KeyError):
        return ControlError(
            f'The entry VM responded with status {response.status_code}.',
            "Check that --entry is the URL of the operators' port.",
        )
