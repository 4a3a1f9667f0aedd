// The decision logic of a simulated gateway: the balancer, or in tests a policy that breaks a rule
// on purpose.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "load_balancer/load_balancer.hpp"

namespace gateway::lab {

// The same events and actions as load_balancer::Balancer; see there.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void on_endpoint_update(load_balancer::Time now, load_balancer::EndpointUpdateKind kind,
                                  const std::vector<load_balancer::Endpoint>& entries) = 0;
  virtual void on_request(load_balancer::Time now, const load_balancer::Request& request) = 0;
  virtual void on_attempt_result(load_balancer::Time now,
                                 const load_balancer::AttemptResult& result) = 0;
  virtual void on_load_report(load_balancer::Time, load_balancer::HostId,
                              const load_balancer::LoadReport&) {}
  virtual void on_client_disconnected(load_balancer::Time now,
                                      load_balancer::RequestId request) = 0;
  virtual void on_wakeup(load_balancer::Time now) = 0;
  virtual std::vector<load_balancer::Action>& actions() = 0;
  virtual const std::string& address(load_balancer::HostId host) const = 0;
  virtual double shedding_threshold() const = 0;
};

using PolicyMaker =
    std::function<std::unique_ptr<Policy>(const load_balancer::Settings&, load_balancer::Time now)>;

class BalancerPolicy : public Policy {
 public:
  BalancerPolicy(const load_balancer::Settings& settings, load_balancer::Time now)
      : balancer_(settings, now) {}
  void on_endpoint_update(load_balancer::Time now, load_balancer::EndpointUpdateKind kind,
                          const std::vector<load_balancer::Endpoint>& entries) override {
    balancer_.on_endpoint_update(now, kind, entries);
  }
  void on_request(load_balancer::Time now, const load_balancer::Request& request) override {
    balancer_.on_request(now, request);
  }
  void on_attempt_result(load_balancer::Time now,
                         const load_balancer::AttemptResult& result) override {
    balancer_.on_attempt_result(now, result);
  }
  void on_load_report(load_balancer::Time now, load_balancer::HostId host,
                      const load_balancer::LoadReport& report) override {
    balancer_.on_load_report(now, host, report);
  }
  void on_client_disconnected(load_balancer::Time now, load_balancer::RequestId request) override {
    balancer_.on_client_disconnected(now, request);
  }
  void on_wakeup(load_balancer::Time now) override { balancer_.on_wakeup(now); }
  std::vector<load_balancer::Action>& actions() override { return balancer_.actions(); }
  const std::string& address(load_balancer::HostId host) const override {
    return balancer_.address(host);
  }
  double shedding_threshold() const override { return balancer_.shedding_threshold(); }

 private:
  load_balancer::Balancer balancer_;
};

inline std::unique_ptr<Policy> make_balancer(const load_balancer::Settings& settings,
                                             load_balancer::Time now) {
  return std::make_unique<BalancerPolicy>(settings, now);
}

}  // namespace gateway::lab
