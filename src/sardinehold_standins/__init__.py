"""Stand-ins for the platform and the databases, with fault switches."""
