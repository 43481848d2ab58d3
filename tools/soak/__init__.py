"""Fault soak: real instances as processes, with faults injected from outside them."""
