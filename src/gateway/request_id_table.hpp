/// @file
/// The ids of requests that may have been executed, shared by the processes of a gateway.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace gateway {

/// Remembers for some time which ids were used, so that a request that may have been executed is
/// not executed again when its id comes back: after its client has left, after its response, and at
/// the other process during an upgrade. Holds a fixed number of ids, as hashes; when it is full,
/// the one that expires first among a few is forgotten. Times are those of the machine's steady
/// clock, which all its processes share.
///
/// Lock-free between processes: of two that claim an id at the same moment at most one succeeds.
class RequestIdTable {
 public:
  using Clock = std::chrono::steady_clock;
  enum class Claim {
    accepted,
    accepted_forgetting_another,  ///< The table was full.
    in_use
  };

  /// Uses a file in `directory`, or memory of this process if the directory is empty or the file
  /// can't be used: see is_shared().
  explicit RequestIdTable(const std::string& directory);
  ~RequestIdTable();
  RequestIdTable(const RequestIdTable&) = delete;
  RequestIdTable& operator=(const RequestIdTable&) = delete;

  /// Whether other processes see the ids.
  bool is_shared() const { return is_shared_; }
  /// Marks an id as used until `expires`, kMaxLifetime from `now` at most, unless it is in use.
  Claim claim(std::string_view id, Clock::time_point now, Clock::time_point expires);
  /// Changes the time at which an id that was claimed expires.
  void extend(std::string_view id, Clock::time_point now, Clock::time_point expires);
  /// The request was certainly not executed: its id may be used again.
  void release(std::string_view id, Clock::time_point now);

  static constexpr std::size_t kSlots = 1 << 16;
  static constexpr std::chrono::minutes kMaxLifetime{10};

 private:
  struct Layout;
  struct Position {
    std::size_t first_slot = 0;
    std::uint64_t fingerprint = 0;
  };

  void map(int descriptor);
  bool open_shared(const std::string& directory);
  Position position_of(std::string_view id) const;
  void replace(const Position& position, std::uint64_t now_units, std::uint64_t entry);

  Layout* layout_ = nullptr;
  bool is_shared_ = false;
};

}  // namespace gateway
