"""Cost of single parts, as ratios in one run."""
