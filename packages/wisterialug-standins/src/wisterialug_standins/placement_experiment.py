"""Compares placements; filled in below."""


def run():
    raise NotImplementedError
