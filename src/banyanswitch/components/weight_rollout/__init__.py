"""Rollout of the weight versions set by operators, run by one leased instance."""
