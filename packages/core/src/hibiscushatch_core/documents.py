"""Reading JSON documents into validated models with every problem listed."""

import json
import pathlib
from typing import TypeVar

import pydantic

from hibiscushatch_core.errors import FieldProblem, InvalidDocumentError

ModelT = TypeVar('ModelT', bound=pydantic.BaseModel)


class StrictModel(pydantic.BaseModel):
    """A border model: unknown fields are errors, instances are frozen."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


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
        problems = tuple(
            FieldProblem(json_path(one['loc']), one['msg'])
            for one in error.errors(include_url=False, include_context=False)
        )
        raise InvalidDocumentError(step, peer, problems) from error


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
