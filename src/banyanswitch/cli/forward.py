"""``banyanswitch-forward``: the serving process on the users' platform."""

import signal


def main() -> None:
    """Entry point of the binary."""
    # Until its handler is set, SIGHUP would end the process; the imports take 0.4 s.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from banyanswitch.cli.forward_process import serve  # noqa: PLC0415

    serve()


if __name__ == "__main__":
    main()
