"""Messages about the load of upstreams."""

import msgspec

from banyanswitch.decisions.load_shares import Load
from banyanswitch.decisions.slowness import SlownessReport


class ShareReport(msgspec.Struct, frozen=True, array_like=True):
    """Work of the sender in flight at upstreams whose home is the recipient.

    Parameters
    ----------
    loads : dict of str to Load
        Load by upstream; an empty load ends the sender's share.
    slowness : dict of str to SlownessReport
        Slowness that the sender has just observed at these upstreams.
    """

    instance: str
    loads: dict[str, Load]
    slowness: dict[str, SlownessReport] = {}


class LoadQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Question for the load of upstreams whose home is the recipient.

    Parameters
    ----------
    number : int
        Number of the question at its sender.
    peer_address : str
        Address to answer to.
    """

    number: int
    instance: str
    peer_address: str
    upstreams: list[str]


class LoadAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a question.

    Parameters
    ----------
    loads : dict of str to Load
        Load of all instances but the one that asked, by upstream.
    slowness : dict of str to SlownessReport
        Newest slowness that any instance reported of these upstreams.
    """

    number: int
    peer_address: str
    loads: dict[str, Load]
    slowness: dict[str, SlownessReport] = {}
