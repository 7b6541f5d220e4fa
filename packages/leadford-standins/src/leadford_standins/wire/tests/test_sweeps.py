"""The sweeps of an entry go on after one that fails."""

from leadford_standins.wire import run_scenario


def test_a_sweep_that_fails_is_followed_by_others():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        sweeps = []
        check_unsent = entry.caller_server_.check_unsent

        def fail_once():
            sweeps.append(len(sweeps))
            if len(sweeps) == 1:
                raise RuntimeError("a fault put in")
            check_unsent()

        entry.caller_server_.check_unsent = fail_once
        await deployment.until(lambda: len(sweeps) >= 3)

    run_scenario(scenario)
