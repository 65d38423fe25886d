"""
cyclamenshift.command
=====================

The base of the operators' commands, and their HTTP client.
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

#: How long an entry VM may take to answer an operator, seconds.
TIMEOUT_S: Final = 30


class Report(NamedTuple):
    """What a command prints: JSON, or lines of text, and its exit code."""

    value: Any
    lines: tuple[str, ...]
    code: int = EXIT_OK


class Command(Plugin):
    """One command of the operators' program."""

    kind = 'command'
    help: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments that the command takes."""

    @abc.abstractmethod
    async def run(self, options: argparse.Namespace) -> Report:
        """
        Do what the operator asks.

        Raises ControlError or SettingsError, with the remedy.
        """


async def call(
    options: argparse.Namespace,
    method: str,
    path: str,
    body: Any = None,
) -> Any:
    """
    Return the JSON that the entry VM answers.

    Raises ControlError when it refuses or can't be reached.
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
            f'The entry VM at {options.entry} can not be reached: '
            f'{type(error).__name__}.',
            'Name another with --entry.',
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
            f'The entry VM answered {response.status_code}.',
            "Check that --entry names the operators' port.",
        )
