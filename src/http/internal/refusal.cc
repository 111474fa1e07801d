// Labels and status codes of refusals, and reason phrases.
#include "http/refusal.h"

#include "http/response.h"

namespace mangonotch::http {

std::string_view Name(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kBadLength:
      return "bad-length";
    case Refusal::kTransferEncoding:
      return "transfer-encoding";
    case Refusal::kLengthRequired:
      return "length-required";
    case Refusal::kBodyTooLarge:
      return "body-too-large";
    case Refusal::kUrlTooLong:
      return "url-too-long";
    case Refusal::kBadUrl:
      return "bad-url";
    case Refusal::kUnknownMethod:
      return "unknown-method";
    case Refusal::kBadHost:
      return "bad-host";
    case Refusal::kUnknownExpectation:
      return "unknown-expectation";
    case Refusal::kStopping:
      return "stopping";
  }
  return "none";
}

unsigned StatusOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return 200;
    case Refusal::kBadLength:
    case Refusal::kBadUrl:
    case Refusal::kBadHost:
      return 400;
    case Refusal::kLengthRequired:
      return 411;
    case Refusal::kBodyTooLarge:
      return 413;
    case Refusal::kUrlTooLong:
      return 414;
    case Refusal::kUnknownExpectation:
      return 417;
    case Refusal::kTransferEncoding:
    case Refusal::kUnknownMethod:
      return 501;
    case Refusal::kStopping:
      return 503;
  }
  return 500;
}

std::string_view ReasonPhrase(unsigned status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 411:
      return "Length Required";
    case 413:
      return "Content Too Large";
    case 414:
      return "URI Too Long";
    case 417:
      return "Expectation Failed";
    case 422:
      return "Unprocessable Content";
    case 428:
      return "Precondition Required";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace mangonotch::http
