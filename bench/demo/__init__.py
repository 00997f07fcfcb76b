"""Demo: the main job on a small fleet of real processes."""
