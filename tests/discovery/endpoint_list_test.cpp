// Decoding of endpoint lists and addresses.
#include "discovery/endpoint_list.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gateway::testing {
namespace {

using nlohmann::json;

TEST(EndpointList, ThrowsOnMalformedListOrAddress) {
  EXPECT_THROW(discovery::parse_endpoint_list(json::array()), std::invalid_argument);
  EXPECT_THROW(discovery::parse_endpoint_list({{"rev", 1}}), std::invalid_argument);
  EXPECT_THROW(discovery::parse_endpoint_list(
                   {{"rev", 1}, {"targets", {{{"uid", ""}, {"state", "SERVING"}}}}}),
               std::invalid_argument);
  EXPECT_THROW(discovery::parse_endpoint("1.2.3.4"), std::invalid_argument);
  EXPECT_THROW(discovery::parse_endpoint("1.2.3.4:99999"), std::invalid_argument);
  EXPECT_THROW(discovery::parse_endpoint("host:80"), std::invalid_argument);
}

}  // namespace
}  // namespace gateway::testing
