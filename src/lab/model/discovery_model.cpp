#include "lab/model/discovery_model.hpp"

namespace gateway::lab {
namespace {
// a host that is gone stays among the changes so long
constexpr Duration kKeepGone = std::chrono::seconds(60);
}  // namespace

DiscoveryModel::DiscoveryModel(const DiscoverySpec& spec, std::uint64_t seed)
    : spec_(spec), random_(seed, "discovery") {}

void DiscoveryModel::publish(Time now, const ListedHost& truth) {
  const bool up = truth.state == load_balancer::EndpointState::active;
  Time due = now +
             from_seconds((up ? spec_.addition_delay_s : spec_.removal_delay_s).draw(random_)) +
             stale_;
  Time& last = last_due_[truth.host];
  due = last = std::max(due, last);
  coming_.add(due, truth);
}

void DiscoveryModel::publish_immediately(Time now, const ListedHost& truth) {
  enter(now, truth);
}

void DiscoveryModel::enter(Time now, const ListedHost& listed) {
  rows_[listed.host] = {listed, ++revision_, now};
}

std::vector<ListedHost> DiscoveryModel::advance(Time now) {
  std::vector<ListedHost> fresh;
  while (coming_.next_at() <= now) {
    const ListedHost listed = coming_.pop();
    enter(now, listed);
    fresh.push_back(listed);
    if (const auto due = last_due_.find(listed.host);
        due != last_due_.end() && due->second <= now) {
      last_due_.erase(due);
    }
  }
  // Danger: hosts are replaced all day; those long gone would be kept for good.
  if (!fresh.empty()) {
    std::erase_if(rows_, [&](const auto& row) {
      const Row& r = row.second;
      const bool old =
          r.listed.state == load_balancer::EndpointState::removed && r.at + kKeepGone < now;
      if (old) {
        forgotten_ = std::max(forgotten_, r.revision);
      }
      return old;
    });
  }
  return fresh;
}

std::vector<ListedHost> DiscoveryModel::changes_since(std::uint64_t revision, bool& whole) const {
  whole = revision < forgotten_ || revision == 0;
  std::vector<ListedHost> entries;
  for (const auto& [host, row] : rows_) {
    if (whole ? row.listed.state != load_balancer::EndpointState::removed
              : row.revision > revision) {
      entries.push_back(row.listed);
    }
  }
  return entries;
}

DiscoveryModel::Call DiscoveryModel::call(Time now, std::size_t lines) {
  if (down_) {
    return {now, false};
  }
  const Time begin = std::max(now, busy_until_);
  const Time limit = now + from_millis(spec_.timeout_ms);
  if (begin > limit) {
    return {limit, false};  // it left the queue before its turn: no work was done for it
  }
  busy_until_ =
      begin + from_millis(spec_.call_ms + spec_.line_us / 1e3 * static_cast<double>(lines));
  lines_ += lines;
  return {busy_until_, true};
}

}  // namespace gateway::lab
