#include "lab/discovery_model.hpp"

namespace fennelridge::lab {
namespace {
constexpr Duration kKeepGone =
    std::chrono::seconds(60);  // a host that is gone stays among the changes so long
}

DiscoveryModel::DiscoveryModel(const DiscoverySpec& spec, std::uint64_t seed)
    : spec_(spec), random_(seed, "discovery") {}

void DiscoveryModel::tell(Time now, const Listed& truth) {
  const bool up = truth.phase == ochrehill::Phase::in;
  Time due = now + fromSeconds((up ? spec_.addS : spec_.noticeS).draw(random_)) + stale_;
  Time& last = lastDue_[truth.host];
  due = last = std::max(due, last);
  coming_.add(due, truth);
}

void DiscoveryModel::tellAtOnce(Time now, const Listed& truth) { enter(now, truth); }

void DiscoveryModel::enter(Time now, const Listed& listed) {
  rows_[listed.host] = {listed, ++revision_, now};
}

std::vector<Listed> DiscoveryModel::advance(Time now) {
  std::vector<Listed> fresh;
  while (coming_.nextAt() <= now) {
    const Listed listed = coming_.take();
    enter(now, listed);
    fresh.push_back(listed);
    if (const auto due = lastDue_.find(listed.host); due != lastDue_.end() && due->second <= now)
      lastDue_.erase(due);
  }
  if (!fresh.empty())  // Danger: hosts are replaced all day; those long gone would be kept for good.
    std::erase_if(rows_, [&](const auto& row) {
      const Row& r = row.second;
      const bool old = r.listed.phase == ochrehill::Phase::out && r.at + kKeepGone < now;
      if (old) forgotten_ = std::max(forgotten_, r.revision);
      return old;
    });
  return fresh;
}

std::vector<Listed> DiscoveryModel::since(std::uint64_t revision, bool& whole) const {
  whole = revision < forgotten_ || revision == 0;
  std::vector<Listed> entries;
  for (const auto& [host, row] : rows_)
    if (whole ? row.listed.phase != ochrehill::Phase::out : row.revision > revision)
      entries.push_back(row.listed);
  return entries;
}

DiscoveryModel::Call DiscoveryModel::call(Time now, std::size_t lines) {
  if (down_) return {now, false};
  const Time begin = std::max(now, busyUntil_);
  const Time limit = now + fromMillis(spec_.timeoutMs);
  if (begin > limit) return {limit, false};  // it left the queue before its turn: no work was done for it
  busyUntil_ = begin + fromMillis(spec_.callMs + spec_.lineUs / 1e3 * static_cast<double>(lines));
  lines_ += lines;
  return {busyUntil_, true};
}

}  // namespace fennelridge::lab
