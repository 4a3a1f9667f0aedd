// The gateway on real loopback sockets: forwarding, outcomes of attempts, retries, clients and
// their limits, discovery, graceful stop, maintenance and drain, shared listening sockets, reload.
#include <unistd.h>

#include "http/connection_reuse.hpp"
#include "support/gateway_fixture.hpp"

namespace gateway::testing {
namespace {

class GatewayTest : public GatewayFixture {};

const char* const kNotRun = "X-Not-Run: 1\r\n";

// --- Forwarding ---

TEST_F(GatewayTest, ForwardsRequestAndResponseUnchanged) {
  add_host("a", always_reply(response_text(200, "X-Load: TEXT queue=2\r\nContent-Type: a/b\r\n",
                                           "plan \x01")));
  start();
  auto c = client();
  c->send(
      "POST /put/7?q=1&r=%20 HTTP/1.1\r\nHost: x\r\nX-Class: put\r\nX-Request-Id: id-9\r\n"
      "X-Deadline-Ms: 900\r\nIdempotency-Key: key-9\r\nConnection: keep-alive, X-Hop\r\nX-Hop: "
      "1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses[0].result_int(), 200u);
  EXPECT_EQ(c->responses[0].body(), "plan \x01");
  EXPECT_EQ(c->responses[0]["Content-Type"], "a/b");
  EXPECT_EQ(c->responses[0].count("X-Load"), 0u);
  const Request& sent = hosts[0]->requests.at(0);
  EXPECT_EQ(sent.method(), beast_http::verb::post);
  EXPECT_EQ(sent.target(), "/put/7?q=1&r=%20");
  EXPECT_EQ(sent.body(), "abcde");
  EXPECT_EQ(sent["X-Request-Id"], "id-9");
  EXPECT_EQ(sent["Idempotency-Key"], "key-9");
  EXPECT_EQ(sent.count("X-Hop"), 0u) << "hop-by-hop fields are not forwarded";
}

TEST_F(GatewayTest, ForwardsDeadlineShorterThanClientDeadline) {
  add_host("a", always_reply(response_text(200, "", "")));
  start();
  EXPECT_EQ(send_request(request_text("read", "X-Deadline-Ms: 15000\r\n")).result_int(), 200u);
  const long forwarded_ms = std::stol(hosts[0]->requests.at(0)["X-Deadline-Ms"].to_string());
  EXPECT_LE(forwarded_ms, 15000 - kResponseMargin.count());
  EXPECT_GT(forwarded_ms, 0);
}

TEST_F(GatewayTest, ReusesConnectionAfterItsQuietPeriod) {
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  auto c = client();
  for (std::size_t i = 0; i < 5; ++i) {
    const auto quiet_at = std::chrono::steady_clock::now() + http::kQuietPeriod;
    c->send(request_text("write"));
    ASSERT_TRUE(until([&] {
      return c->responses.size() == i + 1 && std::chrono::steady_clock::now() > quiet_at;
    }));
  }
  EXPECT_EQ(hosts[0]->connections.size(), 1u);
}

// Guards against a response that a host writes twice being taken for the next request's.
TEST_F(GatewayTest, ClosesConnectionThatReceivesASecondResponse) {
  std::shared_ptr<PeerConnection> first;
  add_host("a", first_attempt([&](PeerConnection& c) {
             first = c.shared_from_this();
             c.reply(response_text(200, "", "first"));
           }));
  start();
  EXPECT_EQ(send_request(request_text("read")).body(), "first");
  auto c = client();
  c->send(request_text("write"));  // waits for the connection's silence
  first->reply(response_text(200, "", "first"));
  ASSERT_TRUE(until([&] { return c->responses.size() == 1; }));
  EXPECT_EQ(c->responses[0].body(), "late");
  EXPECT_TRUE(first->closed_by_peer);
  EXPECT_EQ(hosts[0]->connections.size(), 2u);
  EXPECT_EQ(event_log.count(event_log::EventKind::unexpected_bytes, "after_response"), 1u);
}

TEST_F(GatewayTest, DoesNotUseIdleConnectionClosedByHost) {
  // A non-idempotent request that is written to such a connection ends with a reset. It may have
  // been executed then, so it could not be retried and would fail needlessly.
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  EXPECT_EQ(send_request(request_text("write")).result_int(), 200u);
  hosts[0]->connections[0]->close();
  EXPECT_EQ(send_request(request_text("write")).result_int(), 200u);
  EXPECT_EQ(hosts[0]->connections.size(), 2u);
}

// A host that closed an idle connection while a request is being sent on it would make a
// non-idempotent request fail, so the gateway closes it first, after idleCloseNs.
TEST_F(GatewayTest, ClosesIdleConnectionBeforeHostIdleTimeout) {
  config["settings"]["ceilings"]["idleCloseNs"] = 100'000'000;
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  EXPECT_TRUE(until([&] { return hosts[0]->connections[0]->closed_by_peer; }));
}

TEST_F(GatewayTest, RespondsToPipelinedRequestsInOrder) {
  add_host("a", [](PeerConnection& c, std::size_t n) {
    c.reply(response_text(200, "", std::to_string(n)));
  });
  start();
  auto c = client();
  c->send(request_text("read") + request_text("read") + request_text("read"));
  ASSERT_TRUE(until([&] { return c->responses.size() == 3; }));
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(c->responses[i].body(), std::to_string(i));
  }
}

// --- Attempt outcomes ---

// What the host does at the first attempt, and whether the request may have been executed then.
struct FaultCase {
  const char* name;
  std::function<void(PeerConnection&)> fault;
  bool may_have_run;
};
std::ostream& operator<<(std::ostream& out, const FaultCase& fault_case) {
  return out << fault_case.name;
}

// Repeats the text up to three times the size limit of a head.
std::string repeat_beyond_header_limit(const std::string& text) {
  std::string all;
  while (all.size() < std::size_t{3} * http::kHeaderLimit) {
    all += text;
  }
  return all;
}

class AttemptOutcomeTest : public GatewayTest, public ::testing::WithParamInterface<FaultCase> {};

TEST_P(AttemptOutcomeTest, RetriesNonIdempotentRequestOnlyIfNotExecuted) {
  start_with_two_hosts(first_attempt(GetParam().fault));
  const Response response = send_request(request_text("write", "", "body"));
  EXPECT_EQ(response.result_int(), GetParam().may_have_run ? 502u : 200u);
  EXPECT_EQ(attempted_hosts.size(), GetParam().may_have_run ? 1u : 2u);
}

TEST_P(AttemptOutcomeTest, RetriesIdempotentRequestOnOtherHost) {
  start_with_two_hosts(first_attempt(GetParam().fault));
  const Response response = send_request(request_text("read"));
  EXPECT_EQ(response.result_int(), 200u);
  EXPECT_EQ(response.body(), "late") << "no part of the invalid response is forwarded";
  EXPECT_EQ(std::set<std::string>(attempted_hosts.begin(), attempted_hosts.end()).size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Protocol, AttemptOutcomeTest,
    ::testing::Values(
        FaultCase{"status500", [](PeerConnection& c) { c.reply(response_text(500, "", "no")); },
                  true},
        FaultCase{"status503NotRun",
                  [](PeerConnection& c) { c.reply(response_text(503, kNotRun, "")); }, false},
        FaultCase{"status504NotRun",
                  [](PeerConnection& c) { c.reply(response_text(504, kNotRun, "")); }, false},
        FaultCase{"status503", [](PeerConnection& c) { c.reply(response_text(503, "", "")); },
                  true},
        FaultCase{"status504NotRunZero",
                  [](PeerConnection& c) { c.reply(response_text(504, "X-Not-Run: 0\r\n", "")); },
                  true},
        FaultCase{"status500NotRun",
                  [](PeerConnection& c) { c.reply(response_text(500, kNotRun, "")); }, true},
        FaultCase{"status302",
                  [](PeerConnection& c) { c.reply(response_text(302, "Location: /\r\n", "")); },
                  true},
        FaultCase{"resetWithoutResponse", [](PeerConnection& c) { c.reset(); }, true},
        FaultCase{"closedWithoutResponse", [](PeerConnection& c) { c.close(); }, true},
        FaultCase{"invalidStatusLine", [](PeerConnection& c) { c.reply("what?\r\n\r\n"); }, true},
        FaultCase{"truncatedHead",
                  [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nConte", true); }, true},
        FaultCase{"truncatedBody",
                  [](PeerConnection& c) {
                    c.reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true);
                  },
                  true},
        FaultCase{"truncatedChunkedBody",
                  [](PeerConnection& c) {
                    c.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                            true);
                  },
                  true},
        // A body without a length ends with an orderly end of its connection. A reset is none, so
        // the body may be incomplete.
        FaultCase{"noLengthThenReset",
                  [](PeerConnection& c) {
                    c.reply("HTTP/1.1 200 OK\r\n\r\nlooks whole");
                    c.reset();
                  },
                  true},
        FaultCase{"closingNoLengthThenReset",
                  [](PeerConnection& c) {
                    c.reply("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nlooks whole");
                    c.reset();
                  },
                  true},
        FaultCase{"oversizedBody",
                  [](PeerConnection& c) {
                    c.reply(response_text(200, "", std::string(http::kBodyLimit + 1, 'x')));
                  },
                  true},
        // The host keeps the connection open after these. The gateway must end the attempt without
        // waiting for more input.
        FaultCase{"announcedThreeGigabytes",
                  [](PeerConnection& c) {
                    c.reply("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc");
                  },
                  true},
        FaultCase{"oversizedHead",
                  [](PeerConnection& c) {
                    c.reply("HTTP/1.1 200 OK\r\n" + repeat_beyond_header_limit("X: y\r\n"));
                  },
                  true},
        FaultCase{"oversizedField",
                  [](PeerConnection& c) {
                    c.reply("HTTP/1.1 200 OK\r\nX: " + repeat_beyond_header_limit("yyyy"));
                  },
                  true},
        FaultCase{"oversizedChunkHead",
                  [](PeerConnection& c) {
                    c.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" +
                            repeat_beyond_header_limit("yyyyy") +
                            repeat_beyond_header_limit("yyyyy"));
                  },
                  true},
        FaultCase{
            "invalidChunkSize",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n");
            },
            true},
        FaultCase{
            "repeatedContentLength",
            [](PeerConnection& c) { c.reply(response_text(200, "Content-Length: 3\r\n", "abc")); },
            true},
        FaultCase{"contentLengthAndChunked",
                  [](PeerConnection& c) {
                    c.reply(response_text(200, "Transfer-Encoding: chunked\r\n",
                                          "3\r\nabc\r\n0\r\n\r\n"));
                  },
                  true},
        FaultCase{
            "negativeContentLength",
            [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc"); },
            true},
        FaultCase{"switchedProtocol",
                  [](PeerConnection& c) { c.reply("HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n"); }, true},
        FaultCase{"tooManyInterimResponses",
                  [](PeerConnection& c) {
                    c.reply(repeat_beyond_header_limit("HTTP/1.1 103 X\r\n\r\n"));
                  },
                  true}),
    [](const auto& info) { return info.param.name; });

TEST_F(GatewayTest, SkipsInterimResponses) {
  add_host("a", always_reply("HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 X\r\n\r\n" +
                             response_text(200, "", "final")));
  start();
  EXPECT_EQ(send_request(request_text("write")).body(), "final");
  EXPECT_EQ(send_request(request_text("write")).body(), "final");
  EXPECT_EQ(hosts[0]->connections.size(), 1u) << "the connection stays in use";
}

// Bytes that a host sends after a response must not become the response to the next request. Its
// connection is not used again.
TEST_F(GatewayTest, DiscardsBytesAfterCompleteResponse) {
  add_host("a", [](PeerConnection& c, std::size_t n) {
    const std::string response = response_text(200, "", std::to_string(n));
    c.reply(n % 2 == 0 ? response + response : response + "\x01noise");
  });
  start();
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(send_request(request_text("write")).body(), std::to_string(i));
  }
  EXPECT_EQ(hosts[0]->connections.size(), 4u);
}

TEST_F(GatewayTest, IgnoresResponseArrivingAsClientDisconnects) {
  // The disconnect and the response are ready in the same iteration of the event loop: the attempt
  // is cancelled when its response has already been read from the socket.
  std::vector<std::shared_ptr<PeerConnection>> pending;
  add_host("a", [&](PeerConnection& c, std::size_t) { pending.push_back(c.shared_from_this()); });
  start();
  for (std::size_t i = 0; i < 20; ++i) {
    auto c = client();
    c->send(request_text("write", "", "x"));
    ASSERT_TRUE(until([&] { return pending.size() == i + 1; }));
    if (i % 2) {
      c->close();
    }
    pending.back()->reply(response_text(200, "", "late"));
    if (i % 2 == 0) {
      c->close();
    }
  }
  hosts[0]->script = [](PeerConnection& p) {
    p.reply(response_text(200, "", "on"));
  };
  EXPECT_EQ(send_request(request_text("read")).body(), "on");
}

TEST_F(GatewayTest, RetriesWhenHostRefusesConnections) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  hosts[0]->stop_listening();
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(send_request(request_text("write")).result_int(), 200u);
  }
}

TEST_F(GatewayTest, RejectsRequestWhenAllHostsRejectIt) {
  start_with_two_hosts(always_reply(response_text(503, kNotRun, "")));
  EXPECT_EQ(send_request(request_text("write")).result_int(), 503u)
      << "never executed, so the request is rejected and does not fail";
}

TEST_F(GatewayTest, FailsTimedOutNonIdempotentRequestAndClosesConnection) {
  shorten_class_times(1);
  start_with_two_hosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(send_request(request_text("write")).result_int(), 502u);
  EXPECT_EQ(attempted_hosts.size(), 1u);
  // A late response on it would be taken for the response to the next request.
  EXPECT_TRUE(until([&] {
    return std::any_of(hosts.begin(), hosts.end(), [](const auto& h) {
      return !h->connections.empty() && h->connections[0]->closed_by_peer;
    });
  }));
}

TEST_F(GatewayTest, RejectsTimedOutIdempotentRequest) {
  shorten_class_times(0);
  start_with_two_hosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(send_request(request_text("read")).result_int(), 503u);
}

TEST_F(GatewayTest, RejectsAtClientDeadlineWithoutFurtherAttempts) {
  start_with_two_hosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(send_request(request_text("read", "X-Deadline-Ms: 1000\r\n")).result_int(), 503u)
      << "at the client's deadline, long before the latency objective";
  EXPECT_EQ(attempted_hosts.size(), 1u) << "the first attempt used all the time remaining";
  EXPECT_LT(
      std::stol(
          hosts[attempted_hosts[0] == "s-0" ? 0 : 1]->requests.at(0)["X-Deadline-Ms"].to_string()),
      1000);
}

TEST_F(GatewayTest, SendsNothingWithoutTimeRemaining) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  EXPECT_EQ(send_request(request_text("write", "X-Deadline-Ms: 1\r\n")).result_int(), 503u);
  EXPECT_TRUE(attempted_hosts.empty());
}

TEST_F(GatewayTest, IgnoresBufferedResponseAfterClientDisconnects) {
  // Without cancellation the attempt continues, and its response has no client any more. It must
  // not become the response to a later request.
  config["settings"]["ceilings"]["cancel"] = false;
  std::shared_ptr<PeerConnection> pending;
  add_host("a", [&](PeerConnection& c, std::size_t n) {
    if (n == 0) {
      pending = c.shared_from_this();
    } else {
      c.reply(response_text(200, "", "mine"));
    }
  });
  start();
  auto c = client();
  c->send(request_text("read"));
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  c->close();
  pending->reply(response_text(200, "", "late"));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(send_request(request_text("read")).body(), "mine");
  }
}

// --- Host choice ---

TEST_F(GatewayTest, PrefersHostWithFewerRequestsInFlight) {
  const auto never_replies = [](PeerConnection&, std::size_t) {
  };
  for (int i = 0; i < 6; ++i) {
    add_host("a", never_replies);
  }
  start();
  // Host and client of each request.
  std::vector<std::pair<std::string, std::shared_ptr<Client>>> open_requests;
  const auto send_one = [&] {
    auto c = client();
    c->send(request_text("write"));
    const std::size_t before = attempted_hosts.size();
    ASSERT_TRUE(until([&] { return attempted_hosts.size() > before; }));
    open_requests.emplace_back(attempted_hosts.back(), c);
  };
  for (int i = 0; i < 12; ++i) {
    send_one();
  }
  for (const char* const idle_host : {"s-1", "s-4", "s-2"}) {
    std::size_t closed = 0;
    for (auto& [host, c] : open_requests) {
      if (host == idle_host) {
        c->close(), ++closed;
      }
    }
    std::erase_if(open_requests, [&](const auto& request) { return request.first == idle_host; });
    ASSERT_GE(closed, 2u) << "twelve requests are spread evenly over six hosts";
    Peer& host = *hosts[static_cast<std::size_t>(idle_host[2] - '0')];
    ASSERT_TRUE(until([&] {
      return std::all_of(host.connections.begin(), host.connections.end(),
                         [](const auto& c) { return c->closed_by_peer; });
    }));
    for (int i = 0; i < 2; ++i) {
      send_one();
      EXPECT_EQ(attempted_hosts.back(), idle_host)
          << "each other host has about two requests in flight";
    }
  }
}

// --- Deduplicated requests ---

// Requests of the class "put" are deduplicated within a zone: a retry in another zone could execute
// the request twice.
TEST_F(GatewayTest, RetriesExecutedKeyedRequestInSameZone) {
  const Script script = first_attempt([](PeerConnection& c) { c.reset(); });
  for (const char* zone : {"a", "a", "b", "b"}) {
    add_host(zone, script);
  }
  start();
  EXPECT_EQ(send_request(request_text("put")).result_int(), 200u);
  ASSERT_EQ(attempted_hosts.size(), 2u);
  const auto zone_of = [](const std::string& uid) {
    return uid < "s-2" ? 'a' : 'b';
  };
  EXPECT_EQ(zone_of(attempted_hosts[0]), zone_of(attempted_hosts[1]));
  EXPECT_NE(attempted_hosts[0], attempted_hosts[1]);
}

TEST_F(GatewayTest, DoesNotRetryKeyedRequestAfterDeduplicationWindow) {
  config["settings"]["grades"][2]["windowNs"] = 1;
  start_with_two_hosts(first_attempt([](PeerConnection& c) { c.reset(); }));
  EXPECT_EQ(send_request(request_text("put")).result_int(), 502u);
  EXPECT_EQ(attempted_hosts.size(), 1u);
}

TEST_F(GatewayTest, RejectsDeduplicatedRequestWithoutKey) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  EXPECT_EQ(send_request("POST /put HTTP/1.1\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n")
                .result_int(),
            400u);
  EXPECT_TRUE(attempted_hosts.empty());
}

// --- Clients ---

TEST_F(GatewayTest, CancelsAttemptWhenClientDisconnects) {
  add_host("a", [](PeerConnection&, std::size_t) {});
  start();
  auto c = client();
  c->send(request_text("read"));
  ASSERT_TRUE(until([&] { return attempted_hosts.size() == 1; }));
  c->close();
  EXPECT_TRUE(until([&] { return hosts[0]->connections[0]->closed_by_peer; }));
  hosts[0]->script = [](PeerConnection& p) {
    p.reply(response_text(200, "", "on"));
  };
  EXPECT_EQ(send_request(request_text("read")).body(), "on");
}

TEST_F(GatewayTest, RejectionAfterFailedAttemptsHasRetryAfter) {
  config["settings"]["ceilings"]["retryAfter"] = true;
  start_with_two_hosts(always_reply(response_text(503, kNotRun, "")));
  const Response response = send_request(request_text("write"));
  EXPECT_EQ(response.result_int(), 503u);
  EXPECT_EQ(response.count("Retry-After"), 1u);
  EXPECT_FALSE(attempted_hosts.empty());
}

TEST_F(GatewayTest, ClientRetriesDoNotMakeFirstRequestsLookLate) {
  // The client of this class waits 20 s: 14 s for its first request, then for retries in the
  // remaining time. A client retry past the latency objective is rejected unsent. Retries must not
  // lower the time remaining that is usual for first requests: those would then be rejected as
  // well.
  config["settings"]["grades"][0]["aimNs"] = 5'000'000'000;
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  const std::string first_request = "X-Deadline-Ms: 14000\r\n";
  EXPECT_EQ(send_request(request_text("read", first_request)).result_int(), 200u);
  for (int i = 0; i < 60; ++i) {
    const std::string retry = "X-Deadline-Ms: " + std::to_string(800 + 400 * (i * 7 % 28)) + "\r\n";
    EXPECT_EQ(send_request(request_text("read", i % 4 == 3 ? first_request : retry)).result_int(),
              i % 4 == 3 ? 200u : 503u)
        << i;
  }
}

TEST_F(GatewayTest, ServesFirstRequestAfterStartWithClientRetry) {
  config["settings"]["grades"][0]["aimNs"] = 5'000'000'000;
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  send_request(request_text("read", "X-Deadline-Ms: 2000\r\n"));
  EXPECT_EQ(send_request(request_text("read", "X-Deadline-Ms: 14000\r\n")).result_int(), 200u);
}

TEST_F(GatewayTest, OverloadRejectionsHaveRetryAfter) {
  config["settings"]["ceilings"]["retryAfter"] = true;
  add_host("a", [](PeerConnection&, std::size_t) {});
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(client());
    clients.back()->send(request_text("read"));
  }
  ASSERT_TRUE(until([&] {
    return std::any_of(clients.begin(), clients.end(), [](const auto& c) {
      return !c->responses.empty() && c->responses[0].result_int() == 503 &&
             c->responses[0].count("Retry-After");
    });
  }));
}

TEST_F(GatewayTest, RejectsMalformedInputAndContinuesToServe) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  EXPECT_EQ(send_request("nonsense\r\n\r\n").result_int(), 400u);
  EXPECT_EQ(send_request("GET /read HTTP/1.1\r\nX-Class: read\r\n\r\n").result_int(), 400u)
      << "without X-Request-Id";
  EXPECT_EQ(send_request(request_text("read", "X-Deadline-Ms: soon\r\n")).result_int(), 400u);
  EXPECT_EQ(send_request("GET /other HTTP/1.1\r\nX-Request-Id: r\r\n\r\n").result_int(), 404u);
  EXPECT_EQ(send_request("GET /alive HTTP/1.1\r\n\r\n").result_int(), 404u);
  EXPECT_EQ(send_request("GET /write HTTP/1.1\r\nX-Request-Id: r\r\n\r\n").result_int(), 405u);
  EXPECT_EQ(
      send_request(request_text("write", "", std::string(http::kBodyLimit + 1, 'x'))).result_int(),
      413u);
  EXPECT_EQ(
      send_request(request_text("read", "X-Long: " + std::string(http::kHeaderLimit, 'x') + "\r\n"))
          .result_int(),
      413u);
  EXPECT_TRUE(attempted_hosts.empty());
  EXPECT_EQ(
      send_request(request_text("write", "", std::string(http::kBodyLimit, 'x'))).result_int(),
      200u);
}

TEST_F(GatewayTest, RejectsUnboundedChunkHeadWithoutSideEffects) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  EXPECT_EQ(send_request(
                "POST /write HTTP/1.1\r\nX-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
                std::string(std::size_t{8} * http::kHeaderLimit, 'x'))
                .result_int(),
            413u);
  EXPECT_EQ(send_request(request_text("write")).result_int(), 200u);
}

TEST_F(GatewayTest, ClosesConnectionThatSendsTooSlowly) {
  waits.clients.request_timeout = std::chrono::milliseconds(20);
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  auto c = client();
  c->send("GET /read HT");
  EXPECT_TRUE(until([&] { return c->closed_by_peer; }));
  EXPECT_TRUE(c->responses.empty());
}

TEST_F(GatewayTest, ClosesSilentConnectionBeforeIdleOne) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  gateway.reset();
  waits.clients.request_timeout = std::chrono::milliseconds(1000);
  start();
  auto idle = client();
  idle->send(request_text("read"));
  ASSERT_TRUE(until([&] { return idle->responses.size() == 1; }));
  auto silent = client();
  EXPECT_TRUE(until([&] { return silent->closed_by_peer; }));
  EXPECT_FALSE(idle->closed_by_peer);
}

// If a proxy and the gateway disagree on where a request ends, a client can hide a second request
// in the first one. All ambiguous framings are rejected, and the connection is closed.
TEST_F(GatewayTest, RejectsAmbiguousFraming) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  const std::string post = "POST /write HTTP/1.1\r\nX-Request-Id: r\r\n";
  const std::string smuggled = "GET /read HTTP/1.1\r\nX-Request-Id: hidden\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  for (const std::string& bad :
       {post + "Content-Length: 4\r\n" + chunked + "\r\n0\r\n\r\n" + smuggled,
        post + chunked + "Content-Length: 4\r\n\r\n0\r\n\r\n" + smuggled,
        post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab" + smuggled,
        post + "Content-Length: 2, 2\r\n\r\nab" + smuggled,
        post + "Content-Length: +2\r\n\r\nab" + smuggled,
        post + "Content-Length: -2\r\n\r\nab" + smuggled,
        post + "Content-Length: 0x2\r\n\r\nab" + smuggled,
        post + "Content-Length: \r\n\r\n" + smuggled,
        post + "Content-Length : 2\r\n\r\nab" + smuggled,
        post + "Content-Length: 99999999999999999999\r\n\r\nab",
        post + chunked + chunked + "\r\n0\r\n\r\n" + smuggled,
        post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled,
        post + "Transfer-Encoding: identity\r\n\r\n" + smuggled,
        post + "X: a\r\n b\r\n\r\n" + smuggled,
        post + "X: a\nY: b\r\n\r\n" + smuggled,
        post + std::string("X: a\0b\r\n\r\n", 10) + smuggled,
        post + "X: a\rb\r\n\r\n" + smuggled,
        post + "no colon\r\n\r\n" + smuggled,
        post + chunked + "\r\nzz\r\nab\r\n0\r\n\r\n" + smuggled,
        std::string("GET  /read HTTP/1.1\r\nX-Request-Id: r\r\n\r\n"),
        std::string("GET /read HTTP/2.0\r\nX-Request-Id: r\r\n\r\n"),
        post + "X-Request-Id: s\r\nContent-Length: 0\r\n\r\n" + smuggled,
        std::string("POST /write HTTP/1.0\r\nX-Request-Id: r\r\n") + chunked + "\r\n0\r\n\r\n" +
            smuggled}) {
    auto c = client();
    c->send(bad);
    ASSERT_TRUE(until([&] { return c->closed_by_peer; })) << bad;
    ASSERT_EQ(c->responses.size(), 1u) << bad;
    EXPECT_EQ(c->responses[0].result_int(), 400u) << bad;
  }
  EXPECT_TRUE(attempted_hosts.empty());
}

TEST_F(GatewayTest, DoesNotReadRestOfRejectedBody) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  auto c = client();
  const std::size_t before = gateway->connections();
  c->send("POST /write HTTP/1.1\r\nX-Request-Id: r\r\nContent-Length: 60000000\r\n\r\n" +
          std::string(60'000'000, 'x'));
  EXPECT_TRUE(until([&] { return gateway->connections() < before + 1 && c->closed_by_peer; }));
  EXPECT_TRUE(c->responses.empty() || c->responses[0].result_int() == 413u);
}

TEST_F(GatewayTest, SilentConnectionsDisplaceNeitherIdleNorNewOnes) {
  waits.clients.connections = 8;
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  auto idle = client();
  idle->send(request_text("read"));
  ASSERT_TRUE(until([&] { return idle->responses.size() == 1; }));
  std::vector<std::shared_ptr<Client>> silent;
  for (int i = 0; i < 40; ++i) {
    silent.push_back(client());
  }
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u)
      << "accepted after 40 silent connections";
  EXPECT_FALSE(idle->closed_by_peer);
  idle->send(request_text("read"));
  EXPECT_TRUE(until([&] { return idle->responses.size() == 2; }));
}

// Connections that have sent a request are limited below the limit of all connections, so that
// clients that keep idle connections do not block new ones.
TEST_F(GatewayTest, FreesCapacityFromIdleClientsInAdvance) {
  config["limits"]["sockets"] = 96;  // at most 38 client connections, 24 of them reused
  waits.clients.idle_timeout = std::chrono::minutes(10);
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  std::vector<std::shared_ptr<Client>> idle_clients;
  const auto active = client();
  for (std::size_t i = 0; i < 30; ++i) {
    idle_clients.push_back(client());
    for (const auto& c : {idle_clients.back(), active}) {
      const std::size_t before = c->responses.size();
      c->send(request_text("read"));
      ASSERT_TRUE(until([&] { return c->responses.size() > before; }));
    }
  }
  EXPECT_TRUE(until([&] {
    return std::count_if(idle_clients.begin(), idle_clients.end(),
                         [](const auto& c) { return c->closed_by_peer; }) == 31 - 24;
  }));
  EXPECT_TRUE(idle_clients.front()->closed_by_peer);
  EXPECT_FALSE(idle_clients.back()->closed_by_peer);
  EXPECT_FALSE(active->closed_by_peer)
      << "it sends requests all the time, so it is never idle longest";
}

TEST_F(GatewayTest, ClosesIdleClientsForNewConnections) {
  waits.clients.connections = 4;
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  std::vector<std::shared_ptr<Client>> idle;
  for (int i = 0; i < 4; ++i) {
    idle.push_back(client());
  }
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  }
}

TEST_F(GatewayTest, LimitsUpstreamConnections) {
  config["limits"]["sockets"] = 64;  // leaves 12 connections to hosts
  shorten_class_times(1);
  add_host("a", [](PeerConnection&, std::size_t) {});
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 19; ++i) {
    clients.push_back(client());
    clients.back()->send(request_text("write"));
  }
  ASSERT_TRUE(until([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& c) { return c->responses.size() == 1; });
  }));
  EXPECT_LE(hosts[0]->connections.size(), 12u);
}

TEST_F(GatewayTest, IsReadyOnceHostsAreKnown) {
  config["known"] = {{"rev", 0}, {"all", true}, {"targets", json::array()}};
  discovery.failing = true;
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  EXPECT_EQ(send_request("GET /up HTTP/1.1\r\n\r\n").result_int(), 503u);
  gateway.reset();
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
  start();
  EXPECT_EQ(send_request("GET /up HTTP/1.1\r\n\r\n").result_int(), 200u);
}

// --- Discovery ---

TEST_F(GatewayTest, SendsNoNewRequestsToDrainingHost) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  for (int i = 0; i < 20; ++i) {
    send_request(request_text("read"));
  }
  discovery.push(
      {{"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}});
  // The next watch shows that the last response has been applied.
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  EXPECT_NE(discovery.request_targets.back().find("since=2"), std::string::npos)
      << discovery.request_targets.back();
  const std::size_t before = hosts[0]->requests.size();
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  }
  EXPECT_EQ(hosts[0]->requests.size(), before);
}

TEST_F(GatewayTest, RemovesHostsMissingFromSnapshot) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  discovery.push({{"all", true}, {"targets", {target("s-1", hosts[1]->endpoint)}}});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  }
  EXPECT_TRUE(hosts[0]->requests.empty());
}

TEST_F(GatewayTest, PollsChangesSinceVersionOfKnownList) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  EXPECT_TRUE(until([&] { return !discovery.request_targets.empty(); }));
  EXPECT_NE(discovery.request_targets[0].find("since=1&"), std::string::npos)
      << "changes since the known version are requested at once";
}

TEST_F(GatewayTest, PollsSnapshotWithoutKnownList) {
  add_host("a", always_reply(response_text(200, "", "ok")));
  config["known"] = nullptr;
  config["discovery"] = text_of(discovery.peer.endpoint);
  config.erase("known");
  gateway = std::make_unique<Gateway>(
      io, config::parse_config(config, [&](const char*) { return nullptr; }), waits, event_log);
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  EXPECT_EQ(discovery.request_targets[0], "/discovery/hosts");
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
}

TEST_F(GatewayTest, RestartsFailedWatch) {
  discovery.failing = true;
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  ASSERT_TRUE(until([&] { return !discovery.request_targets.empty(); }));
  discovery.failing = false;
  EXPECT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  discovery.pending_watches[0]->reply(response_text(200, "", "garbage"));
  discovery.pending_watches.clear();
  EXPECT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
}

TEST_F(GatewayTest, SendsSecondPollWhenFirstIsOverdue) {
  waits.discovery.long_poll_margin = waits.discovery.call_timeout = std::chrono::milliseconds(20);
  discovery.peer.script = [&](PeerConnection& c) {
    discovery.request_targets.push_back(c.request.target().to_string());
  };
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  EXPECT_TRUE(until([&] { return discovery.request_targets.size() == 2; }));
}

// A watch without a response is overdue after its timeout. A new one then begins soon, so that no
// change is missed for long, and the late response to the old one still applies.
TEST_F(GatewayTest, ReopensOverdueWatchAndStillReadsOldOne) {
  waits.discovery.long_poll_wait = waits.discovery.long_poll_margin = std::chrono::milliseconds(60);
  std::vector<std::shared_ptr<PeerConnection>> calls;
  const auto list = [](int version, const json& changed) {
    return response_text(200, "",
                         json{{"rev", version}, {"all", false}, {"targets", changed}}.dump());
  };
  discovery.peer.script = [&](PeerConnection& c) {
    calls.push_back(c.shared_from_this());
    discovery.request_targets.push_back(c.request.target().to_string());
    if (calls.size() % 2 == 1) {
      c.reply(list(1, json::array()));  // the first call of a watch
    }
  };
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  const auto began_at = std::chrono::steady_clock::now();
  ASSERT_TRUE(until([&] { return calls.size() == 4; }));
  EXPECT_LT(std::chrono::steady_clock::now() - began_at, std::chrono::milliseconds(450))
      << "without the pause that follows a failed call";
  EXPECT_FALSE(calls[1]->closed_by_peer);
  calls[1]->reply(list(2, json::array({target("s-0", hosts[0]->endpoint, "a", "DRAINING")})));
  ASSERT_TRUE(until([&] { return calls[1]->closed_by_peer; }));
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  }
  EXPECT_EQ(std::set<std::string>(attempted_hosts.begin(), attempted_hosts.end()),
            std::set<std::string>{"s-1"});
}

// Guards against an old list that discovery writes on a kept connection, for which nobody asked: it
// would bring a draining host back into use.
TEST_F(GatewayTest, IgnoresOldListOnKeptDiscoveryConnection) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  const auto watch = discovery.pending_watches[0];
  const json old_list = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
  discovery.list[0]["state"] = "DRAINING";
  discovery.push({{"all", false}, {"targets", json::array({discovery.list[0]})}});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  watch->reply(response_text(200, "", old_list.dump()));
  ASSERT_TRUE(until([&] { return watch->closed_by_peer; }));
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 2; }));
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  }
  EXPECT_EQ(std::set<std::string>(attempted_hosts.begin(), attempted_hosts.end()),
            std::set<std::string>{"s-1"});
}

// The response takes 2.05 s, less than the 2.1 s after which a call is overdue. Discovery counts a
// response as received once it is written: if the gateway aborted the call earlier, it would never
// learn of the drain in it.
TEST_F(GatewayTest, AcceptsSlowDiscoveryResponse) {
  asio::steady_timer response_timer(io, std::chrono::milliseconds(2050));
  std::shared_ptr<PeerConnection> first;
  discovery.peer.script = [&](PeerConnection& c) {
    discovery.request_targets.push_back(c.request.target().to_string());
    if (discovery.request_targets.size() == 1) {
      first = c.shared_from_this();
    } else {
      discovery.pending_watches.push_back(c.shared_from_this());
    }
  };
  response_timer.async_wait([&](boost::system::error_code) {
    const json changes{{"rev", 2},
                       {"all", false},
                       {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}};
    if (first) {
      first->reply(response_text(200, "", changes.dump()));
    }
  });
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  EXPECT_NE(discovery.request_targets[1].find("since=2&"), std::string::npos)
      << discovery.request_targets[1];
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  }
  EXPECT_EQ(std::set<std::string>(attempted_hosts.begin(), attempted_hosts.end()),
            std::set<std::string>{"s-1"});
}

// --- Stop ---

TEST_F(GatewayTest, StopFinishesActiveRequests) {
  std::shared_ptr<PeerConnection> pending;
  add_host("a", [&](PeerConnection& c, std::size_t n) {
    if (n == 0) {
      pending = c.shared_from_this();
    } else {
      c.reply(response_text(200, "", "new"));
    }
  });
  start();
  auto active = client();
  auto idle = client();
  active->send(request_text("write"));
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  bool done = false;
  gateway->stop([&] { done = true; });
  auto late = client();
  late->send(request_text("read"));
  ASSERT_TRUE(until([&] { return !late->responses.empty(); }))
      << "connections are accepted for kStopAcceptingDelay after the stop";
  EXPECT_EQ(late->responses[0].body(), "new");
  EXPECT_FALSE(late->responses[0].keep_alive());
  EXPECT_TRUE(until([&] { return idle->closed_by_peer && late->closed_by_peer; }));
  EXPECT_FALSE(done);
  pending->reply(response_text(200, "", "kept"));
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_TRUE(until([&] { return !active->responses.empty(); }));
  EXPECT_EQ(active->responses[0].body(), "kept");
  EXPECT_FALSE(active->responses[0].keep_alive());
}

// --- Operators ---

TEST_F(GatewayTest, SendsNothingToHostInMaintenance) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  gateway->set_maintenance("s-0", true);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  }
  EXPECT_EQ(std::set<std::string>(attempted_hosts.begin(), attempted_hosts.end()),
            std::set<std::string>{"s-1"});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  discovery.push({{"all", true}, {"targets", discovery.list}});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  gateway->set_maintenance("s-1", true);
  EXPECT_EQ(send_request(request_text("read")).result_int(), 503u)
      << "a new endpoint list does not end maintenance";
  attempted_hosts.clear();
  gateway->set_maintenance("s-1", false);
  ASSERT_TRUE(until([&] { return send_request(request_text("read")).result_int() == 200u; }));
  EXPECT_EQ(attempted_hosts.front(), "s-1");
}

// Maintenance of a host begins while the gateway still connects to it for an attempt, which must
// then go to another host.
TEST_F(GatewayTest, ReroutesUnsentAttemptWhenMaintenanceBegins) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  // A host that accepts no connection, as the queue of its listening socket is full.
  tcp::acceptor full(io, loopback());
  full.listen(0);
  std::vector<std::unique_ptr<tcp::socket>> queue;
  for (int i = 0; i < 4; ++i) {
    queue.push_back(std::make_unique<tcp::socket>(io));
    queue.back()->async_connect(full.local_endpoint(), [](error_code) {});
  }
  io.poll();
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  discovery.push({{"all", false}, {"targets", {target("s-2", full.local_endpoint())}}});
  ASSERT_TRUE(until([&] { return gateway->hosts() == 3; }));
  gateway->set_maintenance("s-0", true);
  gateway->set_maintenance("s-1", true);
  auto c = client();
  c->send(request_text("write"));
  ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  discovery.push({{"all", false}, {"targets", {target("s-3", hosts[1]->endpoint)}}});
  ASSERT_TRUE(until([&] { return gateway->hosts() == 4; }));
  gateway->set_maintenance("s-2", true);
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses[0].result_int(), 200u);
  EXPECT_EQ(hosts[1]->requests.size(), 1u);
}

TEST_F(GatewayTest, ReportsEveryListedHost) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  std::set<std::string> listed;
  gateway->on_endpoint_listed([&](const std::string& uid) { listed.insert(uid); });
  EXPECT_EQ(listed, (std::set<std::string>{"s-0", "s-1"}))
      << "hosts listed before are reported at once";
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  discovery.push({{"all", false}, {"targets", {target("s-9", hosts[0]->endpoint)}}});
  EXPECT_TRUE(until([&] { return listed.count("s-9") == 1; }));
}

TEST_F(GatewayTest, DrainedGatewayServesRequestsAndClosesConnections) {
  std::shared_ptr<PeerConnection> pending;
  add_host("a", [&](PeerConnection& c, std::size_t n) {
    if (n == 0) {
      pending = c.shared_from_this();
    } else {
      c.reply(response_text(200, "", "x"));
    }
  });
  start();
  auto waiting = client();
  auto idle = client();
  auto silent = client();
  waiting->send(request_text("write"));
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  idle->send(request_text("read"));
  ASSERT_TRUE(until([&] { return !idle->responses.empty(); }));
  EXPECT_TRUE(idle->responses[0].keep_alive());
  EXPECT_TRUE(gateway->is_available());
  gateway->set_drained(true);
  gateway->set_drained(true);
  EXPECT_FALSE(gateway->is_available());
  EXPECT_EQ(send_request("GET /up HTTP/1.1\r\n\r\n").result_int(), 503u);
  const Response late = send_request(request_text("read"));
  EXPECT_EQ(late.result_int(), 200u);
  EXPECT_FALSE(late.keep_alive());
  ASSERT_TRUE(until([&] { return idle->closed_by_peer && silent->closed_by_peer; }));
  EXPECT_FALSE(waiting->closed_by_peer);
  pending->reply(response_text(200, "", "kept"));
  ASSERT_TRUE(until([&] { return waiting->closed_by_peer; }));
  EXPECT_EQ(waiting->responses.at(0).body(), "kept");
  gateway->set_drained(false);
  EXPECT_TRUE(gateway->is_available());
  EXPECT_EQ(send_request("GET /up HTTP/1.1\r\n\r\n").result_int(), 200u);
  EXPECT_TRUE(send_request(request_text("read")).keep_alive());
}

// A stop cannot be undone: the end of a drain must not make the gateway accept clients again.
TEST_F(GatewayTest, EndOfDrainDoesNotCancelStop) {
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  bool done = false;
  gateway->set_drained(true);
  gateway->stop([&] { done = true; });
  gateway->set_drained(false);
  EXPECT_FALSE(gateway->is_available());
  EXPECT_FALSE(send_request(request_text("read")).keep_alive());
  EXPECT_TRUE(until([&] { return done; }));
}

// --- Shared listening socket ---

// A new process takes over from an old one at a shared socket: it accepts clients once it has an
// endpoint list, and the end of the old process leaves the socket open.
TEST_F(GatewayTest, TwoGatewaysShareListeningSocket) {
  add_host("a", always_reply(response_text(200, "", "x")));
  tcp::acceptor shared_socket(io, loopback());
  const auto copy_of = [&] {
    return dup(shared_socket.native_handle());
  };
  config["listen"] = text_of(shared_socket.local_endpoint());
  config["discovery"] = text_of(discovery.peer.endpoint);
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
  const auto make = [&] {
    const std::string socket = std::to_string(copy_of());
    const config::Config c = config::parse_config(config, [&](const char* name) {
      return name == std::string("GW_PASSED_SOCKET") ? socket.c_str() : nullptr;
    });
    return std::make_unique<Gateway>(io, c, waits, event_log);
  };
  gateway = make();
  EXPECT_FALSE(gateway->is_available()) << "not before discovery has sent an endpoint list";
  ASSERT_TRUE(until([&] { return gateway->is_available(); }));
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  auto next = make();
  ASSERT_TRUE(until([&] { return next->is_available(); }));
  bool done = false;
  gateway->stop([&] { done = true; });
  ASSERT_TRUE(until([&] { return done; }));
  gateway.swap(next);
  next.reset();
  // The flag belongs to the shared socket: an accept must not block the gateway's event loop.
  shared_socket.non_blocking(false);
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u)
      << "the end of the first gateway does not close the shared socket";
  EXPECT_TRUE(shared_socket.is_open());
}

// Connections that wait at a shared socket while a process stops are left to the other processes:
// accepted by the stopping one, they would be closed.
TEST_F(GatewayTest, LeavesWaitingConnectionsOfSharedSocketToNextProcess) {
  add_host("a", always_reply(response_text(200, "", "x")));
  tcp::acceptor shared_socket(io, loopback());
  config["listen"] = text_of(shared_socket.local_endpoint());
  config["discovery"] = text_of(discovery.peer.endpoint);
  const std::string socket = std::to_string(dup(shared_socket.native_handle()));
  const config::Config c = config::parse_config(config, [&](const char* name) {
    return name == std::string("GW_PASSED_SOCKET") ? socket.c_str() : nullptr;
  });
  gateway = std::make_unique<Gateway>(io, c, waits, event_log);
  ASSERT_TRUE(until([&] { return gateway->is_available(); }));
  bool done = false;
  gateway->stop([&] { done = true; });
  ASSERT_TRUE(until([&] { return done; }));
  auto waiting = Client::connect(io, shared_socket.local_endpoint());
  waiting->send(request_text("read"));
  shared_socket.non_blocking(true);
  bool accepted = false;
  shared_socket.async_accept([&](error_code ec, tcp::socket) { accepted = !ec; });
  EXPECT_TRUE(until([&] { return accepted; }));
}

// --- Retained state ---

// Hosts are replaced as long as the process runs: state that stays for removed hosts would grow
// without bound.
TEST_F(GatewayTest, ForgetsRemovedHosts) {
  add_host("a", always_reply(response_text(200, "", "stays")));
  start();
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
    // Each new host has the address of a removed one, and a uid of its own.
    const std::string uid = "s-new-" + std::to_string(i);
    discovery.push({{"all", false}, {"targets", {target(uid, hosts[0]->endpoint)}}});
    ASSERT_TRUE(until([&] { return gateway->hosts() == 2; }));
    EXPECT_EQ(send_request(request_text("write")).body(), "stays");
    ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
    if (i % 2) {
      discovery.push({{"all", true}, {"targets", discovery.list}});
    } else {
      discovery.push({{"all", false}, {"targets", {{{"uid", uid}, {"state", "DELETED"}}}}});
    }
    ASSERT_TRUE(until([&] { return gateway->hosts() == 1; }));
  }
  EXPECT_EQ(gateway->active_requests(), 0u);
}

// A removed host stays known until its last attempt has finished, whose response is forwarded.
TEST_F(GatewayTest, ForgetsRemovedHostAfterItsLastAttempt) {
  std::shared_ptr<PeerConnection> pending;
  add_host("a", [&](PeerConnection& c, std::size_t) { pending = c.shared_from_this(); });
  start();
  auto c = client();
  c->send(request_text("write"));
  ASSERT_TRUE(until([&] { return pending && discovery.pending_watches.size() == 1; }));
  discovery.push({{"all", true}, {"targets", json::array()}});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  EXPECT_EQ(gateway->hosts(), 1u);
  pending->reply(response_text(200, "", "late but whole"));
  ASSERT_TRUE(until([&] { return c->responses.size() == 1; }));
  EXPECT_EQ(c->responses[0].body(), "late but whole");
  EXPECT_TRUE(until([&] { return pending->closed_by_peer && gateway->hosts() == 0; }));
}

// Forwarding a request with the id of an active one could execute the request twice.
TEST_F(GatewayTest, RejectsDuplicateIdOfActiveRequest) {
  std::shared_ptr<PeerConnection> pending;
  add_host("a", [&](PeerConnection& c, std::size_t) { pending = c.shared_from_this(); });
  start();
  const std::string request = request_text("write");
  auto c = client();
  c->send(request);
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  EXPECT_EQ(send_request(request).result_int(), 409u);
  pending->reply(response_text(200, "", "first"));
  ASSERT_TRUE(until([&] { return c->responses.size() == 1; }));
  EXPECT_EQ(c->responses[0].body(), "first");
  EXPECT_EQ(attempted_hosts.size(), 1u);
  EXPECT_EQ(gateway->active_requests(), 0u);
}

// Status 400 is a fault of the request, not of the host: counted as failures, 20 of them would
// eject the hosts.
TEST_F(GatewayTest, NeitherRetriesNorEjectsHostOnStatus400) {
  start_with_two_hosts(
      [](PeerConnection& c, std::size_t n) { c.reply(response_text(n < 20 ? 400 : 200, "", "")); });
  for (std::size_t i = 1; i <= 20; ++i) {
    EXPECT_EQ(send_request(request_text("read")).result_int(), 502u);
    EXPECT_EQ(attempted_hosts.size(), i);
  }
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
}

// --- Reload ---

TEST_F(GatewayTest, ReloadSwitchesDiscoveryAndKeepsHostsUntilItsList) {
  add_host("a", always_reply(response_text(200, "", "old")));
  start();
  ASSERT_TRUE(until([&] { return !discovery.pending_watches.empty(); }));
  FakeDiscovery other(io);  // has a version sequence of its own
  Peer newcomer(io, [](PeerConnection& c) { c.reply(response_text(200, "", "new")); });
  other.list.push_back(target("s-new", newcomer.endpoint));
  other.version = 0;
  other.failing = true;
  config["discovery"] = text_of(other.peer.endpoint);
  gateway->reload(config::parse_config(config, [](const char*) { return nullptr; }));
  ASSERT_TRUE(until([&] { return !other.request_targets.empty(); }));
  EXPECT_EQ(send_request(request_text("write")).body(), "old");
  other.failing = false;
  ASSERT_TRUE(until([&] { return !other.pending_watches.empty(); })) << "a snapshot, then a watch";
  EXPECT_TRUE(until([&] { return discovery.pending_watches.front()->closed_by_peer; }))
      << "the watch on the old server is closed";
  EXPECT_EQ(send_request(request_text("write")).body(), "new");
}

TEST_F(GatewayTest, ReloadWorksAfterOldDiscoveryEnds) {
  add_host("a", always_reply(response_text(200, "", "old")));
  start();
  ASSERT_TRUE(until([&] { return !discovery.pending_watches.empty(); }));
  Peer silent(io, nullptr);
  config["discovery"] = text_of(silent.endpoint);
  gateway->reload(config::parse_config(config, [](const char*) { return nullptr; }));
  ASSERT_TRUE(until([&] { return silent.requests.size() == 1; }));
  discovery.pending_watches.front()->close();
  EXPECT_EQ(send_request(request_text("write")).body(), "old");
  EXPECT_EQ(silent.requests.size(), 1u)
      << "the end of the old watch does not abort the call in progress";
  silent.connections.front()->reply(
      response_text(200, "", json{{"rev", 7}, {"all", true}, {"targets", discovery.list}}.dump()));
  EXPECT_TRUE(until([&] { return silent.requests.size() == 2; }))
      << "a watch on the new server begins";
}

}  // namespace
}  // namespace gateway::testing
