"""Reads JSON documents into validated models and reports all problems."""

import json
import pathlib
from collections.abc import Iterator
from typing import TypeVar

import pydantic

from hibiscushatch_core.errors import FieldProblem, InvalidDocumentError

ModelT = TypeVar('ModelT', bound='StrictModel')


class ConflictsError(ValueError):
    """Fields that are valid individually contradict each other."""

    def __init__(self, problems: tuple[FieldProblem, ...]) -> None:
        self.problems = problems
        super().__init__(
            '; '.join(
                f'{problem.path}: {problem.message}' for problem in problems
            )
        )


class StrictModel(pydantic.BaseModel):
    """Base of all document models: frozen, and unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    @classmethod
    def conflicts(cls, values: object) -> Iterator[FieldProblem]:
        """Find contradictions between fields.

        Args:
            values: The document as JSON values; it may also have fields with
                invalid values.

        Returns:
            The problems; always empty unless a subclass overrides this.
        """
        return iter(())


def json_path(location: tuple[int | str, ...]) -> str:
    """Convert a pydantic error location to a JSON path.

    Args:
        location: Field names and list indexes from the root.

    Returns:
        A path such as ``services[0].port``; ``$`` for the root itself.
    """
    path = ''
    for part in location:
        path += f'[{part}]' if isinstance(part, int) else f'.{part}'
    return path.removeprefix('.') or '$'


def parse_document(model: type[ModelT], text: str | bytes, peer: str) -> ModelT:
    """Validate a JSON text against a model.

    Args:
        model: The model to build.
        text: The JSON document.
        peer: Source of the text, for the error message.

    Returns:
        The validated model.

    Raises:
        InvalidDocumentError: If the document is invalid; lists all problems.
    """
    step = f'read {model.__name__}'
    try:
        return model.model_validate_json(text)
    except pydantic.ValidationError as error:
        problems = (*_field_problems(error), *_conflicts_in(model, text))
        raise InvalidDocumentError(step, peer, problems) from error


def _field_problems(error: pydantic.ValidationError) -> Iterator[FieldProblem]:
    for detail in error.errors(include_url=False):
        cause = detail.get('ctx', {}).get('error')
        if not isinstance(cause, ConflictsError):
            yield FieldProblem(json_path(detail['loc']), detail['msg'])


def _conflicts_in(
    model: type[StrictModel], text: str | bytes
) -> Iterator[FieldProblem]:
    try:
        values = json.loads(text)
    except ValueError:
        return
    yield from model.conflicts(values)


def read_document(model: type[ModelT], path: pathlib.Path) -> ModelT:
    """Read and validate a JSON file.

    Args:
        model: The model to build.
        path: The file.

    Returns:
        The validated model.

    Raises:
        InvalidDocumentError: If the file can't be read or is invalid.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        problem = FieldProblem('$', error.strerror or str(error))
        raise InvalidDocumentError(
            f'read {model.__name__}', str(path), (problem,)
        ) from error
    return parse_document(model, text, str(path))


def schema_text(model: type[pydantic.BaseModel]) -> str:
    """Render the JSON Schema of a model as it is stored in ``schemas/``.

    Args:
        model: A document model.

    Returns:
        Indented JSON, ending with a newline.
    """
    schema = model.model_json_schema()
    return json.dumps(schema, indent=2, sort_keys=True) + '\n'
