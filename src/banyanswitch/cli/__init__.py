"""Entry points of the command-line programs, one module per program."""
