"""Parts of the soak."""
