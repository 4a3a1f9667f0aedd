// Tests of the replicated store: the state machine with retried commands, expired leases, compacted
// watches and a full store; the write-ahead log with incomplete and corrupt files, files of another
// cluster and a full disk.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sys/resource.h>

#include <array>
#include <csignal>
#include <fstream>
#include <random>
#include <sstream>

#include "replicated_store/state_machine.hpp"
#include "replicated_store/write_ahead_log.hpp"

namespace gateway::replicated_store {
namespace {

using Status = CommandResult::Status;

// A command without a client, which takes effect each time.
Command command(Operation operation) {
  return {std::move(operation), {}, 0};
}

Command put(std::string key, std::string value, WriteCondition condition = {}) {
  return command(Put{std::move(key), std::move(value), condition});
}

WriteCondition expecting(Revision revision) {
  return {revision, 0, 0};
}

WriteCondition under_lease(LeaseId lease, Revision fencing_token) {
  return {{}, lease, fencing_token};
}

// A client that lost the response sends its command again. Executed twice, the command would
// conflict with its own first effect or undo a later write.
TEST(StateMachine, RetriedCommandTakesEffectOnce) {
  StateMachine machine;
  Command command = put("count", "1", expecting(0));
  command.client = "g1";
  command.number = 5;
  const CommandResult first = machine.apply(command);
  EXPECT_EQ(first.status, Status::done);
  machine.apply(put("count", "2"));
  EXPECT_EQ(machine.apply(command), first) << "the first result instead of a conflict";
  EXPECT_EQ(machine.get("count")->value, "2");
  command.number = 4;
  EXPECT_EQ(machine.apply(command).status, Status::compacted);
  // A snapshot includes the result, and each client has its own numbers.
  StateMachine restored;
  ASSERT_TRUE(restored.restore(machine.snapshot()));
  command.number = 5;
  EXPECT_EQ(restored.apply(command), first);
  command.client = "g2";
  EXPECT_EQ(restored.apply(command).status, Status::conflict);
}

// An owner that was paused beyond its lease's lifetime continues to write as if it still held the
// lease, while another owner already holds the next one.
TEST(StateMachine, ExpiredLeaseErasesItsKeysAndItsFencingTokenIsRejected) {
  StateMachine machine;
  machine.apply(command(AdvanceClock{1000}));
  const CommandResult expired = machine.apply(command(GrantLease{500}));
  WriteCondition new_key_under_lease = under_lease(expired.lease, expired.fencing_token);
  new_key_under_lease.expected_revision = 0;
  EXPECT_EQ(machine.apply(put("coordinator", "g1", new_key_under_lease)).status, Status::done);
  machine.apply(command(AdvanceClock{1400}));
  EXPECT_EQ(machine.apply(command(RenewLease{expired.lease})).fencing_token, expired.fencing_token);
  machine.apply(command(AdvanceClock{900}));  // from a new leader whose clock is behind
  EXPECT_EQ(machine.now(), 1400u);
  machine.apply(command(AdvanceClock{1899}));
  ASSERT_NE(machine.get("coordinator"), nullptr);
  machine.apply(command(AdvanceClock{1900}));
  EXPECT_EQ(machine.get("coordinator"), nullptr);
  const CommandResult next = machine.apply(command(GrantLease{500}));
  EXPECT_GT(next.fencing_token, expired.fencing_token);
  EXPECT_NE(next.lease, expired.lease);
  const auto write_as = [&machine](LeaseId lease, Revision fencing_token) {
    return machine.apply(put("step", "3", under_lease(lease, fencing_token))).status;
  };
  EXPECT_EQ(write_as(expired.lease, expired.fencing_token), Status::lease_not_found);
  EXPECT_EQ(write_as(next.lease, expired.fencing_token), Status::lease_not_found)
      << "the id of the new lease with the fencing token of the expired lease";
  EXPECT_EQ(machine.apply(command(RenewLease{expired.lease})).status, Status::lease_not_found);
  EXPECT_EQ(machine.get("step"), nullptr);
}

// A watch that silently skipped changes which are no longer in the history would leave its reader
// with an outdated map.
TEST(StateMachine, WatchReturnsEveryChangeInOrderUnlessCompacted) {
  StoreLimits limits;
  limits.history = 5;
  StateMachine machine(limits);
  for (int i = 0; i < 3; ++i) {
    machine.apply(put("a/" + std::to_string(i), "x"));
  }
  machine.apply(put("b", "y"));
  machine.apply(command(Erase{"a/1", {}}));
  const auto changes = machine.changes_since(1, "a/");
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes->size(), 3u);
  EXPECT_EQ((*changes)[0], (Change{2, "a/1", "x"}));
  EXPECT_EQ((*changes)[2], (Change{5, "a/1", std::nullopt}));
  machine.apply(put("b", "z"));
  EXPECT_FALSE(machine.changes_since(0, ""));
  EXPECT_TRUE(machine.changes_since(1, ""));
  StateMachine restored(limits);
  ASSERT_TRUE(restored.restore(machine.snapshot()));
  EXPECT_FALSE(restored.changes_since(3, "")) << "a snapshot contains no history";
  EXPECT_TRUE(restored.changes_since(6, "")->empty());
  EXPECT_EQ(restored.list("a/").size(), 2u);
}

TEST(StateMachine, FullStoreRejectsCommandsAndKeepsItsEntries) {
  StoreLimits limits;
  limits.keys = 3;
  limits.total_bytes = 40;
  limits.leases = 1;
  limits.clients = 2;
  StateMachine machine(limits);
  for (const char* key : {"a", "b", "c"}) {
    EXPECT_EQ(machine.apply(put(key, "12345")).status, Status::done);
  }
  EXPECT_EQ(machine.apply(put("d", "1")).status, Status::full);
  EXPECT_EQ(machine.apply(put("a", std::string(40, 'x'))).status, Status::full);
  EXPECT_EQ(machine.apply(put("a", std::string(25, 'x'))).status, Status::done);
  EXPECT_EQ(machine.apply(put("", "1")).status, Status::invalid);
  EXPECT_EQ(machine.apply(command(GrantLease{1000})).status, Status::done);
  EXPECT_EQ(machine.apply(command(GrantLease{1000})).status, Status::full);
  EXPECT_EQ(machine.apply(command(GrantLease{1})).status, Status::invalid);
  EXPECT_EQ(machine.list("").size(), 3u);
  EXPECT_FALSE(machine.restore("garbage"));
  EXPECT_EQ(machine.list("").size(), 3u);
}

// An operation for the property test, derived from small random numbers.
Operation make_operation(int kind, const std::string& key, int n, Revision revision, Millis now) {
  WriteCondition condition;
  condition.lease = static_cast<LeaseId>(n % 3);
  if (n == 4) {
    condition.expected_revision = revision;
  }
  switch (kind) {
    case 0:
      return Put{key, std::to_string(n), condition};
    case 1:
      return Erase{key, condition};
    case 2:
      return GrantLease{300};
    case 3:
      return RenewLease{condition.lease};
    case 4:
      return ReleaseLease{condition.lease};
    default:
      return AdvanceClock{now};
  }
}

// Two members apply the same log, one of them with a snapshot and restore at a random position.
// Their snapshots must be equal byte for byte after each command.
TEST(StateMachine, SameLogProducesSameStateAndResults) {
  EXPECT_TRUE(rc::check([] {
    StateMachine a;
    StateMachine b;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 4), rc::gen::inRange(0, 5),
                       rc::gen::inRange(0, 3)));
    const std::size_t snapshot_at =
        steps.empty() ? 0 : static_cast<std::size_t>(*rc::gen::inRange(0, 100)) % steps.size();
    Millis now = 0;
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const auto& [kind, key, n, client] = steps[i];
      now += 100;
      Command command{make_operation(kind, "k" + std::to_string(key), n, a.revision(), now), {}, 0};
      if (client > 0) {
        command.client = "c" + std::to_string(client);
        command.number = ++number - (n == 3 ? 1 : 0);
      }
      RC_ASSERT(a.apply(command) == b.apply(command));
      if (i == snapshot_at) {
        StateMachine restored;
        RC_ASSERT(restored.restore(b.snapshot()));
        b = std::move(restored);
      }
      RC_ASSERT(a.snapshot() == b.snapshot());
      for (const auto& [name, entry] : a.list("")) {
        RC_ASSERT(entry.changed_at <= a.revision() && entry.created_at <= entry.changed_at);
      }
    }
  }));
}

// --- Write-ahead log

namespace fs = std::filesystem;

// The size of a segment header, and of a record with 10 bytes of data; see log_format.hpp.
constexpr std::size_t kHeaderBytes = 32;
constexpr std::size_t kRecordBytes = 29 + 10;

std::vector<LogEntry> entries_of(const WriteAheadLog& log) {
  std::vector<LogEntry> entries;
  for (std::uint64_t i = log.first_index(); i < log.next_index(); ++i) {
    entries.push_back(log.at(i));
  }
  return entries;
}

class WriteAheadLogTest : public ::testing::Test {
 protected:
  WriteAheadLogTest()
      : directory(fs::temp_directory_path() / ("gateway-store-" + std::to_string(::getpid()))) {
    fs::remove_all(directory);
    settings.cluster = 7;
    settings.segment_bytes = 200;
  }
  ~WriteAheadLogTest() override { fs::remove_all(directory); }
  static LogEntry entry(std::uint64_t term, const std::string& data) { return {term, 1, data}; }
  std::vector<LogEntry> reopened() {
    WriteAheadLog log(directory, settings);
    return entries_of(log);
  }
  fs::path last_segment() const {
    std::pair<std::uint64_t, fs::path> last;
    for (const auto& file : fs::directory_iterator(directory)) {
      if (const std::string name = file.path().filename(); name.rfind("log-", 0) == 0) {
        last = std::max(last, {std::stoull(name.substr(4)), file.path()});
      }
    }
    return last.second;
  }
  static std::string bytes_of(const fs::path& file) {
    std::ifstream in(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  static void write(const fs::path& file, const std::string& bytes) {
    std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
  }

  fs::path directory;
  WriteAheadLog::Settings settings;
};

// A write-ahead log and a model of its expected contents. Each operation is applied to both.
class LogWithModel {
 public:
  LogWithModel(fs::path directory, WriteAheadLog::Settings settings)
      : directory_(std::move(directory)), settings_(settings) {
    reopen();
  }

  std::uint64_t next_index() const { return first_ + entries_.size(); }
  bool empty() const { return entries_.empty(); }
  const WriteAheadLog::Snapshot& snapshot() const { return snapshot_; }
  std::uint64_t last_term() const { return vote_.term; }

  void reopen() {
    log_.reset();
    log_ = std::make_unique<WriteAheadLog>(directory_, settings_);
  }
  void append(const std::vector<LogEntry>& entries) {
    log_->append(entries);
    entries_.insert(entries_.end(), entries.begin(), entries.end());
  }
  void truncate(std::uint64_t from) {
    log_->truncate(from);
    if (from < next_index()) {
      entries_.resize(from - first_);
    }
  }
  void set_vote(WriteAheadLog::Vote vote) {
    vote_ = vote;
    log_->set_vote(vote_);
  }
  void save_snapshot(std::uint64_t index, std::uint64_t trailing_entries) {
    snapshot_ = {index, log_->at(index).term, "state " + std::to_string(index)};
    log_->save_snapshot(snapshot_, trailing_entries);
  }
  void install_snapshot(WriteAheadLog::Snapshot snapshot) {
    snapshot_ = std::move(snapshot);
    log_->install_snapshot(snapshot_);
    entries_.clear();
  }
  void expect_equal(int step) {
    // The log removes whole segments only, so the model adopts its first index; entries after the
    // snapshot must remain.
    ASSERT_LE(log_->first_index(), snapshot_.index + 1) << step;
    if (log_->first_index() > first_) {
      const std::uint64_t removed =
          std::min<std::uint64_t>(log_->first_index() - first_, entries_.size());
      entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(removed));
    }
    first_ = log_->first_index();
    ASSERT_EQ(entries_of(*log_), entries_) << step;
    ASSERT_EQ(log_->vote(), vote_);
    ASSERT_EQ(log_->snapshot(), snapshot_);
  }

 private:
  fs::path directory_;
  WriteAheadLog::Settings settings_;
  std::unique_ptr<WriteAheadLog> log_;
  std::vector<LogEntry> entries_;
  std::uint64_t first_ = 1;
  WriteAheadLog::Vote vote_;
  WriteAheadLog::Snapshot snapshot_;
};

std::vector<LogEntry> random_entries(std::mt19937_64& random, std::uint64_t term) {
  std::vector<LogEntry> entries;
  for (std::uint64_t n = 1 + random() % 3; n > 0; --n) {
    entries.push_back({term, 1, std::string(random() % 60, 'x')});
  }
  return entries;
}

// 600 random appends, truncations, votes, snapshots and reopenings with small segments, so that
// operations cross segment boundaries.
TEST_F(WriteAheadLogTest, ReopenedLogMatchesModelAfterRandomOperations) {
  std::mt19937_64 random(1);
  LogWithModel log(directory, settings);
  for (int step = 0; step < 600; ++step) {
    const std::uint64_t next = log.next_index();
    const std::uint64_t choice = random() % 10;
    if (choice < 5) {
      log.append(random_entries(random, 1 + static_cast<std::uint64_t>(step) / 50));
    } else if (choice == 5 && !log.empty()) {
      const std::uint64_t removed = random() % std::min<std::uint64_t>(9, next);
      log.truncate(std::max(log.snapshot().index + 1, next - removed));
    } else if (choice == 6) {
      log.set_vote({log.last_term() + 1, random() % 4});
    } else if (choice == 7 && next > log.snapshot().index + 4) {
      log.save_snapshot(next - 2, 3);
    } else if (choice == 8 && step % 5 == 0) {
      log.install_snapshot({next + 5, 99, "sent"});
    } else {
      log.reopen();
    }
    log.expect_equal(step);
    if (HasFatalFailure()) {
      return;
    }
  }
}

// A crash during an append leaves any prefix of its bytes on the disk.
TEST_F(WriteAheadLogTest, IncompleteLastRecordIsRemovedAtEveryLength) {
  settings.segment_bytes = 1 << 20;
  std::vector<LogEntry> entries;
  entries.reserve(5);
  for (int i = 0; i < 5; ++i) {
    entries.push_back(entry(2, std::string(10, static_cast<char>('a' + i))));
  }
  WriteAheadLog(directory, settings).append(entries);
  const fs::path file = last_segment();
  const std::string complete = bytes_of(file);
  for (std::size_t size = kHeaderBytes; size <= complete.size(); ++size) {
    write(file, complete.substr(0, size));
    const std::size_t complete_records = (size - kHeaderBytes) / kRecordBytes;
    WriteAheadLog log(directory, settings);
    ASSERT_EQ(entries_of(log),
              std::vector<LogEntry>(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(
                                                                           complete_records)));
    EXPECT_EQ(log.truncated_bytes(), (size - kHeaderBytes) % kRecordBytes);
    log.append({entry(3, "after")});
    EXPECT_EQ(reopened().size(), complete_records + 1);
  }
}

// A damaged record before the last may have been acknowledged, so the log must not open without it.
// A damaged last record is indistinguishable from an interrupted append and is removed.
TEST_F(WriteAheadLogTest, CorruptByteIsErrorBeforeLastRecordAndRemovedWithinIt) {
  settings.segment_bytes = 1 << 20;
  const std::vector<LogEntry> entries(4, entry(2, "0123456789"));
  WriteAheadLog(directory, settings).append(entries);
  const fs::path file = last_segment();
  const std::string complete = bytes_of(file);
  const std::size_t last_record = complete.size() - kRecordBytes;
  for (std::size_t offset = 0; offset < complete.size(); ++offset) {
    std::string corrupt = complete;
    corrupt[offset] ^= 0x10;
    write(file, corrupt);
    if (offset < last_record) {
      EXPECT_THROW(WriteAheadLog(directory, settings), DiskError) << offset;
    } else {
      EXPECT_EQ(reopened().size(), 3u) << offset;
    }
  }
  write(file, complete);
  try {
    std::string corrupt = complete;
    corrupt[kHeaderBytes + kRecordBytes + 30] ^= 1;
    write(file, corrupt);
    WriteAheadLog log(directory, settings);
    FAIL();
  } catch (const CorruptLogError& error) {
    EXPECT_NE(std::string(error.what()).find("checksum or index mismatch in entry 2 at byte 71"),
              std::string::npos)
        << error.what();
  }
  // A missing segment between others is an error too.
  write(file, complete);
  settings.segment_bytes = 1;
  {
    WriteAheadLog log(directory, settings);
    for (int i = 0; i < 3; ++i) {
      log.append({entry(2, "x")});
    }
  }
  fs::remove(directory / "log-5");
  EXPECT_THROW(WriteAheadLog(directory, settings), CorruptLogError);
}

// The file size limit of the process stands for a full disk: a write beyond 4096 bytes is partial
// and then fails. Records of the failed append that stay in the file would be read as entries.
TEST_F(WriteAheadLogTest, FailedAppendOnFullDiskKeepsEarlierEntriesAndNoneOfItsOwn) {
  settings.segment_bytes = 1 << 20;
  WriteAheadLog log(directory, settings);
  log.append({entry(1, std::string(3000, 'a'))});
  log.set_vote({4, 2});
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit initial_limit{};
  ::getrlimit(RLIMIT_FSIZE, &initial_limit);
  rlimit low_limit = initial_limit;
  low_limit.rlim_cur = 4096;
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &low_limit), 0);
  EXPECT_THROW(log.append({entry(1, "fits"), entry(1, std::string(3000, 'b'))}), DiskError);
  EXPECT_THROW(log.save_snapshot({1, 1, std::string(9000, 's')}), DiskError);
  EXPECT_EQ(log.next_index(), 2u);
  EXPECT_EQ(reopened().size(), 1u);
  ::setrlimit(RLIMIT_FSIZE, &initial_limit);
  log.append({entry(1, "now")});
  EXPECT_EQ(reopened().size(), 2u);
  EXPECT_EQ(WriteAheadLog(directory, settings).vote(), (WriteAheadLog::Vote{4, 2}));
  EXPECT_EQ(WriteAheadLog(directory, settings).snapshot().index, 0u);
}

// A member that lost its vote could vote twice in a term, and two leaders could be elected.
TEST_F(WriteAheadLogTest, VoteIsDurableAndCorruptOrOtherClustersFilesAreRejected) {
  {
    WriteAheadLog log(directory, settings);
    log.set_vote({5, 1});
    log.set_vote({6, 3});
  }
  EXPECT_EQ(WriteAheadLog(directory, settings).vote(), (WriteAheadLog::Vote{6, 3}));
  const std::string complete = bytes_of(directory / "meta");
  for (std::size_t offset = 0; offset < complete.size(); ++offset) {
    std::string corrupt = complete;
    corrupt[offset] ^= 1;
    write(directory / "meta", corrupt);
    EXPECT_THROW(WriteAheadLog(directory, settings), DiskError) << offset;
  }
  write(directory / "meta", complete);
  settings.cluster = 8;
  EXPECT_THROW(WriteAheadLog(directory, settings), DiskError);
}

// --- Recorded log

// The log in data/log was written by an earlier build, with the cluster id and segment size of
// WriteAheadLogTest. It was appended these commands in this text form: client ("-": none), number,
// operation and its arguments. Entries 1 to 4 have term 2, entries 5 to 8 term 3, the others term
// 5. The snapshot includes the first 8 entries.
constexpr auto kRecordedCommands = std::to_array<const char*>({
    "- 0 advance 1000",
    "g1 1 put map/a 1 0 0 0",
    "g1 2 grant 500",
    "g1 3 put coordinator g1 1 2",
    "g2 1 put map/b 2 0 0",
    "g2 2 grant 800",
    "g2 3 put map/c 3 2 5 0",
    "g2 4 put map/a 9 0 0 3",
    "g1 4 renew 1",
    "g3 1 put map/a 4 0 0 1",
    "g3 1 put map/a 4 0 0 1",
    "- 0 advance 1499",
    "g2 5 release 2",
    "g2 6 erase map/b 0 0 4",
    "g1 5 grant 300",
    "g1 6 put step 7 3 10",
    "- 0 advance 1500",
    "- 0 put map/d 5 0 0",
});
constexpr std::size_t kRecordedSnapshotIndex = 8;

// Reads lease, fencing token and, if present, the expected revision.
WriteCondition read_condition(std::istream& in) {
  WriteCondition condition;
  in >> condition.lease >> condition.fencing_token;
  if (Revision revision = 0; in >> revision) {
    condition.expected_revision = revision;
  }
  return condition;
}

Operation read_operation(std::istream& in) {
  std::string name;
  std::string key;
  std::string value;
  std::uint64_t number = 0;
  in >> name;
  if (name == "put") {
    in >> key >> value;
    return Put{key, value, read_condition(in)};
  }
  if (name == "erase") {
    in >> key;
    return Erase{key, read_condition(in)};
  }
  in >> number;
  if (name == "grant") {
    return GrantLease{number};
  }
  if (name == "renew") {
    return RenewLease{number};
  }
  if (name == "release") {
    return ReleaseLease{number};
  }
  EXPECT_EQ(name, "advance");
  return AdvanceClock{number};
}

Command decode_recorded(const std::string& text) {
  std::istringstream in(text);
  Command command;
  in >> command.client >> command.number;
  if (command.client == "-") {
    command.client.clear();
  }
  command.operation = read_operation(in);
  return command;
}

// The state after the first `count` recorded commands.
StateMachine execute_recorded(std::size_t count) {
  StateMachine machine;
  for (std::size_t i = 0; i < count; ++i) {
    machine.apply(decode_recorded(kRecordedCommands.at(i)));
  }
  return machine;
}

// The contents that the earlier build had after the recorded commands.
void expect_recorded_contents(const StateMachine& machine) {
  const std::vector<std::pair<std::string, Entry>> expected = {
      {"map/a", {"4", 1, 7, 0}}, {"map/d", {"5", 13, 13, 0}}, {"step", {"7", 11, 11, 3}}};
  EXPECT_EQ(machine.list(""), expected);
  EXPECT_EQ(machine.revision(), 13u);
  EXPECT_EQ(machine.now(), 1500u);
  EXPECT_EQ(machine.lease_count(), 1u);
}

// Guards against a change of the format on disk: a member that could not read its files after an
// upgrade would lose entries that it has acknowledged, and its vote.
TEST_F(WriteAheadLogTest, LogOfEarlierBuildIsReadCompletely) {
  fs::copy(fs::path(TEST_DATA_DIRECTORY) / "log", directory);
  std::vector<LogEntry> expected;
  {
    WriteAheadLog log(directory, settings);
    EXPECT_EQ(log.vote(), (WriteAheadLog::Vote{5, 3}));
    EXPECT_EQ(log.snapshot().index, kRecordedSnapshotIndex);
    EXPECT_EQ(log.snapshot().term, 3u);
    EXPECT_EQ(log.first_index(), 5u) << "two entries before the snapshot were kept";
    ASSERT_EQ(log.next_index(), kRecordedCommands.size() + 1);
    EXPECT_EQ(log.truncated_bytes(), 0u);
    for (std::uint64_t i = log.first_index(); i < log.next_index(); ++i) {
      EXPECT_EQ(log.at(i),
                (LogEntry{i <= kRecordedSnapshotIndex ? 3u : 5u, 1, kRecordedCommands.at(i - 1)}));
    }
    EXPECT_EQ(execute_recorded(kRecordedSnapshotIndex).snapshot(), log.snapshot().data);
    StateMachine restored;
    ASSERT_TRUE(restored.restore(log.snapshot().data));
    for (std::uint64_t i = log.snapshot().index + 1; i < log.next_index(); ++i) {
      restored.apply(decode_recorded(log.at(i).data));
    }
    expect_recorded_contents(restored);
    EXPECT_EQ(restored.snapshot(), execute_recorded(kRecordedCommands.size()).snapshot());
    expected = entries_of(log);
    expected.push_back(entry(6, "- 0 put map/e 6 0 0"));
    log.append({expected.back()});
  }
  WriteAheadLog reopened_log(directory, settings);
  EXPECT_EQ(entries_of(reopened_log), expected);
  EXPECT_EQ(reopened_log.vote(), (WriteAheadLog::Vote{5, 3}));
  EXPECT_EQ(reopened_log.snapshot().index, kRecordedSnapshotIndex);
  EXPECT_EQ(reopened_log.truncated_bytes(), 0u);
}

}  // namespace
}  // namespace gateway::replicated_store
