#include "loopback.h"
#include "recording.h"

#include <http/http_client.h>
#include <http/http_server.h>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

const plain_formatter formatter;

std::unique_ptr<http_server> serve(request_handler& handler, http_server_settings settings = {}) {
    settings.max_connections = std::min<std::size_t>(settings.max_connections, 8);
    return boost::leaf::try_handle_all(
        [&] { return http_server::start(settings, handler, formatter); },
        [] { return std::unique_ptr<http_server>(); });
}

recording_sink call(const http_server& server, const http_request& request) {
    recording_sink sink;
    http_client().call({"127.0.0.1", server.bound_port()}, request, {}, sink);
    return sink;
}

std::string exchange_raw(const http_server& server, const std::string& bytes) {
    raw_connection caller = raw_connection::to(server.bound_port());
    caller.send(bytes);
    return caller.read_all();
}

const std::string host = "Host: x\r\n";

} // namespace

TEST_CASE("a request arrives whole and decoded, and its answer goes back") {
    echo_handler handler;
    const auto server = serve(handler);
    REQUIRE(server != nullptr);
    const recording_sink answer = call(*server, {"POST", "/a b/\xc3\xa4", "q=1", {}, "body"});
    CHECK(answer.is_whole());
    CHECK(answer.head->status == 200);
    CHECK(answer.body == "/a b/\xc3\xa4|body");
    CHECK(find_header(answer.head->headers, "X-Query") == "q=1");
}

TEST_CASE("an answer is streamed from another thread, chunk by chunk") {
    recording_handler handler;
    const auto server = serve(handler);
    recording_sink sink;
    awaited<bool> chunk_seen;
    sink.on_chunk = [&] { chunk_seen.set(true); };
    std::thread caller([&] {
        http_client().call({"127.0.0.1", server->bound_port()}, {"GET", "/", "", {}, ""}, {}, sink);
    });
    const received_request received = handler.requests.take();
    CHECK(received.writer->start({200, {{"Content-Type", "text/event-stream"}}}));
    for (const char* const part : {"one ", "two ", "three"}) {
        CHECK(received.writer->chunk(part));
        // The caller has each chunk before the next one is written.
        CHECK(chunk_seen.take());
    }
    CHECK(received.writer->end());
    caller.join();
    CHECK(sink.is_whole());
    CHECK(sink.body == "one two three");
    server->stop();
    CHECK(server->open_exchanges() == 0);
}

TEST_CASE("bad requests are refused with the right status and reach no handler") {
    echo_handler handler;
    http_server_settings settings;
    settings.max_body_bytes = 10;
    settings.max_uri_bytes = 100;
    settings.headers.max_count = 5;
    settings.headers.max_bytes = 200;
    const auto server = serve(handler, settings);
    const std::string get = "GET / HTTP/1.1\r\n" + host;
    const std::string post = "POST / HTTP/1.1\r\n" + host;
    const std::vector<std::pair<std::string, int>> cases{
        {"nonsense\r\n\r\n", 400},
        {"GET /../etc HTTP/1.1\r\n" + host + "\r\n", 400},
        {"GET /a/%2e%2e/b HTTP/1.1\r\n" + host + "\r\n", 400},
        {"GET /a%2fb HTTP/1.1\r\n" + host + "\r\n", 400},
        {"GET /a%0d%0aX: HTTP/1.1\r\n" + host + "\r\n", 400},
        {"GET /%zz HTTP/1.1\r\n" + host + "\r\n", 400},
        {"GET / HTTP/1.1\r\n\r\n", 400},
        {get + host + "\r\n", 400},
        {get + "Bad Name: x\r\n\r\n", 400},
        {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
        {post + "Content-Length: -1\r\n\r\n", 400},
        {post + "\r\n", 411},
        {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411},
        {post + "Content-Length: 11\r\n\r\n", 413},
        {post + "Content-Length: 100\r\n\r\n" + std::string(100, 'a'), 413},
        {post + "Content-Length: 99999999999999999999999\r\n\r\n", 413},
        {"GET /" + std::string(100, 'a') + " HTTP/1.1\r\n" + host + "\r\n", 414},
        {get + "A: 1\r\nB: 1\r\nC: 1\r\nD: 1\r\nE: 1\r\n\r\n", 431},
        {get + "A: " + std::string(200, 'a') + "\r\n\r\n", 431},
        {get + "A: " + std::string(20'000, 'a') + "\r\n\r\n", 431}};
    for (const auto& [bytes, status] : cases) {
        CAPTURE(bytes);
        const std::string answer = exchange_raw(*server, bytes);
        CHECK(answer.find("HTTP/1.1 " + std::to_string(status)) == 0);
        CHECK(answer.find("fault " + std::to_string(status)) != std::string::npos);
    }
}

TEST_CASE("a caller that does not finish its request in time is refused") {
    echo_handler handler;
    http_server_settings settings;
    settings.request_timeout = duration{100};
    const auto server = serve(handler, settings);
    const std::string head = "POST / HTTP/1.1\r\n" + host;
    CHECK(exchange_raw(*server, head).find("HTTP/1.1 408") == 0);
    CHECK(exchange_raw(*server, head + "Content-Length: 9\r\n\r\nab").find("HTTP/1.1 408") == 0);
    CHECK(exchange_raw(*server, "").empty());
}

TEST_CASE("a caller that hangs up while its answer is awaited is reported") {
    recording_handler handler;
    const auto server = serve(handler);
    raw_connection caller = raw_connection::to(server->bound_port());
    caller.send("GET / HTTP/1.1\r\n" + host + "\r\n");
    const received_request received = handler.requests.take();
    caller.close();
    CHECK(handler.losses.take() == caller_loss::closed);
    CHECK_FALSE(received.writer->start({200, {}}));
}

TEST_CASE("a reader that stalls is cut off at the bound") {
    recording_handler handler;
    http_server_settings settings;
    settings.max_pending_bytes = std::size_t{64} * 1024;
    const auto server = serve(handler, settings);
    raw_connection caller = raw_connection::to(server->bound_port());
    caller.send("GET / HTTP/1.1\r\n" + host + "\r\n");
    const received_request received = handler.requests.take();
    bool is_open = received.writer->start({200, {}});
    constexpr std::size_t block_bytes = std::size_t{16} * 1024;
    constexpr std::size_t most_blocks = 1'000'000;
    std::size_t blocks = 0;
    for (; is_open && blocks < most_blocks; ++blocks) {
        is_open = received.writer->chunk(std::string(block_bytes, 'x'));
    }
    CHECK(blocks < most_blocks);
    CHECK(handler.losses.take() == caller_loss::too_slow);
}

TEST_CASE("an answer that is given up does not look whole") {
    recording_handler handler;
    const auto server = serve(handler);
    recording_sink sink;
    std::thread caller([&] {
        http_client().call({"127.0.0.1", server->bound_port()}, {"GET", "/", "", {}, ""}, {}, sink);
    });
    {
        const received_request received = handler.requests.take();
        received.writer->start({200, {}});
        received.writer->chunk("half");
    }
    caller.join();
    CHECK(sink.body == "half");
    CHECK(sink.failure == call_failure_kind::broken);
}

TEST_CASE("a connection serves one request after another") {
    echo_handler handler;
    const auto server = serve(handler);
    raw_connection caller = raw_connection::to(server->bound_port());
    for (const std::string path : {"/one", "/two"}) {
        caller.send(std::string("GET ").append(path).append(" HTTP/1.1\r\nHost: x\r\n\r\n"));
        CHECK(caller.read_until(path + "|").find("Connection: keep-alive") != std::string::npos);
    }
}

TEST_CASE("a HEAD request gets no body, and HTTP/1.0 no stream") {
    recording_handler handler;
    const auto server = serve(handler);
    raw_connection head = raw_connection::to(server->bound_port());
    head.send("HEAD / HTTP/1.1\r\nConnection: close\r\n" + host + "\r\n");
    handler.requests.take().writer->respond({{200, {}}, "text"});
    const std::string answer = head.read_all();
    CHECK(answer.find("Content-Length: 4") != std::string::npos);
    CHECK(answer.find("text") == std::string::npos);
    raw_connection old = raw_connection::to(server->bound_port());
    old.send("GET / HTTP/1.0\r\n" + host + "\r\n");
    const received_request received = handler.requests.take();
    received.writer->start({200, {}});
    CHECK(old.read_all().find("HTTP/1.1 505") == 0);
}

TEST_CASE("connections beyond the bound hear that the server is busy") {
    recording_handler handler;
    http_server_settings settings;
    settings.max_connections = 1;
    const auto server = serve(handler, settings);
    raw_connection first = raw_connection::to(server->bound_port());
    first.send("GET / HTTP/1.1\r\n" + host + "\r\n");
    const received_request received = handler.requests.take();
    CHECK(exchange_raw(*server, "GET / HTTP/1.1\r\n" + host + "\r\n").find("HTTP/1.1 503") == 0);
    received.writer->respond({{200, {}}, "done"});
    CHECK(first.read_all().find("done") != std::string::npos);
}

TEST_CASE("header lines that would break the framing are not passed on") {
    recording_handler handler;
    const auto server = serve(handler);
    raw_connection caller = raw_connection::to(server->bound_port());
    caller.send("GET / HTTP/1.1\r\nConnection: close\r\n" + host + "\r\n");
    const http_headers headers{{"Content-Length", "1"}, {"X-Bad", "a\r\nInjected: yes"}};
    handler.requests.take().writer->respond({{200, headers}, "text"});
    const std::string answer = caller.read_all();
    CHECK(answer.find("Injected") == std::string::npos);
    CHECK(answer.find("Content-Length: 1\r\n") == std::string::npos);
    CHECK(answer.find("Content-Length: 4\r\n") != std::string::npos);
}

TEST_CASE("stopping reports open exchanges as lost, and frees the port") {
    recording_handler handler;
    const auto server = serve(handler);
    raw_connection caller = raw_connection::to(server->bound_port());
    caller.send("GET / HTTP/1.1\r\n" + host + "\r\n");
    const received_request received = handler.requests.take();
    server->stop();
    CHECK(handler.losses.take() == caller_loss::stopping);
    CHECK(caller.read_all().empty());
    http_server_settings settings;
    settings.port = server->bound_port();
    CHECK(serve(handler, settings) != nullptr);
}

TEST_CASE("a port that is taken is a typed error") {
    echo_handler handler;
    const raw_listener taken;
    http_server_settings settings;
    settings.port = taken.port();
    const bool is_reported = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(server, http_server::start(settings, handler, formatter));
            return server == nullptr;
        },
        [](http_server_error error) { return error == http_server_error::cannot_listen; },
        [] { return false; });
    CHECK(is_reported);
}
