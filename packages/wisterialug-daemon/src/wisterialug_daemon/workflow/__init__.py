"""Multi-step jobs: intake, shard owners and their workers."""
