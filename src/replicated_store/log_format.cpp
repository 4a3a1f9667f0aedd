#include "replicated_store/log_format.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace gateway::replicated_store {
namespace {

constexpr std::size_t kLengthBytes = 4;

// Offsets of the fields within a record.
constexpr std::size_t kRecordChecksumOffset = 4;
constexpr std::size_t kRecordIndexOffset = 12;
constexpr std::size_t kRecordTermOffset = 20;
constexpr std::size_t kRecordKindOffset = 28;

void append_number(std::string& out, std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i) {
    out += static_cast<char>(value >> (8 * i));
  }
}

std::uint64_t read_number(const std::string& in, std::size_t offset, std::size_t bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[offset + i])) << (8 * i);
  }
  return value;
}

std::uint64_t checksum(const char* data, std::size_t size) {
  return XXH3_64bits(data, size);
}

}  // namespace

std::string encode_numbers(std::initializer_list<std::uint64_t> numbers) {
  std::string out;
  for (const std::uint64_t number : numbers) {
    append_number(out, number, kNumberBytes);
  }
  return out;
}

std::uint64_t decode_number(const std::string& bytes, std::size_t offset) {
  return read_number(bytes, offset, kNumberBytes);
}

std::string with_checksum(std::string body) {
  append_number(body, checksum(body.data(), body.size()), kChecksumBytes);
  return body;
}

bool has_valid_checksum(const std::string& bytes) {
  if (bytes.size() < kChecksumBytes) {
    return false;
  }
  const std::size_t body_size = bytes.size() - kChecksumBytes;
  return decode_number(bytes, body_size) == checksum(bytes.data(), body_size);
}

std::string encode_segment_header(std::uint64_t cluster, std::uint64_t first_index) {
  return with_checksum(encode_numbers({kMagic, cluster, first_index}));
}

std::string encode_record(std::uint64_t index, const LogEntry& entry) {
  std::string body = encode_numbers({index, entry.term});
  body += static_cast<char>(entry.kind);
  body += entry.data;
  std::string out;
  append_number(out, entry.data.size(), kLengthBytes);
  append_number(out, checksum(body.data(), body.size()), kChecksumBytes);
  return out + body;
}

std::size_t record_size_at(const std::string& bytes, std::size_t offset) {
  if (bytes.size() < offset + kRecordHeaderBytes) {
    return 0;
  }
  const std::uint64_t length = read_number(bytes, offset, kLengthBytes);
  if (length > kMaxEntryBytes || bytes.size() - offset - kRecordHeaderBytes < length) {
    return 0;
  }
  const std::size_t size = kRecordHeaderBytes + length;
  const char* body = bytes.data() + offset + kRecordIndexOffset;
  if (decode_number(bytes, offset + kRecordChecksumOffset) !=
      checksum(body, size - kRecordIndexOffset)) {
    return 0;
  }
  return size;
}

std::uint64_t record_index_at(const std::string& bytes, std::size_t offset) {
  return decode_number(bytes, offset + kRecordIndexOffset);
}

LogEntry decode_record(const std::string& bytes, std::size_t offset, std::size_t size) {
  LogEntry entry;
  entry.term = decode_number(bytes, offset + kRecordTermOffset);
  entry.kind = static_cast<std::uint8_t>(bytes[offset + kRecordKindOffset]);
  entry.data = bytes.substr(offset + kRecordHeaderBytes, size - kRecordHeaderBytes);
  return entry;
}

std::optional<std::uint64_t> index_in_file_name(const std::filesystem::path& file,
                                                const std::string& prefix) {
  const std::string name = file.filename().string();
  if (!name.starts_with(prefix) || name.size() == prefix.size()) {
    return std::nullopt;
  }
  if (name.find_first_not_of("0123456789", prefix.size()) != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(name.substr(prefix.size()));
}

}  // namespace gateway::replicated_store
