/// @file
/// Typed reading of the fields of a JSON object. For an absent or null field the caller's default
/// value stays.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <vector>

#include "config/config_error.hpp"
#include "load_balancer/load_balancer.hpp"

namespace gateway::config {

/// Describes the valid values of a field of type T, for ConfigError::expected().
template <class T>
constexpr const char* expected_type() {
  if constexpr (std::is_same_v<T, load_balancer::Duration>) {
    return "a whole number of nanoseconds";
  } else if constexpr (std::is_same_v<T, bool>) {
    return "true or false";
  } else if constexpr (std::is_unsigned_v<T>) {
    return "a whole number from 0 to 4294967295";
  } else if constexpr (std::is_arithmetic_v<T>) {
    return "a number";
  } else if constexpr (std::is_same_v<T, std::string>) {
    return "a string";
  } else {
    return "a list of strings";
  }
}

/// The value as an unsigned number of up to 32 bits. It is read as a signed number first, because
/// nlohmann::json converts a negative number to a large unsigned one without an error.
template <class T>
T unsigned_value(const nlohmann::json& value, const char* name) {
  const auto number = value.get<std::int64_t>();
  if (number < 0 || number > std::numeric_limits<std::uint32_t>::max()) {
    throw field_error(name, "out of range", expected_type<T>());
  }
  return static_cast<T>(number);
}

/// Stores the field `name` of `object` in `target`, which is unchanged if the field is absent or
/// null. Durations are in nanoseconds. Throws ConfigError if the value has another type.
template <class T>
void read_field(const nlohmann::json& object, const char* name, T& target) {
  const auto field = object.find(name);
  if (field == object.end() || field->is_null()) {
    return;
  }
  try {
    if constexpr (std::is_same_v<T, load_balancer::Duration>) {
      target = load_balancer::Duration(field->get<std::int64_t>());
    } else if constexpr (std::is_unsigned_v<T> && !std::is_same_v<T, bool>) {
      target = unsigned_value<T>(*field, name);
    } else {
      target = field->get<T>();
    }
  } catch (const nlohmann::json::exception& error) {
    throw field_error(name, error.what(), expected_type<T>());
  }
}

/// The object in the field `name`, or an empty object if the field is absent. The reference is
/// valid as long as `object`. Throws ConfigError if the field is not an object.
inline const nlohmann::json& object_field(const nlohmann::json& object, const char* name) {
  static const nlohmann::json kEmptyObject = nlohmann::json::object();
  const auto field = object.find(name);
  if (field == object.end()) {
    return kEmptyObject;
  }
  if (!field->is_object()) {
    throw ConfigError(std::string(name) + " is no object", {name, "is no object", "an object"});
  }
  return *field;
}

}  // namespace gateway::config
