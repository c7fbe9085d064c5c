"""Programs beside the package: demo, benchmark and reports."""
