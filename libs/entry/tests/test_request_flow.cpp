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

/** What the caller was sent. */
struct sent_answer {
    int status = 0;
    std::string body;
    bool is_finished = false;
    bool is_aborted = false;
};

class fake_exchange final : public edge::caller_exchange {
public:
    fake_exchange(sent_answer& to, const std::string& target) : to_(to) {
        request_.method = "GET";
        request_.target = target;
        request_.headers = {{"Host", "a.example"}, {"X-Id", "r1"}};
    }
    const edge::caller_request& request() const override { return request_; }
    void on_disconnect(std::function<void()> callback) override { static_cast<void>(callback); }
    void answer(const http_head& head, std::string_view body) override {
        to_.status = head.status;
        to_.body = body;
        to_.is_finished = true;
    }
    void begin(const http_head& head, std::optional<std::uint64_t> length) override {
        static_cast<void>(length);
        to_.status = head.status;
    }
    void write(std::string_view bytes) override { to_.body.append(bytes); }
    void finish() override { to_.is_finished = true; }
    void abort() override { to_.is_aborted = true; }

private:
    sent_answer& to_;
    edge::caller_request request_;
};

/** Headers under names of the tests' own. */
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

/** A plain backend server on loopback that answers each connection with the next script. */
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

/** Everything a flow needs, for one request over two alike backend servers. */
class fixture final : public request_flow_host {
public:
    fixture(serving::request_kind kind, bool is_resumable, std::vector<std::string> scripts)
        : server(loop, std::move(scripts)), pool_(loop, clock, {}), decisions({}, "dc-1", 1) {
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
        decisions.set_catalogue(catalogue, clock.now());
        for (const auto* id : {"desk-1", "desk-2"}) {
            serving::backend_server each;
            each.id = id;
            each.service = "desk";
            each.address = {"127.0.0.1", server.port()};
            decisions.backends().put(each);
        }
    }

    sent_answer run() {
        const auto id = decisions.on_request(codec_.decode("/x/1", {}), 1, clock.now());
        flow = std::make_unique<request_flow>(
            *this, id, std::make_shared<fake_exchange>(answer, "/x/1"), "r1");
        carry_out();
        const auto until = clock.now() + duration{3'000};
        while (!is_finished && clock.now() < until) {
            loop.run_one_for(std::chrono::milliseconds(20));
        }
        return answer;
    }

    time_point now() const override { return clock.now(); }
    edge::upstream_pool& pool() override { return pool_; }
    const serving::request_codec& codec() const override { return codec_; }
    serving::dispatcher& dispatcher() override { return decisions; }
    void on_response_head(serving::request_handle id,
                          const serving::response_metadata& head) override {
        decisions.on_response_head(id, head, now());
        carry_out();
    }
    void on_attempt_ended(serving::request_handle id, serving::attempt_outcome outcome) override {
        decisions.on_attempt_ended(id, outcome, now());
        carry_out();
    }
    void on_request_finished(serving::request_handle, int) override { is_finished = true; }

    void carry_out() {
        for (const auto& each : decisions.take_effects()) {
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
    serving::dispatcher decisions;
    sent_answer answer;
    std::unique_ptr<request_flow> flow;
    bool is_finished = false;
};

std::string whole(const std::string& status, const std::string& body,
                  const std::string& headers = "X-Seal: s\r\n") {
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" +
           body;
}

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 40\r\n\r\n";

using kind = serving::request_kind;

} // namespace

TEST_CASE("a whole answer is passed on as it is") {
    fixture with(kind::idempotent, false, {whole("200 OK", "fine")});
    const auto got = with.run();
    CHECK(got.status == 200);
    CHECK(got.body == "fine");
}

TEST_CASE("a success without the backend server's seal is not passed on") {
    fixture with(kind::non_idempotent, false, {whole("200 OK", "forged", "")});
    CHECK(with.run().status == 502);
}

TEST_CASE("a server's error is passed on whole when the next attempt brings no answer") {
    fixture with(kind::idempotent, false, {whole("500 Error", "sorry"), "nonsense\r\n\r\n"});
    const auto got = with.run();
    CHECK(with.server.requests.size() == 2);
    CHECK(got.status == 500);
    CHECK(got.body == "sorry");
}

TEST_CASE("a request that a server didn't run goes to another, also where it may not be repeated") {
    fixture with(kind::non_idempotent, false,
                 {whole("503 Full", "", "X-Not-Run: 1\r\n"), whole("200 OK", "booked")});
    CHECK(with.run().body == "booked");
}

TEST_CASE("what may not be repeated isn't sent again after its connection broke") {
    fixture with(kind::non_idempotent, false, {"", whole("200 OK", "twice")});
    const auto got = with.run();
    CHECK(with.server.requests.size() == 1);
    CHECK(got.status == 502);
}

TEST_CASE("a resumable stream goes on elsewhere after its last whole event") {
    fixture with(kind::streaming, true,
                 {stream_head + "id: 1\n\nid: 2\n\nid: 3",
                  stream_head.substr(0, stream_head.find("Content-Length")) +
                      "Connection: close\r\n\r\nid: 3\n\nid: 4\n\n"});
    const auto got = with.run();
    CHECK(got.body == "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n");
    CHECK(got.is_finished);
    REQUIRE(with.server.requests.size() == 2);
    CHECK(with.server.requests[1].find("X-After: 2") != std::string::npos);
}

TEST_CASE("a stream that may not be resumed and breaks is aborted") {
    fixture with(kind::streaming, false, {stream_head + "id: 1\n\nid: 2"});
    const auto got = with.run();
    CHECK(with.server.requests.size() == 1);
    CHECK(got.is_aborted);
    CHECK_FALSE(got.is_finished);
}

TEST_CASE("a refusal counts as one whatever comes behind its head") {
    const std::string head = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n";
    const std::string booked = whole("200 OK", "booked");
    SECTION("a body that is cut") {
        fixture with(kind::non_idempotent, false, {head + "Content-Length: 9\r\n\r\nsor", booked});
        CHECK(with.run().body == "booked");
    }
    SECTION("more bytes than a refusal has") {
        fixture with(kind::non_idempotent, false,
                     {head + "\r\n" + std::string(1'000'000, 'x'), booked});
        CHECK(with.run().body == "booked");
    }
}

TEST_CASE("a body without end is broken off before it fills the memory") {
    std::string endless;
    endless.resize(9'000'000, 'x');
    SECTION("of an answer that is passed on when it is whole") {
        fixture with(kind::non_idempotent, false,
                     {"HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n" + endless});
        const auto got = with.run();
        CHECK(got.status == 502);
        CHECK(got.body.size() < 1'000);
    }
    SECTION("of an event of a stream that may be resumed") {
        const auto head = stream_head.substr(0, stream_head.find("Content-Length"));
        fixture with(
            kind::streaming, true,
            {head + "\r\nid: 1\n\n" + endless, head + "Connection: close\r\n\r\nid: 2\n\n"});
        const auto got = with.run();
        CHECK(got.body == "id: 1\n\nid: 2\n\n");
        CHECK(got.is_finished);
    }
}

TEST_CASE("a server that says it is leaving isn't used for the next attempt") {
    fixture with(
        kind::idempotent, false,
        {whole("500 Error", "sorry", "X-Seal: s\r\nX-Leaving: 1\r\n"), whole("200 OK", "fine")});
    CHECK(with.run().body == "fine");
    int leaving = 0;
    for (const auto& [id, view] : with.decisions.backends().all()) {
        leaving += view.is_leaving ? 1 : 0;
    }
    CHECK(leaving == 1);
}
