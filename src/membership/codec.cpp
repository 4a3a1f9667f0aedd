#include "membership/codec.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace gateway::membership {
namespace {

using nlohmann::json;

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kMaxUpdates = 128;  // in one message
constexpr std::size_t kChecksumBytes = sizeof(XXH64_canonical_t);

// Positions of the fields in the array of a message.
namespace message_field {
enum Position : std::size_t {
  format,
  fleet,
  kind,
  sequence,
  from,
  boot_id,
  incarnation,
  target,
  target_ip,
  target_port,
  digest,
  updates,
  payload,
  count
};
}  // namespace message_field

// Positions of the fields in the array of a member update.
namespace update_field {
enum Position : std::size_t { name, ip, port, state, boot_id, incarnation, reported_by, count };
}  // namespace update_field

enum class EmptyName { allowed, rejected };

// Reads the fields of an array and records whether all of them were valid. An invalid field reads
// as zero or as an empty string.
class FieldReader {
 public:
  explicit FieldReader(const json& array) : array_(array) {}

  template <class T>
  T number(std::size_t position, std::uint64_t max = std::numeric_limits<T>::max()) {
    const json& field = array_[position];
    if (!field.is_number_unsigned() || field.get<std::uint64_t>() > max) {
      valid_ = false;
      return T{};
    }
    return static_cast<T>(field.get<std::uint64_t>());
  }

  std::string name(std::size_t position, EmptyName empty) {
    const json& field = array_[position];
    if (!field.is_string()) {
      valid_ = false;
      return {};
    }
    const auto& text = field.get_ref<const std::string&>();
    if (text.size() > kMaxNameBytes || (text.empty() && empty == EmptyName::rejected)) {
      valid_ = false;
      return {};
    }
    return text;
  }

  std::string bytes(std::size_t position, std::size_t max_bytes) {
    const json& field = array_[position];
    if (!field.is_binary() || field.get_binary().size() > max_bytes) {
      valid_ = false;
      return {};
    }
    const auto& data = field.get_binary();
    return {data.begin(), data.end()};
  }

  bool valid() const { return valid_; }

 private:
  const json& array_;
  bool valid_ = true;
};

std::string checksum(std::string_view data) {
  XXH64_canonical_t sum;
  XXH64_canonicalFromHash(&sum, XXH3_64bits(data.data(), data.size()));
  return {reinterpret_cast<const char*>(sum.digest), sizeof sum.digest};
}

// Returns a discarded value on an error. The library throws for an array whose header states an
// impossible length, even with exceptions disabled.
json parse_cbor(std::string_view data) {
  json result = json::value_t::discarded;
  try {
    result = json::from_cbor(data.begin(), data.end(), true, false);
  } catch (const json::exception&) {
    result = json::value_t::discarded;
  }
  return result;
}

std::optional<MemberUpdate> decode_update(const json& array) {
  if (!array.is_array() || array.size() != update_field::count) {
    return std::nullopt;
  }
  constexpr auto kMaxState = static_cast<std::uint64_t>(MemberState::left);
  FieldReader fields(array);
  MemberUpdate update;
  update.name = fields.name(update_field::name, EmptyName::rejected);
  update.address.ip = fields.number<std::uint32_t>(update_field::ip);
  update.address.port = fields.number<std::uint16_t>(update_field::port);
  update.state =
      static_cast<MemberState>(fields.number<std::uint8_t>(update_field::state, kMaxState));
  update.version.boot_id = fields.number<std::uint64_t>(update_field::boot_id);
  update.version.incarnation = fields.number<std::uint32_t>(update_field::incarnation);
  update.reported_by = fields.name(update_field::reported_by, EmptyName::allowed);
  if (!fields.valid()) {
    return std::nullopt;
  }
  return update;
}

std::optional<std::vector<MemberUpdate>> decode_updates(const json& list) {
  if (!list.is_array() || list.size() > kMaxUpdates) {
    return std::nullopt;
  }
  std::vector<MemberUpdate> updates;
  for (const json& entry : list) {
    std::optional<MemberUpdate> update = decode_update(entry);
    if (!update) {
      return std::nullopt;
    }
    updates.push_back(std::move(*update));
  }
  return updates;
}

std::variant<Message, DecodeError> decode_message(const json& array, std::uint64_t fleet) {
  constexpr auto kMaxKind = static_cast<std::uint64_t>(Message::Kind::payload_only);
  FieldReader fields(array);
  Message message;
  const auto message_fleet = fields.number<std::uint64_t>(message_field::fleet);
  message.kind =
      static_cast<Message::Kind>(fields.number<std::uint8_t>(message_field::kind, kMaxKind));
  message.sequence = fields.number<std::uint32_t>(message_field::sequence);
  message.from = fields.name(message_field::from, EmptyName::rejected);
  message.version.boot_id = fields.number<std::uint64_t>(message_field::boot_id);
  message.version.incarnation = fields.number<std::uint32_t>(message_field::incarnation);
  message.target = fields.name(message_field::target, EmptyName::allowed);
  message.target_address.ip = fields.number<std::uint32_t>(message_field::target_ip);
  message.target_address.port = fields.number<std::uint16_t>(message_field::target_port);
  message.digest = fields.number<std::uint64_t>(message_field::digest);
  message.payload = fields.bytes(message_field::payload, kMaxPayloadBytes);
  if (!fields.valid()) {
    return DecodeError::malformed;
  }
  if (message_fleet != fleet) {
    return DecodeError::other_fleet;
  }
  auto updates = decode_updates(array[message_field::updates]);
  if (!updates) {
    return DecodeError::malformed;
  }
  message.updates = std::move(*updates);
  return message;
}

}  // namespace

std::uint64_t fleet_id(std::string_view name) {
  return XXH3_64bits(name.data(), name.size());
}

std::string encode(const Message& message, std::uint64_t fleet) {
  json updates = json::array();
  for (const MemberUpdate& update : message.updates) {
    updates.push_back({update.name, update.address.ip, update.address.port,
                       static_cast<unsigned>(update.state), update.version.boot_id,
                       update.version.incarnation, update.reported_by});
  }
  const json array{kFormatVersion,
                   fleet,
                   static_cast<unsigned>(message.kind),
                   message.sequence,
                   message.from,
                   message.version.boot_id,
                   message.version.incarnation,
                   message.target,
                   message.target_address.ip,
                   message.target_address.port,
                   message.digest,
                   std::move(updates),
                   json::binary({message.payload.begin(), message.payload.end()})};
  std::string encoded;
  json::to_cbor(array, encoded);
  return encoded + checksum(encoded);
}

std::variant<Message, DecodeError> decode(std::string_view datagram, std::uint64_t fleet) {
  if (datagram.size() > kMaxDatagramBytes || datagram.size() < kChecksumBytes) {
    return DecodeError::malformed;
  }
  const std::string_view received_checksum = datagram.substr(datagram.size() - kChecksumBytes);
  datagram.remove_suffix(kChecksumBytes);
  if (received_checksum != checksum(datagram)) {
    return DecodeError::malformed;
  }
  const json array = parse_cbor(datagram);
  if (!array.is_array() || array.empty() || !array[message_field::format].is_number_unsigned()) {
    return DecodeError::malformed;
  }
  // The version is checked before the number of fields, which may differ in another format.
  if (array[message_field::format].get<std::uint64_t>() != kFormatVersion) {
    return DecodeError::other_format;
  }
  if (array.size() != message_field::count) {
    return DecodeError::malformed;
  }
  return decode_message(array, fleet);
}

}  // namespace gateway::membership
