#include "request_flow.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::entry;
using boost::asio::ip::tcp;

namespace {

/** The response that the caller received. */
struct received_response {
    int status = 0;
    std::string body;
    bool is_finished = false;
    bool is_aborted = false;
};

class fake_exchange final : public edge::caller_exchange {
public:
    fake_exchange(received_response& response, const std::string& target) : response_(response) {
        request_.method = "GET";
        request_.target = target;
        request_.headers = {{"Host", "a.example"}, {"X-Id", "r1"}};
    }
    const edge::caller_request& request() const override { return request_; }
    void on_disconnect(std::function<void()> callback) override { static_cast<void>(callback); }
    void answer(const http_head& head, std::string_view body) override {
        response_.status = head.status;
        response_.body = body;
        response_.is_finished = true;
    }
    void begin(const http_head& head, std::optional<std::uint64_t> length) override {
        static_cast<void>(length);
        response_.status = head.status;
    }
    void write(std::string_view bytes) override { response_.body.append(bytes); }
    void finish() override { response_.is_finished = true; }
    void abort() override { response_.is_aborted = true; }

private:
    received_response& response_;
    edge::caller_request request_;
};

/** Codec with header names that are used in these tests only. */
class test_codec final : public serving::request_codec {
public:
    serving::request_metadata decode(const std::string& target,
                                     const http_headers& headers) const override {
        static_cast<void>(headers);
        serving::request_metadata out;
        out.host = "a.example";
        out.path = target;
        return out;
    }
    http_headers encode(const http_headers& from_caller,
                        const serving::attempt_metadata& attempt) const override {
        auto out = from_caller;
        if (attempt.resume_after) {
            out.push_back({"X-After", std::to_string(*attempt.resume_after)});
        }
        return out;
    }
    serving::response_metadata decode_response(const http_head& head) const override {
        serving::response_metadata out;
        out.is_sealed = find_header(head.headers, "X-Seal").has_value();
        out.has_not_run = find_header(head.headers, "X-Not-Run").has_value();
        out.is_shutting_down = find_header(head.headers, "X-Leaving").has_value();
        return out;
    }
    std::string correlation_header() const override { return "X-Id"; }
};

/** A backend server on loopback that sends the next script on each connection and closes it. */
class scripted_server {
public:
    scripted_server(boost::asio::io_context& loop, std::vector<std::string> scripts)
        : acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          scripts_(std::move(scripts)) {
        accept();
    }
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    std::vector<std::string> requests;

private:
    void accept() {
        acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error || next_ >= scripts_.size()) {
                return;
            }
            serve(std::make_shared<tcp::socket>(std::move(socket)));
            accept();
        });
    }
    void serve(const std::shared_ptr<tcp::socket>& socket) {
        const auto script = scripts_[next_++];
        auto input = std::make_shared<boost::asio::streambuf>();
        boost::asio::async_read_until(
            *socket, *input, "\r\n\r\n",
            [this, socket, input, script](const boost::system::error_code&, std::size_t size) {
                const auto* data = static_cast<const char*>(input->data().data());
                requests.emplace_back(data, size);
                const auto sent = std::make_shared<std::string>(script);
                boost::asio::async_write(*socket, boost::asio::buffer(*sent),
                                         [socket, sent](const boost::system::error_code&,
                                                        std::size_t) { socket->close(); });
            });
    }

    tcp::acceptor acceptor_;
    std::vector<std::string> scripts_;
    std::size_t next_ = 0;
};

/** Runs one request against two backend servers with the same address and scripts. */
class fixture final : public request_flow_host {
public:
    fixture(serving::request_kind kind, bool is_resumable, std::vector<std::string> scripts)
        : server(loop, std::move(scripts)), pool_(loop, clock, {}), dispatcher_({}, "dc-1", 1) {
        serving::service_catalogue catalogue;
        catalogue.version = 1;
        serving::route route;
        route.host = "a.example";
        route.path_prefix = "/x/";
        route.kind = kind;
        route.is_resumable = is_resumable;
        route.timeout = duration{4'000};
        route.latency_objective = duration{500};
        route.max_attempts = 2;
        route.services = {{"desk", 1}};
        catalogue.routes = {route};
        catalogue.services = {{"desk", std::nullopt}};
        dispatcher_.set_catalogue(catalogue, clock.now());
        for (const auto* id : {"desk-1", "desk-2"}) {
            serving::backend_server each;
            each.id = id;
            each.service = "desk";
            each.address = {"127.0.0.1", server.port()};
            dispatcher_.backends().put(each);
        }
    }

    received_response run() {
        const auto id = dispatcher_.on_request(codec_.decode("/x/1", {}), 1, clock.now());
        flow = std::make_unique<request_flow>(
            *this, id, std::make_shared<fake_exchange>(answer, "/x/1"), "r1");
        execute_effects();
        const auto until = clock.now() + duration{3'000};
        while (!is_finished && clock.now() < until) {
            loop.run_one_for(std::chrono::milliseconds(20));
        }
        return answer;
    }

    time_point now() const override { return clock.now(); }
    edge::upstream_pool& pool() override { return pool_; }
    const serving::request_codec& codec() const override { return codec_; }
    serving::dispatcher& dispatcher() override { return dispatcher_; }
    void on_response_head(serving::request_handle id,
                          const serving::response_metadata& head) override {
        dispatcher_.on_response_head(id, head, now());
        execute_effects();
    }
    void on_attempt_ended(serving::request_handle id, serving::attempt_outcome outcome) override {
        dispatcher_.on_attempt_ended(id, outcome, now());
        execute_effects();
    }
    void on_request_finished(serving::request_handle, int) override { is_finished = true; }

    void execute_effects() {
        for (const auto& each : dispatcher_.take_effects()) {
            if (const auto* end = std::get_if<serving::end_request>(&each)) {
                flow->finish(*end);
            } else if (const auto* send = std::get_if<serving::send_attempt>(&each)) {
                flow->start_attempt(*send);
            }
        }
    }

    boost::asio::io_context loop;
    monotonic_clock clock;
    scripted_server server;
    edge::upstream_pool pool_;
    test_codec codec_;
    serving::dispatcher dispatcher_;
    received_response answer;
    std::unique_ptr<request_flow> flow;
    bool is_finished = false;
};

std::string make_response(const std::string& status, const std::string& body,
                          const std::string& headers = "X-Seal: s\r\n") {
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" +
           body;
}

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 40\r\n\r\n";

using kind = serving::request_kind;

} // namespace

TEST_CASE("a whole response is forwarded unchanged") {
    fixture context(kind::idempotent, false, {make_response("200 OK", "fine")});
    const auto response = context.run();
    CHECK(response.status == 200);
    CHECK(response.body == "fine");
}

TEST_CASE("a successful response without the backend server's seal isn't forwarded") {
    fixture context(kind::non_idempotent, false, {make_response("200 OK", "forged", "")});
    CHECK(context.run().status == 502);
}

TEST_CASE("a server's whole error response is forwarded when the next attempt brings no answer") {
    fixture context(kind::idempotent, false,
                    {make_response("500 Error", "sorry"), "nonsense\r\n\r\n"});
    const auto response = context.run();
    CHECK(context.server.requests.size() == 2);
    CHECK(response.status == 500);
    CHECK(response.body == "sorry");
}

TEST_CASE("a request that a server didn't run goes to another even if it may not be repeated") {
    fixture context(
        kind::non_idempotent, false,
        {make_response("503 Full", "", "X-Not-Run: 1\r\n"), make_response("200 OK", "booked")});
    CHECK(context.run().body == "booked");
}

TEST_CASE("a request that may not be repeated isn't sent again after its connection broke") {
    fixture context(kind::non_idempotent, false, {"", make_response("200 OK", "twice")});
    const auto response = context.run();
    CHECK(context.server.requests.size() == 1);
    CHECK(response.status == 502);
}

TEST_CASE("a resumable stream continues at another server after its last whole event") {
    fixture context(kind::streaming, true,
                    {stream_head + "id: 1\n\nid: 2\n\nid: 3",
                     stream_head.substr(0, stream_head.find("Content-Length")) +
                         "Connection: close\r\n\r\nid: 3\n\nid: 4\n\n"});
    const auto response = context.run();
    CHECK(response.body == "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n");
    CHECK(response.is_finished);
    REQUIRE(context.server.requests.size() == 2);
    CHECK(context.server.requests[1].find("X-After: 2") != std::string::npos);
}

TEST_CASE("a stream that may not be resumed is aborted when its connection breaks") {
    fixture context(kind::streaming, false, {stream_head + "id: 1\n\nid: 2"});
    const auto response = context.run();
    CHECK(context.server.requests.size() == 1);
    CHECK(response.is_aborted);
    CHECK_FALSE(response.is_finished);
}

TEST_CASE("a refusal is valid whatever follows its head") {
    const std::string head = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n";
    const std::string booked = make_response("200 OK", "booked");
    SECTION("an incomplete body") {
        fixture context(kind::non_idempotent, false,
                        {head + "Content-Length: 9\r\n\r\nsor", booked});
        CHECK(context.run().body == "booked");
    }
    SECTION("a body above the size limit of a refusal") {
        fixture context(kind::non_idempotent, false,
                        {head + "\r\n" + std::string(1'000'000, 'x'), booked});
        CHECK(context.run().body == "booked");
    }
}

TEST_CASE("an endless body is aborted at a size limit, before it fills the memory") {
    std::string endless;
    endless.resize(9'000'000, 'x');
    SECTION("of a response that is buffered until it is whole") {
        fixture context(kind::non_idempotent, false,
                        {"HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n" + endless});
        const auto response = context.run();
        CHECK(response.status == 502);
        CHECK(response.body.size() < 1'000);
    }
    SECTION("of an event of a stream that may be resumed") {
        const auto head = stream_head.substr(0, stream_head.find("Content-Length"));
        fixture context(
            kind::streaming, true,
            {head + "\r\nid: 1\n\n" + endless, head + "Connection: close\r\n\r\nid: 2\n\n"});
        const auto response = context.run();
        CHECK(response.body == "id: 1\n\nid: 2\n\n");
        CHECK(response.is_finished);
    }
}

TEST_CASE("a server that announces that it is leaving isn't used for the next attempt") {
    fixture context(kind::idempotent, false,
                    {make_response("500 Error", "sorry", "X-Seal: s\r\nX-Leaving: 1\r\n"),
                     make_response("200 OK", "fine")});
    CHECK(context.run().body == "fine");
    int leaving = 0;
    for (const auto& [id, view] : context.dispatcher_.backends().all()) {
        leaving += view.is_leaving ? 1 : 0;
    }
    CHECK(leaving == 1);
}
