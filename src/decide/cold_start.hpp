// How much each cold host may be sent by this gateway, so that all gateways together don't push it over.
#pragma once

#include "decide/cutoff.hpp"

namespace ochrehill {

class ColdStart {
 public:
  ColdStart(Context& context, Fleet& fleet, const Cutoff& cutoff)
      : c_(context), fleet_(fleet), cutoff_(cutoff) {}

  bool mayTake(Host& h);  // one more request now; true of a warm host
  void sent(Host& h) { h.coldTokens -= fleet_.isCold(h) ? 1 : 0; }
  void served(Host& h) { fleet_.kindOf(h).answers += h.reportedAt == c_.now ? 1 : 0; }  // after its report
  void onReport(Host& h, const LoadReport& report);
  void setPart(double part) { part_ = part; }  // of this gateway's budgets: see Balancer::onPart
  void sweep();

 private:
  double safeRate(const Host& h, double window) const;
  Context& c_;
  Fleet& fleet_;
  const Cutoff& cutoff_;
  double part_ = 1, recent_ = 0;
};

}  // namespace ochrehill
