"""Throughput of one proxy process compared with a plain byte relay.

``python bench/throughput.py --seconds 4 --connections 64 --rounds 3`` measures
both in turn, each between the same canned endpoint and closed-loop callers, and
compares the medians with the targets of issue 4: at least 0.5 of the relay, and
at least 5,000 simple statements per second. The exit code is 1 if one is missed.
"""

import argparse
import json
import statistics
import sys

import relay
import static_fleet
from sardinehold import keys

TARGET_RATIO = 0.5
TARGET_RATE = 5_000
"""Statements per second."""


def main() -> int:
    """Run the benchmark; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    key = keys.generate_key().text
    rates = {"relay on protocols": [], "relay on streams": [], "proxy": []}
    with relay.Child(relay.serve_endpoint) as endpoint:
        servers = {
            "relay on protocols": (relay.serve_protocols, endpoint.address),
            "relay on streams": (relay.serve_streams, endpoint.address),
            "proxy": (static_fleet.serve_proxy, endpoint.address, key),
        }
        for _ in range(options.rounds):
            for name, (serve, *arguments) in servers.items():
                with relay.Child(serve, *arguments) as child:
                    rate = relay.measure(
                        child.address, options.connections, options.seconds, key
                    )
                rates[name].append(rate)
    medians = {name: statistics.median(found) for name, found in rates.items()}
    for name, found in rates.items():
        shown = "  ".join(f"{rate:>7.0f}" for rate in found)
        print(f"{name:<20}{medians[name]:>8.0f} statements/s   ({shown})")
    ratio = medians["proxy"] / medians["relay on protocols"]
    print(f"proxy / relay on protocols: {ratio:.2f} (target {TARGET_RATIO})")
    met = ratio >= TARGET_RATIO and medians["proxy"] >= TARGET_RATE
    result = {name: round(rate) for name, rate in medians.items()}
    print(json.dumps({**result, "ratio": round(ratio, 3), "met": met}))
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
