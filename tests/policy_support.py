"""Views, calls and reports for tests of pure decisions."""

import json
import random

from wisteriaarch.process.clock import now_s
from wisteriaarch.process.engine_speeds import SpeedEstimates
from wisteriaarch.process.load_reports import LoadReport
from wisteriaarch.process.store import Instance
from wisteriaarch.process.upstream_view import UpstreamView
from wisteriaarch.request.call import CompletionCall
from wisteriaarch.version.manifest import CallerSpec, ModelSpec
from wisteriaarch.wire import Address

MODEL = ModelSpec(name="citation", version="v1", replicas=1, group="fleet")
STEP_BASE_S = 0.03
STEP_PER_SEQUENCE_S = 0.0015
STEP_PER_TOKEN_S = 1 / 6000


def report(queued=0, running=0, prefill=0, **more):
    return LoadReport(
        incarnation=1,
        role=more.pop("role", "mixed"),
        models={MODEL.name: MODEL.version},
        queued=queued,
        running=running,
        prefill_tokens_left=prefill,
        received_at_s=now_s(),
        **more,
    )


def learned_speeds(role="mixed", seed=1):
    """Return speeds learned from the counters of a busy engine."""
    generator = random.Random(seed)
    speeds = SpeedEstimates()
    before = report(running=4, prefill=256, role=role)
    for _ in range(80):
        sequences, tokens = generator.uniform(1, 12), generator.uniform(0, 256)
        step_s = STEP_BASE_S + STEP_PER_SEQUENCE_S * sequences
        step_s += STEP_PER_TOKEN_S * tokens
        after = report(
            running=4,
            prefill=256,
            role=role,
            sampled_at_s=before.sampled_at_s + 10 * step_s,
            decoded_tokens=before.decoded_tokens + 10 * sequences,
            prefilled_tokens=before.prefilled_tokens + 10 * tokens,
            steps=before.steps + 10,
        )
        speeds.role(role).observe_reports(before, after)
        before = after
    return speeds


def make_views(count, speeds=None, **load):
    speeds = speeds or learned_speeds()
    views = []
    for number in range(count):
        instance = Instance(f"engine-{number}", "engine", "zone-a", Address("h", 1))
        view = UpstreamView(instance, speeds=speeds)
        view.apply_report(report(**load))
        views.append(view)
    return views


def make_call(prompt="p" * 400, *, deadline_s=5.0, max_tokens=40, **caller):
    body = json.dumps({"model": MODEL.name, "prompt": prompt}).encode()
    spec = {"name": "editora", "credential_sha256": "0" * 64, **caller}
    return CompletionCall(
        caller=CallerSpec(**spec),
        deadline_at_s=now_s() + deadline_s,
        method="POST",
        target="/v1/completions",
        headers={},
        body=body,
        model=MODEL,
        stream=True,
        prompt_tokens=len(body) // 4,
        max_tokens=max_tokens,
    )
