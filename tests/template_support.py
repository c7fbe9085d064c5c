"""Renders the template of an entry's settings, with the fields of a deployment."""

import json
import re
from pathlib import Path

TEMPLATE = Path("deploy/entry.json.tmpl")
SECTION = re.compile(r"{{#([\w.-]+)}}(.*?){{/\1}}", re.DOTALL)
PLACEHOLDER = re.compile(r"{{([\w.-]+)(\|json)?}}")
DEPLOYMENT = {
    "ip": "127.0.0.2",
    "node": "node-2",
    "zone": "z1",
    "limits": {"cpu-share": 1.0, "cores": 1.0},
    "listen": {
        "front": "127.0.0.2:1",
        "ready": "127.0.0.2:2",
        "directory": "127.0.0.2:3",
    },
    "platform": {"address": "127.0.0.2:4"},
    "port-range": [5, 9],
    "seeds": ["127.0.0.3:5", "127.0.0.4:5"],
    "bounds": {
        "retry-budget-ratio": 0.2,
        "budget-window-s": 10,
        "retry-slack": 50,
        "lease-ms": 3000,
        "grace-s": 8,
    },
}


def render_settings(**more) -> dict:
    """Return the rendered settings; ``more`` are fields added to the deployment's."""
    fields = {**DEPLOYMENT, **more}
    fields["bounds"] = {**DEPLOYMENT["bounds"], **more.get("bounds", {})}
    return json.loads(render(TEMPLATE.read_text(encoding="utf-8"), fields))


def render(text: str, fields) -> str:
    """Render sections, then placeholders; a missing field renders to nothing."""
    text = SECTION.sub(lambda match: _render_section(match, fields), text)
    return PLACEHOLDER.sub(lambda match: _render_value(match, fields), text)


def _render_section(match, fields) -> str:
    value = _find(fields, match[1])
    if not value:
        return ""
    items = value if isinstance(value, list) else [value]
    rendered = []
    for index, item in enumerate(items):
        body = match[2].replace("{{,}}", "," if index < len(items) - 1 else "")
        rendered.append(render(body.replace("{{.|json}}", json.dumps(item)), fields))
    return "".join(rendered)


def _render_value(match, fields) -> str:
    value = _find(fields, match[1])
    if value is None:
        return ""
    return json.dumps(value) if match[2] else str(value)


def _find(fields, path: str):
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)]
        else:
            fields = fields.get(name) if isinstance(fields, dict) else None
    return fields
