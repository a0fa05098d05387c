"""Statements of the scenario language and the words they are made of.

A statement is one line. What follows ``#`` is a comment; words are parted by
spaces; a time is a number with ``ms``, ``s`` or ``m``.
"""

import dataclasses
import pathlib
from collections.abc import Iterator
from typing import TypeVar

from hibiscushatch_core.errors import HibiscushatchError

COMMENT = '#'
SECONDS_PER_UNIT = (('ms', 0.001), ('s', 1), ('m', 60))
INCLUDE_DEPTH_MAX = 5
NumberT = TypeVar('NumberT', int, float)


class ScenarioSyntaxError(HibiscushatchError):
    """A line of a scenario file can't be understood."""


@dataclasses.dataclass(slots=True)
class Statement:
    """One line, read word by word.

    Attributes:
        path: The file.
        line: Line number, from 1.
        words: The words that are not read yet.
    """

    path: pathlib.Path
    line: int
    words: list[str]

    def error(self, reason: str) -> ScenarioSyntaxError:
        """Build the error that names this line."""
        place = f'{self.path}:{self.line}'
        return ScenarioSyntaxError('read scenario', place, reason)

    def take(self, meaning: str) -> str:
        """Take the next word; the meaning names it in errors."""
        if not self.words:
            raise self.error(f'{meaning} is missing')
        return self.words.pop(0)

    def take_word_of(self, choices: tuple[str, ...], meaning: str) -> str:
        """Take the next word, which must be one of some."""
        word = self.take(meaning)
        if word not in choices:
            known = ', '.join(choices)
            raise self.error(f'{meaning} is {word!r}, not one of: {known}')
        return word

    def skip(self, word: str) -> None:
        """Take a word that must stand here."""
        found = self.take(repr(word))
        if found != word:
            raise self.error(f'{found!r} stands where {word!r} should')

    def skip_if(self, word: str) -> bool:
        """Take a word if it stands here."""
        if self.words[:1] != [word]:
            return False
        self.words.pop(0)
        return True

    def take_rest(self) -> str:
        """Take all words that are left, as one text."""
        text = ' '.join(self.words)
        self.words.clear()
        return text

    def take_number(self, meaning: str) -> float:
        """Take a number."""
        return self._number(self.take(meaning), meaning)

    def take_count(self, meaning: str) -> int:
        """Take a whole number."""
        word = self.take(meaning)
        if not word.isdecimal():
            raise self.error(f'{meaning} is {word!r}, not a whole number')
        return int(word)

    def take_rate(self, meaning: str) -> float:
        """Take a number a second, such as ``20/s``."""
        word = self.take(meaning)
        if not word.endswith('/s'):
            raise self.error(f'{meaning} is {word!r}, not a rate such as 20/s')
        return self._number(word.removesuffix('/s'), meaning)

    def take_seconds(self, meaning: str) -> float:
        """Take a time and return it in seconds."""
        word = self.take(meaning)
        for unit, seconds in SECONDS_PER_UNIT:
            if word.endswith(unit):
                return self._number(word.removesuffix(unit), meaning) * seconds
        raise self.error(f'{meaning} is {word!r}, not a time such as 5s')

    def finish(self) -> None:
        """Check that no word is left."""
        if self.words:
            raise self.error(f'{self.take_rest()!r} is too much')

    def _number(self, word: str, meaning: str) -> float:
        try:
            return float(word)
        except ValueError:
            raise self.error(f'{meaning} is {word!r}, not a number') from None


def read_statements(path: pathlib.Path, depth: int = 0) -> Iterator[Statement]:
    """Read the statements of a file and of those that it includes.

    Args:
        path: The file.
        depth: How many files include one another so far.

    Yields:
        Statements in order, without the ``include`` ones.

    Raises:
        ScenarioSyntaxError: When a file can't be read.
    """
    try:
        text = path.read_text()
    except OSError as error:
        reason = error.strerror or str(error)
        raise ScenarioSyntaxError('read scenario', str(path), reason) from error
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.partition(COMMENT)[0].split()
        statement = Statement(path, number, words)
        if statement.skip_if('include'):
            yield from _read_included(statement, depth)
        elif words:
            yield statement


def _read_included(statement: Statement, depth: int) -> Iterator[Statement]:
    if depth == INCLUDE_DEPTH_MAX:
        raise statement.error('files include one another')
    name = statement.take('file to include')
    statement.finish()
    yield from read_statements(statement.path.parent / name, depth + 1)
