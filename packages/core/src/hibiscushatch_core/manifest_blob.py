"""Encodes manifests for storage on the platform and for messages to peers.

A manifest of the size that hibiscushatch is designed for is several hundred
kilobytes of JSON. It is compressed so that it fits into a single value of the
platform and a single peer message.
"""

import binascii
import dataclasses
import zlib
from typing import Annotated

import pydantic

from hibiscushatch_core.documents import StrictModel, parse_document
from hibiscushatch_core.errors import FieldProblem, InvalidDocumentError
from hibiscushatch_core.manifest_document import ManifestDocument

PLATFORM_VALUE_BYTES_MAX = 1024 * 1024
MANIFEST_TEXT_BYTES_MAX = 32 * PLATFORM_VALUE_BYTES_MAX
PREVIOUS_COMMIT_IDS_MAX = 16
MANIFEST_KEY = 'manifest'
VM_LIST_KEY = 'vms/'
_STEP = 'decode manifest'


class StoredManifest(StrictModel):
    """The value of the manifest key, as JSON.

    ``commit_id`` is unique to a commit. An operator who got no answer can find
    out from it whether the commit took effect. ``previous_commit_ids`` lists
    the commits that came before, the latest first, so that this also works
    after later commits.
    """

    commit_id: str
    previous_commit_ids: Annotated[
        tuple[str, ...], pydantic.Field(max_length=PREVIOUS_COMMIT_IDS_MAX)
    ] = ()
    generation: int
    compressed: pydantic.Base64Bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CommittedManifest:
    """A manifest with its commit id and its encoded form."""

    commit_id: str
    document: ManifestDocument
    blob: bytes


def encode_manifest(
    document: ManifestDocument,
    commit_id: str,
    previous_commit_ids: tuple[str, ...] = (),
) -> bytes:
    """Encode a manifest for the platform.

    Args:
        document: The manifest.
        commit_id: Unique id of the commit.
        previous_commit_ids: Ids of the commits before, the latest first;
            only the first PREVIOUS_COMMIT_IDS_MAX are stored.

    Returns:
        The JSON value, at most PLATFORM_VALUE_BYTES_MAX bytes.

    Raises:
        InvalidDocumentError: If the value would be too large.
    """
    text = document.model_dump_json(exclude_defaults=True)
    stored = {
        'commit_id': commit_id,
        'previous_commit_ids': previous_commit_ids[:PREVIOUS_COMMIT_IDS_MAX],
        'generation': document.generation,
        'compressed': binascii.b2a_base64(
            zlib.compress(text.encode()), newline=False
        ),
    }
    blob = StoredManifest.model_validate(stored).model_dump_json().encode()
    if len(blob) > PLATFORM_VALUE_BYTES_MAX:
        problem = FieldProblem(
            '$',
            f'{len(blob)} bytes exceed the limit of {PLATFORM_VALUE_BYTES_MAX}',
        )
        raise InvalidDocumentError('encode manifest', commit_id, (problem,))
    return blob


def decode_manifest(blob: bytes, peer: str) -> CommittedManifest:
    """Decode and validate a stored manifest.

    Args:
        blob: The JSON value.
        peer: Source of the value, for the error message.

    Returns:
        The manifest with its commit id.

    Raises:
        InvalidDocumentError: If it is not a valid manifest.
    """
    stored = parse_document(StoredManifest, blob, peer)
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(
            stored.compressed, MANIFEST_TEXT_BYTES_MAX
        )
    except zlib.error as error:
        problem = FieldProblem('compressed', str(error))
        raise InvalidDocumentError(_STEP, peer, (problem,)) from error
    document = parse_document(ManifestDocument, text, peer)
    if document.generation != stored.generation:
        problem = FieldProblem(
            'generation', 'differs from that of the compressed manifest'
        )
        raise InvalidDocumentError(_STEP, peer, (problem,))
    return CommittedManifest(stored.commit_id, document, blob)
