// The on-disk format of the write-ahead log. All numbers are little-endian.
//
//   meta file      magic, cluster, term, voted for, checksum
//   snapshot file  magic, cluster, index, term, data, checksum
//   segment file   header (magic, cluster, first index, checksum), then records
//   record         length of the data (4 bytes), checksum, index, term, kind (1 byte), data
//
// A field has 8 bytes unless stated otherwise. A checksum is the XXH3 hash of the bytes before it
// in its structure; that of a record is the hash of the record's bytes after it.
#pragma once

#include <cstdint>
#include <filesystem>
#include <initializer_list>
#include <optional>
#include <string>

namespace gateway::replicated_store {

// An entry of the replicated log.
struct LogEntry {
  std::uint64_t term = 0;
  std::uint8_t kind = 0;  // opaque to the log
  std::string data;
  bool operator==(const LogEntry&) const = default;
};

inline constexpr std::uint64_t kMagic = 0x31676f4c6e6e6546;  // "FennLog1"
inline constexpr std::size_t kNumberBytes = 8;
inline constexpr std::size_t kChecksumBytes = 8;
inline constexpr std::size_t kSegmentHeaderBytes = 4 * kNumberBytes;
inline constexpr std::size_t kMetaBytes = 5 * kNumberBytes;
inline constexpr std::size_t kSnapshotHeaderBytes = 4 * kNumberBytes;
inline constexpr std::size_t kRecordHeaderBytes = 4 + 8 + 8 + 8 + 1;
inline constexpr std::uint32_t kMaxEntryBytes = 16 << 20;  // of the data

// Offsets of the 8-byte numbers at the beginning of meta, snapshot and segment files. The third and
// fourth number differ by file, see above.
inline constexpr std::size_t kMagicOffset = 0;
inline constexpr std::size_t kClusterOffset = 8;
inline constexpr std::size_t kThirdNumberOffset = 16;
inline constexpr std::size_t kFourthNumberOffset = 24;

// Encodes each number in 8 bytes.
std::string encode_numbers(std::initializer_list<std::uint64_t> numbers);
std::uint64_t decode_number(const std::string& bytes, std::size_t offset);

// Appends the checksum of the body to it.
std::string with_checksum(std::string body);
// Whether the last 8 bytes are the checksum of the bytes before them.
bool has_valid_checksum(const std::string& bytes);

std::string encode_segment_header(std::uint64_t cluster, std::uint64_t first_index);

std::string encode_record(std::uint64_t index, const LogEntry& entry);
// The size of the record at this offset; 0 if it is incomplete or its checksum does not match.
std::size_t record_size_at(const std::string& bytes, std::size_t offset);
// The index of the entry; only for a record for which record_size_at() is not 0.
std::uint64_t record_index_at(const std::string& bytes, std::size_t offset);
// Decodes the record at this offset; `size` is that from record_size_at().
LogEntry decode_record(const std::string& bytes, std::size_t offset, std::size_t size);

// The number in a file name such as "log-17"; no value if the name is not the prefix and digits.
std::optional<std::uint64_t> index_in_file_name(const std::filesystem::path& file,
                                                const std::string& prefix);

}  // namespace gateway::replicated_store
