"""Share between entries what was running when an endpoint crashed.

An entry notifies its linked peers in the event loop iteration in which it saw an
endpoint end. Entries that follow the store forward news to all their peers, because
every entry holds a link to them; news that is known already is not forwarded. A new
peer receives all that is known, so an entry that starts later knows as much.

One exchange shares the requests that were running, another the parts of their prompts.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Generic, Protocol, TypeVar

from leadford.common import EntryId
from leadford.protocol import (
    PROTOCOL_CRASHES,
    PROTOCOL_PROMPTS,
    CrashNews,
    PromptNews,
)
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.peers import PeerConnection

NewsT = TypeVar("NewsT")


class Quarantine(Protocol[NewsT]):
    """Hold what is known of crashes, and turn it into news."""

    publish_news: Callable[[NewsT], None]

    def apply_news(self, news: NewsT) -> NewsT | None:
        """Record news from another entry; return the part that was new, or None."""

    def news_for_new_peer(self) -> NewsT | None:
        """Return the news to send to a new peer, None if there is none."""


class CrashExchange(Generic[NewsT]):
    """Send other entries what a quarantine of this one records, and record theirs.

    `protocol_version` is the first one of peers that know the news; `merge` joins
    several pieces of news. `forwards_news` returns whether this entry forwards news
    that it receives.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        forwards_news: Callable[[], bool],
        quarantine: Quarantine[NewsT],
        news_type: type[NewsT],
        protocol_version: int,
        merge: Callable[[Sequence[NewsT]], NewsT],
    ) -> None:
        self.state = state
        self.peers_by_id = peers_by_id
        self.forwards_news = forwards_news
        self.quarantine = quarantine
        self.news_type = news_type
        self.protocol_version = protocol_version
        self.merge = merge
        self.pending_: list[NewsT] = []

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that this exchange receives."""
        return {self.news_type: self._on_news}

    def tell(self, news: NewsT) -> None:
        """Send news to every peer, in one message per event loop iteration."""
        if not self.pending_:
            self.state.loop.call_soon(self._send_pending)
        self.pending_.append(news)

    def send_known(self, peer: PeerConnection) -> None:
        """Send a new peer all that is known."""
        known = self.quarantine.news_for_new_peer()
        if known is not None and self._supports_news(peer):
            peer.send(known)

    def _send_pending(self) -> None:
        news = self.merge(self.pending_)
        self.pending_.clear()
        for peer in list(self.peers_by_id.values()):
            if self._supports_news(peer):
                peer.send(news)

    def _on_news(self, peer: PeerConnection, message: NewsT) -> None:
        news = self.quarantine.apply_news(message)
        if news is not None and self.forwards_news():
            self.tell(news)

    def _supports_news(self, peer: PeerConnection) -> bool:
        return peer.info.protocol_version >= self.protocol_version


class CrashExchanges:
    """Hold the exchange of requests and that of prompt parts."""

    def __init__(
        self,
        *,
        state: ForwardState,
        peers_by_id: Mapping[EntryId, PeerConnection],
        forwards_news: Callable[[], bool],
    ) -> None:
        self.requests = CrashExchange(
            state=state,
            peers_by_id=peers_by_id,
            forwards_news=forwards_news,
            quarantine=state.quarantine_,
            news_type=CrashNews,
            protocol_version=PROTOCOL_CRASHES,
            merge=_merge_crash_news,
        )
        self.prompts = CrashExchange(
            state=state,
            peers_by_id=peers_by_id,
            forwards_news=forwards_news,
            quarantine=state.prompt_quarantine_,
            news_type=PromptNews,
            protocol_version=PROTOCOL_PROMPTS,
            merge=_merge_prompt_news,
        )
        state.quarantine_.publish_news = self.requests.tell
        state.prompt_quarantine_.publish_news = self.prompts.tell

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message that the exchanges receive."""
        return {**self.requests.handlers(), **self.prompts.handlers()}

    def send_known(self, peer: PeerConnection) -> None:
        """Send a new peer all that is known."""
        self.requests.send_known(peer)
        self.prompts.send_known(peer)


def _merge_crash_news(news: Sequence[CrashNews]) -> CrashNews:
    return CrashNews(
        [case for part in news for case in part.cases],
        [endpoint_id for part in news for endpoint_id in part.alive],
        [digest for part in news for digest in part.answered],
    )


def _merge_prompt_news(news: Sequence[PromptNews]) -> PromptNews:
    return PromptNews(
        [run for part in news for run in part.lost],
        [answer for part in news for answer in part.answered],
    )
