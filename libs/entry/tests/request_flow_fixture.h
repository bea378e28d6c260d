#pragma once

#include "request_flow.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <vector>

namespace camphorgrade::entry {

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
    std::optional<serving::liveness_request>
    encode_liveness_request(const serving::server_process& process,
                            const serving::service& of) const override {
        static_cast<void>(process);
        static_cast<void>(of);
        return serving::liveness_request{"/alive", {}};
    }
    bool is_answer_of(const serving::server_process& process, const http_head& head,
                      std::string_view body) const override {
        static_cast<void>(process);
        static_cast<void>(body);
        return find_header(head.headers, "X-Process") == "desk";
    }
    std::string correlation_header() const override { return "X-Id"; }
};

/**
 * A backend server on loopback that sends the next script on each connection and closes it, until
 * it has sent all of them. It also answers requests for "/alive", as a live process does.
 */
class scripted_server {
public:
    scripted_server(boost::asio::io_context& loop, std::vector<std::string> scripts)
        : acceptor_(loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          port_(acceptor_.local_endpoint().port()), scripts_(std::move(scripts)) {
        accept();
    }
    std::uint16_t port() const { return port_; }
    /** Makes the process end with the last script: it listens no more when that connection
        closes. */
    void crash_after_last_script() { crashes_ = true; }
    /** Sets the response to requests for "/alive". */
    void set_alive_response(std::string response) { alive_response_ = std::move(response); }

    std::vector<std::string> requests; /**< Heads, without those for "/alive". */
    int alive_requests = 0;

private:
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;

    void accept() {
        acceptor_.async_accept(
            [this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
                if (error) {
                    return;
                }
                serve(std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket)));
                accept();
            });
    }
    void serve(const socket_ptr& socket) {
        auto input = std::make_shared<boost::asio::streambuf>();
        boost::asio::async_read_until(
            *socket, *input, "\r\n\r\n",
            [this, socket, input](const boost::system::error_code&, std::size_t size) {
                const auto* data = static_cast<const char*>(input->data().data());
                respond(socket, {data, size});
            });
    }
    void respond(const socket_ptr& socket, const std::string& head) {
        if (head.find(" /alive ") != std::string::npos) {
            ++alive_requests;
            send(socket, alive_response_, false);
        } else if (next_ < scripts_.size()) {
            requests.push_back(head);
            const auto& script = scripts_[next_++];
            send(socket, script, crashes_ && next_ == scripts_.size());
        }
    }
    void send(const socket_ptr& socket, const std::string& bytes, bool is_last) {
        const auto sent = std::make_shared<std::string>(bytes);
        boost::asio::async_write(
            *socket, boost::asio::buffer(*sent),
            [this, socket, sent, is_last](const boost::system::error_code&, std::size_t) {
                if (is_last) {
                    acceptor_.close();
                }
                socket->close();
            });
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_;
    std::vector<std::string> scripts_;
    std::string alive_response_ = "HTTP/1.1 200 OK\r\nX-Process: desk\r\nContent-Length: 0\r\n\r\n";
    std::size_t next_ = 0;
    bool crashes_ = false;
};

/** Runs one request against two backend servers with the same address and scripts. */
class flow_fixture final : public request_flow_host {
public:
    flow_fixture(serving::request_kind kind, bool is_resumable, std::vector<std::string> scripts)
        : server(loop, std::move(scripts)), pool_(loop, clock, {}), liveness_(loop, pool_, codec_),
          dispatcher_({}, "dc-1", 1) {
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

    /** Lets "desk-2" be a server of its own, which sends `scripts`; call it before run(). */
    void add_second_server(std::vector<std::string> scripts) {
        second_server = std::make_unique<scripted_server>(loop, std::move(scripts));
        auto second = dispatcher_.backends().find("desk-2")->server;
        second.address.port = second_server->port();
        dispatcher_.backends().put(second);
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
    liveness_checker& liveness() override { return liveness_; }
    serving::dispatcher& dispatcher() override { return dispatcher_; }
    void on_response_head(serving::request_handle id,
                          const serving::response_metadata& head) override {
        dispatcher_.on_response_head(id, head, now());
        execute_effects();
    }
    void on_stream_attempt(serving::request_handle, const stream_attempt_report& report) override {
        stream_attempts.push_back(report);
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
    std::unique_ptr<scripted_server> second_server; /**< Null: both backend servers are `server`. */
    edge::upstream_pool pool_;
    test_codec codec_;
    liveness_checker liveness_;
    serving::dispatcher dispatcher_;
    received_response answer;
    std::vector<stream_attempt_report> stream_attempts;
    std::unique_ptr<request_flow> flow;
    bool is_finished = false;
};

inline std::string make_response(const std::string& status, const std::string& body,
                                 const std::string& headers = "X-Seal: s\r\n") {
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" +
           body;
}

inline const std::string stream_head =
    "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 40\r\n\r\n";

} // namespace camphorgrade::entry
