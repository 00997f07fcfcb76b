"""Stand-in for a model engine with continuous batching and a prefix cache."""

from banyanswitch_standins.engine.stand_in import EngineStandIn

__all__ = ["EngineStandIn"]
