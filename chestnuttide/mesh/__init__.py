"""Messages between the daemons, sent as CBOR over websockets."""

from chestnuttide.mesh import _calls
from chestnuttide.mesh import _codec
from chestnuttide.mesh import _connection
from chestnuttide.mesh import _messages
from chestnuttide.mesh import _network

Calls = _calls.Calls
Codec = _codec.Codec
ConfigFetch = _messages.ConfigFetch
ConfigPatches = _messages.ConfigPatches
ConfigRead = _messages.ConfigRead
ConfigSnapshot = _messages.ConfigSnapshot
Connection = _connection.Connection
Drain = _messages.Drain
Heartbeat = _messages.Heartbeat
Hello = _messages.Hello
JobCancel = _messages.JobCancel
JobRead = _messages.JobRead
JobSubmit = _messages.JobSubmit
Limits = _connection.Limits
MESSAGE_CLASSES = _messages.MESSAGE_CLASSES
Network = _network.Network
OwnedShards = _messages.OwnedShards
PatchSubmit = _messages.PatchSubmit
Reply = _messages.Reply
RequestCall = _messages.RequestCall
RequestCancel = _messages.RequestCancel
RequestRead = _messages.RequestRead
RequestReply = _messages.RequestReply
SlotsFreed = _messages.SlotsFreed
StatusRead = _messages.StatusRead
TargetsLeaving = _messages.TargetsLeaving
Traffic = _connection.Traffic
abort = _connection.abort
close = _network.close
close_call = _calls.close_call
decode = _codec.decode
encode = _codec.encode
fail_connection = _calls.fail_connection
flush = _network.flush
is_full = _connection.is_full
listen = _network.listen
make_codec = _codec.make_codec
open_call = _calls.open_call
resolve = _calls.resolve
schedulers = _network.schedulers
send = _connection.send
send_if_possible = _network.send_if_possible
set_addresses = _network.set_addresses

__all__ = [
    "Calls",
    "Codec",
    "ConfigFetch",
    "ConfigPatches",
    "ConfigRead",
    "ConfigSnapshot",
    "Connection",
    "Drain",
    "Heartbeat",
    "Hello",
    "JobCancel",
    "JobRead",
    "JobSubmit",
    "Limits",
    "MESSAGE_CLASSES",
    "Network",
    "OwnedShards",
    "PatchSubmit",
    "Reply",
    "RequestCall",
    "RequestCancel",
    "RequestRead",
    "RequestReply",
    "SlotsFreed",
    "StatusRead",
    "TargetsLeaving",
    "Traffic",
    "abort",
    "close",
    "close_call",
    "decode",
    "encode",
    "fail_connection",
    "flush",
    "is_full",
    "listen",
    "make_codec",
    "open_call",
    "resolve",
    "schedulers",
    "send",
    "send_if_possible",
    "set_addresses",
]
