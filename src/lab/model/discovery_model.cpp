#include "lab/model/discovery_model.hpp"

namespace gateway::lab {
namespace {
// A removed host stays in the difference lists for this long.
constexpr Duration kRemovedEntryRetention = std::chrono::seconds(60);
}  // namespace

DiscoveryModel::DiscoveryModel(const DiscoverySpec& spec, std::uint64_t seed)
    : spec_(spec), random_(seed, "discovery") {}

void DiscoveryModel::publish(Time now, const ListedHost& change) {
  const bool added = change.state == load_balancer::EndpointState::active;
  Time visible_at =
      now + from_seconds((added ? spec_.addition_delay_s : spec_.removal_delay_s).draw(random_)) +
      extra_delay_;
  Time& previous = last_visible_at_[change.host];
  visible_at = previous = std::max(visible_at, previous);
  pending_.add(visible_at, change);
}

void DiscoveryModel::publish_immediately(Time now, const ListedHost& change) {
  apply(now, change);
}

void DiscoveryModel::apply(Time now, const ListedHost& listed) {
  rows_[listed.host] = {listed, ++revision_, now};
}

std::vector<ListedHost> DiscoveryModel::advance(Time now) {
  std::vector<ListedHost> changed;
  while (pending_.next_at() <= now) {
    const ListedHost listed = pending_.pop();
    apply(now, listed);
    changed.push_back(listed);
    if (const auto visible_at = last_visible_at_.find(listed.host);
        visible_at != last_visible_at_.end() && visible_at->second <= now) {
      last_visible_at_.erase(visible_at);
    }
  }
  // Without this, the entries of removed hosts would accumulate over a long run.
  if (!changed.empty()) {
    std::erase_if(rows_, [&](const auto& row) {
      const Row& r = row.second;
      const bool expired = r.listed.state == load_balancer::EndpointState::removed &&
                           r.at + kRemovedEntryRetention < now;
      if (expired) {
        oldest_delta_revision_ = std::max(oldest_delta_revision_, r.revision);
      }
      return expired;
    });
  }
  return changed;
}

std::vector<ListedHost> DiscoveryModel::changes_since(std::uint64_t revision,
                                                      bool& is_snapshot) const {
  is_snapshot = revision < oldest_delta_revision_ || revision == 0;
  std::vector<ListedHost> entries;
  for (const auto& [host, row] : rows_) {
    if (is_snapshot ? row.listed.state != load_balancer::EndpointState::removed
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
  const Time timeout_at = now + from_millis(spec_.timeout_ms);
  if (begin > timeout_at) {
    return {timeout_at, false};  // timed out in the queue: costs the server no work
  }
  busy_until_ =
      begin + from_millis(spec_.call_ms + spec_.line_us / 1e3 * static_cast<double>(lines));
  lines_ += lines;
  return {busy_until_, true};
}

}  // namespace gateway::lab
