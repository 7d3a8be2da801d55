"""Adapter for the users' platform: wire protocol, metadata store and settings.

The platform's names occur only in this package. It makes no decisions; it
translates between the wire and the types of :mod:`sardinehold.node`.
"""
