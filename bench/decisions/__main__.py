"""Command line of the measurements.

``run`` compares the policies (the default), ``cost`` measures one decision and one
tracked prompt, ``trade`` measures settings, ``plots`` and ``table``
show what was measured.
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
