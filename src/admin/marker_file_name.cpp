#include "admin/marker_file_name.hpp"

namespace gateway::admin {
namespace {

constexpr std::string_view kPrefix = "host-";  // distinguishes marker files from other files

bool is_unescaped(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
         c == '_';
}

std::optional<int> digit_value(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return std::nullopt;
}

/// Decodes an escape such as "%2e" at the beginning of `text`; empty if there is none.
std::optional<char> unescape(std::string_view text) {
  if (text.size() < 3 || text[0] != '%') {
    return std::nullopt;
  }
  const auto high = digit_value(text[1]);
  const auto low = digit_value(text[2]);
  if (!high || !low) {
    return std::nullopt;
  }
  return static_cast<char>(*high * 16 + *low);
}

}  // namespace

std::string file_name_of(std::string_view id) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string name(kPrefix);
  for (const char c : id) {
    if (is_unescaped(c)) {
      name += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    name += {'%', kDigits[byte >> 4], kDigits[byte & 15]};
  }
  return name;
}

std::optional<std::string> id_of_file_name(std::string_view name) {
  if (name.substr(0, kPrefix.size()) != kPrefix) {
    return std::nullopt;
  }
  std::string id;
  for (std::string_view rest = name.substr(kPrefix.size()); !rest.empty();) {
    if (is_unescaped(rest.front())) {
      id += rest.front();
      rest.remove_prefix(1);
      continue;
    }
    const auto byte = unescape(rest);
    if (!byte) {
      return std::nullopt;
    }
    id += *byte;
    rest.remove_prefix(3);
  }
  // An id has exactly one valid name: a name with an unnecessary escape is rejected.
  if (id.empty() || file_name_of(id) != name) {
    return std::nullopt;
  }
  return id;
}

}  // namespace gateway::admin
