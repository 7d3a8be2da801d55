"""Protocol Buffers encoding of the messages between agents."""

import json
import math
import typing

from sardinehold import errors
from sardinehold import objects
from sardinehold import timeline
from sardinehold.core import messages
from sardinehold.proto import peers_pb2

PROTOCOL = 1
"""Protocol version that this release sends."""

OLDEST_PROTOCOL = 1
"""Oldest protocol version that this release accepts."""

Encode = typing.Callable[[typing.Any], typing.Any]


class Codec:
    """Encoder and decoder of one type of message.

    :param field: its field of the envelope's ``body``.
    """

    __slots__ = ("field", "encode", "decode")

    def __init__(self, field: str, encode: Encode, decode: Encode) -> None:
        """Store the functions."""
        self.field = field
        self.encode = encode
        self.decode = decode


def encode_envelope(
    message: messages.Message, timestamp: timeline.Timestamp
) -> peers_pb2.Envelope:
    """Encode ``message`` as an envelope."""
    codec = _BY_KIND[type(message)]
    envelope = peers_pb2.Envelope(
        protocol=PROTOCOL, wall=timestamp.wall, logical=timestamp.logical
    )
    getattr(envelope, codec.field).CopyFrom(codec.encode(message))
    return envelope


def decode_envelope(envelope: peers_pb2.Envelope) -> messages.Message | None:
    """Decode an envelope; return None if its type of message is unknown.

    :raises sardinehold.errors.ProtocolViolation: a field is invalid, or the
        sender's protocol version is older than ``OLDEST_PROTOCOL``.
    """
    if envelope.protocol < OLDEST_PROTOCOL:
        raise errors.ProtocolViolation(
            f"A node uses the unsupported protocol version {envelope.protocol}.",
            "Upgrade it: nodes may be at most one release apart.",
        )
    field = envelope.WhichOneof("body")
    codec = _BY_FIELD.get(field)
    if codec is None:
        return None
    try:
        return codec.decode(getattr(envelope, field))
    except (ValueError, KeyError, TypeError) as error:
        raise errors.ProtocolViolation(
            f"A message of kind {field} is malformed: {error}.",
            "Compare the releases of the two nodes.",
        ) from error


def _check_finite(*numbers: float) -> None:
    if not all(math.isfinite(number) for number in numbers):
        raise ValueError("a time is not a finite number")


def _encode_renew(message: messages.Renew) -> peers_pb2.Renew:
    return peers_pb2.Renew(
        vm=message.vm,
        incarnation=message.incarnation,
        zone=message.zone,
        sequence=message.sequence,
        version=message.version,
        echo=message.echo,
        echo_of=message.echo_of,
        reports=[
            peers_pb2.EndpointReport(
                endpoint=report.endpoint,
                unhealthy=report.unhealthy,
                isolated=report.isolated,
            )
            for report in message.reports
        ],
        quiesced=message.quiesced,
        address=message.address,
    )


def _decode_renew(body: peers_pb2.Renew) -> messages.Renew:
    _check_finite(body.echo)
    return messages.Renew(
        body.vm,
        body.incarnation,
        body.zone,
        body.sequence,
        body.version,
        body.echo,
        body.echo_of,
        tuple(
            messages.EndpointReport(item.endpoint, item.unhealthy, item.isolated)
            for item in body.reports
        ),
        tuple(body.quiesced),
        body.address,
    )


def _encode_object(stored: objects.StoredObject) -> peers_pb2.Object:
    value = b""
    if stored.value is not None:
        value = json.dumps(stored.value, separators=(",", ":")).encode()
    return peers_pb2.Object(
        kind=stored.kind, name=stored.name, version=stored.version, value=value
    )


def _decode_object(body: peers_pb2.Object) -> objects.StoredObject:
    value = json.loads(body.value) if body.value else None
    if value is not None and not isinstance(value, dict):
        raise ValueError("an object's value is not a JSON object")
    return objects.StoredObject(body.kind, body.name, body.version, value)


def _encode_current(message: messages.Current) -> peers_pb2.Current:
    return peers_pb2.Current(
        vm=message.vm,
        incarnation=message.incarnation,
        sequence=message.sequence,
        version=message.version,
        age=message.age,
        clock=message.clock,
        since=message.since,
        whole=message.whole,
        objects=[_encode_object(stored) for stored in message.objects],
        relays=message.relays,
    )


def _decode_current(body: peers_pb2.Current) -> messages.Current:
    _check_finite(body.age, body.clock)
    return messages.Current(
        body.vm,
        body.incarnation,
        body.sequence,
        body.version,
        body.age,
        body.clock,
        body.since,
        body.whole,
        [_decode_object(item) for item in body.objects],
        tuple(body.relays),
    )


def _encode_summary(message: messages.Summary) -> peers_pb2.Summary:
    return peers_pb2.Summary(
        vm=message.vm,
        incarnation=message.incarnation,
        zone=message.zone,
        members_version=message.members_version,
        version=message.version,
        age=message.age,
        platform_age=message.platform_age,
        clock=message.clock,
        echo=message.echo,
        echo_of=message.echo_of,
        held=message.held,
        default_version=message.default_version,
        exceptions=message.exceptions,
        vouched_version=message.vouched_version,
        vouches=message.vouches,
        reports=[
            peers_pb2.ReportCount(
                endpoint=count.endpoint,
                unhealthy=count.unhealthy,
                isolated=count.isolated,
            )
            for count in message.reports
        ],
        unquiesced={
            group: peers_pb2.Names(names=vms)
            for group, vms in message.unquiesced.items()
        },
    )


def _decode_summary(body: peers_pb2.Summary) -> messages.Summary:
    _check_finite(body.age, body.platform_age, body.clock, body.echo, body.held)
    if body.held < 0:
        raise ValueError("a duration is negative")
    return messages.Summary(
        vm=body.vm,
        incarnation=body.incarnation,
        zone=body.zone,
        members_version=body.members_version,
        version=body.version,
        age=body.age,
        platform_age=body.platform_age,
        clock=body.clock,
        echo=body.echo,
        echo_of=body.echo_of,
        held=body.held,
        default_version=body.default_version,
        exceptions=dict(body.exceptions),
        vouched_version=body.vouched_version,
        vouches=tuple(body.vouches),
        reports=tuple(
            messages.ReportCount(item.endpoint, item.unhealthy, item.isolated)
            for item in body.reports
        ),
        unquiesced={
            group: tuple(names.names) for group, names in body.unquiesced.items()
        },
    )


def _encode_demand(message: messages.Demand) -> peers_pb2.Demand:
    return peers_pb2.Demand(
        vm=message.vm,
        incarnation=message.incarnation,
        sequence=message.sequence,
        usages=[
            peers_pb2.TokenUsage(
                team=usage.team,
                left=usage.left,
                returned=usage.returned,
                wanted=usage.wanted,
                received=usage.received,
            )
            for usage in message.usages
        ],
        connections=message.connections,
    )


def _decode_demand(body: peers_pb2.Demand) -> messages.Demand:
    return messages.Demand(
        body.vm,
        body.incarnation,
        body.sequence,
        tuple(
            messages.TokenUsage(
                item.team,
                _check_count(item.left),
                _check_count(item.returned),
                _check_count(item.wanted),
                item.received,
            )
            for item in body.usages
        ),
        dict(body.connections),
    )


def _check_count(number: int) -> int:
    if number < 0:
        raise ValueError("a count is negative")
    return number


def _encode_grants(message: messages.Grants) -> peers_pb2.Grants:
    return peers_pb2.Grants(
        vm=message.vm,
        epoch=message.epoch,
        sequence=message.sequence,
        tokens=[
            peers_pb2.TokenGrant(
                grant_id=grant.grant_id,
                team=grant.team,
                tokens=grant.tokens,
                lifetime=grant.lifetime,
            )
            for grant in message.tokens
        ],
        shares=[
            peers_pb2.ConnectionShare(
                endpoint=share.endpoint,
                connections=share.connections,
                lifetime=share.lifetime,
            )
            for share in message.shares
        ],
    )


def _decode_grants(body: peers_pb2.Grants) -> messages.Grants:
    lifetimes = [item.lifetime for item in (*body.tokens, *body.shares)]
    _check_finite(*lifetimes)
    return messages.Grants(
        body.vm,
        body.epoch,
        body.sequence,
        tuple(
            messages.TokenGrant(
                item.grant_id, item.team, _check_count(item.tokens), item.lifetime
            )
            for item in body.tokens
        ),
        tuple(
            messages.ConnectionShare(item.endpoint, item.connections, item.lifetime)
            for item in body.shares
        ),
    )


def _encode_status(message: messages.NodeStatus) -> peers_pb2.NodeStatus:
    return peers_pb2.NodeStatus(
        vm=message.vm, incarnation=message.incarnation, body=message.body
    )


def _decode_status(body: peers_pb2.NodeStatus) -> messages.NodeStatus:
    return messages.NodeStatus(body.vm, body.incarnation, body.body)


_BY_KIND: dict[type[messages.Message], Codec] = {
    messages.Renew: Codec("renew", _encode_renew, _decode_renew),
    messages.Current: Codec("current", _encode_current, _decode_current),
    messages.Summary: Codec("summary", _encode_summary, _decode_summary),
    messages.Demand: Codec("demand", _encode_demand, _decode_demand),
    messages.Grants: Codec("grants", _encode_grants, _decode_grants),
    messages.NodeStatus: Codec("status", _encode_status, _decode_status),
}

_BY_FIELD = {codec.field: codec for codec in _BY_KIND.values()}
