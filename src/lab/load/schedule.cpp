#include "lab/load/schedule.hpp"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <ostream>
#include <string_view>

#include "lab/model/random.hpp"

namespace gateway::lab {
namespace {

constexpr double kMaxRate = 1e6, kMaxSeconds = 86400;  // requests a second; one day
constexpr std::size_t kMaxErrors = 10;                 // reported for one trace

// Parses the whole of `text` as a number. False: it is not one, or is out of range of T.
template <class T>
bool parse_number(std::string_view text, T& value, int base = 10) {
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<T>) {
    result = std::from_chars(text.data(), text.data() + text.size(), value);
  } else {
    result = std::from_chars(text.data(), text.data() + text.size(), value, base);
  }
  return result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (std::size_t at = 0; at <= text.size();) {
    const std::size_t end = std::min(text.find(separator, at), text.size());
    parts.push_back(text.substr(at, end - at));
    at = end + 1;
  }
  return parts;
}

class StagedSchedule : public Schedule {
 public:
  StagedSchedule(std::vector<Stage> stages, DueRequest request, bool poisson, std::uint64_t seed)
      : stages_(std::move(stages)),
        request_(std::move(request)),
        poisson_(poisson),
        random_(seed, "load") {}

  bool next(DueRequest& request) override {
    // The distance to the next request is drawn in expected requests. Each stage converts it to
    // time at its own rate, so that a distance may span several stages.
    double distance = poisson_ ? random_.exponential(1) : (started_ ? 1 : 0);
    started_ = true;
    for (;; ++stage_index_, seconds_in_stage_ = 0) {
      if (stage_index_ >= stages_.size()) {
        return false;
      }
      const Stage& stage = stages_[stage_index_];
      const double left_in_stage = (stage.seconds - seconds_in_stage_) * stage.rate;
      if (distance < left_in_stage) {
        seconds_in_stage_ += distance / stage.rate;
        break;
      }
      distance -= left_in_stage;
      seconds_before_stage_ += stage.seconds;
    }
    request = request_;
    request.at = from_seconds(seconds_before_stage_ + seconds_in_stage_);
    return true;
  }
  Duration length() const override {
    double sum = 0;
    for (const Stage& stage : stages_) {
      sum += stage.seconds;
    }
    return from_seconds(sum);
  }

 private:
  std::vector<Stage> stages_;
  DueRequest request_;
  bool poisson_, started_ = false;
  Random random_;
  std::size_t stage_index_ = 0;
  // Time of the last request in its stage, and the duration of all earlier stages.
  double seconds_in_stage_ = 0, seconds_before_stage_ = 0;
};

class TraceSchedule : public Schedule {
 public:
  explicit TraceSchedule(const std::string& file) : in_(file) {
    if (!in_) {
      throw std::invalid_argument(file + ": cannot be read");
    }
    // A first pass finds all errors and the length. next() then reads line by line, so that memory
    // does not grow with the trace.
    std::string errors;
    std::string line;
    std::size_t line_number = 0;
    std::size_t error_count = 0;
    Duration last{};
    while (std::getline(in_, line) && error_count < kMaxErrors) {
      ++line_number;
      if (is_ignored(line)) {
        continue;
      }
      DueRequest request;
      std::string error = parse(line, request);
      if (error.empty() && request.at < last) {
        error = "is earlier than the line before; order the lines by time";
      }
      if (error.empty()) {
        last = request.at, ++count_;
        continue;
      }
      ++error_count;
      errors +=
          (errors.empty() ? "" : "\n") + file + ":" + std::to_string(line_number) + ": " + error;
    }
    if (error_count == 0 && count_ == 0) {
      errors = file + ": holds no request";
    }
    if (!errors.empty()) {
      throw std::invalid_argument(errors);
    }
    length_ = last;
    in_.clear();
    in_.seekg(0);
  }

  bool next(DueRequest& request) override {
    std::string line;
    while (std::getline(in_, line)) {
      if (!is_ignored(line)) {
        return parse(line, request).empty();
      }
    }
    return false;
  }
  Duration length() const override { return length_; }

 private:
  static bool is_ignored(const std::string& line) { return line.empty() || line[0] == '#'; }
  // Returns the error, empty if the line is valid.
  static std::string parse(const std::string& line, DueRequest& request) {
    const std::vector<std::string_view> fields = split(line, '\t');
    if (fields.size() != 4) {
      return "should be seconds, class, work in us and key, set apart by tabs";
    }
    double seconds = 0;
    if (!parse_number(fields[0], seconds) || !(seconds >= 0 && seconds <= kMaxSeconds)) {
      return "'" + std::string(fields[0]) + "' should be seconds from 0 to 86400";
    }
    request.at = from_seconds(seconds);
    request.cls = fields[1];
    if (request.cls.empty() || request.cls.find_first_of(" /?\r") != std::string::npos) {
      return "'" + request.cls + "' should be the name of a class";
    }
    if (!parse_number(fields[2], request.work_us) ||
        !(request.work_us >= 0 && request.work_us <= 1e9)) {
      return "'" + std::string(fields[2]) + "' should be microseconds of work from 0 to 1e9";
    }
    if (!parse_number(fields[3], request.key, 16)) {
      return "'" + std::string(fields[3]) + "' should be a key in hexadecimal, 0 for none";
    }
    return "";
  }

  std::ifstream in_;
  std::size_t count_ = 0;
  Duration length_{};
};

}  // namespace

std::vector<Stage> read_stages(const std::string& text) {
  std::vector<Stage> stages;
  for (const std::string_view part : split(text, ',')) {
    const std::size_t separator_at = part.find('x');
    Stage stage;
    if (separator_at == std::string_view::npos ||
        !parse_number(part.substr(0, separator_at), stage.rate) ||
        !parse_number(part.substr(separator_at + 1), stage.seconds) ||
        !(stage.rate >= 0 && stage.rate <= kMaxRate) ||
        !(stage.seconds > 0 && stage.seconds <= kMaxSeconds)) {
      throw std::invalid_argument(
          "'" + std::string(part) +
          "' should be RATExSECONDS, such as 1000x5: 0 to 1e6 a second, up to 86400 s");
    }
    stages.push_back(stage);
  }
  return stages;
}

std::unique_ptr<Schedule> staged(std::vector<Stage> stages, DueRequest request, bool poisson,
                                 std::uint64_t seed) {
  return std::make_unique<StagedSchedule>(std::move(stages), std::move(request), poisson, seed);
}

std::unique_ptr<Schedule> replayed(const std::string& file) {
  return std::make_unique<TraceSchedule>(file);
}

void write_trace_line(std::ostream& out, const DueRequest& request) {
  char line[256];
  std::snprintf(line, sizeof line, "%.6f\t%s\t%.0f\t%llx\n", to_seconds(request.at),
                request.cls.c_str(), request.work_us, static_cast<unsigned long long>(request.key));
  out << line;
}

}  // namespace gateway::lab
