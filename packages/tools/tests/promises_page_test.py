"""Tests that what docs/PROMISES.md names as proof exists."""

import importlib
import pathlib
import re

PAGE = pathlib.Path('docs/PROMISES.md').read_text()
NAMED_TEST = re.compile(r'`(\w+_test)\.(test_\w+)`')
NAMED_SCENARIO = re.compile('`(scenarios/[^`]+)`')
NAMED_MODULE = re.compile(r'`(hibiscushatch_\w+\.\w+)`')
FILLED_PARTS = ('- **Mechanism**:', '- **Tests**:', '- **Scenarios**:')
NOT_COVERED = '- **Not covered**:'
SECTION_WITHOUT_MECHANISM = 'Faults'


def test_every_named_test_exists() -> None:
    named = NAMED_TEST.findall(PAGE)
    assert named
    for module, function in named:
        paths = list(pathlib.Path().glob(f'packages/*/tests/{module}.py'))
        assert len(paths) == 1, module
        text = paths[0].read_text()
        assert re.search(rf'^(async )?def {function}\(', text, re.MULTILINE), (
            module,
            function,
        )


def test_every_named_scenario_exists() -> None:
    named = NAMED_SCENARIO.findall(PAGE)
    assert named
    missing = [one for one in named if not pathlib.Path(one).is_file()]
    assert not missing, missing


def test_every_named_module_exists() -> None:
    named = NAMED_MODULE.findall(PAGE)
    assert named
    for one in named:
        importlib.import_module(one)


def test_every_promise_has_its_parts() -> None:
    for section in PAGE.split('\n## ')[1:]:
        title, _, text = section.partition('\n')
        assert NOT_COVERED in text, title
        if title != SECTION_WITHOUT_MECHANISM:
            assert all(part in text for part in FILLED_PARTS), title
