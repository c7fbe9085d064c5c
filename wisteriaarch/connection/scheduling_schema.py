"""Schema of the messages between an entry and a scheduler, as both codecs load it."""

from pathlib import Path

import capnp

SCHEMA_PATH = Path(__file__).parents[1] / "schema" / "scheduling.capnp"
MS_PER_S = 1000
# Stands for a time that there is none of.
NO_TIME_MS = -1.0

capnp.remove_import_hook()
schema = capnp.load(str(SCHEMA_PATH))
