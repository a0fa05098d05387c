"""Settings of the operators' command, read from a JSON file."""

from typing import Annotated

import pydantic

from hibiscushatch_core.documents import StrictModel
from hibiscushatch_core.settings import (
    KEY_BYTES_MIN,
    Interval,
    PlatformSettings,
)


class OperatorSettings(StrictModel):
    """All settings of the operators' command.

    ``platform`` says how the platform is called, ``admin_key`` is one of the
    administration keys of the entry VMs, and ``admin_call_timeout_s`` is the
    timeout of each call to an entry VM.
    """

    platform: PlatformSettings
    admin_key: Annotated[str, pydantic.Field(min_length=KEY_BYTES_MIN)]
    admin_call_timeout_s: Interval = 2.0
