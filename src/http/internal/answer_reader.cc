// Reads one whole answer with Boost.Beast's parser.
#include "http/internal/answer_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

namespace mangonotch::http::internal {
namespace {

namespace beast_http = boost::beast::http;
using Parser = beast_http::response_parser<beast_http::string_body>;

constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;

std::string_view View(boost::beast::string_view text) { return {text.data(), text.size()}; }

/// Whether a line of a head begins with a blank. Beast takes it for the rest of the line before
/// (obsolete line folding, RFC 9112, section 5.2).
bool HasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

}  // namespace

class AnswerReader::Impl {
 public:
  Impl(std::string_view method, const ExecuteOptions& options, const std::string& peer)
      : head_only_(method == "HEAD"), options_(options), peer_(peer) {
    Restart();
  }

  bool Put(std::string_view bytes) {
    pending_.append(bytes);
    seen_any_ = true;
    while (!pending_.empty() && !parser_->is_done()) {
      boost::system::error_code ec;
      const bool is_in_head = !parser_->is_header_done();
      const std::size_t n =
          parser_->put(boost::asio::const_buffer(pending_.data(), pending_.size()), ec);
      if (is_in_head && HasFoldedLine({pending_.data(), n})) {
        Fail(Failure::kMalformed, "folded header line");
      }
      pending_.erase(0, n);
      if (ec == beast_http::error::need_more) {
        CheckPending();
        return false;
      }
      Check(ec);
      if (parser_->is_header_done() && !header_taken_) {
        TakeHeader();
      }
    }
    return parser_->is_done();
  }

  [[noreturn]] void End(bool kept_connection) {
    if (kept_connection && !seen_any_) {
      Fail(Failure::kStaleConnection, "closed before the answer");
    }
    Fail(Failure::kCutOff, "closed within the answer");
  }

  bool reusable() const { return parser_->is_done() && parser_->keep_alive() && pending_.empty(); }

  Response Take() {
    response_.body = std::move(parser_->get().body());
    return std::move(response_);
  }

 private:
  void Restart() {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(options_.max_header_bytes));
    parser_->body_limit(options_.max_body_bytes);
    parser_->skip(head_only_);
    header_taken_ = false;
  }

  /// Headers are copied before the body is parsed, so that trailer fields of a chunked answer
  /// cannot replace them.
  void TakeHeader() {
    const auto& message = parser_->get();
    if (message.result_int() < kMinStatus || message.result_int() > kMaxStatus) {
      Fail(Failure::kMalformed, "status that does not exist");
    }
    if (message.result_int() / 100 == 1) {
      if (message.result_int() == 101) {
        Fail(Failure::kMalformed, "switches the protocol unasked");
      }
      Restart();  // An interim answer; the real one follows.
      return;
    }
    if (parser_->need_eof()) {
      Fail(Failure::kUnprovableLength, "no length and no chunks");
    }
    const auto encoding = message[beast_http::field::transfer_encoding];
    if (!encoding.empty() && !EqualsIgnoreCase(View(encoding), "chunked")) {
      Fail(Failure::kMalformed, "transfer coding other than chunked");
    }
    CopyHeader();
    header_taken_ = true;
    parser_->eager(true);
  }

  void CopyHeader() {
    const auto& message = parser_->get();
    response_.status = message.result_int();
    for (const auto& field : message) {
      const std::string_view name = View(field.name_string());
      if (!IsFieldValue(View(field.value())) || !IsToken(name)) {
        Fail(Failure::kMalformed, "header line");
      }
      response_.headers.Add(name, View(field.value()));
    }
  }

  /// The parser leaves what it cannot use yet, such as an unfinished chunk extension or trailer,
  /// and sets no limit on it.
  void CheckPending() const {
    if (pending_.size() > options_.max_header_bytes) {
      Fail(Failure::kTooLarge, "unfinished line, chunk extension or trailers");
    }
  }

  void Check(const boost::system::error_code& ec) const {
    if (!ec) {
      return;
    }
    const bool large = ec == beast_http::error::body_limit || ec == beast_http::error::header_limit;
    Fail(large ? Failure::kTooLarge : Failure::kMalformed, ec.message());
  }

  [[noreturn]] void Fail(Failure failure, const std::string& detail) const {
    throw ClientError(failure, true, peer_, detail);
  }

  bool head_only_;
  const ExecuteOptions& options_;
  const std::string& peer_;
  std::optional<Parser> parser_;
  std::string pending_;  // Bytes that the parser has not consumed.
  bool seen_any_ = false;
  bool header_taken_ = false;
  Response response_;
};

AnswerReader::AnswerReader(std::string_view method, const ExecuteOptions& options,
                           const std::string& peer)
    : impl_(std::make_unique<Impl>(method, options, peer)) {}
AnswerReader::~AnswerReader() = default;
bool AnswerReader::Put(std::string_view bytes) { return impl_->Put(bytes); }
void AnswerReader::End(bool kept_connection) { impl_->End(kept_connection); }
bool AnswerReader::reusable() const { return impl_->reusable(); }
Response AnswerReader::Take() { return impl_->Take(); }

}  // namespace mangonotch::http::internal
