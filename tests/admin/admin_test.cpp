// Tests of the operators' interface: marker files of hosts in maintenance, detection of a sibling
// process, handling of calls, and the HTTP server.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>

#include "admin/admin_server.hpp"
#include "admin/admin_service.hpp"
#include "admin/bounded_id_set.hpp"
#include "admin/maintenance_store.hpp"
#include "admin/marker_file_name.hpp"
#include "admin/sibling_detector.hpp"
#include "support/network_peers.hpp"

namespace gateway::testing {
namespace {

namespace fs = std::filesystem;
using admin::MaintenanceState;
/// Reported changes: the id of a host and whether it is now in maintenance.
using Changes = std::vector<std::pair<std::string, bool>>;

std::set<std::string> file_names_in(const fs::path& directory) {
  std::set<std::string> names;
  for (const fs::directory_entry& entry : fs::directory_iterator(directory)) {
    names.insert(entry.path().filename().string());
  }
  return names;
}

class AdminDirectoryTest : public ::testing::Test {
 protected:
  std::string directory;
  Changes changes;
  Changes other_changes;

  void SetUp() override {
    std::string name = ::testing::TempDir() + "admin-XXXXXX";
    ASSERT_NE(::mkdtemp(name.data()), nullptr);
    directory = name;
  }
  void TearDown() override { fs::remove_all(directory); }
  static admin::MaintenanceStore::OnChange record_in(Changes& list) {
    return [&list](const std::string& uid, MaintenanceState state) {
      list.emplace_back(uid, state == MaintenanceState::in_maintenance);
    };
  }
  admin::MaintenanceStore open_store(Changes& list) {
    return {directory, std::chrono::seconds(60), record_in(list)};
  }
};

class MaintenanceStoreTest : public AdminDirectoryTest {};
class SiblingDetectorTest : public AdminDirectoryTest {};

TEST(MarkerFileName, ConvertsAnyIdAndBackAndRejectsOtherNames) {
  for (const std::string id : {"s-5be2a07c", "../../etc", "a b%c", "\xff", ".", "x/y"}) {
    const std::string name = admin::file_name_of(id);
    EXPECT_EQ(name.find('/'), std::string::npos);
    EXPECT_EQ(admin::id_of_file_name(name), id);
  }
  for (const char* other_name :
       {"", "host-", "x", "host-%", "host-%2", "host-%zz", "host-%61", "host-%FF", "host-a.b"}) {
    EXPECT_EQ(admin::id_of_file_name(other_name), std::nullopt) << other_name;
  }
}

TEST_F(MaintenanceStoreTest, RepeatedCallsHaveNoFurtherEffect) {
  admin::MaintenanceStore store = open_store(changes);
  EXPECT_TRUE(store.start_maintenance("s-1"));
  EXPECT_TRUE(store.start_maintenance("s-1"));
  EXPECT_TRUE(store.is_in_maintenance("s-1"));
  EXPECT_TRUE(store.end_maintenance("s-1"));
  EXPECT_TRUE(store.end_maintenance("s-1"));
  EXPECT_FALSE(store.is_in_maintenance("s-1"));
  EXPECT_EQ(changes, (Changes{{"s-1", true}, {"s-1", false}}));
}

TEST_F(MaintenanceStoreTest, ReportsChangesOfOtherProcessOnRefresh) {
  admin::MaintenanceStore first = open_store(changes);
  admin::MaintenanceStore other = open_store(other_changes);
  first.start_maintenance("s-1");
  other.refresh();
  other.refresh();
  EXPECT_EQ(other_changes, (Changes{{"s-1", true}}));
  other.end_maintenance("s-1");
  first.refresh();
  EXPECT_EQ(changes, (Changes{{"s-1", true}, {"s-1", false}}));
}

// A new process must not send requests to a host in maintenance, and must treat a host that has
// just returned as cold.
TEST_F(MaintenanceStoreTest, ReportsRecordedAndRecentlyReturnedHostsAtStart) {
  {
    admin::MaintenanceStore first = open_store(changes);
    first.start_maintenance("s-1");
    first.start_maintenance("s-2");
    first.end_maintenance("s-2");
  }
  admin::MaintenanceStore later = open_store(other_changes);
  EXPECT_EQ(other_changes, (Changes{{"s-2", true}, {"s-2", false}, {"s-1", true}}));
  EXPECT_TRUE(later.is_in_maintenance("s-1"));
  admin::MaintenanceStore expiring(directory, std::chrono::seconds(-1), record_in(changes));
  other_changes.clear();
  admin::MaintenanceStore last = open_store(other_changes);
  EXPECT_EQ(other_changes, (Changes{{"s-1", true}}))
      << "a return to service before the retention period is not reported";
}

// The data directory contains the state that a process of an earlier release had written when it
// was killed. The maintenance of a host must survive the replacement of that release.
TEST_F(MaintenanceStoreTest, ReadsStateOfEarlierRelease) {
  fs::copy(TEST_DATA_DIRECTORY "/recorded_state", directory, fs::copy_options::recursive);
  const fs::path returned = directory + "/hosts-back/host-s-returned";
  // A checkout of the repository sets another time.
  fs::last_write_time(returned, fs::file_time_type::clock::now());

  admin::MaintenanceStore store = open_store(changes);

  EXPECT_EQ(store.hosts_in_maintenance(), (std::set<std::string>{"rack 4/unit.7", "s-5be2a07c"}));
  EXPECT_EQ(changes, (Changes{{"s-returned", true},
                              {"s-returned", false},
                              {"rack 4/unit.7", true},
                              {"s-5be2a07c", true}}));
}

// While a new release replaces an earlier one, the processes of both share the files.
TEST_F(MaintenanceStoreTest, WritesSameFilesAsEarlierRelease) {
  admin::MaintenanceStore store = open_store(changes);
  store.start_maintenance("s-5be2a07c");
  store.start_maintenance("rack 4/unit.7");
  store.start_maintenance("s-returned");
  store.end_maintenance("s-returned");

  const fs::path recorded = TEST_DATA_DIRECTORY "/recorded_state";
  for (const char* subdirectory : {"hosts-out", "hosts-back"}) {
    EXPECT_EQ(file_names_in(directory + "/" + subdirectory), file_names_in(recorded / subdirectory))
        << subdirectory;
  }
}

TEST_F(SiblingDetectorTest, RemovesFileOfEndedProcessOfEarlierRelease) {
  fs::copy(TEST_DATA_DIRECTORY "/recorded_state", directory, fs::copy_options::recursive);
  admin::SiblingDetector detector(directory);
  EXPECT_FALSE(detector.has_sibling());
  EXPECT_FALSE(fs::exists(directory + "/processes/process-Cruujd"));
}

TEST_F(MaintenanceStoreTest, IgnoresOtherFilesAndContentOfMarkerFiles) {
  fs::create_directories(directory + "/hosts-out/host-dir");
  std::ofstream(directory + "/hosts-out/host-%4") << "x";
  std::ofstream(directory + "/hosts-out/notes.txt") << "x";
  std::ofstream(directory + "/hosts-out/host-s-1") << "{\"half";
  admin::MaintenanceStore store = open_store(changes);
  EXPECT_TRUE(store.is_in_maintenance("s-1"));
  EXPECT_FALSE(store.is_in_maintenance("notes.txt"));
}

// A state that only this process applied would be lost with its end.
TEST_F(MaintenanceStoreTest, ChangesNothingWhenStateCannotBeRecorded) {
  admin::MaintenanceStore store = open_store(changes);
  EXPECT_FALSE(store.start_maintenance(std::string(300, 'x')))
      << "the file name would exceed 255 bytes";
  EXPECT_TRUE(changes.empty());
  std::ofstream(directory + "/file") << "x";
  EXPECT_THROW(
      admin::MaintenanceStore(directory + "/file", std::chrono::seconds(1), record_in(changes)),
      std::system_error);
}

TEST_F(MaintenanceStoreTest, KeepsStateInMemoryWithoutDirectory) {
  admin::MaintenanceStore store("", std::chrono::seconds(60), record_in(changes));
  EXPECT_TRUE(store.start_maintenance("s-1"));
  store.refresh();
  EXPECT_TRUE(store.is_in_maintenance("s-1"));
}

// A killed process leaves its file behind, which must not count as a sibling.
TEST_F(SiblingDetectorTest, DetectsRunningSiblingAndRemovesStaleFile) {
  admin::SiblingDetector first(directory);
  EXPECT_FALSE(first.has_sibling());
  {
    admin::SiblingDetector other(directory);
    EXPECT_TRUE(first.has_sibling());
    EXPECT_TRUE(other.has_sibling());
  }
  EXPECT_FALSE(first.has_sibling());
  const std::string stale_file = directory + "/processes/process-dead";
  std::ofstream(stale_file) << "";
  EXPECT_FALSE(first.has_sibling());
  EXPECT_FALSE(fs::exists(stale_file));
  EXPECT_FALSE(admin::SiblingDetector("").has_sibling());
}

TEST(BoundedIdSet, RemovesOldestIdBeyondCapacity) {
  admin::BoundedIdSet ids(3);
  for (const char* id : {"a", "b", "c", "c", "d"}) {
    ids.add(id);
  }
  EXPECT_EQ(ids.size(), 3u);
  EXPECT_FALSE(ids.has("a"));
  EXPECT_TRUE(ids.has("b") && ids.has("d"));
}

class AdminServiceTest : public AdminDirectoryTest {
 protected:
  bool accepts_clients = true;
  std::vector<bool> drain_calls;
  std::vector<bool> sibling_changes;
  std::vector<std::string> log_lines;
  std::unique_ptr<admin::AdminService> service;

  void SetUp() override {
    AdminDirectoryTest::SetUp();
    start();
  }
  void start() {
    service = std::make_unique<admin::AdminService>(
        directory, std::chrono::seconds(60),
        admin::AdminService::Controls{
            [this] { return accepts_clients; },
            [this](bool drained) { drain_calls.push_back(drained); },
            [this](const std::string& uid, bool in_maintenance) {
              changes.emplace_back(uid, in_maintenance);
            },
            [this](bool has_sibling) { sibling_changes.push_back(has_sibling); },
            [this](const std::string& line) {
              log_lines.push_back(line);
            }});
    service->on_endpoint_listed("s-1");
  }
  unsigned call(const std::string& method, const std::string& path) {
    return service->handle({method, path}).status;
  }
};

TEST_F(AdminServiceTest, HealthcheckReportsWhetherClientsAreAccepted) {
  EXPECT_EQ(call("GET", "/healthcheck"), 200u);
  accepts_clients = false;
  EXPECT_EQ(call("GET", "/healthcheck"), 503u);
}

TEST_F(AdminServiceTest, RejectsInvalidCallWithoutEffect) {
  EXPECT_EQ(call("GET", "/"), 404u);
  EXPECT_EQ(call("POST", "/hosts/s-1"), 404u);
  EXPECT_EQ(call("POST", "/hosts/s-1/other"), 404u);
  EXPECT_EQ(call("POST", "/hosts//maint"), 404u);
  EXPECT_EQ(call("POST", "/hosts/%4/maint"), 400u);
  EXPECT_EQ(call("POST", "/hosts/never/maint"), 404u);
  EXPECT_EQ(call("POST", "/hosts/never/ready"), 404u);
  EXPECT_EQ(call("POST", "/healthcheck"), 405u);
  EXPECT_EQ(call("GET", "/healthcheck/fail"), 405u);
  EXPECT_EQ(call("GET", "/hosts/s-1/maint"), 405u);
  EXPECT_TRUE(changes.empty() && drain_calls.empty() && log_lines.empty());
}

TEST_F(AdminServiceTest, ExecutesAndLogsEachStateChange) {
  EXPECT_EQ(call("POST", "/hosts/s%2d1/maint"), 200u) << "an id may be percent-encoded";
  EXPECT_EQ(call("POST", "/hosts/s-1/ready"), 200u);
  EXPECT_EQ(call("POST", "/healthcheck/fail"), 200u);
  EXPECT_EQ(call("POST", "/healthcheck/ok"), 200u);
  EXPECT_EQ(changes, (Changes{{"s-1", true}, {"s-1", false}}));
  EXPECT_EQ(drain_calls, (std::vector<bool>{true, false}));
  EXPECT_EQ(log_lines.size(), 4u);
}

// Otherwise the maintenance of a host that discovery doesn't list at the moment could not be ended.
TEST_F(AdminServiceTest, AcceptsCallsForRecordedHostThatIsNotListed) {
  call("POST", "/hosts/s-1/maint");
  service.reset();
  changes.clear();
  start();
  EXPECT_EQ(changes, (Changes{{"s-1", true}}));
  EXPECT_EQ(call("POST", "/hosts/s-1/ready"), 200u);
}

TEST_F(AdminServiceTest, ReportsStartAndEndOfSiblingOnce) {
  {
    admin::SiblingDetector other(directory);
    service->refresh();
    service->refresh();
  }
  service->refresh();
  EXPECT_EQ(sibling_changes, (std::vector<bool>{true, false}));
}

class AdminServerTest : public ::testing::Test {
 protected:
  asio::io_context io;
  admin::AdminServer::Limits limits;
  std::vector<admin::AdminCall> calls;
  std::unique_ptr<admin::AdminServer> server;

  void start() {
    server = std::make_unique<admin::AdminServer>(
        io, loopback(), limits, [this](const admin::AdminCall& call) {
          calls.push_back(call);
          return call.path == "/no" ? admin::AdminReply{405, "no", "GET"}
                                    : admin::AdminReply{200, "yes", {}};
        });
  }
  template <class Predicate>
  ::testing::AssertionResult until(Predicate predicate) {
    return run_until(io, predicate);
  }
  std::shared_ptr<Client> client() { return Client::connect(io, server->local_endpoint()); }
};

TEST_F(AdminServerTest, ClosesConnectionAfterReply) {
  start();
  auto caller = client();
  caller->send("POST /a?x=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(until([&] { return caller->closed_by_peer; }));
  ASSERT_EQ(caller->responses.size(), 1u);
  EXPECT_EQ(caller->responses[0].result_int(), 200u);
  EXPECT_EQ(caller->responses[0].body(), "yes\n");
  EXPECT_FALSE(caller->responses[0].keep_alive());
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_EQ(calls[0].method, "POST");
  EXPECT_EQ(calls[0].path, "/a");
}

TEST_F(AdminServerTest, AcceptsCallSentByteByByte) {
  start();
  auto caller = client();
  for (const char byte : std::string("GET /a HTTP/1.1\r\n\r\n")) {
    caller->send(std::string(1, byte));
    io.restart();
    io.poll();
  }
  ASSERT_TRUE(until([&] { return !caller->responses.empty(); }));
  EXPECT_EQ(caller->responses[0].result_int(), 200u);
}

TEST_F(AdminServerTest, RepliesBadRequestToMalformedOrOversizedCall) {
  start();
  for (const std::string& malformed :
       {std::string("what?\r\n\r\n"), "GET /" + std::string(9000, 'x'),
        std::string("POST /a HTTP/1.1\r\nContent-Length: 99999\r\n\r\n")}) {
    auto caller = client();
    caller->send(malformed);
    ASSERT_TRUE(until([&] { return !caller->responses.empty(); }));
    EXPECT_EQ(caller->responses[0].result_int(), 400u);
  }
  EXPECT_TRUE(calls.empty());
}

TEST_F(AdminServerTest, SendsAllowHeaderForWrongMethod) {
  start();
  auto caller = client();
  caller->send("PUT /no HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return !caller->responses.empty(); }));
  EXPECT_EQ(caller->responses[0]["Allow"], "GET");
}

// Connections without a complete call must not keep operators from connecting.
TEST_F(AdminServerTest, ClosesOldestConnectionWithoutCompleteCallBeyondLimit) {
  limits.max_connections = 3;
  start();
  std::vector<std::shared_ptr<Client>> idle;
  for (int i = 0; i < 6; ++i) {
    idle.push_back(client());
    if (i % 2) {
      idle.back()->send("GET /ha");
    }
  }
  auto caller = client();
  caller->send("GET /a HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return !caller->responses.empty(); }));
  EXPECT_LE(server->connections(), 3u);
  EXPECT_TRUE(until([&] { return idle[0]->closed_by_peer && idle[3]->closed_by_peer; }));
}

TEST_F(AdminServerTest, ClosesConnectionWithoutCallAfterTimeout) {
  limits.connection_timeout = std::chrono::milliseconds(20);
  start();
  auto caller = client();
  EXPECT_TRUE(until([&] { return caller->closed_by_peer; }));
  EXPECT_EQ(server->connections(), 0u);
}

}  // namespace
}  // namespace gateway::testing
