#include "http/connection_reuse.hpp"

#include <cmath>

namespace gateway::http {
namespace {

constexpr double kWaitMemorySeconds = 1;
// Of kWaitMemorySeconds. More makes a client that sends one request after another wait for each.
constexpr double kMaxWaitSeconds = 0.2;

// Since the last bytes of their kind.
constexpr std::chrono::seconds kDistrustPeriod{60};
// Bytes later than this may be followed by others that kQuietPeriod does not cover.
constexpr load_balancer::Duration kSlowSilence = kQuietPeriod / 2;
constexpr load_balancer::Duration kTooLateSilence = std::chrono::milliseconds(105);
// After bytes whose silence is not certain.
constexpr std::chrono::seconds kObservedPeriod{5};
// So many prompt ones, and no late one, show that the quiet period covers a host's stray responses.
constexpr int kEnoughPromptStrays = 5;

double seconds_of(load_balancer::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

bool WaitLoad::accepts(Time now, load_balancer::Duration wait) const {
  return decayed_seconds(now) + seconds_of(wait) <= kMaxWaitSeconds;
}

void WaitLoad::add(Time now, load_balancer::Duration wait) {
  seconds_ = decayed_seconds(now) + seconds_of(wait);
  at_ = now;
}

double WaitLoad::decayed_seconds(Time now) const {
  return seconds_ *
         std::exp(-std::chrono::duration<double>(now - at_).count() / kWaitMemorySeconds);
}

void HostTrust::on_unexpected_bytes(Time now, load_balancer::Duration silence,
                                    std::uint64_t responses) {
  if (responses == 0) {
    early_until_ = now + kDistrustPeriod;
    return;
  }
  if (responses > 1 && prompt_strays_ < kEnoughPromptStrays) {
    observed_until_ = now + kObservedPeriod;
  }
  if (responses == 1) {
    prompt_strays_ = silence > kTooLateSilence ? 0 : prompt_strays_ + 1;
    if (prompt_strays_ >= kEnoughPromptStrays) {
      observed_until_ = {};
    }
  }
  if (silence > kSlowSilence) {
    slow_until_ = now + kDistrustPeriod;
  }
  if (silence > kTooLateSilence) {
    distrusted_until_ = now + kDistrustPeriod;
  }
}

}  // namespace gateway::http
