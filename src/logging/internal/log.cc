// Configures Boost.Log and formats log lines.
#include "logging/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/make_shared.hpp>
#include <boost/shared_ptr.hpp>
#include <iostream>
#include <ostream>

namespace mangonotch::logging {
namespace {

namespace expr = boost::log::expressions;
namespace sinks = boost::log::sinks;

using Sink = sinks::synchronous_sink<sinks::text_ostream_backend>;

boost::shared_ptr<Sink>& CurrentSink() {
  static boost::shared_ptr<Sink> sink;
  return sink;
}

auto& Logger() {
  static boost::log::sources::severity_logger_mt<Level> logger;
  return logger;
}

std::string_view NameOf(Level level) {
  switch (level) {
    case Level::kDebug:
      return "debug";
    case Level::kInfo:
      return "info";
    case Level::kWarning:
      return "warning";
    case Level::kError:
      break;
  }
  return "error";
}

bool NeedsQuotes(std::string_view value) {
  for (const char c : value) {
    if (static_cast<unsigned char>(c) <= ' ' || c == '"' || c == '=' || c == '\\' || c == '\x7f') {
      return true;
    }
  }
  return value.empty();
}

/// Quotes and escapes a value, so that it cannot end the line or be parsed as another field.
std::string Quoted(std::string_view value) {
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string text = "\"";
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else if (byte < ' ' || byte == 0x7f) {
      text += "\\x";
      text += kHex[byte >> 4];
      text += kHex[byte & 0xf];
    } else {
      text += c;
    }
  }
  return text + '"';
}

void Append(const Field& field, std::string& line) {
  std::string value(field.value().substr(0, kMaxValueBytes));
  if (field.value().size() > kMaxValueBytes) {
    value += "...";
  }
  line += ' ';
  line += field.key();
  line += '=';
  line += NeedsQuotes(value) ? Quoted(value) : value;
}

void Write(Level level, std::string_view event, std::initializer_list<Field> first,
           std::initializer_list<Field> second) {
  boost::log::record record = Logger().open_record(boost::log::keywords::severity = level);
  if (!record) {
    return;
  }
  std::string line(NameOf(level));
  line += ' ';
  line += event;
  for (const Field& field : first) {
    Append(field, line);
  }
  for (const Field& field : second) {
    Append(field, line);
  }
  boost::log::record_ostream stream(record);
  stream << line;
  stream.flush();
  Logger().push_record(boost::move(record));
}

}  // namespace

void SetUp(Level minimum, std::ostream& out) {
  const auto core = boost::log::core::get();
  if (CurrentSink()) {
    core->remove_sink(CurrentSink());
  }
  const auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&out, boost::null_deleter()));
  backend->auto_flush(true);
  CurrentSink() = boost::make_shared<Sink>(backend);
  CurrentSink()->set_formatter(expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                                                   "TimeStamp", "%Y-%m-%dT%H:%M:%S.%fZ")
                                            << ' ' << expr::smessage);
  CurrentSink()->set_filter(expr::attr<Level>("Severity") >= minimum);
  core->add_global_attribute("TimeStamp", boost::log::attributes::utc_clock());
  core->add_sink(CurrentSink());
}

void SetUp(Level minimum) { SetUp(minimum, std::cerr); }

void Log(Level level, std::string_view event, std::initializer_list<Field> fields) {
  Write(level, event, fields, {});
}

void LogChange(std::string_view event, std::string_view before, std::string_view after,
               std::initializer_list<Field> fields) {
  if (before != after) {
    Write(Level::kInfo, event, {{"from", before}, {"to", after}}, fields);
  }
}

}  // namespace mangonotch::logging
