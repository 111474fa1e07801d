// An in-memory store for tests, which can simulate failures of the platform's store.
#pragma once

#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

#include "http/clock.h"
#include "store/store.h"

namespace mangonotch::store {

class MemoryStore {
 public:
  ReadResult Get(std::string_view key, base::Instant /*deadline*/) {
    const std::lock_guard lock(mutex_);
    ++reads_;
    return down_ ? Unavailable() : Read(key);
  }

  WriteResult Put(std::string_view key, Version expected, std::string_view value,
                  base::Instant /*deadline*/) {
    const std::lock_guard lock(mutex_);
    ++writes_;
    if (down_) {
      return {WriteStatus::kUnavailable, kAbsent, "down"};
    }
    Entry& entry = entries_[std::string(key)];
    if (entry.version != expected) {
      return {WriteStatus::kConflict, entry.version, ""};
    }
    entry = {++last_version_, std::string(value), std::move(entry.value), entry.version};
    changed_.notify_all();
    if (lose_responses_ > 0) {
      --lose_responses_;
      return {WriteStatus::kUnknown, kAbsent, "response lost"};
    }
    return {WriteStatus::kOk, last_version_, ""};
  }

  ReadResult Watch(std::string_view key, Version after, base::Instant deadline) {
    std::unique_lock lock(mutex_);
    ++reads_;
    while (!down_) {
      ReadResult result = Read(key);
      const base::Instant now = http::Now();
      if (result.version > after) {
        return result;
      }
      if (now >= deadline) {
        return {ReadStatus::kUnchanged, kAbsent, "", ""};
      }
      changed_.wait_for(lock, std::chrono::nanoseconds((deadline - now).nanoseconds()));
    }
    return Unavailable();
  }

  /// While down, calls return kUnavailable and change nothing.
  void SetDown(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
    changed_.notify_all();
  }
  /// The next `n` writes take effect and return kUnknown.
  void LoseResponses(int n) {
    const std::lock_guard lock(mutex_);
    lose_responses_ = n;
  }
  /// While stale, reads return the previous value of a key.
  void SetStale(bool stale) {
    const std::lock_guard lock(mutex_);
    stale_ = stale;
  }
  int reads() const {
    const std::lock_guard lock(mutex_);
    return reads_;
  }
  int writes() const {
    const std::lock_guard lock(mutex_);
    return writes_;
  }

 private:
  struct Entry {
    Version version = kAbsent;
    std::string value;
    std::string previous_value;
    Version previous_version = kAbsent;
  };

  static ReadResult Unavailable() { return {ReadStatus::kUnavailable, kAbsent, "", "down"}; }

  ReadResult Read(std::string_view key) const {
    const auto it = entries_.find(key);
    if (it == entries_.end() || it->second.version == kAbsent) {
      return {ReadStatus::kNotFound, kAbsent, "", ""};
    }
    const Entry& entry = it->second;
    if (stale_ && entry.previous_version != kAbsent) {
      return {ReadStatus::kOk, entry.previous_version, entry.previous_value, ""};
    }
    return {ReadStatus::kOk, entry.version, entry.value, ""};
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  // All below are guarded by mutex_.
  std::map<std::string, Entry, std::less<>> entries_;
  Version last_version_ = 0;
  bool down_ = false;
  bool stale_ = false;
  int lose_responses_ = 0;
  int reads_ = 0;
  int writes_ = 0;
};

static_assert(Store<MemoryStore>);

}  // namespace mangonotch::store
