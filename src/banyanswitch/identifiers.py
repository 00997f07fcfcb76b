"""Distinct types of the identifiers that several components share."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
FailureDomainId = NewType("FailureDomainId", str)
WorkspaceId = NewType("WorkspaceId", str)
UpstreamId = NewType("UpstreamId", str)
ServiceName = NewType("ServiceName", str)
WeightVersion = NewType("WeightVersion", str)
StoreId = NewType("StoreId", str)
RunId = NewType("RunId", str)
AttemptId = NewType("AttemptId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
"""Key that a caller sends with a call that must run at most once; repetitions of the
call have the same key."""

PrefixHash = NewType("PrefixHash", str)
"""Hexadecimal chained hash of the first pieces of a prompt, salted with workspace
and weight version."""
