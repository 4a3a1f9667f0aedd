// The load tool: schedules, trace files, and latency measured from the time when a request is due,
// so that a stalled server cannot hide the stall by delaying the requests behind it.
#include "lab/load/load.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

namespace {

using namespace gateway::lab;
using boost::asio::ip::tcp;
namespace asio = boost::asio;

std::vector<DueRequest> all_requests(Schedule& schedule) {
  std::vector<DueRequest> out;
  for (DueRequest r; schedule.next(r);) {
    out.push_back(r);
  }
  return out;
}

std::string error_of(const std::string& trace) {
  const std::string file = testing::TempDir() + "load_test.tsv";
  std::ofstream(file) << trace;
  try {
    replayed(file);
  } catch (const std::invalid_argument& bad) {
    return std::string(bad.what()).substr(testing::TempDir().size());
  }
  return "";
}

// Serves connections one after the other; `response` gives the text sent for each request by its
// number, and closes the connection by an empty text.
class Server {
 public:
  explicit Server(std::function<std::string(int number)> response)
      : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}) {
    to = acceptor_.local_endpoint();
    thread_ = std::thread([this, response = std::move(response)] {
      for (int number = 0; !stopping_;) {
        boost::system::error_code ec;
        tcp::socket socket(io_);
        acceptor_.accept(socket, ec);
        std::string head;
        while (!ec) {
          const std::size_t n =
              asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", ec);
          if (ec) {
            break;
          }
          head.erase(0, n);
          const std::string text = response(number++);
          if (text.empty()) {
            break;
          }
          asio::write(socket, asio::buffer(text), ec);
        }
      }
    });
  }
  ~Server() {
    stopping_ = true;
    boost::system::error_code ignored;
    tcp::socket(io_).connect(to, ignored);  // wakes the blocking accept
    thread_.join();
  }
  tcp::endpoint to;

 private:
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

const std::string kServed = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST(Schedule, EvenStagesKeepTheirRates) {
  const auto schedule = staged(read_stages("100x1,0x2,1000x0.5"), {{}, "seal", 5, 0}, false, 1);
  const auto due = all_requests(*schedule);
  ASSERT_NEAR(static_cast<double>(due.size()), 600, 1);
  EXPECT_EQ(due[0].at, Duration{});
  EXPECT_NEAR(to_seconds(due[50].at), 0.5, 1e-6);
  EXPECT_GE(due[100].at, std::chrono::seconds(3));  // nothing in the two seconds of rate 0
  EXPECT_LT(due.back().at, schedule->length());
  EXPECT_EQ(due.back().cls, "seal");
}

TEST(Schedule, PoissonTimesHaveTheRateAndRepeatWithTheSeed) {
  const auto a = all_requests(*staged({{1000, 10}}, {}, true, 7));
  const auto b = all_requests(*staged({{1000, 10}}, {}, true, 7));
  ASSERT_EQ(a.size(), b.size());
  for (std::size_t i = 0; i < a.size(); ++i) {
    ASSERT_EQ(a[i].at, b[i].at);
  }
  EXPECT_NEAR(static_cast<double>(a.size()), 10000, 400);  // four standard deviations
}

TEST(Schedule, TraceIsReadBackAsWritten) {
  const std::string file = testing::TempDir() + "load_test_whole.tsv";
  {
    std::ofstream out(file);
    out << "# a comment\n\n";
    write_trace_line(out, {std::chrono::milliseconds(1500), "consent", 120, 0xabc});
    write_trace_line(out, {std::chrono::milliseconds(2500), "seal", 0, 0});
  }
  const auto schedule = replayed(file);
  EXPECT_EQ(schedule->length(), std::chrono::milliseconds(2500));
  const auto due = all_requests(*schedule);
  ASSERT_EQ(due.size(), 2u);
  EXPECT_EQ(due[0].at, std::chrono::milliseconds(1500));
  EXPECT_EQ(due[0].cls, "consent");
  EXPECT_EQ(due[0].work_us, 120);
  EXPECT_EQ(due[0].key, 0xabcu);
}

TEST(Schedule, EachErrorOfATraceNamesItsLine) {
  EXPECT_EQ(error_of("1\tseal\t5\t0\n1.5 seal 5 0\n"),
            "load_test.tsv:2: should be seconds, class, work in us and key, set apart by tabs");
  EXPECT_EQ(error_of("soon\tseal\t5\t0\n"),
            "load_test.tsv:1: 'soon' should be seconds from 0 to 86400");
  EXPECT_EQ(error_of("2\tseal\t5\t0\n1\tseal\t5\t0\n2\tseal\t-1\t0\n"),
            "load_test.tsv:2: is earlier than the line before; order the lines by time\n" +
                testing::TempDir() +
                "load_test.tsv:3: '-1' should be microseconds of work from 0 to 1e9");
  EXPECT_EQ(error_of("# nothing\n"), "load_test.tsv: holds no request");
  EXPECT_THROW(read_stages("1000x"), std::invalid_argument);
  EXPECT_THROW(read_stages("1000x5,,2x1"), std::invalid_argument);
}

TEST(Load, ServerStallRaisesTheLatencyFromDue) {
  Server server([](int number) {
    if (number == 0) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(400));  // stalls all requests due meanwhile
    }
    return kServed;
  });
  LoadOptions options;
  options.to = {server.to};
  options.connections = 1;
  const auto schedule = staged({{200, 0.1}}, {{}, "status", 0, 0}, false, 1);
  const LoadResult r = send_load(*schedule, options);
  EXPECT_EQ(r.counts.served, r.counts.due);
  EXPECT_EQ(r.counts.due, 20u);
  EXPECT_EQ(r.counts.connected, 1u);
  EXPECT_GE(r.counts.waited, 18u);
  EXPECT_GE(percentile(r.from_due, 0.1), 250);   // 19 of the 20 were due 5 to 95 ms into the stall
  EXPECT_LT(percentile(r.from_sent, 0.5), 100);  // latency from sending hides the stall
}

TEST(Load, CountsEachRequestOnceByResultWhenTheServerClosesConnections) {
  const std::vector<std::string> responses{
      kServed,
      "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
      "" /* closes without a response */,
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 2x0 spoilt\r\n\r\n"};
  Server server(
      [&](int number) { return responses[static_cast<std::size_t>(number) % responses.size()]; });
  LoadOptions options;
  options.to = {server.to};
  options.connections = 1;
  const LoadResult r = send_load(*staged({{1000, 0.06}}, {{}, "status", 0, 0}, false, 1), options);
  const LoadCounts& c = r.counts;
  EXPECT_EQ(c.due, 60u);
  EXPECT_EQ(c.served, 20u);
  EXPECT_EQ(c.refused, 10u);
  EXPECT_EQ(c.failed, 10u);
  EXPECT_EQ(c.broken, 20u);
  EXPECT_EQ(c.unanswered, 0u);
}

TEST(Load, ReportsThatItsScheduleWasNotKept) {
  struct OverdueSchedule : Schedule {
    int remaining = 100;
    bool next(DueRequest& into) override {
      into = {-std::chrono::milliseconds(50), "status", 0, 0};
      return remaining-- > 0;
    }
    Duration length() const override { return {}; }
  } overdue;
  Server server([](int) { return kServed; });
  LoadOptions options;
  options.to = {server.to};
  options.connections = 1;
  const LoadResult r = send_load(overdue, options);
  EXPECT_EQ(r.counts.late, 100u);
  EXPECT_FALSE(r.kept_schedule());
  EXPECT_GE(r.worst_late, std::chrono::milliseconds(50));
}

}  // namespace
