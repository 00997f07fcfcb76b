"""Policies and settings of simulated entries, derived from the deployment."""

from banyanswitch.decisions.admission import AdmissionPolicy
from banyanswitch.decisions.link_budget import LinkBudget, LinkSettings, equal_share
from banyanswitch.decisions.reuse_models import ReuseSettings
from bench.decisions.deployments import Deployment
from bench.decisions.fleet import REPORT_INTERVAL_S, REPORT_LAG_S
from bench.decisions.storage import Store


def admission_policy(deployment: Deployment) -> AdmissionPolicy:
    """Return the admission policy of one entry."""
    lag_s = REPORT_LAG_S + REPORT_INTERVAL_S
    return AdmissionPolicy(
        capacity=deployment.slots * deployment.upstreams,
        batch_spacing_s=lag_s * deployment.entries / deployment.upstreams,
    )


def reuse_settings(deployment: Deployment) -> ReuseSettings:
    """Return the settings of the reuse planner."""
    prefill_s = deployment.piece_tokens / deployment.prefill_tokens_per_s
    return ReuseSettings(
        weights=deployment.reuse,
        piece_size_bytes=deployment.piece_size_bytes,
        piece_prefill_s=prefill_s,
        horizon_s=deployment.gap_s[1],
    )


def link_budget(deployment: Deployment, store: Store) -> LinkBudget:
    """Return the budget of one entry for the link of a store."""
    settings = LinkSettings(
        store=store.name,
        bytes_per_s=deployment.link_bytes_per_s,
        background_share=deployment.background_share,
        entries=deployment.entries,
        min_burst_bytes=deployment.piece_size_bytes,
    )
    share = equal_share(deployment.link_share, deployment.entries_per_workspace)
    return LinkBudget(settings, share, 0.0)
