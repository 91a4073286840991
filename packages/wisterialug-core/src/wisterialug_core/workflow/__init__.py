"""Scheduling decisions for multi-step jobs, free of input and output."""
