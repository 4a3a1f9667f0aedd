#include "simulator_adapter/adapter.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace load_balancer::wire {
namespace {

// Settings of a gateway in the wire format, with a key that the adapter does not know.
const char* k_settings =
    " rngSeed=5192284302740068 ceilings.cancel=true ceilings.maxAttempts=6 "
    "ceilings.parallelTries=false "
    "ceilings.new_thing=4 grades.count=2 grades.0.aimNs=600000000 grades.0.effect=retryable "
    "grades.0.giveUpNs=1200000000 grades.0.group=all grades.0.name=plan grades.0.points=12.0 "
    "grades.0.stream=false grades.0.windowNs=5000000000 grades.1.aimNs=400000000 "
    "grades.1.effect=dedup "
    "grades.1.giveUpNs=1000000000 grades.1.group=zone grades.1.name=book grades.1.points=1.0 "
    "grades.1.windowNs=2000000000 groupSize=2 registryMode=ask rules.askWithinNs=10000000000 "
    "rules.coldNs=9000000000 rules.coldShare=0.32 rules.fallMultiple=3.0 rules.fallNs=2000000000 "
    "stepNs=5000000 tenants= zone=north zones=north,south";

// An adapter with its error log.
struct Wire {
  std::ostringstream errors;
  Adapter adapter{errors};
  // Feeds the lines of `text` and returns the reply.
  std::string feed(const std::string& text) {
    std::string reply;
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      adapter.feed(line, reply);
    }
    return reply;
  }
  // Starts the named gateways (separated by blanks) with one list of hosts 10.0.0.<i>:80.
  std::string start(const std::string& names, int hosts = 2) {
    std::string text =
        "FRAME tNs=1000000000\nLEDGER buffer=0 rowsIn=" + std::to_string(hosts) + "\n";
    for (int i = 0; i < hosts; ++i) {
      text += "ROW host=10.0.0." + std::to_string(i) +
              ":80 locality=north machine=std block=0 phase=IN capacityHint=1\n";
    }
    std::istringstream in(names);
    for (std::string n; in >> n;) {
      text += "ENLIST i=" + n + k_settings + "\nMEMBERSHIP i=" + n +
              " generation=1 buffer=0 kind=restored\n";
    }
    return feed(text + "EOF_BATCH\n");
  }
};

// Number of occurrences of `pattern` in `text`.
std::size_t count(const std::string& text, const std::string& pattern) {
  std::size_t n = 0;
  for (std::size_t at = 0; (at = text.find(pattern, at)) != std::string::npos;
       at += pattern.size()) {
    ++n;
  }
  return n;
}

// A REQ line; `fields` is appended to it.
std::string request_line(const std::string& gateway, const std::string& ref,
                         const std::string& fields = "") {
  return "REQ i=" + gateway + " ref=" + ref + " leftNs=1000000000 tierClass=plan" + fields + "\n";
}

TEST(Wire, RepliesOkToEmptyBatch) {
  Wire w;
  EXPECT_EQ(w.feed("FRAME tNs=8412250000\nEOF_BATCH\n"), "OK\n");
}

TEST(Wire, ReadsSerializationAndPlacementSettings) {
  const Settings s =
      read_settings(std::string(k_settings) +
                    " grades.0.inTurn=true grades.0.staysIn=north,south grades.1.boundTo= "
                    "rules.keyRestNs=100000000");
  EXPECT_TRUE(s.classes[0].serialize_by_key);
  EXPECT_FALSE(s.classes[1].serialize_by_key);
  EXPECT_EQ(s.classes[0].zones, (std::vector<std::string>{"north", "south"}));
  EXPECT_FALSE(s.classes[0].machine_types);  // absent: any type
  ASSERT_TRUE(s.classes[1].machine_types);   // empty: no type is allowed
  EXPECT_TRUE(s.classes[1].machine_types->empty());
  EXPECT_EQ(s.key_cooldown, std::chrono::milliseconds(100));
}

TEST(Wire, ReadsSettings) {
  const Settings s = read_settings(k_settings);
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].name, "plan");
  EXPECT_EQ(s.classes[0].priority_weight, 12);
  EXPECT_EQ(s.classes[1].idempotency, Idempotency::deduplicated);
  EXPECT_EQ(s.classes[1].deduplication_scope, DeduplicationScope::zone);
  EXPECT_EQ(s.classes[1].deduplication_window, std::chrono::seconds(2));
  EXPECT_TRUE(s.poll_discovery);
  EXPECT_EQ(s.max_attempts, 6u);
  EXPECT_DOUBLE_EQ(s.initial_warmup_fraction, 0.32);
  EXPECT_EQ(s.zone, "north");
  EXPECT_FALSE(s.allow_hedging);
  EXPECT_FALSE(s.dynamic_weights);
  const Settings large =
      read_settings(std::string(k_settings) +
                    " myNumber=17 groupSize=300 weights=live ceilings.parallelTries=true");
  EXPECT_EQ(large.gateway_index, 17u);
  EXPECT_EQ(large.gateway_count, 300u);
  EXPECT_TRUE(large.dynamic_weights);
  EXPECT_TRUE(large.allow_hedging);
  EXPECT_THROW(read_settings("groupSize=many"), std::invalid_argument);
}

// A gateway of a large fleet that had to use hosts outside its subset closes the idle connections
// to them afterwards.
TEST(Wire, ClosesConnectionsToHostsOutsideTheSubset) {
  Wire w;
  std::string text = "FRAME tNs=1000000000\nLEDGER buffer=0 rowsIn=20\n";
  for (int i = 0; i < 20; ++i) {
    text += "ROW host=10.0.0." + std::to_string(i) +
            ":80 locality=north machine=std block=0 phase=IN\n";
  }
  text += "ENLIST i=gateway-1" + std::string(k_settings) + " myNumber=1 groupSize=20\n" +
          "MEMBERSHIP i=gateway-1 generation=1 buffer=0 kind=restored\nEOF_BATCH\n";
  w.feed(text);
  text = "FRAME tNs=1010000000\n";
  for (int i = 0; i < 14; ++i) {
    text += "REQ i=gateway-1 ref=r" + std::to_string(i) + " leftNs=1000000000 tierClass=plan\n";
  }
  std::istringstream forwards(w.feed(text + "EOF_BATCH\n"));
  text = "FRAME tNs=1050000000\n";
  int sent = 0;
  for (std::string line; std::getline(forwards, line);) {
    if (line.rfind("FORWARD ", 0) != 0) {
      continue;
    }
    const std::size_t ref_at = line.find("ref=");
    const std::size_t host_at = line.find("host=");
    const std::size_t within_at = line.find(" withinNs");
    text += "SETTLED i=gateway-1 " + line.substr(ref_at, line.find(' ', ref_at) - ref_at) +
            " go=0 " + line.substr(host_at, within_at - host_at) +
            " disposition=10 timeTakenNs=40000000 terminal=1\n";
    ++sent;
  }
  ASSERT_GT(sent, 10);
  w.feed(text + "EOF_BATCH\n");
  std::string later_replies;
  for (int s = 2; s < 9; ++s) {
    later_replies += w.feed("FRAME tNs=" + std::to_string(s) +
                            "000000000\nTIMEOUT_FIRED i=gateway-1 ref=w\nEOF_BATCH\n");
  }
  EXPECT_NE(later_replies.find("CLOSE i=gateway-1 host=10.0.0."), std::string::npos);
}

TEST(Wire, RetriesAndCompletesRequest) {
  Wire w;
  EXPECT_EQ(count(w.start("gateway-0"), "SUBSCRIBE i=gateway-0 active=1"), 1u);
  std::string reply = w.feed(
      "FRAME tNs=1005000000\n" +
      request_line("gateway-0", "a-1", " future=5 routeKey=91f03b7c55d20a64") + "EOF_BATCH\n");
  ASSERT_EQ(count(reply, "FORWARD i=gateway-0 ref=a-1 host=10.0.0."), 1u);
  const std::string host = reply.substr(reply.find("host=") + 5, 11);
  reply = w.feed("FRAME tNs=1105000000\nSETTLED i=gateway-0 ref=a-1 go=0 host=" + host +
                 " disposition=30 timeTakenNs=900 terminal=0 metrics=3,14.5\nEOF_BATCH\n");
  ASSERT_EQ(count(reply, "FORWARD i=gateway-0 ref=a-1"), 1u);
  EXPECT_EQ(count(reply, host), 0u);
  reply = w.feed(
      "FRAME tNs=1205000000\nSETTLED i=gateway-0 ref=a-1 go=1 host=x disposition=10 timeTakenNs=9 "
      "terminal=1\n"
      "LEFT i=gateway-0 ref=a-1\nEOF_BATCH\n");
  EXPECT_EQ(count(reply, "a-1"), 0u);
  EXPECT_EQ(w.errors.str(), "");
}

TEST(Wire, ReportsInvalidLineAndHandlesTheRestOfTheBatch) {
  const char* invalid_lines[] = {"NOISE x=1",
                                 "REQ ref=q leftNs=5 tierClass=plan",
                                 "REQ i=gateway-9 ref=q leftNs=5 tierClass=plan",
                                 "SETTLED i=gateway-0 ref=q go=zero disposition=10",
                                 "SETTLED i=gateway-0 ref=q go=0 disposition=99",
                                 "MEMBERSHIP i=gateway-0 generation=2 buffer=7 kind=update",
                                 "MEMBERSHIP i=gateway-0 kind=odd buffer=0",
                                 "LEDGER buffer=99 rowsIn=1",
                                 "ROW host=1.1.1.1:1",
                                 "LEFT i=gateway-0",
                                 "garbage"};
  for (const char* line : invalid_lines) {
    Wire w;
    w.start("gateway-0");
    const std::string reply = w.feed(std::string("FRAME tNs=1005000000\n") + line + "\n" +
                                     request_line("gateway-0", "ok-1") + "EOF_BATCH\n");
    EXPECT_EQ(count(reply, "ref=ok-1"), 1u) << line;
    EXPECT_EQ(count(reply, "OK\n"), 1u) << line;
    EXPECT_EQ(count(w.errors.str(), "line 9: "), 1u) << line << w.errors.str();
  }
}

TEST(Wire, RespondsWithErrorToRequestWithInvalidFields) {
  for (const char* fields : {" leftNs=abc tierClass=plan", " tierClass=plan", " leftNs=5",
                             " leftNs=5 tierClass=plan repeat=maybe"}) {
    Wire w;
    w.start("gateway-0");
    const std::string reply = w.feed(std::string("FRAME tNs=1005000000\nREQ i=gateway-0 ref=b-1") +
                                     fields + "\nEOF_BATCH\n");
    EXPECT_EQ(count(reply, "RESPOND_ERROR i=gateway-0 ref=b-1\n"), 1u) << fields;
    EXPECT_NE(w.errors.str(), "");
  }
}

TEST(Wire, RestartsGatewayWithinOneBatch) {
  Wire w;
  w.start("gateway-0 gateway-1");
  const std::string reply =
      w.feed("FRAME tNs=1005000000\n" + request_line("gateway-0", "old-1") +
             request_line("gateway-1", "keep-1") + "RETIRE i=gateway-0\nENLIST i=gateway-0" +
             k_settings + "\nMEMBERSHIP i=gateway-0 generation=1 buffer=0 kind=restored\n" +
             request_line("gateway-0", "new-1") + "EOF_BATCH\n");
  EXPECT_EQ(count(reply, "old-1"), 0u) << "the gateway was restarted after this request";
  EXPECT_EQ(count(reply, "ref=keep-1"), 1u);
  EXPECT_EQ(count(reply, "ref=new-1"), 1u);
}

TEST(Wire, UsesContentOfBufferAtMembershipLine) {
  Wire w;
  w.start("gateway-0", 1);
  const std::string reply = w.feed(
      "FRAME tNs=1005000000\nLEDGER buffer=0 rowsIn=1\nROW host=10.9.9.9:80 locality=north "
      "machine=std "
      "block=0 phase=IN\n"
      "MEMBERSHIP i=gateway-0 generation=2 buffer=0 kind=replace\nLEDGER buffer=0 rowsIn=1\n"
      "ROW host=10.8.8.8:80 locality=north machine=std block=0 phase=IN\n" +
      request_line("gateway-0", "c-1") + "EOF_BATCH\n");
  EXPECT_EQ(count(reply, "ref=c-1 host=10.9.9.9:80"), 1u);
}

TEST(Wire, ServesSeveralGatewaysLikeSeparateProcesses) {
  const auto requests = [](const std::string& gateway) {
    std::string text;
    for (int i = 0; i < 60; ++i) {
      text += request_line(gateway, gateway + "-r" + std::to_string(i));
    }
    return text;
  };
  Wire shared;
  shared.start("gateway-0 gateway-1");
  const std::string shared_reply = shared.feed("FRAME tNs=1005000000\n" + requests("gateway-0") +
                                               requests("gateway-1") + "EOF_BATCH\n");
  std::string separate_replies;
  for (const char* name : {"gateway-0", "gateway-1"}) {
    Wire separate;
    separate.start(name);
    const std::string reply =
        separate.feed("FRAME tNs=1005000000\n" + requests(name) + "EOF_BATCH\n");
    separate_replies += reply.substr(0, reply.size() - 3);
  }
  EXPECT_EQ(shared_reply, separate_replies + "OK\n");
  EXPECT_GT(count(shared_reply, "FORWARD"), 10u);
}

TEST(Wire, RespondsToEveryRequestOfLongBatch) {
  Wire w;
  w.start("gateway-0", 16);
  std::string text = "FRAME tNs=1005000000\n";
  for (int i = 0; i < 5000; ++i) {
    text += request_line("gateway-0", "r" + std::to_string(i));
  }
  const std::string reply = w.feed(text + "EOF_BATCH\n");
  EXPECT_EQ(count(reply, "FORWARD") + count(reply, "TURN_AWAY"), 5000u);
}

}  // namespace
}  // namespace load_balancer::wire
