"""Status report of an entry, as returned by ``/v1/status``."""

from dataclasses import asdict

from ..process.entry_status import EntryStatus, MemberStatus
from ..version.head import Head
from .served_entry import ServedEntry


def describe_entry(entry: ServedEntry) -> EntryStatus:
    """Return the current status of ``entry``."""
    current = entry.watcher.current
    head = current.head if current else Head()
    members = entry.membership.members.values()
    return EntryStatus(
        entry=entry.settings.entry_id,
        incarnation=entry.incarnation,
        zone=entry.settings.zone,
        generation=head.generation,
        revision=head.revision,
        basis=entry.staleness.basis().value,
        confirmed_age_s=entry.staleness.confirmed_age_s(),
        freshness_bound_s=entry.settings.freshness_bound_s,
        ready=entry.is_ready(entry.settings.entry_id),
        stopping=entry.stopping,
        in_flight=entry.admission.in_flight,
        upstream_requests={
            name: view.in_flight
            for name, view in entry.loads.views.items()
            if view.in_flight
        },
        marks={name: asdict(mark) for name, mark in head.marks.items()},
        closures=head.closures,
        groups=entry.control.status(),
        members=tuple(MemberStatus.from_member(member) for member in members),
    )
