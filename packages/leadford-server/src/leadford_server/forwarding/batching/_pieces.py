"""Exchange pieces with other entries: requests to schedulers, and their answers.

Translates between the messages of the peer protocol and the types of
`leadford.forwarding.batching`. Moments are sent as the time left until them, because
the clocks of two processes cannot be compared.
"""

from collections.abc import Callable, Mapping
from functools import partial

from leadford.common import EndpointId, EntryId, HallId, RequestId
from leadford.forwarding.batching import GroupId, PieceKey, PieceTask, PlaceId
from leadford.forwarding.routes import LEVEL_HIGHEST, ResultHandle, ServiceId
from leadford.protocol import (
    LEVEL_UNTOLD,
    PROTOCOL_CRASHES,
    PROTOCOL_RESUMED,
    PieceAnswer,
    PieceCancel,
    PieceRelease,
    PieceSubmit,
    PieceWorking,
    ResumedPieceSubmit,
    SuspectPieceSubmit,
)
from leadford_server.forwarding._peers import MessageHandlers
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._jobs import PieceResult
from leadford_server.forwarding.batching._stages import StageRunner
from leadford_server.peers import PeerConnection


class PieceExchange:
    """Send pieces, answers and releases to other entries, and handle theirs."""

    def __init__(
        self,
        *,
        state: ForwardState,
        stages: StageRunner,
        peers_by_id: Mapping[EntryId, PeerConnection],
    ) -> None:
        self.state = state
        self.stages = stages
        self.peers_by_id = peers_by_id

    def handlers(self) -> MessageHandlers:
        """Return the handler of each type of message."""
        return {
            PieceSubmit: self._on_submit,
            SuspectPieceSubmit: self._on_submit,
            ResumedPieceSubmit: self._on_submit,
            PieceAnswer: self._on_answer,
            PieceWorking: self._on_inputs_read,
            PieceCancel: self._on_cancel,
            PieceRelease: self._on_release,
        }

    def submit(self, entry_id: EntryId, group: GroupId, task: PieceTask) -> bool:
        """Send a piece to a scheduler; return whether it is connected."""
        peer = self.peers_by_id.get(entry_id)
        if peer is None:
            return False
        now = self.state.now()
        make_message = _message_type(task, peer.info.protocol_version)
        return peer.send(
            make_message(
                task.correlation_id,
                group.service_id,
                group.place,
                task.request_id,
                task.key.stage,
                task.key.piece,
                task.request_key,
                list(task.inputs),
                task.result_bytes,
                (task.deadline - now) * 1_000.0,
                (task.due_at - now) * 1_000.0,
                (task.rank_at - now) * 1_000.0,
                list(task.excluded),
                dict(task.local_bytes_by_hall),
                LEVEL_UNTOLD if task.level is None else task.level,
            )
        )

    def cancel(self, entry_id: EntryId, correlation_ids: list[int]) -> None:
        """Tell a scheduler that pieces are no longer needed."""
        peer = self.peers_by_id.get(entry_id)
        if peer is not None:
            peer.send(PieceCancel(correlation_ids))

    def release(
        self, entry_id: EntryId, endpoint_id: EndpointId, handles: list[ResultHandle]
    ) -> bool:
        """Tell a scheduler that results have no readers left."""
        peer = self.peers_by_id.get(entry_id)
        if peer is None:
            return False
        return peer.send(PieceRelease(endpoint_id, list(handles)))

    def send_inputs_read(self, entry_id: EntryId, correlation_ids: list[int]) -> None:
        """Tell an entry that its pieces have fetched their inputs."""
        peer = self.peers_by_id.get(entry_id)
        if peer is not None:
            peer.send(PieceWorking(correlation_ids))

    def reply(self, task: PieceTask, answer: PieceResult) -> None:
        """Send the answer for a piece to the entry that submitted it."""
        peer = self.peers_by_id.get(task.origin)
        message = PieceAnswer(
            task.correlation_id,
            answer.handle or "",
            answer.reason,
            answer.endpoint_id or "",
        )
        if peer is not None and peer.send(message):
            return
        if answer.handle is not None:
            self.stages.scheduler_.release(answer.endpoint_id, [answer.handle])

    def _on_submit(self, peer: PeerConnection, message: PieceSubmit) -> None:
        now = self.state.now()
        task = PieceTask(
            correlation_id=message.correlation_id,
            origin=EntryId(peer.info.peer_id),
            request_id=RequestId(message.request_id),
            key=PieceKey(message.stage, message.piece),
            request_key=message.request_key,
            inputs=tuple(ResultHandle(handle) for handle in message.inputs),
            result_bytes=message.result_bytes,
            deadline=now + message.remaining_ms / 1_000.0,
            due_at=now + message.due_ms / 1_000.0,
            rank_at=now + message.rank_ms / 1_000.0,
            queued_at=now,
            excluded=frozenset(EndpointId(text) for text in message.excluded),
            local_bytes_by_hall={
                HallId(hall): count for hall, count in message.near_bytes.items()
            },
            is_suspect=_is_suspect(message),
            level=None if message.level < LEVEL_HIGHEST else message.level,
            is_suspect_once=getattr(message, "is_suspect_once", False),
            is_resumed=isinstance(message, ResumedPieceSubmit),
        )
        group = GroupId(ServiceId(message.service_id), PlaceId(message.place))
        self.stages.scheduler_.submit(group, task)

    def _on_answer(self, peer: PeerConnection, message: PieceAnswer) -> None:
        answer = PieceResult(
            ResultHandle(message.handle) if message.handle else None,
            message.reason,
            EndpointId(message.endpoint_id) if message.endpoint_id else None,
        )
        self.stages.on_answer(
            EntryId(peer.info.peer_id), message.correlation_id, answer
        )

    def _on_inputs_read(self, peer: PeerConnection, message: PieceWorking) -> None:
        self.stages.record_inputs_read(
            EntryId(peer.info.peer_id), message.correlation_ids
        )

    def _on_cancel(self, peer: PeerConnection, message: PieceCancel) -> None:
        origin = EntryId(peer.info.peer_id)
        self.stages.scheduler_.cancel(origin, set(message.correlation_ids))

    def _on_release(self, peer: PeerConnection, message: PieceRelease) -> None:
        handles = [ResultHandle(handle) for handle in message.handles]
        self.stages.scheduler_.release(EndpointId(message.endpoint_id), handles)


def _message_type(task: PieceTask, protocol_version: int) -> Callable[..., PieceSubmit]:
    """Return what makes the message for a piece that a peer of a version reads."""
    if task.is_resumed and protocol_version >= PROTOCOL_RESUMED:
        return partial(
            ResumedPieceSubmit,
            is_suspect=task.is_suspect,
            is_suspect_once=task.is_suspect_once,
        )
    if task.is_suspect and protocol_version >= PROTOCOL_CRASHES:
        return partial(SuspectPieceSubmit, is_suspect_once=task.is_suspect_once)
    return PieceSubmit


def _is_suspect(message: PieceSubmit) -> bool:
    """Return whether a message names a request under which an endpoint ended."""
    if isinstance(message, ResumedPieceSubmit):
        return message.is_suspect
    return isinstance(message, SuspectPieceSubmit)
