// Stand-ins for the cases of the second review: the platform (start of programs, discovery), hosts
// and clients, on blocking sockets with one thread a connection. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

inline const Clock::time_point g_start = Clock::now();

inline double seconds_now() {
  return std::chrono::duration<double>(Clock::now() - g_start).count();
}

inline void sleep_ms(int ms) {
  std::this_thread::sleep_for(Ms(ms));
}

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// record.txt: what was sent, answered and run.
class Record {
 public:
  void open(const std::string& path) { out_.open(path, std::ios::app); }
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", seconds_now());
    out_ << stamp << text << '\n' << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

inline Record& record() {
  static Record instance;
  return instance;
}

inline void note(const std::string& text) {
  record().line(text);
}

inline int listen_on(int port, std::string& address) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd, 512) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    ::close(fd);
    return -1;
  }
  address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  return fd;
}

// An address that is free now, for a program that binds it itself.
inline std::string free_address(int type = SOCK_STREAM) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  ::bind(fd, reinterpret_cast<sockaddr*>(&at), size);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  ::close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
}

// One TCP connection. Reads lines and bytes with a time limit.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> to(const std::string& address) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    ::inet_pton(AF_INET, address.substr(0, address.rfind(':')).c_str(), &at.sin_addr);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  int fd() const { return fd_; }
  void close() {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }
  void reset() {
    const linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  bool write(const std::string& text) {
    std::size_t done = 0;
    while (done < text.size()) {
      const ssize_t sent = ::send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(sent);
    }
    return true;
  }
  // Waits for input. False: none until `end`, or the connection is over.
  bool fill(Clock::time_point end) {
    for (;;) {
      const auto left = std::chrono::duration_cast<Ms>(end - Clock::now()).count();
      pollfd item{fd_, POLLIN, 0};
      const int ready = ::poll(&item, 1, static_cast<int>(std::max<std::int64_t>(left, 0)));
      if (ready < 0 && errno == EINTR) {
        continue;
      }
      if (ready <= 0) {
        timed_out = true;
        return false;
      }
      char bytes[16384];
      const ssize_t got = ::recv(fd_, bytes, sizeof bytes, 0);
      if (got <= 0) {
        ended = true;
        was_reset = got < 0;
        return false;
      }
      if (!first_byte_at) {
        first_byte_at = Clock::now();
      }
      input_.append(bytes, static_cast<std::size_t>(got));
      return true;
    }
  }
  bool read_line(std::string& line, Clock::time_point end) {
    for (;;) {
      const std::size_t at = input_.find("\r\n");
      if (at != std::string::npos) {
        line = input_.substr(0, at);
        input_.erase(0, at + 2);
        return true;
      }
      if (!fill(end)) {
        return false;
      }
    }
  }
  bool read_bytes(std::size_t count, std::string& out, Clock::time_point end) {
    while (input_.size() < count) {
      if (!fill(end)) {
        out += input_;
        input_.clear();
        return false;
      }
    }
    out.append(input_, 0, count);
    input_.erase(0, count);
    return true;
  }

  bool timed_out = false;
  bool ended = false;
  bool was_reset = false;
  std::optional<Clock::time_point> first_byte_at;

 private:
  int fd_;
  std::string input_;
};

inline std::string lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

// A request or a response.
struct Message {
  std::string start;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string body;
  bool whole = false;
  int status() const { return start.size() >= 12 ? std::atoi(start.c_str() + 9) : 0; }
  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  std::string path() const {
    const std::size_t first = start.find(' ');
    return start.substr(first + 1, start.rfind(' ') - first - 1);
  }
};

// Reads one message. False: it did not come whole until `end`; `message` has what came.
inline bool read_message(Connection& peer, Message& message, Clock::time_point end,
                         bool is_response) {
  if (!peer.read_line(message.start, end)) {
    return false;
  }
  std::string line;
  for (;;) {
    if (!peer.read_line(line, end)) {
      return false;
    }
    if (line.empty()) {
      break;
    }
    const std::size_t colon = line.find(':');
    const std::size_t value = line.find_first_not_of(" \t", colon + 1);
    message.fields[lower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  if (lower(message.field("transfer-encoding")) == "chunked") {
    for (;;) {
      if (!peer.read_line(line, end)) {
        return false;
      }
      const std::size_t size = std::stoul(line, nullptr, 16);
      if (size > 0 && !peer.read_bytes(size, message.body, end)) {
        return false;
      }
      if (!peer.read_line(line, end)) {
        return false;
      }
      if (size == 0) {
        return message.whole = true;
      }
    }
  }
  if (message.fields.count("content-length") > 0) {
    return message.whole =
               peer.read_bytes(std::stoul(message.field("content-length")), message.body, end);
  }
  if (!is_response) {
    return message.whole = true;
  }
  while (peer.fill(end)) {}
  peer.read_bytes(0, message.body, end);
  return message.whole = peer.ended && !peer.was_reset;
}

// Accepts connections and runs `serve` for each on a thread of its own, until it is destroyed.
class Server {
 public:
  using Serve = std::function<void(Connection&)>;
  explicit Server(Serve serve, int port = 0) : serve_(std::move(serve)) {
    fd_ = listen_on(port, address);
    acceptor_ = std::thread([this] { accept(); });
  }
  ~Server() { stop(); }
  void stop() {
    if (stopping_.exchange(true)) {
      return;
    }
    ::shutdown(fd_, SHUT_RDWR);
    acceptor_.join();
    ::close(fd_);
    {
      const std::lock_guard lock(mutex_);
      for (const int open : open_) {
        ::shutdown(open, SHUT_RDWR);
      }
    }
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  bool stopping() const { return stopping_; }

  std::string address;

 private:
  void accept() {
    while (!stopping_) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) {
          continue;
        }
        return;
      }
      const std::lock_guard lock(mutex_);
      open_.push_back(fd);
      threads_.emplace_back([this, fd] {
        auto connection = std::make_unique<Connection>(fd);
        serve_(*connection);
        const std::lock_guard done(mutex_);
        std::erase(open_, fd);
        connection.reset();
      });
    }
  }

  Serve serve_;
  int fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread acceptor_;
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
};

// A host: reads requests and lets `handle` write the answers, as the protocol page says of hosts.
class Host {
 public:
  using Handle = std::function<void(Connection&, const Message&)>;
  Host(std::string uid_, Handle handle)
      : uid(std::move(uid_)), server([this, handle = std::move(handle)](Connection& peer) {
          for (;;) {
            Message request;
            if (!read_message(peer, request, Clock::now() + Ms(120000), false)) {
              return;
            }
            handle(peer, request);
            if (peer.fd() < 0) {
              return;
            }
          }
        }) {}
  std::string uid;
  Server server;
};

inline std::string ok_response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Target {
  std::string uid;
  std::string endpoint;
  std::string state = "SERVING";
  std::string zone = "sofia-1";
  std::int64_t boot_ms = 0;
  int cell = 0;
};

// Discovery: the whole list, and watches on changes. A change is told once it is written.
class Discovery {
 public:
  Discovery() : server_([this](Connection& peer) { serve(peer); }) {}
  ~Discovery() {
    {
      const std::lock_guard lock(mutex_);
      closing_ = true;
    }
    changed_.notify_all();
    server_.stop();
  }
  std::string address() const { return server_.address; }
  void set(const Target& target) {
    {
      const std::lock_guard lock(mutex_);
      ++revision_;
      entries_[target.uid] = {target, revision_};
    }
    changed_.notify_all();
  }
  std::string whole_list() {
    const std::lock_guard lock(mutex_);
    return list(0, true);
  }

 private:
  struct Entry {
    Target target;
    int revision;
  };
  std::string list(int since, bool all) const {
    std::string out = "{\"rev\":" + std::to_string(revision_) +
                      ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[";
    bool first = true;
    for (const auto& [uid, entry] : entries_) {
      if (entry.revision <= since || (all && entry.target.state == "DELETED")) {
        continue;
      }
      const Target& target = entry.target;
      out += std::string(first ? "" : ",") + "{\"uid\":\"" + uid + "\",\"endpoint\":\"" +
             target.endpoint + "\",\"az\":\"" + target.zone +
             "\",\"model\":\"std-3c\",\"pod_group\":" + std::to_string(target.cell) +
             ",\"state\":\"" + target.state +
             "\",\"capacity_hint\":1.0,\"boot_ms\":" + std::to_string(target.boot_ms) + "}";
      first = false;
    }
    return out + "]}";
  }
  static int parameter(const std::string& path, const std::string& name, int otherwise) {
    const std::size_t at = path.find(name + "=");
    return at == std::string::npos ? otherwise : std::atoi(path.c_str() + at + name.size() + 1);
  }
  void serve(Connection& peer) {
    for (;;) {
      Message request;
      if (!read_message(peer, request, Clock::now() + Ms(120000), false)) {
        return;
      }
      const std::string path = request.path();
      std::string body;
      {
        std::unique_lock lock(mutex_);
        const int since = parameter(path, "since", -1);
        if (since < 0) {
          body = list(0, true);
        } else {
          changed_.wait_for(lock, Ms(std::min(parameter(path, "timeout_ms", 0), 60000)),
                            [&] { return closing_ || revision_ > since; });
          if (closing_) {
            return;
          }
          body = list(since, false);
        }
      }
      if (!peer.write(ok_response(body))) {
        return;
      }
      note("discovery " + path + " -> " + body.substr(0, 160));
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  int revision_ = 40;
  bool closing_ = false;
  Server server_;
};

// The three classes of the signing servers' days, with the figures of the briefs.
inline std::string settings_json(int gateways, int number) {
  return R"({"groupSize":)" + std::to_string(gateways) + R"(,"myNumber":)" +
         std::to_string(number) +
         R"(,"zone":"sofia-1","zones":["sofia-1","plovdiv"],"kinds":["std-3c"],)"
         R"("registryMode":"ask","stepNs":5000000,"weights":"none","countedBy":"work",)"
         R"("domain":{"warmKeys":true},"overShareWorth":0.1,)"
         R"("ceilings":{"cancel":true,"connectTimeoutNs":250000000,"idleCloseNs":15000000000,)"
         R"("maxAttempts":4,"maxRetryAfterNs":2000000000,"parallelTries":true,"probes":true,)"
         R"("retryAfter":true,"streamsPerConn":1},)"
         R"("grades":[)"
         R"({"name":"status","effect":"retryable","group":"all","aimNs":750000000,)"
         R"("giveUpNs":2500000000,"windowNs":5000000000,"points":2.0,"lateShare":0.25},)"
         R"({"name":"consent","effect":"dedup","group":"zone","aimNs":600000000,)"
         R"("giveUpNs":3000000000,"windowNs":15000000000,"points":8.0,"lateShare":0.25},)"
         R"({"name":"seal","effect":"fragile","group":"all","aimNs":600000000,)"
         R"("giveUpNs":2500000000,"windowNs":5000000000,"points":10.0,"lateShare":0.25}],)"
         R"("report":{"fields":["recent_ms","utilization"],"via":"answers"},)"
         R"("rules":{"answerSlackNs":20000000,"askWithinNs":6000000000,"coldNs":23000000000,)"
         R"("coldShare":0.12,"drainGraceNs":500000000,"fallMultiple":3.0,"fallNs":1000000000}})";
}

// A process that runs a command of the deploy file.
class Program {
 public:
  Program() = default;
  ~Program() { kill_now(); }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  // From the root of the repository, by /bin/sh -c as the platform does. To be called by the main
  // thread: the program ends with the thread that started it. `environment`: the only
  // variables beside PATH. `passed`: a socket for descriptor 3, or -1.
  void start(const std::string& command, const std::vector<std::string>& environment,
             const std::string& log, int passed = -1) {
    pid_ = ::fork();
    if (pid_ != 0) {
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this case, however that ends
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    if (passed >= 0) {
      ::dup2(passed, 3);
    }
    std::vector<std::string> texts = environment;
    texts.push_back(std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : ""));
    std::vector<char*> variables;
    for (std::string& text : texts) {
      variables.push_back(text.data());
    }
    variables.push_back(nullptr);
    const char* argv[] = {"/bin/sh", "-c", command.c_str(), nullptr};
    ::execve("/bin/sh", const_cast<char**>(argv), variables.data());
    ::_exit(127);
  }
  pid_t pid() const { return pid_; }
  void signal(int number) const {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  // Whether the process still runs. If not, `exit_status` is as of waitpid.
  bool running() {
    if (pid_ <= 0) {
      return false;
    }
    if (::waitpid(pid_, &exit_status, WNOHANG) == pid_) {
      pid_ = -1;
      return false;
    }
    return true;
  }
  void kill_now() {
    if (pid_ > 0) {
      ::kill(pid_, SIGCONT);
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, &exit_status, 0);
      pid_ = -1;
    }
  }
  int exit_status = 0;

 private:
  pid_t pid_ = -1;
};

// The value of `key` in the deploy file.
inline std::string deploy_command(const std::string& key) {
  std::ifstream file("deploy/balancer.toml");
  std::string line;
  while (std::getline(file, line)) {
    const std::string start = key + " = \"";
    if (line.rfind(start, 0) == 0) {
      return line.substr(start.size(), line.rfind('"') - start.size());
    }
  }
  return "";
}

// A gateway and its folder.
struct Gateway {
  std::string name = "n1";
  std::string listen = free_address();
  std::string admin = free_address();
  std::string folder;  // of this gateway: $TMPDIR, configuration, log
  int memory_mb = 192;
  int sockets = 1024;
  Program program;
  std::vector<std::string> extra;  // further variables
  int passed = -1;

  void write_config(const std::string& discovery, const std::string& known,
                    const std::string& settings) const {
    std::filesystem::create_directories(folder + "/tmp");
    std::ofstream(folder + "/config.json.new")
        << "{\"name\":\"" << name << "\",\"listen\":\"" << listen << "\",\"discovery\":\""
        << discovery
        << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << memory_mb
        << ",\"sockets\":" << sockets << "},\"known\":" << known << ",\"settings\":" << settings
        << "}";
    std::filesystem::rename(folder + "/config.json.new", folder + "/config.json");
    discovery_ = discovery;
  }
  void start(const std::string& temporary = "") {
    std::vector<std::string> variables = {
        "GW_NAME=" + name,
        "GW_LISTEN=" + listen,
        "GW_DISCOVERY=" + discovery_,
        "GW_CONFIG=" + folder + "/config.json",
        "GW_ADMIN_ADDR=" + admin,
        "TMPDIR=" + (temporary.empty() ? folder + "/tmp" : temporary)};
    if (passed >= 0) {
      variables.push_back("GW_PASSED_SOCKET=3");
    }
    variables.insert(variables.end(), extra.begin(), extra.end());
    program.start(deploy_command("run"), variables, folder + "/log", passed);
  }
  // GET of an address of the gateway; 0: no answer within 1 s.
  int status_of(const std::string& address, const std::string& method,
                const std::string& path) const {
    const auto peer = Connection::to(address);
    if (!peer || !peer->write(method + " " + path + " HTTP/1.1\r\nHost: api.internal\r\n\r\n")) {
      return 0;
    }
    Message answer;
    read_message(*peer, answer, Clock::now() + Ms(1000), true);
    return answer.status();
  }
  bool wait_until_up(int limit_ms = 10000) {
    const auto end = Clock::now() + Ms(limit_ms);
    while (Clock::now() < end && program.running()) {
      if (status_of(listen, "GET", "/up") == 200) {
        note(name + " is up at " + listen);
        return true;
      }
      sleep_ms(50);
    }
    note(name + " did not come up");
    return false;
  }

 private:
  mutable std::string discovery_;
};

// A folder that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "review-case-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
      std::exit(kNotRun);
    }
    path = name;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  std::string path;
};

inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

inline std::string request_id() {
  static std::atomic<std::uint64_t> number{0};
  char text[24];
  std::snprintf(text, sizeof text, "%08llx%08llx",
                static_cast<unsigned long long>(unix_ms() & 0xffffffff),
                static_cast<unsigned long long>(++number));
  return text;
}

}  // namespace review
