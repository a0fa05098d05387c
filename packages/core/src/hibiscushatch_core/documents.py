"""Reading JSON documents into validated models with every problem listed."""

import json
import pathlib
from collections.abc import Iterator
from typing import TypeVar

import pydantic

from hibiscushatch_core.errors import FieldProblem, InvalidDocumentError

ModelT = TypeVar('ModelT', bound='StrictModel')


class ConflictsError(ValueError):
    """Fields that are valid one by one do not go together."""

    def __init__(self, problems: tuple[FieldProblem, ...]) -> None:
        self.problems = problems
        super().__init__(
            '; '.join(f'{one.path}: {one.message}' for one in problems)
        )


class StrictModel(pydantic.BaseModel):
    """A border model: unknown fields are errors, instances are frozen."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    @classmethod
    def conflicts(cls, values: object) -> Iterator[FieldProblem]:
        """Find what is wrong across fields.

        Args:
            values: The document as JSON values; single fields may be wrong.

        Returns:
            One problem each; none unless a subclass finds them.
        """
        return iter(())


def json_path(location: tuple[int | str, ...]) -> str:
    """Turn a pydantic error location into a JSON path.

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
        model: The border model to build.
        text: The JSON document.
        peer: Where the text came from, for the error message.

    Returns:
        The validated model.

    Raises:
        InvalidDocumentError: With all problems at once.
    """
    step = f'read {model.__name__}'
    try:
        return model.model_validate_json(text)
    except pydantic.ValidationError as error:
        problems = (*_field_problems(error), *_conflicts_in(model, text))
        raise InvalidDocumentError(step, peer, problems) from error


def _field_problems(error: pydantic.ValidationError) -> Iterator[FieldProblem]:
    for one in error.errors(include_url=False):
        cause = one.get('ctx', {}).get('error')
        if not isinstance(cause, ConflictsError):
            yield FieldProblem(json_path(one['loc']), one['msg'])


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
        model: The border model to build.
        path: The file.

    Returns:
        The validated model.

    Raises:
        InvalidDocumentError: When the file can't be read or is wrong.
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
    """Render the JSON Schema of a model as it is committed.

    Args:
        model: A border model.

    Returns:
        Indented JSON that ends with a newline.
    """
    schema = model.model_json_schema()
    return json.dumps(schema, indent=2, sort_keys=True) + '\n'
