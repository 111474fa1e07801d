// The wire format of a front end, as RequestProxy uses it: translates requests, responses and local
// replies between HTTP and the steering engine. Makes no decisions; those are the engine's.
#pragma once

#include <concepts>
#include <string>
#include <string_view>

#include "base/instant.h"
#include "http1/message.h"
#include "steering/attempt.h"

namespace mangonotch::edge {

template <typename C>
concept TrafficCodec = requires(const C& codec, const http1::Request& request,
                                const http1::Response& response,
                                const steering::AttemptCommand& command,
                                const steering::LocalReply& reply, base::Instant now) {
  /// Extracts what the engine needs to route the request. The result may reference `request`.
  { codec.AttributesOf(request, now) } -> std::same_as<steering::RequestAttributes>;
  /// The caller's request identifier, for logs.
  { codec.LogId(request) } -> std::convertible_to<std::string_view>;
  /// Serializes the request of an attempt as it is sent to the target.
  { codec.Encode(request, command, now) } -> std::same_as<std::string>;
  /// Whether `response` answers `request`; false for a response to another request.
  { codec.IsResponseTo(request, response) } -> std::same_as<bool>;
  /// Whether `response` says which request it answers. Its connection is closed if not: the target
  /// may send such a response again, and it would pass for the answer to the next request.
  { codec.IsIdentified(response) } -> std::same_as<bool>;
  /// Classifies a target's response.
  { codec.ClassifyResponse(response) } -> std::same_as<steering::AttemptOutcome>;
  /// Converts a target's response to the response sent to the caller.
  { codec.ToCallerResponse(http1::Response()) } -> std::same_as<http1::Response>;
  /// The response to the caller when the engine ends a request without a target's response.
  { codec.EncodeLocalReply(request, reply) } -> std::same_as<http1::Response>;
};

}  // namespace mangonotch::edge
