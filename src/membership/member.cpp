#include "membership/member.hpp"

#include <array>
#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace gateway::membership {

std::string to_string(const Address& address) {
  return boost::asio::ip::address_v4(address.ip).to_string() + ":" + std::to_string(address.port);
}

std::optional<Address> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), ec);
  std::uint16_t port = 0;
  const char* text_end = text.data() + text.size();
  const auto [port_end, error] = std::from_chars(text.data() + colon + 1, text_end, port);
  if (ec || error != std::errc{} || port_end != text_end || port == 0) {
    return std::nullopt;
  }
  return Address{ip.to_uint(), port};
}

std::string_view to_string(MemberState state) {
  constexpr std::array<std::string_view, 4> kNames{"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(state)];
}

}  // namespace gateway::membership
