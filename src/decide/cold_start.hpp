// How much each cold host may be sent by this gateway, so that all gateways together don't push it over.
#pragma once

#include "decide/cutoff.hpp"

namespace ochrehill {

class ColdStart {
 public:
  ColdStart(Context& context, Fleet& fleet, const Cutoff& cutoff)
      : c_(context), fleet_(fleet), cutoff_(cutoff) {}

  bool mayTake(Host& h);  // one more request now; true of a warm host
  void sent(Host& h);
  void setPart(double part) { part_ = part; }  // of this gateway's budgets: see Balancer::onPart
  void sweep();

 private:
  Context& c_;
  Fleet& fleet_;
  const Cutoff& cutoff_;
  double part_ = 1;
};

}  // namespace ochrehill
