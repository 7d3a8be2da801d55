"""One node before endpoints that check positions themselves.

The decisions (catalog, evidence, placement, admission, leadership, failover)
do no I/O; sessions, pools and daemons carry them out over the protocols of
:mod:`sardinehold.node.ports`, which an adapter implements.
"""
