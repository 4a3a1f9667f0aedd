#include "replicated_store/write_ahead_log.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <utility>

namespace gateway::replicated_store {
namespace {

namespace fs = std::filesystem;

constexpr auto kMetaFile = "meta";
constexpr auto kSegmentPrefix = "log-";
constexpr auto kSnapshotPrefix = "snapshot-";

CorruptLogError corrupt_segment(const fs::path& file, std::size_t offset,
                                const std::string& problem) {
  return {file, problem + " at byte " + std::to_string(offset) +
                    "; restore the file, or empty the directory and rejoin the cluster"};
}

}  // namespace

WriteAheadLog::WriteAheadLog(fs::path directory, Settings settings)
    : directory_(std::move(directory)), settings_(settings) {
  std::error_code error;
  fs::create_directories(directory_, error);
  if (error) {
    throw DiskError(directory_, error.message());
  }
  read_meta();
  read_latest_snapshot();
  read_segments();
}

// --- Reading

WriteAheadLog::IndexedFiles WriteAheadLog::find_files(const std::string& prefix) const {
  IndexedFiles files;
  for (const auto& entry : fs::directory_iterator(directory_)) {
    if (const auto index = index_in_file_name(entry.path(), prefix)) {
      files.emplace_back(*index, entry.path());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

void WriteAheadLog::read_meta() {
  const fs::path file = directory_ / kMetaFile;
  if (!fs::exists(file)) {
    return;
  }
  const std::string bytes = read_file(file);
  // The file is written atomically, so one that does not match its checksum was damaged later. A
  // member that ignored it could vote twice in a term.
  if (bytes.size() != kMetaBytes || !has_valid_checksum(bytes) ||
      decode_number(bytes, kMagicOffset) != kMagic) {
    throw CorruptLogError(
        file, "checksum mismatch; empty the directory and rejoin under another member id");
  }
  if (decode_number(bytes, kClusterOffset) != settings_.cluster) {
    throw DiskError(file, "belongs to another cluster; use this member's own directory");
  }
  vote_ = {decode_number(bytes, kThirdNumberOffset), decode_number(bytes, kFourthNumberOffset)};
}

void WriteAheadLog::read_latest_snapshot() {
  const IndexedFiles files = find_files(kSnapshotPrefix);
  if (files.empty()) {
    return;
  }
  const auto& [index, file] = files.back();
  const std::string bytes = read_file(file);
  // The file is written atomically, so one that does not match its checksum was damaged later.
  if (bytes.size() < kSnapshotHeaderBytes + kChecksumBytes || !has_valid_checksum(bytes) ||
      decode_number(bytes, kMagicOffset) != kMagic ||
      decode_number(bytes, kThirdNumberOffset) != index) {
    throw CorruptLogError(
        file,
        "checksum or index mismatch; restore it, or empty the directory and rejoin the cluster");
  }
  if (decode_number(bytes, kClusterOffset) != settings_.cluster) {
    throw DiskError(file, "belongs to another cluster");
  }
  const std::size_t data_size = bytes.size() - kSnapshotHeaderBytes - kChecksumBytes;
  snapshot_ = {index, decode_number(bytes, kFourthNumberOffset),
               bytes.substr(kSnapshotHeaderBytes, data_size)};
  first_index_ = index + 1;
}

void WriteAheadLog::read_segments() {
  const IndexedFiles files = find_files(kSegmentPrefix);
  if (!files.empty()) {
    first_index_ = files.front().first;
  }
  if (first_index_ > snapshot_.index + 1) {
    throw CorruptLogError(files.front().second, "entries " + std::to_string(snapshot_.index + 1) +
                                                    " to " + std::to_string(first_index_ - 1) +
                                                    " before this file are missing");
  }
  for (std::size_t i = 0; i < files.size(); ++i) {
    const bool is_last = i + 1 == files.size();
    read_segment(files[i].second, files[i].first,
                 is_last ? SegmentPosition::last : SegmentPosition::inner);
  }
  if (is_superseded_by_snapshot()) {
    remove_all_segments();
  }
  if (segments_.empty()) {
    open_segment(next_index());
  } else {
    open_last_segment();
  }
}

// A snapshot from another member replaces the whole log, but after a power failure some of the old
// segments may remain. Their entries do not belong to the log that the snapshot continues.
bool WriteAheadLog::is_superseded_by_snapshot() const {
  if (next_index() <= snapshot_.index) {
    return true;
  }
  return snapshot_.index >= first_index_ && at(snapshot_.index).term != snapshot_.term;
}

void WriteAheadLog::read_segment(const fs::path& file, std::uint64_t first_index,
                                 SegmentPosition position) {
  const std::string bytes = read_file(file);
  Segment segment{first_index, file, {}};
  if (!has_valid_header(segment, bytes, position)) {
    truncated_bytes_ += bytes.size();
    fs::remove(file);
    return;
  }
  if (first_index != next_index()) {
    throw corrupt_segment(file, 0,
                          "first entry is " + std::to_string(first_index) + " instead of " +
                              std::to_string(next_index()));
  }
  read_records(segment, bytes, position);
  segments_.push_back(std::move(segment));
}

// False if this is the last segment and its header is incomplete, so that it contains no records.
// Throws if the header is invalid in any other respect.
bool WriteAheadLog::has_valid_header(const Segment& segment, const std::string& bytes,
                                     SegmentPosition position) {
  if (bytes.size() < kSegmentHeaderBytes) {
    if (position != SegmentPosition::last) {
      throw corrupt_segment(segment.file, bytes.size(), "file ends within the segment header");
    }
    return false;
  }
  const std::string expected = encode_segment_header(settings_.cluster, segment.first_index);
  if (bytes.starts_with(expected)) {
    return true;
  }
  if (decode_number(bytes, kMagicOffset) == kMagic &&
      decode_number(bytes, kClusterOffset) != settings_.cluster) {
    throw DiskError(segment.file, "belongs to another cluster; use this member's own directory");
  }
  throw corrupt_segment(segment.file, 0, "invalid segment header");
}

void WriteAheadLog::read_records(Segment& segment, const std::string& bytes,
                                 SegmentPosition position) {
  std::size_t offset = kSegmentHeaderBytes;
  while (offset < bytes.size()) {
    const std::size_t size = record_size_at(bytes, offset);
    if (size == 0 || record_index_at(bytes, offset) != next_index()) {
      // In the last segment, bytes that no valid record follows are the rest of an interrupted
      // append. Otherwise entries in the middle of the log are damaged.
      if (position != SegmentPosition::last || has_later_record(bytes, offset)) {
        throw corrupt_segment(
            segment.file, offset,
            "checksum or index mismatch in entry " + std::to_string(next_index()));
      }
      truncated_bytes_ += bytes.size() - offset;
      fs::resize_file(segment.file, offset);
      break;
    }
    segment.offsets.push_back(offset);
    entries_.push_back(decode_record(bytes, offset, size));
    offset += size;
  }
  segment.offsets.push_back(offset);
}

bool WriteAheadLog::has_later_record(const std::string& bytes, std::size_t after) const {
  for (std::size_t offset = after + 1; offset < bytes.size(); ++offset) {
    if (record_size_at(bytes, offset) > 0 && record_index_at(bytes, offset) > next_index()) {
      return true;
    }
  }
  return false;
}

// --- Writing

void WriteAheadLog::set_vote(const Vote& vote) {
  const std::string body = encode_numbers({kMagic, settings_.cluster, vote.term, vote.voted_for});
  write_file_atomically(directory_ / kMetaFile, with_checksum(body));
  vote_ = vote;
}

void WriteAheadLog::open_segment(std::uint64_t first_index) {
  const fs::path file = directory_ / (kSegmentPrefix + std::to_string(first_index));
  write_file_atomically(file, encode_segment_header(settings_.cluster, first_index));
  last_segment_ = FileDescriptor(file, O_WRONLY);
  segments_.push_back({first_index, file, {kSegmentHeaderBytes}});
}

void WriteAheadLog::open_last_segment() {
  last_segment_ = FileDescriptor(segments_.back().file, O_WRONLY);
}

void WriteAheadLog::append(const std::vector<LogEntry>& entries) {
  if (entries.empty()) {
    return;
  }
  if (segments_.back().offsets.back() >= settings_.segment_bytes) {
    open_segment(next_index());
  }
  Segment& segment = segments_.back();
  const std::uint64_t start = segment.offsets.back();
  std::string bytes;
  std::vector<std::uint64_t> ends;
  for (const LogEntry& entry : entries) {
    if (entry.data.size() > kMaxEntryBytes) {
      throw DiskError(segment.file, "entry exceeds the maximum size of 16 MiB");
    }
    bytes += encode_record(next_index() + ends.size(), entry);
    ends.push_back(start + bytes.size());
  }
  const int fd = last_segment_.get();
  if (!write_at(fd, bytes, start) || ::fdatasync(fd) != 0) {
    const int error = errno;
    // Removes records that were written, which the next start would read as entries. If this fails
    // too, the next append overwrites them; without one, the next start removes an incomplete
    // record and keeps complete ones, although they were never acknowledged.
    [[maybe_unused]] const int ignored = ::ftruncate(fd, static_cast<off_t>(start));
    errno = error;
    throw_errno(segment.file, "write");
  }
  entries_.insert(entries_.end(), entries.begin(), entries.end());
  segment.offsets.insert(segment.offsets.end(), ends.begin(), ends.end());
}

void WriteAheadLog::truncate(std::uint64_t from) {
  if (from >= next_index()) {
    return;
  }
  from = std::max(from, first_index_);
  bool removed_segments = false;
  // Removes segments from the end, so that a power failure between two steps leaves a valid log
  // with more entries than intended.
  while (segments_.size() > 1 && segments_.back().first_index >= from) {
    last_segment_.close();
    fs::remove(segments_.back().file);
    segments_.pop_back();
    removed_segments = true;
  }
  if (removed_segments) {
    sync_directory(directory_);
    open_last_segment();
  }
  Segment& segment = segments_.back();
  segment.offsets.resize(from - segment.first_index + 1);
  const int fd = last_segment_.get();
  if (::ftruncate(fd, static_cast<off_t>(segment.offsets.back())) != 0 || ::fdatasync(fd) != 0) {
    throw_errno(segment.file, "truncate");
  }
  entries_.resize(from - first_index_);
}

void WriteAheadLog::save_snapshot(Snapshot snapshot, std::uint64_t trailing_entries) {
  const std::string header =
      encode_numbers({kMagic, settings_.cluster, snapshot.index, snapshot.term});
  const auto file_of = [this](std::uint64_t index) {
    return directory_ / (kSnapshotPrefix + std::to_string(index));
  };
  write_file_atomically(file_of(snapshot.index), with_checksum(header + snapshot.data));
  const std::uint64_t previous = snapshot_.index;
  snapshot_ = std::move(snapshot);
  if (previous != 0 && previous != snapshot_.index) {
    fs::remove(file_of(previous));
  }
  const std::uint64_t next = snapshot_.index + 1;
  remove_segments_before(next > trailing_entries ? next - trailing_entries : 1);
}

void WriteAheadLog::remove_segments_before(std::uint64_t index) {
  while (segments_.size() > 1 && segments_[1].first_index <= index) {
    fs::remove(segments_.front().file);
    const std::uint64_t removed = segments_[1].first_index - first_index_;
    entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(removed));
    first_index_ = segments_[1].first_index;
    segments_.erase(segments_.begin());
  }
}

void WriteAheadLog::install_snapshot(Snapshot snapshot) {
  constexpr std::uint64_t kKeepAll = std::numeric_limits<std::uint64_t>::max();
  save_snapshot(std::move(snapshot), kKeepAll);
  remove_all_segments();
  open_segment(first_index_);
}

// Removes segments from the end, so that a power failure in between leaves the beginning of the log
// without a gap.
void WriteAheadLog::remove_all_segments() {
  while (!segments_.empty()) {
    fs::remove(segments_.back().file);
    segments_.pop_back();
  }
  entries_.clear();
  first_index_ = snapshot_.index + 1;
}

}  // namespace gateway::replicated_store
