"""Command line of the measurements; see the ``run`` function."""

import fire

from bench.decisions.report import run

if __name__ == "__main__":
    fire.Fire(run)
