"""Rollout of the weight versions set by operators, by one instance under a lease."""
