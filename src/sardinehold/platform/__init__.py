"""Adapter for the users' platform: its wire, its store and its settings.

Nothing outside this package knows the platform's names, and nothing in it
decides: it translates between the wire and the types of
:mod:`sardinehold.node`.
"""
