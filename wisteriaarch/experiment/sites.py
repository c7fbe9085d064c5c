"""Models of the two sites, with tokens and durations scaled down alike."""

import hashlib
from dataclasses import dataclass, field

ENGINE_COSTS = {
    "prefill_tokens_per_s": 6000.0,
    "prefill_chunk_tokens": 256,
    "step_base_s": 0.03,
    "step_per_sequence_s": 0.0015,
    "batch_max": 12,
    "cache_blocks": 640,
    "restart_s": 1.0,
    "load_s": 0.3,
    "role_change_s": 0.5,
    "report_gap_every": 7,
}
REPORT_LAG_S = 0.3
MODEL_VERSION = "v1"
PREFILL_TOKEN_COST_S = 0.000284
DECODE_TOKEN_COST_S = 0.004


@dataclass(frozen=True)
class RequestClass:
    """Kind of request: mean sizes in tokens, deadline and its callers.

    ``output_correlated`` means that the output length grows with the prompt length.
    """

    name: str
    model: str
    callers: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int
    deadline_s: float
    output_correlated: bool = False

    @property
    def engine_time_s(self) -> float:
        """Return the engine time of one request with a full batch and mixed role."""
        prefill_s = self.prompt_tokens * PREFILL_TOKEN_COST_S
        return prefill_s + self.output_tokens * DECODE_TOKEN_COST_S


Mix = dict[str, float]


@dataclass(frozen=True)
class Site:
    """Zones, engines, callers and mixes of a site.

    A mix gives each request class its share of the work. ``static_prefill_engines`` is
    the number of engines in the prefill role under a static split.
    """

    name: str
    zones: tuple[str, ...]
    engine_count: int
    static_prefill_engines: int
    role_change_weight: float
    classes: dict[str, RequestClass]
    mixes: dict[str, Mix]
    priorities: dict[str, int] = field(default_factory=dict)

    @property
    def engine_names(self) -> list[str]:
        """Return the names of the engines."""
        return [f"engine-{number}" for number in range(1, self.engine_count + 1)]

    @property
    def callers(self) -> list[str]:
        """Return the names of all callers."""
        names = {name for item in self.classes.values() for name in item.callers}
        return sorted(names)

    @property
    def models(self) -> list[str]:
        """Return the names of all models."""
        return sorted({item.model for item in self.classes.values()})

    def manifest(self) -> dict:
        """Return the site's manifest."""
        return {
            "site": self.name,
            "groups": [{"name": "fleet", "upstreams": self.engine_names}],
            "models": [
                {
                    "name": name,
                    "version": MODEL_VERSION,
                    "replicas": self.engine_count,
                    "group": "fleet",
                }
                for name in self.models
            ],
            "callers": [
                {
                    "name": name,
                    "credential_sha256": hashlib.sha256(name.encode()).hexdigest(),
                    "models": self.models,
                    "priority": self.priorities.get(name, 1),
                    "requests_in_flight": 5000,
                }
                for name in self.callers
            ],
            "policy": {
                "role_change_weight": self.role_change_weight,
                "horizon_s": 30.0,
            },
        }


PUBLISHERS = ("editora-andina", "editora-sabana", "editora-caribe")

CITANDINA = Site(
    name="citandina",
    zones=("bog-norte", "bog-sur", "bog-chapinero", "bog-fontibon"),
    engine_count=6,
    static_prefill_engines=2,
    role_change_weight=0.5,
    classes={
        item.name: item
        for item in (
            RequestClass(
                "bibliography",
                "citation",
                PUBLISHERS,
                1200,
                40,
                4.0,
                output_correlated=True,
            ),
            RequestClass("check", "citation", PUBLISHERS, 1600, 8, 3.0),
            RequestClass("expand", "citation", PUBLISHERS, 120, 50, 5.0),
            RequestClass("fix", "citation", PUBLISHERS, 60, 10, 5.0),
        )
    },
    mixes={
        "base": {"bibliography": 0.6, "check": 0.15, "expand": 0.15, "fix": 0.1},
        "prompt": {"bibliography": 0.2, "check": 0.7, "expand": 0.0, "fix": 0.1},
        "output": {"bibliography": 0.2, "check": 0.0, "expand": 0.7, "fix": 0.1},
    },
)

SERRANO = Site(
    name="serrano",
    zones=("hall-caxias", "hall-bento", "hall-gramado"),
    engine_count=9,
    static_prefill_engines=5,
    role_change_weight=4.0,
    classes={
        item.name: item
        for item in (
            RequestClass("summary", "rounds", ("walkers",), 2000, 16, 3.0),
            RequestClass("chat", "chat", ("owners",), 100, 30, 3.0),
        )
    },
    mixes={
        "base": {"summary": 0.6, "chat": 0.4},
        "prompt": {"summary": 0.9, "chat": 0.1},
        "output": {"summary": 0.2, "chat": 0.8},
    },
    priorities={"walkers": 2, "owners": 1},
)

SITES = {site.name: site for site in (CITANDINA, SERRANO)}
