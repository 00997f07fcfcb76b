"""Serving system for language-model prompts that return after long gaps."""
