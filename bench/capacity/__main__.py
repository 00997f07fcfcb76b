"""Measure the slopes of all control mechanisms and draw them.

Run ``python -m bench.capacity`` or ``make capacity``. Each bench runs alone, one after
the other, so that they do not disturb each other.
"""

import subprocess
import sys

BENCHES = (
    "peer_message_cost",
    "poll_cost",
    "membership_cost",
    "loss_cost",
    "upstream_load_cost",
    "address_cost",
    "routing_cost",
    "lease_cost",
    "entry_cost",
    "configuration_cost",
    "state_cost",
    "plots",
)


def main() -> None:
    """Run all benches; the status is that of the first that failed."""
    for bench in BENCHES:
        print(f"== {bench}", flush=True)
        command = [sys.executable, "-m", f"bench.capacity.{bench}"]
        status = subprocess.run(command, check=False).returncode
        if status != 0:
            raise SystemExit(status)


if __name__ == "__main__":
    main()
