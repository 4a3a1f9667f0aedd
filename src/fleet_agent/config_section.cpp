#include "fleet_agent/config_section.hpp"

#include <array>
#include <cmath>
#include <cstdio>

#include "fleet_agent/operator_file.hpp"

namespace gateway::fleet_agent {

using nlohmann::json;

ConfigSection::ConfigSection(const json& object, std::string file, std::string path)
    : object_(object), file_(std::move(file)), path_(std::move(path)) {
  if (!object.is_object()) {
    fail("", "is of type " + std::string(object.type_name()) + "; expected an object {...}");
  }
}

void ConfigSection::read_string(const char* field, std::string& result, Presence presence) {
  const json* value = find(field, presence);
  if (!value) {
    return;
  }
  if (!value->is_string()) {
    fail(field, "must be a string");
  }
  result = value->get<std::string>();
  if (presence == Presence::required && result.empty()) {
    fail(field, "is empty; expected a non-empty string");
  }
}

void ConfigSection::read_number(const char* field, double min, double max, double& result,
                                Presence presence) {
  const json* value = find(field, presence);
  if (!value) {
    return;
  }
  const double number = value->is_number() ? value->get<double>() : std::nan("");
  if (!(number >= min && number <= max)) {
    std::array<char, 96> problem{};
    std::snprintf(problem.data(), problem.size(), "must be a number from %g to %g", min, max);
    fail(field, problem.data());
  }
  result = number;
}

void ConfigSection::read_integer_as_double(const char* field, double min, double max,
                                           double& result) {
  read_number(field, min, max, result);
  if (result != std::floor(result)) {
    fail(field, "must be a whole number");
  }
}

void ConfigSection::read_duration(const char* field, std::chrono::nanoseconds unit, double min,
                                  double max, std::chrono::nanoseconds& result) {
  const auto unit_ns = static_cast<double>(unit.count());
  double value = static_cast<double>(result.count()) / unit_ns;
  read_number(field, min, max, value);
  result = std::chrono::nanoseconds(std::llround(value * unit_ns));
}

void ConfigSection::read_address(const char* field, membership::Address& result,
                                 Presence presence) {
  std::string text;
  read_string(field, text, presence);
  if (text.empty()) {
    return;
  }
  const auto address = membership::parse_address(text);
  if (!address) {
    fail(field, "is '" + text + "'; expected an IPv4 address and port such as 10.0.0.7:7946");
  }
  result = *address;
}

const json* ConfigSection::find(const char* field) {
  return find(field, Presence::optional);
}

const json* ConfigSection::find(const char* field, Presence presence) {
  known_fields_.insert(field);
  const auto it = object_.find(field);
  if (it != object_.end()) {
    return &*it;
  }
  if (presence == Presence::required) {
    fail(field, "is required but missing");
  }
  return nullptr;
}

void ConfigSection::fail(const std::string& field, const std::string& problem) const {
  const bool nested = !path_.empty() && !field.empty();
  throw OperatorFileError(file_, path_ + (nested ? "." : "") + field, problem);
}

void ConfigSection::reject_unknown_fields() const {
  for (const auto& [field, value] : object_.items()) {
    if (known_fields_.contains(field)) {
      continue;
    }
    std::string accepted;
    for (const std::string& known : known_fields_) {
      accepted += (accepted.empty() ? "" : ", ") + known;
    }
    fail(field, "is not a known field; accepted fields: " + accepted);
  }
}

}  // namespace gateway::fleet_agent
