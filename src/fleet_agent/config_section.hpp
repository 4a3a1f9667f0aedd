// Reads and validates the fields of a JSON object of the operator file. Unknown fields are errors.
#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "membership/member.hpp"

namespace gateway::fleet_agent {

// The read functions leave `result` unchanged if an optional field is absent. They throw
// OperatorFileError if a required field is absent or a field has the wrong type or is out of range.
class ConfigSection {
 public:
  enum class Presence { optional, required };

  // `object` must outlive the section. `file`: name for error messages. `path`: of the object
  // within the file, such as "limits[0]"; empty for the outermost object. Throws OperatorFileError
  // if `object` is not a JSON object.
  ConfigSection(const nlohmann::json& object, std::string file, std::string path);

  // A required string must not be empty.
  void read_string(const char* field, std::string& result, Presence presence = Presence::optional);
  // The bounds of all read functions are inclusive.
  void read_number(const char* field, double min, double max, double& result,
                   Presence presence = Presence::optional);
  template <class Integer>
  void read_integer(const char* field, Integer min, Integer max, Integer& result);
  // Reads a number of `unit`s, rounded to a whole nanosecond. The bounds are in that unit too.
  void read_duration(const char* field, std::chrono::nanoseconds unit, double min, double max,
                     std::chrono::nanoseconds& result);
  // Reads an IPv4 address and port; see membership::parse_address().
  void read_address(const char* field, membership::Address& result,
                    Presence presence = Presence::optional);
  // Returns the field's value, which the caller validates; null if absent.
  const nlohmann::json* find(const char* field);

  // Throws an OperatorFileError about the field, or about the whole object if `field` is empty.
  [[noreturn]] void fail(const std::string& field, const std::string& problem) const;
  // Throws OperatorFileError if the object has a field that no call has asked for. To be called
  // last.
  void reject_unknown_fields() const;

 private:
  const nlohmann::json* find(const char* field, Presence presence);
  void read_integer_as_double(const char* field, double min, double max, double& result);

  const nlohmann::json& object_;
  std::string file_;
  std::string path_;
  std::set<std::string> known_fields_;  // those that were read or looked up
};

template <class Integer>
void ConfigSection::read_integer(const char* field, Integer min, Integer max, Integer& result) {
  auto value = static_cast<double>(result);
  read_integer_as_double(field, static_cast<double>(min), static_cast<double>(max), value);
  result = static_cast<Integer>(value);
}

}  // namespace gateway::fleet_agent
