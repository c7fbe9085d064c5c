"""Candidates and prompts for tests of the decisions on routes."""

from wisteriaarch.process.upstreams import Stage, Upstream
from wisteriaarch.request.candidate import Candidate
from wisteriaarch.request.routed_call import Prompt, PromptBlock
from wisteriaarch.wire import Address

RATE = 40_000.0


def upstream(name, stage=None, zone="z1", slots=8) -> Upstream:
    return Upstream(name, "s", Address("10.0.0.1", 1), zone, slots, stage=stage)


def candidate(name, stage=None, zone="z1", **more) -> Candidate:
    return Candidate(upstream(name, stage, zone), **more)


def prompt(tokens, shared=0, part="p") -> Prompt:
    parts = (PromptBlock(part, shared), PromptBlock("own", tokens - shared))
    return Prompt(tokens, 100, parts if shared else parts[1:])


def fleet(prefills=2, decodes=3) -> list[Candidate]:
    return [
        *(candidate(f"p{n}", Stage.PREFILL) for n in range(prefills)),
        *(candidate(f"d{n}", Stage.DECODE) for n in range(decodes)),
    ]
