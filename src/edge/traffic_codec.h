// What the caller front needs of a front end: how requests, answers and refusals look on the wire.
// Decisions are the engine's; a codec only translates.
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
                                const steering::AttemptOrder& order,
                                const steering::Conclusion& conclusion, base::Instant now) {
  /// The result may refer into the request.
  { codec.Facts(request, now) } -> std::same_as<steering::RequestFacts>;
  /// Names the request in logs; chosen by the caller.
  { codec.LogId(request) } -> std::convertible_to<std::string_view>;
  /// The request as the target gets it.
  { codec.Encode(request, order, now) } -> std::same_as<std::string>;
  /// False for an answer to another request.
  { codec.Belongs(request, response) } -> std::same_as<bool>;
  { codec.Outcome(response) } -> std::same_as<steering::AttemptOutcome>;
  /// A target's answer as the caller gets it.
  { codec.Answer(response) } -> std::same_as<http1::Response>;
  { codec.Conclude(request, conclusion) } -> std::same_as<http1::Response>;
};

}  // namespace mangonotch::edge
