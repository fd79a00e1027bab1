"""Parts of scripts/fleet."""
