"""Publication of manifests, and control of engines by the manifest in force."""
