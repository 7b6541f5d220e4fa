"""A process that gets bad settings names each of them and does not start."""

import os
import subprocess
import sys

import pytest


@pytest.mark.parametrize(
    ("role", "flags", "environment", "named"),
    [
        ("entry", ["--http=here"], {}, "LEADFORD_HTTP"),
        ("agent", ["--peer=127.0.0.1:99999"], {}, "LEADFORD_PEER"),
        ("agent", [], {"LEADFORD_HALL": "Big Hall"}, "LEADFORD_HALL"),
        ("entry", [], {"LEADFORD_SECRET": "short"}, "LEADFORD_SECRET"),
        ("agent", ["--verbosity=loud"], {}, "LEADFORD_VERBOSITY"),
    ],
)
def test_bad_settings_are_listed(role, flags, environment, named):
    result = subprocess.run(
        [sys.executable, "-m", "leadford_server.main", role, *flags],
        env={**os.environ, **environment},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode == 2
    lines = result.stderr.splitlines()
    faults = [line for line in lines if line.startswith("leadfordd: ")]
    assert any(named in fault for fault in faults)
    assert len(faults) >= 4
