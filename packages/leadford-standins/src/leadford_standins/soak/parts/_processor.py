"""Give a process little processor time, by stopping and continuing it with signals.

Needs no privileges and no limit of the machine. Signals only processes started by the
soak, through the object that started them.
"""

import signal
import subprocess
import threading
import time

# Time for which a process runs and then stands still, in turn.
DEFAULT_RUN_S = 0.006
DEFAULT_STOP_S = 0.010


class ProcessorLimit:
    """Stop and continue a process in turn, from `start` until `end`.

    Units: run_s and stop_s in seconds.
    """

    def __init__(
        self,
        *,
        process: subprocess.Popen,
        run_s: float = DEFAULT_RUN_S,
        stop_s: float = DEFAULT_STOP_S,
    ) -> None:
        self.process = process
        self.run_s = run_s
        self.stop_s = stop_s
        self.ending_ = threading.Event()
        self.thread_ = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to stop and continue the process."""
        self.thread_.start()

    def end(self) -> None:
        """Let the process run all the time again."""
        self.ending_.set()
        self.thread_.join()

    def _run(self) -> None:
        while not self.ending_.is_set() and self.process.poll() is None:
            self.process.send_signal(signal.SIGSTOP)
            time.sleep(self.stop_s)
            self.process.send_signal(signal.SIGCONT)
            time.sleep(self.run_s)
