// The order of the fields of each message on the wire. cereal finds these functions by the
// namespace of the message, so they are in the namespaces of the messages. Any change of order,
// width or bound needs a new kVersion.
#pragma once

#include "membership/messages.h"
#include "shares/messages.h"
#include "wire/internal/archive.h"

namespace mangonotch::membership {

template <class Archive>
void serialize(Archive& ar, HostRef& v) {
  ar(wire::internal::Text(v.host, wire::kMaxHostBytes));
  ar(wire::internal::Text(v.peer_address, wire::kMaxAddressBytes));
  ar(v.incarnation);
}

template <class Archive>
void serialize(Archive& ar, HostInfo& v) {
  ar(v.ref);
  ar(wire::internal::Text(v.caller_address, wire::kMaxAddressBytes));
  ar(wire::internal::Text(v.peer_http_address, wire::kMaxAddressBytes));
  ar(wire::internal::Text(v.region, wire::kMaxRegionBytes));
  ar(wire::internal::Text(v.zone, wire::kMaxZoneBytes));
  ar(v.table_revision);
  ar(wire::internal::Binary(v.leaving));
  ar(v.room_per_mille);
}

template <class Archive>
void serialize(Archive& ar, LeavingMark& v) {
  ar(v.target.value);
  ar(wire::internal::Binary(v.leaving));
  ar(v.generation);
  ar(wire::internal::Binary(v.confirmed));
}

template <class Archive>
void serialize(Archive& ar, Announcement& v) {
  ar(v.sender);
  ar(v.table_revision);
  ar(wire::internal::List(v.marks));
}

template <class Archive>
void serialize(Archive& ar, RegionSummary& v) {
  ar(v.sender);
  ar(wire::internal::Text(v.region, wire::kMaxRegionBytes));
  ar(v.epoch);
  ar(v.table_revision);
  ar(wire::internal::List(v.hosts));
  ar(wire::internal::List(v.marks));
}

}  // namespace mangonotch::membership

namespace mangonotch::shares {

template <class Archive>
void serialize(Archive& ar, HoldingLine& v) {
  ar(v.target.value);
  ar(wire::internal::Binary(v.work_class));
  ar(v.held);
  ar(v.in_use);
}

template <class Archive>
void serialize(Archive& ar, DemandLine& v) {
  ar(v.service.value);
  ar(wire::internal::Binary(v.work_class));
  ar(v.wanted);
}

template <class Archive>
void serialize(Archive& ar, GrantLine& v) {
  ar(v.target.value);
  ar(wire::internal::Binary(v.work_class));
  ar(v.slots);
}

template <class Archive>
void serialize(Archive& ar, Heartbeat& v) {
  ar(v.sender);
  ar(v.sequence);
  ar(v.epoch);
  ar(v.applied);
  ar(wire::internal::Text(v.region, wire::kMaxRegionBytes));
  ar(wire::internal::List(v.holdings));
  ar(wire::internal::List(v.demand));
  ar(wire::internal::List(v.marks));
}

template <class Archive>
void serialize(Archive& ar, HeartbeatReply& v) {
  ar(v.sender);
  ar(wire::internal::Text(v.region, wire::kMaxRegionBytes));
  ar(v.sequence);
  ar(v.epoch);
  ar(v.table_revision);
  ar(wire::internal::List(v.grants));
  ar(wire::internal::List(v.hosts));
  ar(wire::internal::List(v.marks));
}

template <class Archive>
void serialize(Archive& ar, PromiseRequest& v) {
  ar(v.sender);
  ar(wire::internal::Text(v.region, wire::kMaxRegionBytes));
  ar(v.epoch);
  ar(v.sequence);
}

template <class Archive>
void serialize(Archive& ar, Promise& v) {
  ar(v.sender);
  ar(wire::internal::Text(v.region, wire::kMaxRegionBytes));
  ar(v.epoch);
  ar(v.sequence);
  ar(wire::internal::Binary(v.forever));
}

}  // namespace mangonotch::shares
