"""Command line of the simulations and measurements.

``run``, the default, compares the policies. ``cost`` measures the CPU time of a
placement and the memory of a tracked prompt. ``trade`` compares settings of the link
weight. ``plots`` and ``table`` show the stored results.
"""

import sys

import fire

from bench.decisions import plots, report, tables

COMMANDS = {
    "run": report.run,
    "cost": report.write_cost,
    "trade": report.write_trade,
    "plots": plots.draw,
    "table": tables.write,
}

if __name__ == "__main__":
    arguments = sys.argv[1:]
    if not arguments or arguments[0] not in COMMANDS:
        arguments = ["run", *arguments]
    fire.Fire(COMMANDS, command=arguments, name="bench.decisions")
