#include "http/header_fields.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <limits>
#include <stdexcept>

namespace gateway::http {
namespace {

constexpr std::string_view kSeparator = ": ";
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kMaxTextBytes = std::numeric_limits<std::uint16_t>::max();

}  // namespace

bool equals_ignoring_case(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

void HeaderFields::append(std::string_view name, std::string_view value) {
  const std::size_t size = name.size() + kSeparator.size() + value.size() + kLineEnd.size();
  if (text_.size() + size > kMaxTextBytes) {
    throw std::length_error("the header fields of a message exceed 64 KiB");
  }
  entries_.push_back({static_cast<std::uint16_t>(text_.size()),
                      static_cast<std::uint16_t>(name.size()), static_cast<std::uint16_t>(size)});
  text_ += name;
  text_ += kSeparator;
  text_ += value;
  text_ += kLineEnd;
}

void HeaderFields::set(std::string_view name, std::string_view value) {
  erase(name);
  append(name, value);
}

void HeaderFields::erase(std::string_view name) {
  if (contains(name)) {
    erase_if([&](std::string_view other) { return equals_ignoring_case(name, other); });
  }
}

std::string_view HeaderFields::operator[](std::string_view name) const {
  const auto entry = std::find_if(entries_.begin(), entries_.end(), [&](const Entry& candidate) {
    return has_name(candidate, name);
  });
  return entry == entries_.end() ? std::string_view{} : value_of(*entry);
}

std::size_t HeaderFields::count(std::string_view name) const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [&](const Entry& candidate) { return equals_ignoring_case(name, name_of(candidate)); }));
}

// Most fields differ in the length of their name already.
bool HeaderFields::has_name(const Entry& entry, std::string_view name) const {
  return entry.name_size == name.size() && equals_ignoring_case(name, name_of(entry));
}

std::string_view HeaderFields::value_of(const Entry& entry) const {
  const std::size_t begin = entry.name_size + kSeparator.size();
  return std::string_view(text_).substr(entry.begin + begin, entry.size - begin - kLineEnd.size());
}

}  // namespace gateway::http
