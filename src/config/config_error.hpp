/// @file
/// The error for an invalid configuration.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace gateway::config {

/// A mistake in the configuration. `what()` is the line that is printed for the operator; the other
/// members are its parts, for callers that handle them separately.
class ConfigError : public std::runtime_error {
 public:
  struct Details {
    std::string field;     ///< JSON field or environment variable; empty for the whole file.
    std::string mistake;   ///< Why the value of the field is invalid.
    std::string expected;  ///< Which values are valid; empty if `mistake` already says so.
  };

  /// `line` becomes what().
  ConfigError(const std::string& line, Details details)
      : std::runtime_error(line), details_(std::move(details)) {}

  /// Path of the configuration file; empty if the document was not read from a file.
  const std::string& file() const { return file_; }
  const std::string& field() const { return details_.field; }
  const std::string& mistake() const { return details_.mistake; }
  const std::string& expected() const { return details_.expected; }

  void set_file(std::string path) { file_ = std::move(path); }

 private:
  std::string file_;
  Details details_;
};

/// Makes the error whose line is "FIELD: MISTAKE".
inline ConfigError field_error(const std::string& field, const std::string& mistake,
                               std::string expected = {}) {
  return {field + ": " + mistake, {field, mistake, std::move(expected)}};
}

}  // namespace gateway::config
