"""Run a range of soak seeds: ``python -m tests.soak FIRST COUNT``.

The logs of failed seeds are kept.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from tests.soak.run import async_soak


def main() -> None:
    """Run the seeds one after the other; exit with 1 if a guarantee was violated."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = []
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        outcome = asyncio.run(async_soak(folder, seed))
        print(seed, dict(outcome.statuses), *outcome.violations, sep="\t", flush=True)
        if outcome.violations:
            failed.append(seed)
            print("\tlogs", folder, *outcome.faults, sep="\n\t", flush=True)
            continue
        for path in folder.iterdir():
            path.unlink()
        folder.rmdir()
    print(f"{count - len(failed)} of {count} seeds kept all promises; failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
