// The gateway on real loopback sockets: outcomes, limits on repeats, drains, clients, bounds.
#include <unistd.h>

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

TEST_F(GatewayTest, ReusesMostRecentConnection) {
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  auto c = client();
  for (std::size_t i = 0; i < 5; ++i) {
    c->send(request_text("write"));
    ASSERT_TRUE(until([&] { return c->responses.size() == i + 1; }));
  }
  EXPECT_EQ(hosts[0]->connections.size(), 1u);
}

TEST_F(GatewayTest, DoesNotUseIdleConnectionClosedByHost) {
  // An unsafe request written to it would end as a reset, which may have run: it would fail for
  // nothing.
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  EXPECT_EQ(send_request(request_text("write")).result_int(), 200u);
  hosts[0]->connections[0]->close();
  EXPECT_EQ(send_request(request_text("write")).result_int(), 200u);
  EXPECT_EQ(hosts[0]->connections.size(), 2u);
}

TEST_F(GatewayTest, ClosesIdleConnectionBeforeHostIdleTimeout) {
  config["settings"]["ceilings"]["idleCloseNs"] = 100'000'000;
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  EXPECT_TRUE(until([&] { return hosts[0]->connections[0]->closed_by_peer; }));
}

TEST_F(GatewayTest, AnswersPipelinedRequestsInOrder) {
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

struct Row {
  const char* name;
  std::function<void(PeerConnection&)> wrong;
  bool may_have_run;
};
std::ostream& operator<<(std::ostream& out, const Row& row) {
  return out << row.name;
}

std::string many(const std::string& text) {  // of it, as much as no head may hold
  std::string all;
  while (all.size() < std::size_t{3} * http::kHeaderLimit) {
    all += text;
  }
  return all;
}

class AttemptOutcomeTest : public GatewayTest, public ::testing::WithParamInterface<Row> {};

TEST_P(AttemptOutcomeTest, RetriesNonIdempotentRequestOnlyIfNotExecuted) {
  start_with_two_hosts(first_attempt(GetParam().wrong));
  const Response r = send_request(request_text("write", "", "body"));
  EXPECT_EQ(r.result_int(), GetParam().may_have_run ? 502u : 200u);
  EXPECT_EQ(attempted_hosts.size(), GetParam().may_have_run ? 1u : 2u);
}

TEST_P(AttemptOutcomeTest, RetriesIdempotentRequestOnOtherHost) {
  start_with_two_hosts(first_attempt(GetParam().wrong));
  const Response r = send_request(request_text("read"));
  EXPECT_EQ(r.result_int(), 200u);
  EXPECT_EQ(r.body(), "late") << "nothing of the broken answer is served";
  EXPECT_EQ(std::set<std::string>(attempted_hosts.begin(), attempted_hosts.end()).size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Protocol, AttemptOutcomeTest,
    ::testing::Values(
        Row{"error", [](PeerConnection& c) { c.reply(response_text(500, "", "no")); }, true},
        Row{"full503", [](PeerConnection& c) { c.reply(response_text(503, kNotRun, "")); }, false},
        Row{"full504", [](PeerConnection& c) { c.reply(response_text(504, kNotRun, "")); }, false},
        Row{"bare503", [](PeerConnection& c) { c.reply(response_text(503, "", "")); }, true},
        Row{"bare504",
            [](PeerConnection& c) { c.reply(response_text(504, "X-Not-Run: 0\r\n", "")); }, true},
        Row{"errorThatClaimsNotRun",
            [](PeerConnection& c) { c.reply(response_text(500, kNotRun, "")); }, true},
        Row{"unexpected",
            [](PeerConnection& c) { c.reply(response_text(302, "Location: /\r\n", "")); }, true},
        Row{"reset", [](PeerConnection& c) { c.reset(); }, true},
        Row{"closed", [](PeerConnection& c) { c.close(); }, true},
        Row{"garbage", [](PeerConnection& c) { c.reply("what?\r\n\r\n"); }, true},
        Row{"cutHead", [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nConte", true); }, true},
        Row{"cutBody",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true);
            },
            true},
        Row{"cutChunk",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true);
            },
            true},
        // Without a length an answer ends with an orderly end of its connection, and a reset is
        // none.
        Row{"noLengthThenReset",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\n\r\nlooks whole");
              c.reset();
            },
            true},
        Row{"closingNoLengthThenReset",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nlooks whole");
              c.reset();
            },
            true},
        Row{"tooLarge",
            [](PeerConnection& c) {
              c.reply(response_text(200, "", std::string(http::kBodyLimit + 1, 'x')));
            },
            true},
        // The connection stays open behind these: it is of no further use, and nobody waits for
        // more.
        Row{"threeGigabytes",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc");
            },
            true},
        Row{"endlessHead",
            [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\n" + many("X: y\r\n")); }, true},
        Row{"endlessLine",
            [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nX: " + many("yyyy")); }, true},
        Row{"endlessChunkHead",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + many("yyyyy") +
                      many("yyyyy"));
            },
            true},
        Row{"badChunk",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n");
            },
            true},
        Row{"twoLengths",
            [](PeerConnection& c) { c.reply(response_text(200, "Content-Length: 3\r\n", "abc")); },
            true},
        Row{"lengthAndCoding",
            [](PeerConnection& c) {
              c.reply(
                  response_text(200, "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"));
            },
            true},
        Row{"negativeLength",
            [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc"); },
            true},
        Row{"switched", [](PeerConnection& c) { c.reply("HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n"); },
            true},
        Row{"endlessInterim", [](PeerConnection& c) { c.reply(many("HTTP/1.1 103 X\r\n\r\n")); },
            true}),
    [](const auto& row) { return row.param.name; });

TEST_F(GatewayTest, SkipsInterimResponses) {
  add_host("a", always_reply("HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 X\r\n\r\n" +
                             response_text(200, "", "final")));
  start();
  EXPECT_EQ(send_request(request_text("write")).body(), "final");
  EXPECT_EQ(send_request(request_text("write")).body(), "final");
  EXPECT_EQ(hosts[0]->connections.size(), 1u) << "and nothing is wrong with the connection";
}

TEST_F(GatewayTest, DiscardsBytesAfterCompleteResponse) {
  add_host("a", [](PeerConnection& c, std::size_t n) {
    const std::string answer = response_text(200, "", std::to_string(n));
    c.reply(n % 2 == 0 ? answer + answer : answer + "\x01noise");
  });
  start();
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(send_request(request_text("write")).body(), std::to_string(i));
  }
  EXPECT_EQ(hosts[0]->connections.size(), 4u);
}

TEST_F(GatewayTest, IgnoresResponseArrivingAsClientDisconnects) {
  // Both are ready in one turn of the loop: the attempt is cancelled with its answer read already.
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

TEST_F(GatewayTest, RejectsRequestWhenAllHostsAreFull) {
  start_with_two_hosts(always_reply(response_text(503, kNotRun, "")));
  EXPECT_EQ(send_request(request_text("write")).result_int(), 503u)
      << "it never ran: a refusal, not a failure";
}

TEST_F(GatewayTest, FailsTimedOutNonIdempotentRequestAndClosesConnection) {
  shorten_class_times(1);
  start_with_two_hosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(send_request(request_text("write")).result_int(), 502u);
  EXPECT_EQ(attempted_hosts.size(), 1u);
  // A late answer on it would be taken for that to the next request.
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

TEST_F(GatewayTest, RespondsAtClientDeadlineWithoutFurtherAttempts) {
  start_with_two_hosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(send_request(request_text("read", "X-Deadline-Ms: 1000\r\n")).result_int(), 503u)
      << "long before the aim";
  EXPECT_EQ(attempted_hosts.size(), 1u) << "the attempt took all the time there was";
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
  // the attempt goes on, and its answer is for nobody
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

// --- Deduplicated requests ---

TEST_F(GatewayTest, PrefersHostWithFewerRequestsInFlight) {
  const auto waits = [](PeerConnection&, std::size_t) {
  };
  for (int i = 0; i < 6; ++i) {
    add_host("a", waits);
  }
  start();
  std::vector<std::pair<std::string, std::shared_ptr<Client>>>
      open;  // host and client of each request
  const auto send_one = [&] {
    auto c = client();
    c->send(request_text("write"));
    const std::size_t before = attempted_hosts.size();
    ASSERT_TRUE(until([&] { return attempted_hosts.size() > before; }));
    open.emplace_back(attempted_hosts.back(), c);
  };
  for (int i = 0; i < 12; ++i) {
    send_one();
  }
  for (const char* const freed : {"s-1", "s-4", "s-2"}) {
    std::size_t left = 0;
    for (auto& [host, c] : open) {
      if (host == freed) {
        c->close(), ++left;
      }
    }
    std::erase_if(open, [&](const auto& o) { return o.first == freed; });
    ASSERT_GE(left, 2u) << "the twelve lie evenly on six hosts";
    Peer& host = *hosts[static_cast<std::size_t>(freed[2] - '0')];
    ASSERT_TRUE(until([&] {
      return std::all_of(host.connections.begin(), host.connections.end(),
                         [](const auto& c) { return c->closed_by_peer; });
    }));
    for (int i = 0; i < 2; ++i) {
      send_one();
      EXPECT_EQ(attempted_hosts.back(), freed) << "all the others hold about two";
    }
  }
}

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
  const Response r = send_request(request_text("write"));
  EXPECT_EQ(r.result_int(), 503u);
  EXPECT_EQ(r.count("Retry-After"), 1u);
  EXPECT_FALSE(attempted_hosts.empty());
}

TEST_F(GatewayTest, RetriesDoNotMakeFirstAttemptsLookLate) {
  // An attempt has 14 s of the client's 20 s, a retry the time remaining. A retry after the latency
  // objective is rejected without being sent.
  config["settings"]["grades"][0]["aimNs"] = 5'000'000'000;
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  const std::string first_try = "X-Deadline-Ms: 14000\r\n";
  EXPECT_EQ(send_request(request_text("read", first_try)).result_int(), 200u);
  for (int i = 0; i < 60; ++i) {
    const std::string left = "X-Deadline-Ms: " + std::to_string(800 + 400 * (i * 7 % 28)) + "\r\n";
    EXPECT_EQ(send_request(request_text("read", i % 4 == 3 ? first_try : left)).result_int(),
              i % 4 == 3 ? 200u : 503u)
        << i;
  }
}

TEST_F(GatewayTest, ServesFirstAttemptsAfterStartWithRetry) {
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
      << "no id";
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
  auto usual = client();
  usual->send(request_text("read"));
  ASSERT_TRUE(until([&] { return usual->responses.size() == 1; }));
  auto silent = client();
  EXPECT_TRUE(until([&] { return silent->closed_by_peer; }));
  EXPECT_FALSE(usual->closed_by_peer);
}

TEST_F(GatewayTest, RejectsAmbiguousFraming) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  const std::string post = "POST /write HTTP/1.1\r\nX-Request-Id: r\r\n";
  const std::string hidden = "GET /read HTTP/1.1\r\nX-Request-Id: hidden\r\n\r\n";
  const std::string coded = "Transfer-Encoding: chunked\r\n";
  for (const std::string& bad :
       {post + "Content-Length: 4\r\n" + coded + "\r\n0\r\n\r\n" + hidden,
        post + coded + "Content-Length: 4\r\n\r\n0\r\n\r\n" + hidden,
        post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab" + hidden,
        post + "Content-Length: 2, 2\r\n\r\nab" + hidden,
        post + "Content-Length: +2\r\n\r\nab" + hidden,
        post + "Content-Length: -2\r\n\r\nab" + hidden,
        post + "Content-Length: 0x2\r\n\r\nab" + hidden,
        post + "Content-Length: \r\n\r\n" + hidden,
        post + "Content-Length : 2\r\n\r\nab" + hidden,
        post + "Content-Length: 99999999999999999999\r\n\r\nab",
        post + coded + coded + "\r\n0\r\n\r\n" + hidden,
        post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden,
        post + "Transfer-Encoding: identity\r\n\r\n" + hidden,
        post + "X: a\r\n b\r\n\r\n" + hidden,
        post + "X: a\nY: b\r\n\r\n" + hidden,
        post + std::string("X: a\0b\r\n\r\n", 10) + hidden,
        post + "X: a\rb\r\n\r\n" + hidden,
        post + "no colon\r\n\r\n" + hidden,
        post + coded + "\r\nzz\r\nab\r\n0\r\n\r\n" + hidden,
        std::string("GET  /read HTTP/1.1\r\nX-Request-Id: r\r\n\r\n"),
        std::string("GET /read HTTP/2.0\r\nX-Request-Id: r\r\n\r\n"),
        post + "X-Request-Id: s\r\nContent-Length: 0\r\n\r\n" + hidden,
        std::string("POST /write HTTP/1.0\r\nX-Request-Id: r\r\n") + coded + "\r\n0\r\n\r\n" +
            hidden}) {
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

TEST_F(GatewayTest, SilentConnectionsDoNotDisplaceOthers) {
  waits.clients.connections = 8;
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  auto usual = client();
  usual->send(request_text("read"));
  ASSERT_TRUE(until([&] { return usual->responses.size() == 1; }));
  std::vector<std::shared_ptr<Client>> silent;
  for (int i = 0; i < 40; ++i) {
    silent.push_back(client());
  }
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u) << "behind all of them";
  EXPECT_FALSE(usual->closed_by_peer);
  usual->send(request_text("read"));
  EXPECT_TRUE(until([&] { return usual->responses.size() == 2; }));
}

TEST_F(GatewayTest, FreesCapacityFromIdleClientsInAdvance) {
  config["limits"]["sockets"] = 96;  // 38 clients at most, 24 that have asked
  waits.clients.idle_timeout = std::chrono::minutes(10);
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  std::vector<std::shared_ptr<Client>> stay;
  const auto used = client();
  for (std::size_t i = 0; i < 30; ++i) {
    stay.push_back(client());
    for (const auto& c : {stay.back(), used}) {
      const std::size_t before = c->responses.size();
      c->send(request_text("read"));
      ASSERT_TRUE(until([&] { return c->responses.size() > before; }));
    }
  }
  EXPECT_TRUE(until([&] {
    return std::count_if(stay.begin(), stay.end(),
                         [](const auto& c) { return c->closed_by_peer; }) == 31 - 24;
  }));
  EXPECT_TRUE(stay.front()->closed_by_peer);
  EXPECT_FALSE(stay.back()->closed_by_peer);
  EXPECT_FALSE(used->closed_by_peer) << "the one that asks again and again is not the longest idle";
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
  config["limits"]["sockets"] = 64;  // leaves a dozen for hosts
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
  // The next watch tells that the last answer was taken in.
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

TEST_F(GatewayTest, AcceptsOutdatedKnownList) {
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  EXPECT_TRUE(until([&] { return !discovery.request_targets.empty(); }));
  EXPECT_NE(discovery.request_targets[0].find("since=1&"), std::string::npos)
      << "what it missed is asked for at once";
}

TEST_F(GatewayTest, PollsSnapshotWithoutKnownList) {
  add_host("a", always_reply(response_text(200, "", "ok")));
  config["known"] = nullptr;
  config["discovery"] = text_of(discovery.peer.endpoint);
  config.erase("known");
  gateway = std::make_unique<Gateway>(
      io, config::parse_config(config, [&](const char*) { return nullptr; }), waits,
      [](const std::string&) {});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  EXPECT_EQ(discovery.request_targets[0], "/discovery/hosts");
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
}

TEST_F(GatewayTest, BalancerRestartsFailedWatch) {
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

TEST_F(GatewayTest, TreatsSilentWatchAsFailed) {
  waits.discovery.long_poll_margin = waits.discovery.call_timeout = std::chrono::milliseconds(20);
  discovery.peer.script = [&](PeerConnection& c) {
    discovery.request_targets.push_back(c.request.target().to_string());
  };
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  EXPECT_TRUE(until([&] { return discovery.request_targets.size() == 2; }));
}

// A change during a silent watch must be known soon after, and so must the late response to it.
TEST_F(GatewayTest, ReopensSilentWatchAndStillReadsOldOne) {
  waits.discovery.long_poll_wait = waits.discovery.long_poll_margin = std::chrono::milliseconds(60);
  std::vector<std::shared_ptr<PeerConnection>> calls;
  const auto answer = [](int version, const json& changed) {
    return response_text(200, "",
                         json{{"rev", version}, {"all", false}, {"targets", changed}}.dump());
  };
  discovery.peer.script = [&](PeerConnection& c) {
    calls.push_back(c.shared_from_this());
    discovery.request_targets.push_back(c.request.target().to_string());
    if (calls.size() % 2 == 1) {
      c.reply(answer(1, json::array()));  // the first call of a watch
    }
  };
  start_with_two_hosts(always_reply(response_text(200, "", "ok")));
  const auto began = std::chrono::steady_clock::now();
  ASSERT_TRUE(until([&] { return calls.size() == 4; }));
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::milliseconds(450))
      << "a failure waits longer";
  EXPECT_FALSE(calls[1]->closed_by_peer);
  calls[1]->reply(answer(2, {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}));
  ASSERT_TRUE(until([&] { return calls[1]->closed_by_peer; }));
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  }
  EXPECT_EQ(std::set<std::string>(attempted_hosts.begin(), attempted_hosts.end()),
            std::set<std::string>{"s-1"});
}

// A response that is being written must be read: if the call were aborted now, the gateway would
// not know of the drain in it.
TEST_F(GatewayTest, AcceptsSlowDiscoveryResponse) {
  asio::steady_timer later(io, std::chrono::milliseconds(2050));
  std::shared_ptr<PeerConnection> first;
  discovery.peer.script = [&](PeerConnection& c) {
    discovery.request_targets.push_back(c.request.target().to_string());
    if (discovery.request_targets.size() == 1) {
      first = c.shared_from_this();
    } else {
      discovery.pending_watches.push_back(c.shared_from_this());
    }
  };
  later.async_wait([&](boost::system::error_code) {
    const json drains{{"rev", 2},
                      {"all", false},
                      {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}};
    if (first) {
      first->reply(response_text(200, "", drains.dump()));
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
  auto taken = client();
  auto idle = client();
  taken->send(request_text("write"));
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  bool done = false;
  gateway->stop([&] { done = true; });
  auto late = client();
  late->send(request_text("read"));
  ASSERT_TRUE(until([&] { return !late->responses.empty(); }))
      << "connections are taken for a while yet";
  EXPECT_EQ(late->responses[0].body(), "new");
  EXPECT_FALSE(late->responses[0].keep_alive());
  EXPECT_TRUE(until([&] { return idle->closed_by_peer && late->closed_by_peer; }));
  EXPECT_FALSE(done);
  pending->reply(response_text(200, "", "kept"));
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_TRUE(until([&] { return !taken->responses.empty(); }));
  EXPECT_EQ(taken->responses[0].body(), "kept");
  EXPECT_FALSE(taken->responses[0].keep_alive());
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
  EXPECT_EQ(send_request(request_text("read")).result_int(), 503u) << "whatever the list says";
  attempted_hosts.clear();
  gateway->set_maintenance("s-1", false);
  ASSERT_TRUE(until([&] { return send_request(request_text("read")).result_int() == 200u; }));
  EXPECT_EQ(attempted_hosts.front(), "s-1");
}

TEST_F(GatewayTest, ReroutesUnsentAttemptWhenMaintenanceBegins) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  // A listener whose queue is full answers no further connection.
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
  EXPECT_EQ(listed, (std::set<std::string>{"s-0", "s-1"})) << "by the list from the start";
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

TEST_F(GatewayTest, TwoGatewaysShareListeningSocket) {
  add_host("a", always_reply(response_text(200, "", "x")));
  tcp::acceptor platform(io, loopback());
  const auto copy_of = [&] {
    return dup(platform.native_handle());
  };
  config["listen"] = text_of(platform.local_endpoint());
  config["discovery"] = text_of(discovery.peer.endpoint);
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
  const auto make = [&] {
    const std::string socket = std::to_string(copy_of());
    const config::Config c = config::parse_config(config, [&](const char* name) {
      return name == std::string("GW_PASSED_SOCKET") ? socket.c_str() : nullptr;
    });
    return std::make_unique<Gateway>(io, c, waits, [](const std::string&) {});
  };
  gateway = make();
  EXPECT_FALSE(gateway->is_available()) << "not before discovery has answered";
  ASSERT_TRUE(until([&] { return gateway->is_available(); }));
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  auto next = make();
  ASSERT_TRUE(until([&] { return next->is_available(); }));
  bool done = false;
  gateway->stop([&] { done = true; });
  ASSERT_TRUE(until([&] { return done; }));
  gateway.swap(next);
  next.reset();
  platform.non_blocking(false);  // the flag is shared: a gateway must not hang on it
  EXPECT_EQ(send_request(request_text("read")).result_int(), 200u) << "the socket still listens";
  EXPECT_TRUE(platform.is_open());
}

TEST_F(GatewayTest, LeavesWaitingConnectionsOfSharedSocketToNextProcess) {
  add_host("a", always_reply(response_text(200, "", "x")));
  tcp::acceptor platform(io, loopback());
  config["listen"] = text_of(platform.local_endpoint());
  config["discovery"] = text_of(discovery.peer.endpoint);
  const std::string socket = std::to_string(dup(platform.native_handle()));
  const config::Config c = config::parse_config(config, [&](const char* name) {
    return name == std::string("GW_PASSED_SOCKET") ? socket.c_str() : nullptr;
  });
  gateway = std::make_unique<Gateway>(io, c, waits, [](const std::string&) {});
  ASSERT_TRUE(until([&] { return gateway->is_available(); }));
  bool done = false;
  gateway->stop([&] { done = true; });
  ASSERT_TRUE(until([&] { return done; }));
  auto waiting = Client::connect(io, platform.local_endpoint());
  waiting->send(request_text("read"));
  platform.non_blocking(true);
  bool taken = false;
  platform.async_accept([&](error_code ec, tcp::socket) { taken = !ec; });
  EXPECT_TRUE(until([&] { return taken; }));
}

// --- Retained state ---

TEST_F(GatewayTest, ForgetsRemovedHosts) {
  add_host("a", always_reply(response_text(200, "", "stays")));
  start();
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
    // Each new one at the address of one that is gone, under an id of its own.
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

TEST_F(GatewayTest, RejectsDuplicateIdOfActiveRequest) {
  std::shared_ptr<PeerConnection> pending;
  add_host("a", [&](PeerConnection& c, std::size_t) { pending = c.shared_from_this(); });
  start();
  const std::string one = request_text("write");
  auto c = client();
  c->send(one);
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  EXPECT_EQ(send_request(one).result_int(), 409u);
  pending->reply(response_text(200, "", "first"));
  ASSERT_TRUE(until([&] { return c->responses.size() == 1; }));
  EXPECT_EQ(c->responses[0].body(), "first");
  EXPECT_EQ(attempted_hosts.size(), 1u);
  EXPECT_EQ(gateway->active_requests(), 0u);
}

TEST_F(GatewayTest, DoesNotRetryBadRequestOrBlameHost) {
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
  FakeDiscovery other(io);  // counts its versions from the start
  Peer newcomer(io, [](PeerConnection& c) { c.reply(response_text(200, "", "new")); });
  other.list.push_back(target("s-new", newcomer.endpoint));
  other.version = 0;
  other.failing = true;
  config["discovery"] = text_of(other.peer.endpoint);
  gateway->reload(config::parse_config(config, [](const char*) { return nullptr; }));
  ASSERT_TRUE(until([&] { return !other.request_targets.empty(); }));
  EXPECT_EQ(send_request(request_text("write")).body(), "old");
  other.failing = false;
  ASSERT_TRUE(until([&] { return !other.pending_watches.empty(); }))
      << "the whole list, then a watch";
  EXPECT_TRUE(until([&] { return discovery.pending_watches.front()->closed_by_peer; }))
      << "the old one is left";
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
  EXPECT_EQ(silent.requests.size(), 1u) << "the call under way is not given up for it";
  silent.connections.front()->reply(
      response_text(200, "", json{{"rev", 7}, {"all", true}, {"targets", discovery.list}}.dump()));
  EXPECT_TRUE(until([&] { return silent.requests.size() == 2; })) << "and its watch begins";
}

}  // namespace
}  // namespace gateway::testing
