"""Run all capacity benches and draw their plots.

Run ``python -m bench.capacity`` or ``make capacity``. The benches run one after
the other, so that they do not affect each other's figures.
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
    """Run all benches; exit with the status of the first that fails."""
    for bench in BENCHES:
        print(f"== {bench}", flush=True)
        command = [sys.executable, "-m", f"bench.capacity.{bench}"]
        status = subprocess.run(command, check=False).returncode
        if status != 0:
            raise SystemExit(status)


if __name__ == "__main__":
    main()
