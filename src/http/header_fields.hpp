/// @file
/// The header fields of a message, stored as the text that is sent on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::http {

/// Fields in the order in which they were added; names are compared without regard to case. A field
/// costs its text and a small index entry: a peer can send thousands of short fields in one head,
/// so an allocation for each would cost many times what the peer has sent. The fields together must
/// be shorter than 64 KiB.
class HeaderFields {
 public:
  /// Adds a field after those that are there, also if one has its name.
  void append(std::string_view name, std::string_view value);
  /// Replaces all fields of this name by one.
  void set(std::string_view name, std::string_view value);
  void erase(std::string_view name);
  /// Removes the fields whose name the predicate accepts, in one pass.
  template <class Predicate>
  void erase_if(Predicate predicate) {
    std::size_t kept_bytes = 0;
    std::size_t kept_entries = 0;
    for (const Entry& entry : entries_) {
      if (predicate(name_of(entry))) {
        continue;
      }
      text_.replace(kept_bytes, entry.size, text_, entry.begin, entry.size);
      entries_[kept_entries] = entry;
      entries_[kept_entries].begin = static_cast<std::uint16_t>(kept_bytes);
      kept_bytes += entry.size;
      ++kept_entries;
    }
    entries_.resize(kept_entries);
    text_.resize(kept_bytes);
  }

  /// The value of the first field of this name; empty if there is none. Valid until the next
  /// change.
  std::string_view operator[](std::string_view name) const;
  std::size_t count(std::string_view name) const;
  bool contains(std::string_view name) const { return count(name) > 0; }

  /// All fields as "Name: value\r\n".
  const std::string& text() const { return text_; }
  /// Bytes of memory that the fields occupy.
  std::size_t memory_bytes() const {
    return text_.capacity() + entries_.capacity() * sizeof(Entry);
  }

 private:
  struct Entry {
    std::uint16_t begin = 0;
    std::uint16_t name_size = 0;
    std::uint16_t size = 0;  // of its line, with the line end
  };

  std::string_view name_of(const Entry& entry) const {
    return std::string_view(text_).substr(entry.begin, entry.name_size);
  }
  std::string_view value_of(const Entry& entry) const;
  bool has_name(const Entry& entry, std::string_view name) const;

  std::string text_;
  std::vector<Entry> entries_;
};

/// Whether two field names, or other tokens, are equal without regard to case.
bool equals_ignoring_case(std::string_view left, std::string_view right);

}  // namespace gateway::http
