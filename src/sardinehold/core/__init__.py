"""Decision logic without I/O, clock access or randomness.

Each part takes typed events together with the current time and returns typed
actions, so that the daemon, tests and benchmarks get the same decisions.
"""
