#include "http/messages.hpp"

namespace gateway::http {
namespace {

constexpr std::string_view kVersionText = "HTTP/1.1";  // of all messages that the gateway writes

}  // namespace

std::string start_line(const HttpRequest& request) {
  const auto method = boost::beast::http::to_string(request.method);
  std::string line(method.data(), method.size());
  line += ' ';
  line += request.target;
  line += ' ';
  line += kVersionText;
  return line + "\r\n";
}

std::string start_line(const HttpResponse& response) {
  const auto reason = boost::beast::http::obsolete_reason(response.status);
  std::string line(kVersionText);
  line += ' ' + std::to_string(static_cast<unsigned>(response.status)) + ' ';
  line.append(reason.data(), reason.size());
  return line + "\r\n";
}

}  // namespace gateway::http
