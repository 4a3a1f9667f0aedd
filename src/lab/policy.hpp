// What an experiment measures: the decision module, or in tests one that breaks a rule on purpose.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "ochrehill/ochrehill.hpp"

namespace fennelridge::lab {

// The same events and actions as ochrehill::Balancer; see there.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void onHosts(ochrehill::Time now, ochrehill::ListKind kind,
                       const std::vector<ochrehill::HostEntry>& entries) = 0;
  virtual void onRequest(ochrehill::Time now, const ochrehill::Request& request) = 0;
  virtual void onResult(ochrehill::Time now, const ochrehill::AttemptResult& result) = 0;
  virtual void onReport(ochrehill::Time, ochrehill::HostId, const ochrehill::LoadReport&) {}
  virtual void onClientGone(ochrehill::Time now, ochrehill::RequestId request) = 0;
  virtual void onWake(ochrehill::Time now) = 0;
  virtual std::vector<ochrehill::Action>& actions() = 0;
  virtual const std::string& address(ochrehill::HostId host) const = 0;
  virtual double cutoff() const = 0;
};

using PolicyMaker = std::function<std::unique_ptr<Policy>(const ochrehill::Settings&, ochrehill::Time now)>;

class BalancerPolicy : public Policy {
 public:
  BalancerPolicy(const ochrehill::Settings& settings, ochrehill::Time now) : balancer_(settings, now) {}
  void onHosts(ochrehill::Time now, ochrehill::ListKind kind,
               const std::vector<ochrehill::HostEntry>& entries) override {
    balancer_.onHosts(now, kind, entries);
  }
  void onRequest(ochrehill::Time now, const ochrehill::Request& request) override {
    balancer_.onRequest(now, request);
  }
  void onResult(ochrehill::Time now, const ochrehill::AttemptResult& result) override {
    balancer_.onResult(now, result);
  }
  void onReport(ochrehill::Time now, ochrehill::HostId host, const ochrehill::LoadReport& report) override {
    balancer_.onReport(now, host, report);
  }
  void onClientGone(ochrehill::Time now, ochrehill::RequestId request) override {
    balancer_.onClientGone(now, request);
  }
  void onWake(ochrehill::Time now) override { balancer_.onWake(now); }
  std::vector<ochrehill::Action>& actions() override { return balancer_.actions(); }
  const std::string& address(ochrehill::HostId host) const override { return balancer_.address(host); }
  double cutoff() const override { return balancer_.cutoff(); }

 private:
  ochrehill::Balancer balancer_;
};

inline std::unique_ptr<Policy> makeBalancer(const ochrehill::Settings& settings, ochrehill::Time now) {
  return std::make_unique<BalancerPolicy>(settings, now);
}

}  // namespace fennelridge::lab
