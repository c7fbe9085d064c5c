"""State and background tasks that live as long as the entry process."""
