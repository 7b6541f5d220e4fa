"""Define the types of the handlers of messages from peers."""

from collections.abc import Callable

from leadford.protocol import Message
from leadford_server.peers import PeerConnection

MessageHandler = Callable[[PeerConnection, Message], None]
MessageHandlers = dict[type[Message], MessageHandler]
