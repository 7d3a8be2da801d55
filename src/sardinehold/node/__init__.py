"""A proxy node in front of endpoints that check log positions themselves.

The decision modules (catalog, primary lease, placement, admission, leadership,
failover) do no I/O. Sessions, pools and daemons carry the decisions out over the
protocols of :mod:`sardinehold.node.ports`, which an adapter implements.
"""
