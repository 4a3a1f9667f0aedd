// Tables that describe the fields of a scenario file's section: name, unit, bounds and meaning.
// Reading, checking and the printed reference are derived from them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "lab/model/random.hpp"

namespace gateway::lab {

// A number that is drawn anew for each seed, uniformly; fixed if both ends are equal.
struct Range {
  double low = 0, high = 0;
  Range() = default;
  Range(double value) : low(value), high(value) {}
  Range(double l, double h) : low(l), high(h) {}
  double draw(Random& random) const { return random.between(low, high); }
  double middle() const { return (low + high) / 2; }
};

struct ValidationError {
  std::string where, what;  // path of the field; what is wrong and what is accepted
};

template <class T>
struct Field {
  const char* name;
  const char* unit;
  double least, most;  // bounds of a number; unused for texts and booleans
  const char* about;
  std::variant<double T::*, Range T::*, unsigned T::*, std::string T::*, bool T::*> member;
};

// Text of a number with up to 12 significant digits, without trailing zeros.
std::string format_number(double value);

namespace detail {
bool read_number(const nlohmann::json& value, double least, double most, const char* unit,
                 double& into, std::string& mistake);
}

// Reads the fields of `object` into `into`. Missing fields keep their values; each unknown field,
// wrong type and number out of bounds adds one mistake. `others`: names of sections that are read
// elsewhere.
template <class T>
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void read_fields(const nlohmann::json& object, const std::vector<Field<T>>& table,
                 const std::vector<std::string>& others, const std::string& path, T& into,
                 std::vector<ValidationError>& mistakes) {
  const auto at = [&](const std::string& name) {
    return path.empty() ? name : path + "." + name;
  };
  if (!object.is_object()) {
    mistakes.push_back({path, "should be an object {...}"});
    return;
  }
  for (const auto& [name, value] : object.items()) {
    const Field<T>* field = nullptr;
    for (const Field<T>& f : table) {
      if (name == f.name) {
        field = &f;
      }
    }
    if (!field) {
      bool other = false;
      std::string known;
      for (const std::string& o : others) {
        other |= o == name, known += (known.empty() ? "" : ", ") + o;
      }
      for (const Field<T>& f : table) {
        known += (known.empty() ? "" : ", ") + std::string(f.name);
      }
      if (!other) {
        mistakes.push_back({at(name), "is not known; known here: " + known});
      }
      continue;
    }
    std::string wrong;
    const auto number = [&](const nlohmann::json& v, double& d) {
      return detail::read_number(v, field->least, field->most, field->unit, d, wrong);
    };
    if (const auto* d = std::get_if<double T::*>(&field->member)) {
      number(value, into.*(*d));
    } else if (const auto* r = std::get_if<Range T::*>(&field->member)) {
      Range range;
      if (value.is_array() && value.size() == 2) {
        if (number(value[0], range.low) && number(value[1], range.high)) {
          if (range.low > range.high) {
            wrong = "the first of the pair should be the smaller one";
          } else {
            into.*(*r) = range;
          }
        }
      } else if (value.is_array()) {
        wrong = "should be one number, or a pair [low, high]";
      } else if (number(value, range.low)) {
        into.*(*r) = Range(range.low);
      }
    } else if (const auto* u = std::get_if<unsigned T::*>(&field->member)) {
      double whole = 0;
      if (number(value, whole)) {
        if (whole != static_cast<double>(static_cast<unsigned>(whole))) {
          wrong = "should be a whole number";
        } else {
          into.*(*u) = static_cast<unsigned>(whole);
        }
      }
    } else if (const auto* s = std::get_if<std::string T::*>(&field->member)) {
      if (value.is_string()) {
        into.*(*s) = value.template get<std::string>();
      } else {
        wrong = std::string("should be a text in quotes: ") + field->about;
      }
    } else if (const auto* b = std::get_if<bool T::*>(&field->member)) {
      if (value.is_boolean()) {
        into.*(*b) = value.template get<bool>();
      } else {
        wrong = "should be true or false";
      }
    }
    if (!wrong.empty()) {
      mistakes.push_back({at(name), wrong});
    }
  }
}

// One row of the printed reference.
struct FieldRow {
  std::string section, name, unit, bounds, default_value, about;
};

template <class T>
void describe_fields(const std::string& section, const std::vector<Field<T>>& table,
                     std::vector<FieldRow>& rows) {
  static const T kDefault{};
  for (const Field<T>& f : table) {
    FieldRow row{section, f.name, f.unit, format_number(f.least) + " to " + format_number(f.most),
                 "",      f.about};
    std::visit(
        [&](auto member) {
          const auto& value = kDefault.*member;
          using Value = std::decay_t<decltype(value)>;
          if constexpr (std::is_same_v<Value, std::string>) {
            row.bounds = "text", row.default_value = value;
          } else if constexpr (std::is_same_v<Value, bool>) {
            row.bounds = "true or false", row.default_value = value ? "true" : "false";
          } else if constexpr (std::is_same_v<Value, Range>) {
            row.default_value = value.low == value.high ? format_number(value.low)
                                                        : "[" + format_number(value.low) + ", " +
                                                              format_number(value.high) + "]";
          } else {
            row.default_value = format_number(static_cast<double>(value));
          }
        },
        f.member);
    rows.push_back(std::move(row));
  }
}

}  // namespace gateway::lab
