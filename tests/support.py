"""Shared helpers of the tests."""

import hashlib
import unittest

from extras.cluster import Cluster, request

CREDENTIAL = "test-credential"
AUTHORIZATION = {"Authorization": f"Bearer {CREDENTIAL}"}
MODEL = "citation-large"


def caller_spec(name="editora", credential=CREDENTIAL, **more) -> dict:
    return {
        "name": name,
        "credential_sha256": hashlib.sha256(credential.encode()).hexdigest(),
        "models": [MODEL],
        "services": ["portal"],
        **more,
    }


def manifest_content(engines=("engine-1",), **more) -> dict:
    return {
        "site": "test",
        "groups": [{"name": "bogota", "upstreams": list(engines)}],
        "models": [
            {
                "name": MODEL,
                "version": "v1",
                "replicas": len(engines),
                "group": "bogota",
            }
        ],
        "services": [
            {
                "name": "portal",
                "upstreams": ["portal-1"],
                "non_idempotent_paths": ["/export"],
            }
        ],
        "callers": [caller_spec()],
        **more,
    }


class ClusterTestCase(unittest.TestCase):
    """Starts a small cluster of real processes for each test class."""

    engines = ("engine-1",)
    entries = ("entry-1",)
    services = ("portal-1",)
    engine_costs = None

    @classmethod
    def setUpClass(cls):
        cls.cluster = cls.enterClassContext(Cluster())
        cls.cluster.start_platform()
        for name in cls.engines:
            cls.start_engine(name)
        for name in cls.services:
            cls.cluster.start_service(name)
        cls.start_entries()
        done = cls.cluster.apply(manifest_content(cls.engines))
        if done.returncode:
            raise RuntimeError(done.stderr + done.stdout)

    @classmethod
    def start_engine(cls, name):
        models = [f"{MODEL}@v1"]
        cls.cluster.start_engine(name, models=models, costs=cls.engine_costs)

    @classmethod
    def start_entries(cls):
        for name in cls.entries:
            cls.cluster.start_entry(name)

    def process(self, name):
        return self.cluster.processes[name]

    def complete(self, body=None, entry="entry-1", headers=None, **options):
        body = {
            "model": MODEL,
            "prompt": "a reference",
            "max_tokens": 4,
            **(body or {}),
        }
        headers = {**AUTHORIZATION, **(headers or {})}
        address = self.process(entry).address
        return request(address, "POST", "/v1/completions", body, headers, **options)

    def call_service(self, path, body=b"", entry="entry-1", headers=None, **options):
        headers = {**AUTHORIZATION, **(headers or {})}
        address = self.process(entry).address
        target = f"/services/portal{path}"
        return request(address, "POST", target, body, headers, **options)
