// The line protocol of the simulator: parses events, prints actions and maps the ids of the wire.
// No decision is made here.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "load_balancer/load_balancer.hpp"

namespace load_balancer::wire {

// Runs the Balancers of many simulated gateways in one process. Events arrive in batches, and the
// reply to a batch has the actions of all its gateways. A malformed line is reported to the error
// stream with its number and skipped; the rest of the batch is handled. Not thread-safe.
class Adapter {
 public:
  // `errors` must outlive the adapter.
  explicit Adapter(std::ostream& errors);
  ~Adapter();

  // Handles one line, without its line end. If it ends a batch, appends the reply to `reply` and
  // returns true.
  bool feed(std::string_view line, std::string& reply);
  // True between the FRAME and the EOF_BATCH line of a batch.
  bool inside_batch() const { return inside_batch_; }
  // Number of the last line, from 1.
  std::size_t line_number() const { return line_number_; }

 private:
  struct Gateway;
  class ActionPrinter;
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };
  // An endpoint list of the wire: LEDGER and its ROW lines fill it, MEMBERSHIP refers to it.
  struct List {
    bool is_known = false;  // a LEDGER line has set it
    std::vector<Endpoint> entries;
  };

  void handle_event(std::string_view name, std::string_view rest);
  // One handler for each event; `rest` holds its fields.
  void on_enlist(std::string_view rest);
  void on_row(std::string_view rest);
  void on_ledger(std::string_view rest);
  void on_membership(Gateway& gateway, std::string_view rest);
  void on_request(Gateway& gateway, std::string_view rest);
  void on_settled(Gateway& gw, std::string_view rest);
  // The gateway of the field "i". It has an event in this batch then.
  Gateway& gateway_of(std::string_view rest);
  // Moves the actions of the gateway's Balancer into its reply.
  void print_actions(Gateway& gateway);
  void report_error(std::string_view line, std::string_view cause);

  std::ostream& errors_;
  std::unordered_map<std::string, std::unique_ptr<Gateway>, TextHash, std::equal_to<>> gateways_;
  std::vector<Gateway*> batch_gateways_;  // those of this batch, in order of their first event
  std::array<List, 16> lists_;
  std::size_t missing_rows_ = 0;  // ROW lines that the current list still lacks
  List* current_list_ = nullptr;  // the one that ROW lines fill
  std::int64_t now_ns_ = 0;       // time of the batch; never goes back
  std::size_t line_number_ = 0;
  bool inside_batch_ = false;
};

// Reads the settings of an ENLIST line; unknown ones are skipped. Throws std::invalid_argument,
// with the name of the field, for a value that cannot be read. The ranges are not checked.
Settings read_settings(std::string_view pairs);

}  // namespace load_balancer::wire
