"""Library of the policy experiment: sites, arrivals, load generator, report."""
