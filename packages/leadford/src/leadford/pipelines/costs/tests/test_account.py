"""Costs add up by stage, pipeline and workspace, in bounded memory."""

import pytest

from leadford.pipelines.costs import CostAccount, StageCost


def add(account, workspace, use=StageCost.USEFUL, service_ms=2.0):
    account.add(
        stage="s", pipeline="p", workspace=workspace, use=use, service_ms=service_ms
    )


def test_totals_add_up():
    account = CostAccount()
    add(account, "a")
    add(account, "b", StageCost.WASTED, 3.0)
    line = account.totals_by_stage()["s"]
    assert line.service_ms_by_use_[StageCost.USEFUL] == pytest.approx(2.0)
    assert line.service_ms_by_use_[StageCost.WASTED] == pytest.approx(3.0)
    assert (line.attempts_, line.completed_) == (2, 1)
    assert set(account.totals_by_workspace()) == {"a", "b"}


def test_many_workspaces_are_summed_beyond_the_bound():
    account = CostAccount(lines_max=3)
    for number in range(100):
        add(account, f"w{number}")
    assert len(account.lines_by_key_) <= 4
    total = account.totals_by_pipeline()["p"]
    assert total.service_ms_by_use_[StageCost.USEFUL] == pytest.approx(200.0)
