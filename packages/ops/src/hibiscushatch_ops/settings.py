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
    """Settings for access to the platform and to the entry VMs.

    ``admin_key`` is one of the administration keys of the entry VMs and
    ``admin_call_timeout_s`` the deadline of each call to one of them.
    """

    platform: PlatformSettings
    admin_key: Annotated[str, pydantic.Field(min_length=KEY_BYTES_MIN)]
    admin_call_timeout_s: Interval = 2.0
