#include "gateway/request_mapping.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <chrono>
#include <functional>
#include <string_view>
#include <unordered_set>

namespace gateway {
namespace {

namespace beast_http = boost::beast::http;
using beast_http::status;
using load_balancer::ClassSettings;
using load_balancer::Idempotency;

// The cookie whose value identifies the object of a request, for key affinity.
constexpr std::string_view kKeyCookie = "obj";
constexpr int kKeyBase = 16;

// Returns false unless all of `text` is one number in the range of the type.
template <class Number>
bool parse_number(std::string_view text, Number& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc{} && end == text.data() + text.size();
}

// The name of the request's class: "checkout" of "/checkout/7?x=1". Empty if there is none.
std::string_view first_path_segment(std::string_view path) {
  if (path.empty() || path.front() != '/') {
    return {};
  }
  path.remove_prefix(1);
  return path.substr(0, path.find_first_of("/?"));
}

// The value of a cookie in a Cookie header, or an empty text.
std::string_view cookie_value(std::string_view remaining, std::string_view name) {
  while (!remaining.empty()) {
    const std::size_t end = std::min(remaining.find(';'), remaining.size());
    std::string_view pair = remaining.substr(0, end);
    remaining.remove_prefix(std::min(end + 1, remaining.size()));
    pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
    if (pair.size() > name.size() && pair.substr(0, name.size()) == name &&
        pair[name.size()] == '=') {
      return pair.substr(name.size() + 1);
    }
  }
  return {};
}

// The text as a hexadecimal number if it is one, else its hash.
std::uint64_t key_of(std::string_view text) {
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, kKeyBase);
  const bool is_number = error == std::errc{} && end == text.data() + text.size();
  return is_number ? key : std::hash<std::string_view>{}(text);
}

// With two values of a field, the gateway and the host could use different ones.
bool has_repeated_field(const http::HttpRequest& message) {
  constexpr std::array kFields = {"X-Request-Id", "X-Class", "X-Deadline-Ms", "Idempotency-Key"};
  return std::any_of(kFields.begin(), kFields.end(),
                     [&](const char* field) { return message.fields.count(field) > 1; });
}

// Hosts infer the idempotency of a request from its method, so the method must match the class: GET
// or HEAD, which is as safe, for an idempotent class, and POST for the others. Hosts deduplicate
// only requests with a key, so a deduplicated class requires one.
status check_method(const http::HttpRequest& message, Idempotency idempotency) {
  if (!message.is_read() && message.method != beast_http::verb::post) {
    return status::method_not_allowed;
  }
  if (message.is_read() != (idempotency == Idempotency::idempotent)) {
    return status::method_not_allowed;
  }
  if (idempotency == Idempotency::deduplicated && message.fields["Idempotency-Key"].empty()) {
    return status::bad_request;
  }
  return status::ok;
}

status check_fields(const http::HttpRequest& message, const ClassSettings& request_class) {
  if (message.fields.contains("X-Class") && message.fields["X-Class"] != request_class.name) {
    return status::bad_request;
  }
  if (message.fields["X-Request-Id"].empty() || has_repeated_field(message)) {
    return status::bad_request;
  }
  return check_method(message, request_class.idempotency);
}

constexpr std::array<std::string_view, 8> kHopByHopFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Expect"};

// Field names without regard to case. A message may have thousands of fields, and their names may
// be thousands.
class NameSet {
 public:
  void insert(std::string_view name) {
    names_.insert(lower_case(name));
    sizes_ |= size_bit(name);
  }
  bool contains(std::string_view name) const {
    return (sizes_ & size_bit(name)) != 0 && names_.count(lower_case(name)) > 0;
  }

 private:
  static std::uint64_t size_bit(std::string_view name) {
    constexpr std::size_t kBits = 64;
    return std::uint64_t{1} << std::min(name.size(), kBits - 1);
  }
  static std::string lower_case(std::string_view text);

  std::unordered_set<std::string> names_;
  std::uint64_t sizes_ = 0;  // of the names, a bit each
};

std::string NameSet::lower_case(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return lower;
}

}  // namespace

RequestMapper::RequestMapper(const load_balancer::Settings& settings) {
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const ClassSettings& request_class = settings.classes[i];
    classes_.emplace(request_class.name,
                     RequestClass{static_cast<std::uint32_t>(i), request_class});
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    tenants_.emplace(settings.tenants[i].name, static_cast<std::uint32_t>(i));
  }
}

RequestMapper::Result RequestMapper::map(const http::HttpRequest& message) const {
  const auto class_entry = classes_.find(std::string(first_path_segment(message.target)));
  if (class_entry == classes_.end()) {
    return status::not_found;
  }
  const ClassSettings& request_class = class_entry->second.settings;
  if (const status error = check_fields(message, request_class); error != status::ok) {
    return error;
  }
  load_balancer::Request request;
  request.class_index = class_entry->second.index;
  request.time_remaining = request_class.client_timeout;
  if (message.fields.contains("X-Deadline-Ms")) {
    std::uint32_t ms = 0;
    if (!parse_number(message.fields["X-Deadline-Ms"], ms)) {
      return status::bad_request;
    }
    request.time_remaining = std::chrono::milliseconds(ms);
  }
  std::uint32_t cost_us = 0;
  if (parse_number(message.fields["X-Cost-Hint"], cost_us)) {
    request.cost = std::chrono::microseconds(cost_us);
  }
  const auto tenant = tenants_.find(std::string(message.fields["X-Tenant"]));
  if (tenant != tenants_.end()) {
    request.tenant_index = tenant->second;
  }
  const std::string_view key = cookie_value(message.fields["Cookie"], kKeyCookie);
  request.has_key = !key.empty();
  if (request.has_key) {
    request.key = key_of(key);
  }
  return request;
}

void remove_hop_by_hop_fields(http::HeaderFields& fields) {
  const std::string connection(fields[http::kConnection]);
  NameSet names;
  for (const std::string_view name : kHopByHopFields) {
    names.insert(name);
  }
  for (const auto& token : beast_http::token_list({connection.data(), connection.size()})) {
    names.insert({token.data(), token.size()});
  }
  fields.erase_if([&](std::string_view name) { return names.contains(name); });
}

std::shared_ptr<const http::HttpRequest> to_host_message(http::HttpRequest request,
                                                         bool has_streamed_body) {
  http::HeaderFields& fields = request.fields;
  remove_hop_by_hop_fields(fields);
  fields.erase("X-Deadline-Ms");
  if (has_streamed_body) {
    if (!fields.contains(http::kContentLength)) {
      fields.set(http::kTransferEncoding, http::kChunked);
    }
  } else if (request.method == beast_http::verb::post || !request.body.empty()) {
    fields.set(http::kContentLength, std::to_string(request.body.size()));
  }
  return std::make_shared<const http::HttpRequest>(std::move(request));
}

}  // namespace gateway
