"""Settings of the processes, read from flags and environment variables."""

from leadford_server.settings._flags import with_environment
from leadford_server.settings._model import (
    AgentSettings,
    EntrySettings,
    SettingFault,
    SocketAddress,
    check_agent_settings,
    check_entry_settings,
)

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "SettingFault",
    "SocketAddress",
    "check_agent_settings",
    "check_entry_settings",
    "with_environment",
]
