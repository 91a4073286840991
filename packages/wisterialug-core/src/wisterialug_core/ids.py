"""Identifier types."""

from __future__ import annotations

from typing import NewType

VmId = NewType("VmId", str)
SessionId = NewType("SessionId", str)
DataCentre = NewType("DataCentre", str)
CustomerName = NewType("CustomerName", str)
ServiceName = NewType("ServiceName", str)
ShardId = NewType("ShardId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
RowKey = NewType("RowKey", str)
Token = NewType("Token", bytes)
