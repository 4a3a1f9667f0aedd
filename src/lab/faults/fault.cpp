#include "lab/faults/fault.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <stdexcept>

namespace gateway::lab {
namespace {

constexpr const char* kAcceptedParts =
    "expected pass, or some of cut, reset, silent, silent-there, silent-back, "
    "delay=MS[+JITTER_MS], "
    "loss=SHARE, "
    "copy=SHARE, spoil=SHARE, rate=KB_PER_S, joined by commas";

[[noreturn]] void reject_part(std::string_view part, const std::string& what) {
  throw std::invalid_argument("'" + std::string(part) + "': " + what);
}

template <class T>
T number(std::string_view part, std::string_view text, T min, T max, const char* accepted) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !(value >= min && value <= max)) {
    reject_part(part, accepted);
  }
  return value;
}

void read_part(std::string_view part, Fault& fault) {
  constexpr long kMaxDelayMs = 600000;
  const auto after = [&](std::string_view name) -> std::string_view {
    return part.substr(0, name.size()) == name ? part.substr(name.size()) : std::string_view{};
  };
  if (part == "pass") {
    return;
  }
  if (part == "cut") {
    fault.disconnect = true;
  } else if (part == "reset") {
    fault.reset = true;
  } else if (part == "silent") {
    fault.drop_forward = fault.drop_backward = true;
  } else if (part == "silent-there") {
    fault.drop_forward = true;
  } else if (part == "silent-back") {
    fault.drop_backward = true;
  } else if (const auto d = after("delay="); !d.empty()) {
    const auto plus = d.find('+');
    const char* accepted = "delay is MS or MS+JITTER_MS, 0 to 600000";
    fault.delay =
        std::chrono::milliseconds(number<long>(part, d.substr(0, plus), 0, kMaxDelayMs, accepted));
    if (plus != std::string_view::npos) {
      fault.jitter = std::chrono::milliseconds(
          number<long>(part, d.substr(plus + 1), 0, kMaxDelayMs, accepted));
    }
  } else if (const auto l = after("loss="); !l.empty()) {
    fault.loss = number<double>(part, l, 0, 1, "loss is a share, 0 to 1");
  } else if (const auto c = after("copy="); !c.empty()) {
    fault.duplicate = number<double>(part, c, 0, 1, "copy is a share, 0 to 1");
  } else if (const auto s = after("spoil="); !s.empty()) {
    fault.corrupt = number<double>(part, s, 0, 1, "spoil is a share, 0 to 1");
  } else if (const auto r = after("rate="); !r.empty()) {
    fault.k_bytes_per_s =
        number<std::uint32_t>(part, r, 1, 1000000, "rate is kB a second, 1 to 1000000");
  } else {
    reject_part(part, kAcceptedParts);
  }
}

}  // namespace

std::string text_of(const Fault& fault) {
  std::string text;
  const auto add = [&](const std::string& part) {
    text += (text.empty() ? "" : ",") + part;
  };
  const auto share = [&](const char* name, double value) {
    char number[32];
    std::snprintf(number, sizeof number, "%s=%g", name, value);
    if (value > 0) {
      add(number);
    }
  };
  if (fault.disconnect) {
    add("cut");
  }
  if (fault.reset) {
    add("reset");
  }
  if (fault.drop_forward && fault.drop_backward) {
    add("silent");
  } else if (fault.drop_forward) {
    add("silent-there");
  } else if (fault.drop_backward) {
    add("silent-back");
  }
  if (fault.delay.count() > 0 || fault.jitter.count() > 0) {
    add("delay=" + std::to_string(fault.delay.count()) +
        (fault.jitter.count() > 0 ? "+" + std::to_string(fault.jitter.count()) : ""));
  }
  share("loss", fault.loss);
  share("copy", fault.duplicate);
  share("spoil", fault.corrupt);
  if (fault.k_bytes_per_s > 0) {
    add("rate=" + std::to_string(fault.k_bytes_per_s));
  }
  return text.empty() ? "pass" : text;
}

Fault read_fault(std::string_view text) {
  Fault fault;
  for (std::size_t at = 0; at <= text.size();) {
    const std::size_t comma = std::min(text.find(',', at), text.size());
    read_part(text.substr(at, comma - at), fault);
    at = comma + 1;
  }
  return fault;
}

Fault combine(const Fault& a, const Fault& b) {
  const auto either = [](double x, double y) {
    return 1 - (1 - x) * (1 - y);
  };
  Fault fault = a;
  fault.delay += b.delay;
  fault.jitter += b.jitter;
  fault.loss = either(a.loss, b.loss);
  fault.duplicate = either(a.duplicate, b.duplicate);
  fault.corrupt = either(a.corrupt, b.corrupt);
  if (b.k_bytes_per_s > 0) {
    fault.k_bytes_per_s =
        a.k_bytes_per_s > 0 ? std::min(a.k_bytes_per_s, b.k_bytes_per_s) : b.k_bytes_per_s;
  }
  fault.drop_forward |= b.drop_forward;
  fault.drop_backward |= b.drop_backward;
  fault.disconnect |= b.disconnect;
  fault.reset |= b.reset;
  return fault;
}

}  // namespace gateway::lab
