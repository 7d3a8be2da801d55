"""Generated code of the messages between proxies; see peers.proto."""
