"""
tests.test_settings
===================

Invalid settings and configurations: one clear error each, none applied.
"""

import pathlib

import pytest

from cyclamenshift import cmdline, daemon, settings

VALID = """\
pools:
  desk: {}
services:
  desk:
    pool: desk
vms:
  desk-1:
    pool: desk
    data_centre: dc-1
    rack: rack-1
    address: http://127.0.0.1:9001
"""

#: A second file, and the start of the error for it.
INVALID = {
    'bad YAML': (
        'pools: {desk: [}\n',
        '20-late.yaml:1: invalid YAML',
    ),
    'unknown key': (
        'services:\n  desk:\n    avalability: 90\n',
        '20-late.yaml:3: services.desk.avalability: unknown key',
    ),
    'duplicate VM': (
        'vms:\n  desk-2: {pool: desk}\n  desk-2: {pool: desk}\n',
        '20-late.yaml:3: vms.desk-2 is already defined at 20-late.yaml:2',
    ),
    'two VMs with one address': (
        'vms:\n  desk-2:\n    pool: desk\n    data_centre: dc-1\n'
        '    rack: rack-1\n    address: http://127.0.0.1:9001\n',
        '20-late.yaml:6: vms.desk-2.address: '
        'the address is already used by VM desk-1',
    ),
    'missing pool': (
        'vms:\n  desk-1:\n    pool: dock\n',
        "20-late.yaml:3: vms.desk-1.pool: unknown pool 'dock'",
    ),
    'missing key': (
        'vms:\n  desk-2:\n    pool: desk\n',
        '20-late.yaml:2: vms.desk-2: data_centre is missing',
    ),
    'wrong type': (
        'services:\n  desk:\n    availability: most\n',
        '20-late.yaml:3: services.desk.availability: expected `int`',
    ),
    'out of range': (
        'services:\n  desk:\n    availability: 101\n',
        '20-late.yaml:3: services.desk.availability: expected `int` <= 100',
    ),
    'not a mapping': (
        '- desk\n',
        '20-late.yaml:1: the file is not a mapping',
    ),
    'a name that is not allowed': (
        'pools:\n  Desk One: {}\n',
        '20-late.yaml:2: pools.Desk One: invalid name',
    ),
}


@pytest.mark.parametrize('case', INVALID)
def test_invalid_fleet(
    case: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The check names the file, line and fault, and exits with code 2."""
    text, expected = INVALID[case]
    (tmp_path / '10-good.yaml').write_text(VALID)
    (tmp_path / '20-late.yaml').write_text(text)
    code = cmdline.main(['config', 'check', str(tmp_path)])
    printed = capsys.readouterr()
    assert code == 2
    assert not printed.out
    assert printed.err.startswith(f'cyclamenshift: {expected}')
    assert printed.err.count('\n') == 1


def test_check_of_the_settings_folder_names_the_fleet_folder(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Checking the settings folder as a fleet names the fleet's folder."""
    (tmp_path / '10-entry.yaml').write_text('entry: {id: entry-1}\n')
    subfolder = tmp_path / 'fleet'
    subfolder.mkdir()
    (subfolder / '10-good.yaml').write_text(VALID)
    assert cmdline.main(['config', 'check', str(tmp_path)]) == 2
    printed = capsys.readouterr().err
    assert '10-entry.yaml:1: entry: unknown key' in printed
    assert f'The fleet configuration is in {subfolder}.' in printed


def test_valid_fleet(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The check of a valid fleet counts its services, pools and VMs."""
    (tmp_path / '10-good.yaml').write_text(VALID)
    assert cmdline.main(['config', 'check', str(tmp_path)]) == 0
    assert '1 services, 1 pools, 1 vms' in capsys.readouterr().out


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('entry: {id: [}\n', '10-entry.yaml:1: invalid YAML'),
        ('entry:\n  name: x\n', '10-entry.yaml:2: entry.name: unknown key'),
        ('peers:\n  port: 70000\n', '10-entry.yaml:2: peers.port: expected'),
        (
            'store:\n  plugin: http\n',
            '10-entry.yaml:2: store.plugin: the http plug-in requires',
        ),
        (
            'store:\n  plugin: papyrus\n',
            "Unknown store plug-in 'papyrus'",
        ),
    ],
)
def test_invalid_settings(
    text: str,
    expected: str,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The daemon names the file, line and fault, and does not start."""
    (tmp_path / '10-entry.yaml').write_text(text)
    code = daemon.main(['--settings', str(tmp_path)])
    printed = capsys.readouterr()
    assert code == 2
    assert printed.err.startswith(f'cyclamenshiftd: {expected}')


def test_missing_settings_folder(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The daemon names a settings folder that does not exist."""
    missing = tmp_path / 'none'
    assert daemon.main(['--settings', str(missing)]) == 2
    assert f'{missing}: no such folder' in capsys.readouterr().err


@pytest.mark.parametrize('example', ['first-run', 'tuul-wash', 'halloran'])
def test_example_is_valid(example: str) -> None:
    """The settings and the fleet of each example pass the check."""
    folder = pathlib.Path(__file__).parents[1] / 'examples' / example
    assert daemon.main(['--check', '--settings', str(folder)]) == 0
    assert cmdline.main(['config', 'check', str(folder / 'fleet')]) == 0


def test_settings_page_lists_the_defaults() -> None:
    """The page has a row for each setting, with its default."""
    page = pathlib.Path(__file__).parents[1] / 'docs' / 'SETTINGS.md'
    rows = [
        tuple(cell.strip(' `') for cell in line.split('|')[1:3])
        for line in page.read_text(encoding='utf-8').splitlines()
        if line.startswith('| `')
    ]
    assert rows == [
        (f'{section}.{name}', str(default))
        for section, values in settings.DEFAULTS.items()
        for name, default in values.items()
    ]
