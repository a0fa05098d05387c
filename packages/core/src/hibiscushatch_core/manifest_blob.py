"""The form in which a manifest is stored on the platform and sent to peers.

A design-size manifest is several hundred kilobytes of JSON, so it travels
compressed; one value of the platform and one peer message carry it whole.
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
    """The JSON value under the manifest key.

    ``commit_id`` is unique to one commit, so that an operator whose answer
    was lost can tell whether the stored manifest is the one sent.
    ``previous_commit_ids`` names the commits that it was built on, the latest
    first, so that this can be told after later commits too.
    """

    commit_id: str
    previous_commit_ids: Annotated[
        tuple[str, ...], pydantic.Field(max_length=PREVIOUS_COMMIT_IDS_MAX)
    ] = ()
    generation: int
    compressed: pydantic.Base64Bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CommittedManifest:
    """A manifest with the identity of its commit and its stored form."""

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
        previous_commit_ids: Those of the commits before, the latest first;
            no more than PREVIOUS_COMMIT_IDS_MAX are kept.

    Returns:
        The JSON value, at most PLATFORM_VALUE_BYTES_MAX bytes.

    Raises:
        InvalidDocumentError: When the value would be too large.
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
            '$', f'{len(blob)} bytes do not fit {PLATFORM_VALUE_BYTES_MAX}'
        )
        raise InvalidDocumentError('encode manifest', commit_id, (problem,))
    return blob


def decode_manifest(blob: bytes, peer: str) -> CommittedManifest:
    """Decode and validate a stored manifest.

    Args:
        blob: The JSON value.
        peer: Where it came from, for the error.

    Returns:
        The manifest with its commit id.

    Raises:
        InvalidDocumentError: When it is not a valid manifest.
    """
    stored = parse_document(StoredManifest, blob, peer)
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(stored.compressed, MANIFEST_TEXT_BYTES_MAX)
    except zlib.error as error:
        problem = FieldProblem('compressed', str(error))
        raise InvalidDocumentError(_STEP, peer, (problem,)) from error
    document = parse_document(ManifestDocument, text, peer)
    if document.generation != stored.generation:
        problem = FieldProblem('generation', 'differs from the manifest inside')
        raise InvalidDocumentError(_STEP, peer, (problem,))
    return CommittedManifest(stored.commit_id, document, blob)
