"""Decisions only: no I/O, no clock, no randomness of its own.

Each part takes typed events with the time passed in and returns typed
actions, so that a daemon, a test and a bench get the same decisions.
"""
