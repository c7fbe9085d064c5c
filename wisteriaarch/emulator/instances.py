"""Instance list of the platform emulator, with a lag and incremental reads."""

import secrets
from collections import deque
from dataclasses import dataclass, field

from ..process.clock import now_s

RECENT_CHANGES_MAX = 1024


@dataclass(frozen=True)
class ListChange:
    """Registration of an instance, or its removal if ``content`` is None."""

    instance_id: str
    content: dict | None
    visible_at_s: float


@dataclass
class InstanceRegistry:
    """Instance list as its readers see it; a change becomes visible after its lag.

    A version consists of the id of this list and the number of visible changes.
    """

    list_id: str = field(default_factory=lambda: secrets.token_hex(4))
    _visible: dict[str, dict] = field(default_factory=dict)
    _pending: list[ListChange] = field(default_factory=list)
    _recent: deque[ListChange] = field(
        default_factory=lambda: deque(maxlen=RECENT_CHANGES_MAX)
    )
    _change_count: int = 0

    def put(self, instance_id: str, content: dict, lag_s: float) -> None:
        """Register an instance."""
        self._pending.append(ListChange(instance_id, content, now_s() + lag_s))

    def remove(self, instance_id: str, lag_s: float) -> None:
        """Remove an instance from the list."""
        self._pending.append(ListChange(instance_id, None, now_s() + lag_s))

    def list_since(self, since: str | None) -> dict:
        """Return the changes since a version, or the full list if it is unknown."""
        self._apply_due_changes()
        version = f"{self.list_id}-{self._change_count}"
        missed = self._missed_changes(since)
        if missed is None:
            instances = list(self._visible.values())
            return {"version": version, "full": True, "instances": instances}
        changed = {item.instance_id for item in list(self._recent)[-missed:] if missed}
        return {
            "version": version,
            "full": False,
            "instances": [self._visible[n] for n in changed if n in self._visible],
            "removed": sorted(changed - self._visible.keys()),
        }

    def _missed_changes(self, since: str | None) -> int | None:
        """Return the number of changes since a version; None if it is unknown."""
        list_id, _, number = (since or "").partition("-")
        if list_id != self.list_id or not number.isdigit():
            return None
        missed = self._change_count - int(number)
        return missed if 0 <= missed <= len(self._recent) else None

    def _apply_due_changes(self) -> None:
        """Make the changes visible whose lag has passed."""
        due = [item for item in self._pending if item.visible_at_s <= now_s()]
        for change in due:
            self._pending.remove(change)
            self._change_count += 1
            self._recent.append(change)
            if change.content is None:
                self._visible.pop(change.instance_id, None)
            else:
                self._visible[change.instance_id] = change.content
