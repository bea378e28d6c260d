#pragma once

#include "request_flow.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <charconv>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorgrade::entry::stream_test {

/** What the caller of a request received. A value type. */
struct caller_view {
    int status = 0; /**< 0: no head. */
    std::string body;
    bool is_answer = false; /**< The response was sent at once, not as a stream. */
    bool is_finished = false;
    bool is_aborted = false;

    friend bool operator==(const caller_view&, const caller_view&) = default;
};

/** The bytes that the server of one attempt sends. A value type. */
struct wire_script {
    std::string bytes;
    std::vector<std::size_t> fragments; /**< Sizes of the writes, used again from the first;
                                             empty: one write. */
    bool is_reset = false;              /**< The connection ends by RST instead of FIN. */
    bool is_crash = false;              /**< The server's process ends with the connection. */

    friend bool operator==(const wire_script&, const wire_script&) = default;
};

/** Route and caller of a played request. A value type. */
struct play_settings {
    serving::request_kind kind = serving::request_kind::streaming;
    bool is_resumable = true;
    std::uint32_t max_attempts = 4;
    std::optional<std::uint64_t> caller_position;

    friend bool operator==(const play_settings&, const play_settings&) = default;
};

/** Reads the number after `name` in the head of a request. */
inline std::optional<std::uint64_t> number_after(std::string_view head, std::string_view name) {
    const auto at = head.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto text = head.substr(at + name.size());
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    return parsed.ec == std::errc{} ? std::optional(number) : std::nullopt;
}

/** Records a response. */
class recording_exchange final : public edge::caller_exchange {
public:
    recording_exchange(caller_view& view, std::optional<std::uint64_t> position) : view_(view) {
        request_.method = "GET";
        request_.target = "/x/1";
        request_.headers = {{"Host", "a.example"}, {"X-Id", "r1"}};
        if (position) {
            request_.headers.push_back({"X-After", std::to_string(*position)});
        }
    }
    const edge::caller_request& request() const override { return request_; }
    void on_disconnect(std::function<void()> callback) override { static_cast<void>(callback); }
    void answer(const http_head& head, std::string_view body) override {
        view_.status = head.status;
        view_.body = body;
        view_.is_answer = true;
        view_.is_finished = true;
    }
    void begin(const http_head& head, std::optional<std::uint64_t> length) override {
        static_cast<void>(length);
        view_.status = head.status;
    }
    void write(std::string_view bytes) override { view_.body.append(bytes); }
    void finish() override { view_.is_finished = true; }
    void abort() override { view_.is_aborted = true; }

private:
    caller_view& view_;
    edge::caller_request request_;
};

/** Codec with header names that are used in these tests only; a position replaces the caller's. */
class position_codec final : public serving::request_codec {
public:
    serving::request_metadata decode(const std::string& target,
                                     const http_headers& headers) const override {
        serving::request_metadata out;
        out.host = "a.example";
        out.path = target;
        if (const auto position = find_header(headers, "X-After")) {
            out.last_event_id = number_after(*position, "");
        }
        return out;
    }
    http_headers encode(const http_headers& from_caller,
                        const serving::attempt_metadata& attempt) const override {
        http_headers out;
        for (const auto& each : from_caller) {
            if (each.name != "X-After" || !attempt.resume_after) {
                out.push_back(each);
            }
        }
        if (attempt.resume_after) {
            out.push_back({"X-After", std::to_string(*attempt.resume_after)});
        }
        return out;
    }
    serving::response_metadata decode_response(const http_head& head) const override {
        serving::response_metadata out;
        out.is_sealed = find_header(head.headers, "X-Seal").has_value();
        out.has_not_run = find_header(head.headers, "X-Not-Run").has_value();
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
        return head.status == 200;
    }
    std::string correlation_header() const override { return "X-Id"; }
};

/**
 * Plays one request against a server on loopback. The server sends each fragment only after the
 * flow has read what was sent before. Not thread safe.
 */
class stream_player final : public request_flow_host {
public:
    /** Makes the script of the next attempt, given the head of its request. */
    using script_source = std::function<wire_script(std::string_view request_head)>;

    explicit stream_player(const play_settings& settings)
        : acceptor_(server_loop_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          settings_(settings), pool_(loop_, clock_, {}), liveness_(loop_, pool_, codec_),
          dispatcher_({}, "dc-1", 1) {
        acceptor_.non_blocking(true);
        configure_dispatcher();
    }

    /** Plays the request; a response that isn't finished or aborted at the end has hung. */
    caller_view play(const script_source& source) {
        const auto exchange =
            std::make_shared<recording_exchange>(view_, settings_.caller_position);
        const auto id = dispatcher_.on_request(codec_.decode("/x/1", exchange->request().headers),
                                               1, clock_.now());
        flow_ = std::make_unique<request_flow>(*this, id, exchange, "r1");
        execute_effects();
        const auto until = clock_.now() + max_play_time;
        while (!is_finished_ && clock_.now() < until) {
            run_ready();
            serve_next(source, until);
        }
        run_ready();
        return view_;
    }

    /** Number of connections that were served. */
    std::size_t attempts() const noexcept { return attempts_; }

    time_point now() const override { return clock_.now(); }
    edge::upstream_pool& pool() override { return pool_; }
    const serving::request_codec& codec() const override { return codec_; }
    liveness_checker& liveness() override { return liveness_; }
    serving::dispatcher& dispatcher() override { return dispatcher_; }
    void on_response_head(serving::request_handle id,
                          const serving::response_metadata& head) override {
        dispatcher_.on_response_head(id, head, now());
        execute_effects();
    }
    void on_stream_attempt(serving::request_handle, const stream_attempt_report&) override {}
    void on_attempt_ended(serving::request_handle id, serving::attempt_outcome outcome) override {
        dispatcher_.on_attempt_ended(id, outcome, now());
        execute_effects();
    }
    void on_request_finished(serving::request_handle, int) override { is_finished_ = true; }

private:
    using tcp = boost::asio::ip::tcp;
    static constexpr duration max_play_time{3'000};

    void configure_dispatcher() {
        serving::route route;
        route.host = "a.example";
        route.path_prefix = "/x/";
        route.kind = settings_.kind;
        route.is_resumable = settings_.is_resumable;
        route.timeout = duration{4'000};
        route.latency_objective = duration{500};
        route.max_attempts = settings_.max_attempts;
        route.services = {{"desk", 1}};
        serving::service_catalogue catalogue;
        catalogue.version = 1;
        catalogue.routes = {route};
        catalogue.services = {{"desk", std::nullopt}};
        dispatcher_.set_catalogue(catalogue, clock_.now());
        for (std::uint32_t i = 0; i < settings_.max_attempts; ++i) {
            serving::backend_server each;
            each.id = "desk-" + std::to_string(i);
            each.service = "desk";
            each.address = {"127.0.0.1", acceptor_.local_endpoint().port()};
            dispatcher_.backends().put(each);
        }
    }

    void execute_effects() {
        for (const auto& each : dispatcher_.take_effects()) {
            if (const auto* end = std::get_if<serving::end_request>(&each)) {
                flow_->finish(*end);
            } else if (const auto* send = std::get_if<serving::send_attempt>(&each)) {
                flow_->start_attempt(*send);
            }
        }
    }

    void run_ready() {
        loop_.restart();
        while (loop_.poll() > 0) {
        }
    }

    void serve_next(const script_source& source, time_point until) {
        boost::system::error_code error;
        tcp::socket socket(server_loop_);
        acceptor_.accept(socket, error);
        if (error) {
            return; // no connection yet
        }
        socket.non_blocking(true);
        socket.set_option(tcp::no_delay(true));
        const auto head = read_head(socket, until);
        const bool is_liveness_request = head.find(" /alive ") != std::string::npos;
        const auto script = is_liveness_request ? alive_script() : source(head);
        if (!is_liveness_request) {
            ++attempts_;
            has_crashed_ = script.is_crash;
        }
        send(socket, script, until);
        if (script.is_reset) {
            socket.set_option(boost::asio::socket_base::linger(true, 0), error);
        }
        socket.close(error);
        run_ready();
    }

    /** What the server of the latest attempt sends when it is asked whether it is alive. */
    wire_script alive_script() const {
        wire_script out;
        out.bytes = has_crashed_ ? "" : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        return out;
    }

    std::string read_head(tcp::socket& socket, time_point until) {
        std::string head;
        std::string part(4'096, '\0');
        while (head.find("\r\n\r\n") == std::string::npos && clock_.now() < until) {
            boost::system::error_code error;
            const auto size = socket.read_some(boost::asio::buffer(part), error);
            head.append(part, 0, size);
            if (error && error != boost::asio::error::would_block) {
                break;
            }
            run_ready();
        }
        return head;
    }

    void send(tcp::socket& socket, const wire_script& script, time_point until) {
        std::size_t at = 0;
        for (std::size_t i = 0; at < script.bytes.size() && clock_.now() < until; ++i) {
            const auto wanted = script.fragments.empty()
                                    ? script.bytes.size()
                                    : script.fragments[i % script.fragments.size()];
            const auto size = std::min(std::max<std::size_t>(wanted, 1), script.bytes.size() - at);
            boost::system::error_code error;
            at += socket.write_some(boost::asio::buffer(script.bytes.data() + at, size), error);
            if (error && error != boost::asio::error::would_block) {
                return; // the flow has closed the connection
            }
            run_ready();
        }
    }

    boost::asio::io_context loop_;
    boost::asio::io_context server_loop_; // never run: the server's calls are synchronous
    monotonic_clock clock_;
    tcp::acceptor acceptor_;
    play_settings settings_;
    edge::upstream_pool pool_;
    position_codec codec_;
    liveness_checker liveness_;
    serving::dispatcher dispatcher_;
    caller_view view_;
    std::unique_ptr<request_flow> flow_;
    bool is_finished_ = false;
    bool has_crashed_ = false; /**< The server of the latest attempt. */
    std::size_t attempts_ = 0;
};

} // namespace camphorgrade::entry::stream_test
