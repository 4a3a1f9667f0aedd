// The replicated store's log on disk. It keeps everything that a member has acknowledged through
// power failures and incomplete writes, and consists of segments of records with checksums, a
// snapshot, and the term and vote. A call that stores something returns only after it is on the
// disk.
//
// A directory holds the files of one member:
//   meta              term and vote
//   log-INDEX         a segment: the records from that index on
//   snapshot-INDEX    the state up to and including that index
// Invalid bytes at the end of the last segment, with no valid record after them, are treated as the
// rest of an interrupted append, which was never acknowledged: opening the log removes them. Any
// other checksum mismatch is an error, because the damaged part may have been acknowledged.
// log_format.hpp describes the format.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <utility>
#include <vector>

#include "replicated_store/file_io.hpp"
#include "replicated_store/log_format.hpp"

namespace gateway::replicated_store {

// The log of one member. Keeps all entries in memory as well.
class WriteAheadLog {
 public:
  struct Settings {
    std::size_t segment_bytes = 4 << 20;  // an append to a segment of this size begins a new one
    std::uint64_t cluster = 0;            // cluster id; files of another cluster are rejected
  };
  // The member's current term, and the member that it voted for in that term.
  struct Vote {
    std::uint64_t term = 0;
    std::uint64_t voted_for = 0;  // 0: no member
    bool operator==(const Vote&) const = default;
  };
  struct Snapshot {
    std::uint64_t index = 0;  // of the last entry that it includes; 0: there is no snapshot
    std::uint64_t term = 0;   // of that entry
    std::string data;
    bool operator==(const Snapshot&) const = default;
  };

  // Reads the files in the directory, which is created if it is missing; an empty directory gives
  // the empty log of a new member. Throws DiskError or CorruptLogError.
  WriteAheadLog(std::filesystem::path directory, Settings settings);

  const Vote& vote() const { return vote_; }
  const Snapshot& snapshot() const { return snapshot_; }
  // The index of the first entry in the log, or next_index() if the log is empty.
  std::uint64_t first_index() const { return first_index_; }
  // The index that the next appended entry receives.
  std::uint64_t next_index() const { return first_index_ + entries_.size(); }
  // Throws std::out_of_range if the index is not in the log.
  const LogEntry& at(std::uint64_t index) const { return entries_.at(index - first_index_); }
  // Bytes of an interrupted append that were removed when the log was opened.
  std::uint64_t truncated_bytes() const { return truncated_bytes_; }

  // The following functions throw DiskError.
  void set_vote(const Vote& vote);
  // Appends entries from next_index() on. If it throws, for instance because the disk is full, none
  // of the entries is in the log.
  void append(const std::vector<LogEntry>& entries);
  // Removes the entries from this index on.
  void truncate(std::uint64_t from);
  // Stores a snapshot and removes the segments of which all entries are included in it, except for
  // those with any of the last `trailing_entries` included entries.
  void save_snapshot(Snapshot snapshot, std::uint64_t trailing_entries = 0);
  // Stores a snapshot from another member, which replaces the whole log.
  void install_snapshot(Snapshot snapshot);

 private:
  struct Segment {
    std::uint64_t first_index = 0;
    std::filesystem::path file;
    std::vector<std::uint64_t> offsets;  // of each record, and of the end of the last
  };
  // Only the last segment may end with an interrupted append.
  enum class SegmentPosition : std::uint8_t { last, inner };

  using IndexedFiles = std::vector<std::pair<std::uint64_t, std::filesystem::path>>;
  IndexedFiles find_files(const std::string& prefix) const;  // ascending by index
  void read_meta();
  void read_latest_snapshot();
  void read_segments();
  void read_segment(const std::filesystem::path& file, std::uint64_t first_index,
                    SegmentPosition position);
  bool has_valid_header(const Segment& segment, const std::string& bytes, SegmentPosition position);
  void read_records(Segment& segment, const std::string& bytes, SegmentPosition position);
  bool has_later_record(const std::string& bytes, std::size_t after) const;
  bool is_superseded_by_snapshot() const;
  void open_segment(std::uint64_t first_index);
  void open_last_segment();
  void remove_segments_before(std::uint64_t index);
  void remove_all_segments();

  std::filesystem::path directory_;
  Settings settings_;
  Vote vote_;
  Snapshot snapshot_;
  std::uint64_t first_index_ = 1;
  std::uint64_t truncated_bytes_ = 0;
  std::vector<LogEntry> entries_;
  std::vector<Segment> segments_;
  FileDescriptor last_segment_;
};

}  // namespace gateway::replicated_store
