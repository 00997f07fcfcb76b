"""Stand-in for an inference engine with continuous batching and a prefix cache."""

from banyanswitch_standins.engine.stand_in import EngineStandIn

__all__ = ["EngineStandIn"]
