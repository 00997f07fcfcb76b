"""``banyanswitch-forward``: the serving process on the users' platform."""

import signal


def main() -> None:
    """Run the serving process."""
    # By default, SIGHUP ends the process. The imports take 0.4 s, so ignore the
    # signal until its handler is set.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from banyanswitch.cli.forward_process import serve  # noqa: PLC0415

    serve()


if __name__ == "__main__":
    main()
