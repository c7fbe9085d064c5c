"""Driver of role changes."""

import contextlib
import threading
import time

from extras.cluster import Process

from .control import ROLLOUT_TIMEOUT_S, UnderLoad
from .layout import SPLIT_ROLES
from .procedure import COMPLETION_TIMEOUT_S, wait_for
from .traffic import RETRY_DELAY_S, send

FEW_PREFILL = 1
MANY_PREFILL = 2
LONG_PROMPT_WORDS = 400


class RoleChange(UnderLoad):
    """The load shifts between prefill and decode, so that engines change roles."""

    name = "role"
    layout = SPLIT_ROLES

    def act_under_load(self) -> None:
        """Shift the load and wait up to ROLLOUT_TIMEOUT_S for the roles to change."""
        self.wanted = MANY_PREFILL if self._prefill() < MANY_PREFILL else FEW_PREFILL
        with contextlib.suppress(TimeoutError):
            self._shift(ROLLOUT_TIMEOUT_S)

    def settle(self) -> None:
        """Wait until the roles match the load and no closure is left."""
        self._shift(COMPLETION_TIMEOUT_S)
        wait_for(lambda: not self.bench.head()["closures"], COMPLETION_TIMEOUT_S)

    def _shift(self, timeout_s: float) -> None:
        shifting = threading.Event()
        shifting.set()
        loads = []
        if self.wanted == MANY_PREFILL:
            loads = [
                threading.Thread(target=self._send_prompts, args=(entry, shifting))
                for entry in self.bench.entries
            ]
        for load in loads:
            load.start()
        try:
            wait_for(lambda: self._prefill() == self.wanted, timeout_s)
        finally:
            shifting.clear()
            for load in loads:
                load.join()

    def _prefill(self) -> int:
        engines = self.bench.layout.engines
        roles = [self.bench.engine_state(name)["role"] for name in engines]
        return roles.count("prefill")

    def _send_prompts(self, entry: Process, shifting: threading.Event) -> None:
        headers = {"Authorization": f"Bearer {self.bench.credential}"}
        model = next(iter(self.bench.layout.models))
        while shifting.is_set():
            prompt = f"{self.rng.getrandbits(64)} " * LONG_PROMPT_WORDS
            body = {"model": model, "prompt": prompt, "max_tokens": 1}
            if send(entry.address, "/v1/completions", body, headers).status != 200:
                time.sleep(RETRY_DELAY_S)
