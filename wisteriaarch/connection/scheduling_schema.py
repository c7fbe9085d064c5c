"""Cap'n Proto schema of the scheduling messages, shared by encoder and decoder."""

from enum import IntEnum
from pathlib import Path

import capnp

SCHEMA_PATH = Path(__file__).parents[1] / "schema" / "scheduling.capnp"
MS_PER_S = 1000
PERCENT = 100
# Encodes an absent duration.
NO_DURATION_MS = -1.0


class LimitStated(IntEnum):
    """What an upstream's answer states about its request limit."""

    UNKNOWN = 0
    NONE = 1
    RATE = 2


class SoftwareIs(IntEnum):
    """Meaning of the software version in a query for a placement."""

    UNKNOWN = 0
    REQUIRED = 1
    PREFERRED = 2


capnp.remove_import_hook()
schema = capnp.load(str(SCHEMA_PATH))
