"""Splits scenario files into statements and reads the words of a statement.

A statement is one line. ``#`` starts a comment, spaces separate words, and a
time is a number with the unit ``ms``, ``s`` or ``m`` (minutes).
"""

import dataclasses
import pathlib
from collections.abc import Iterator
from typing import TypeVar

from hibiscushatch_core.errors import HibiscushatchError

COMMENT_MARK = '#'
SECONDS_PER_UNIT = (('ms', 0.001), ('s', 1), ('m', 60))
INCLUDE_DEPTH_MAX = 5
NumberT = TypeVar('NumberT', int, float)


class ScenarioSyntaxError(HibiscushatchError):
    """A scenario file can't be read or parsed."""


@dataclasses.dataclass(slots=True)
class Statement:
    """One statement, read word by word.

    Attributes:
        path: The file that contains it.
        line: Its line number, from 1.
        words: The words that are not read yet.
    """

    path: pathlib.Path
    line: int
    words: list[str]

    def build_error(self, reason: str) -> ScenarioSyntaxError:
        """Build an error that names the file and line of the statement."""
        place = f'{self.path}:{self.line}'
        return ScenarioSyntaxError('read scenario', place, reason)

    def take(self, meaning: str) -> str:
        """Read the next word; ``meaning`` names it in error messages."""
        if not self.words:
            raise self.build_error(f'{meaning} is missing')
        return self.words.pop(0)

    def take_word_of(self, choices: tuple[str, ...], meaning: str) -> str:
        """Read the next word, which must be one of the choices."""
        word = self.take(meaning)
        if word not in choices:
            expected = ', '.join(choices)
            raise self.build_error(
                f'{meaning} is {word!r}, not one of: {expected}'
            )
        return word

    def expect_word(self, word: str) -> None:
        """Read the next word, which must be the given one."""
        found = self.take(repr(word))
        if found != word:
            raise self.build_error(f'{found!r} found, but {word!r} expected')

    def accept_word(self, word: str) -> bool:
        """Read the next word if it is the given one; return whether it is."""
        if self.words[:1] != [word]:
            return False
        self.words.pop(0)
        return True

    def take_rest(self) -> str:
        """Read all remaining words as one text."""
        text = ' '.join(self.words)
        self.words.clear()
        return text

    def take_number(self, meaning: str) -> float:
        """Read a number."""
        return self._parse_number(self.take(meaning), meaning)

    def take_count(self, meaning: str) -> int:
        """Read a whole number."""
        word = self.take(meaning)
        if not word.isdecimal():
            raise self.build_error(f'{meaning} is {word!r}, not a whole number')
        return int(word)

    def take_rate(self, meaning: str) -> float:
        """Read a rate per second, such as ``20/s``."""
        word = self.take(meaning)
        if not word.endswith('/s'):
            raise self.build_error(
                f'{meaning} is {word!r}, not a rate such as 20/s'
            )
        return self._parse_number(word.removesuffix('/s'), meaning)

    def take_seconds(self, meaning: str) -> float:
        """Read a time and return it in seconds."""
        word = self.take(meaning)
        for unit, seconds in SECONDS_PER_UNIT:
            if word.endswith(unit):
                return (
                    self._parse_number(word.removesuffix(unit), meaning)
                    * seconds
                )
        raise self.build_error(f'{meaning} is {word!r}, not a time such as 5s')

    def expect_end(self) -> None:
        """Check that all words have been read."""
        if self.words:
            raise self.build_error(f'{self.take_rest()!r} is unexpected')

    def _parse_number(self, word: str, meaning: str) -> float:
        try:
            return float(word)
        except ValueError:
            raise self.build_error(
                f'{meaning} is {word!r}, not a number'
            ) from None


def read_statements(path: pathlib.Path, depth: int = 0) -> Iterator[Statement]:
    """Read the statements of a file and of the files that it includes.

    Args:
        path: The file.
        depth: Number of files on the chain of includes to this one.

    Yields:
        Statements in order, except ``include`` statements.

    Raises:
        ScenarioSyntaxError: If a file can't be read.
    """
    try:
        text = path.read_text()
    except OSError as error:
        reason = error.strerror or str(error)
        raise ScenarioSyntaxError('read scenario', str(path), reason) from error
    for number, line in enumerate(text.splitlines(), start=1):
        words = line.partition(COMMENT_MARK)[0].split()
        statement = Statement(path, number, words)
        if statement.accept_word('include'):
            yield from _read_included(statement, depth)
        elif words:
            yield statement


def _read_included(statement: Statement, depth: int) -> Iterator[Statement]:
    if depth == INCLUDE_DEPTH_MAX:
        raise statement.build_error('too many nested includes')
    name = statement.take('file to include')
    statement.expect_end()
    yield from read_statements(statement.path.parent / name, depth + 1)
