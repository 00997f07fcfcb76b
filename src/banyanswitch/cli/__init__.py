"""Entry points, one small module a binary."""
