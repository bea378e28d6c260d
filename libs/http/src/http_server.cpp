#include "civetweb_connection.h"
#include "exchange.h"
#include "socket_finder.h"

#include <http/http_server.h>
#include <kernel/check.h>
#include <kernel/clock.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <civetweb.h>
#include <poll.h>
#include <sys/socket.h>

namespace camphorgrade {

namespace leaf = boost::leaf;

namespace {

/** Threads beyond the connections served, so that those too many hear a refusal. */
constexpr std::size_t refusal_threads = 4;

/** Connections are not kept alive once this share of them, in parts of four, is in use. */
constexpr std::size_t keep_alive_quarters = 3;

/** Read beyond the limits on headers, so that most who exceed them still hear why. */
constexpr std::size_t header_slack_bytes = std::size_t{64} * 1024;
constexpr std::size_t drain_block_bytes = std::size_t{16} * 1024;

/** A refused body is read and dropped up to this many times the largest one allowed. */
constexpr std::size_t drain_factor = 4;

constexpr int no_descriptor = -1;

struct library_guard {
    library_guard() { mg_init_library(MG_FEATURES_DEFAULT); }
    ~library_guard() { mg_exit_library(); }
    library_guard(const library_guard&) = delete;
    library_guard& operator=(const library_guard&) = delete;
};

/** What we know of a connection beyond CivetWeb; lives as long as the connection. */
struct connection_state {
    int descriptor = no_descriptor;
    bool is_excess = false;
    time_point idle_since{};
};

} // namespace

/** Glue between CivetWeb's callbacks and the exchanges. */
class http_server::implementation {
public:
    implementation(const http_server_settings& settings, request_handler& handler,
                   const fault_formatter& formatter)
        : settings_(settings), handler_(handler), formatter_(formatter) {}

    ~implementation() { stop(); }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    bool listen();
    void stop();

    std::uint16_t bound_port() const noexcept { return bound_port_; }

    std::size_t open_exchanges() const {
        const std::lock_guard lock(mutex_);
        return exchanges_.size();
    }

private:
    static implementation& of(const mg_connection* connection);
    static connection_state* state_of(const mg_connection* connection);

    static int begin_request(mg_connection* connection);
    static int http_error(mg_connection* connection, int status, const char* message);
    static int init_connection(const mg_connection* connection, void** state);
    static void connection_closing(const mg_connection* connection);
    static int drop_log(const mg_connection* /*connection*/, const char* /*text*/) { return 1; }

    void add_connection(connection_state& state);
    void find_descriptor(const mg_connection* connection, connection_state& state);
    void remove_connection(const connection_state& state);
    bool keeps_alive() const;

    void serve(mg_connection* connection);
    void refuse(mg_connection* connection, request_fault fault);
    void drain(int descriptor) const;
    void run_exchange(mg_connection* connection, http_request request, answer_framing framing);
    std::optional<caller_loss> deliver(mg_connection* connection, exchange& answer,
                                       const answer_framing& framing);
    std::shared_ptr<exchange> open_exchange(exchange_id id, int descriptor);
    void close_exchange(exchange_id id);

    const library_guard library_;
    const http_server_settings settings_;
    request_handler& handler_;
    const fault_formatter& formatter_;
    const system_clock clock_;
    mg_context* context_ = nullptr;
    std::uint16_t bound_port_ = 0;

    mutable std::mutex mutex_;
    std::map<exchange_id, std::shared_ptr<exchange>> exchanges_;
    std::size_t connection_count_ = 0;
    std::vector<int> descriptors_;
    bool stopping_ = false;
    std::uint64_t last_exchange_ = 0;
};

bool http_server::implementation::listen() {
    const std::string port = settings_.address + ":" + std::to_string(settings_.port) +
                             (settings_.certificate_path.empty() ? "" : "s");
    const std::string threads = std::to_string(settings_.max_connections + refusal_threads);
    const std::string timeout = std::to_string(settings_.request_timeout.count());
    const std::string keep_alive = std::to_string(settings_.keep_alive_timeout.count());
    const std::string request_size =
        std::to_string(settings_.headers.max_bytes + settings_.max_uri_bytes + header_slack_bytes);
    std::vector<const char*> options{"listening_ports",
                                     port.c_str(),
                                     "num_threads",
                                     threads.c_str(),
                                     "request_timeout_ms",
                                     timeout.c_str(),
                                     "enable_keep_alive",
                                     "yes",
                                     "keep_alive_timeout_ms",
                                     keep_alive.c_str(),
                                     "max_request_size",
                                     request_size.c_str(),
                                     "tcp_nodelay",
                                     "1",
                                     "decode_url",
                                     "no",
                                     "enable_auth_domain_check",
                                     "no"};
    if (!settings_.certificate_path.empty()) {
        options.insert(options.end(), {"ssl_certificate", settings_.certificate_path.c_str()});
    }
    options.push_back(nullptr);

    mg_callbacks callbacks{};
    callbacks.begin_request = begin_request;
    callbacks.http_error = http_error;
    callbacks.init_connection = init_connection;
    callbacks.connection_close = connection_closing;
    callbacks.log_message = drop_log;
    callbacks.log_access = drop_log;
    context_ = mg_start(&callbacks, this, options.data());
    if (context_ == nullptr) {
        return false;
    }
    mg_server_port bound{};
    if (mg_get_server_ports(context_, 1, &bound) == 1) {
        bound_port_ = static_cast<std::uint16_t>(bound.port);
    }
    return true;
}

void http_server::implementation::stop() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        for (const auto& [id, open] : exchanges_) {
            open->lose(caller_loss::stopping);
        }
        for (const int descriptor : descriptors_) {
            ::shutdown(descriptor, SHUT_RD);
        }
    }
    if (context_ != nullptr) {
        // Wakes the accepting thread, which else looks for the end only every two seconds.
        ::shutdown(find_listening_socket(bound_port_), SHUT_RDWR);
        mg_stop(std::exchange(context_, nullptr));
    }
}

http_server::implementation& http_server::implementation::of(const mg_connection* connection) {
    return *static_cast<implementation*>(mg_get_user_data(mg_get_context(connection)));
}

connection_state* http_server::implementation::state_of(const mg_connection* connection) {
    return static_cast<connection_state*>(mg_get_user_connection_data(connection));
}

int http_server::implementation::begin_request(mg_connection* connection) {
    of(connection).serve(connection);
    return 1;
}

int http_server::implementation::http_error(mg_connection* connection, int status,
                                            const char* /*message*/) {
    implementation& self = of(connection);
    const connection_state* const state = state_of(connection);
    const bool is_late =
        state != nullptr && self.clock_.now() - state->idle_since >= self.settings_.request_timeout;
    if (status == http_status(request_fault::body_too_large)) {
        self.refuse(connection, request_fault::headers_too_large);
    } else {
        self.refuse(connection, is_late ? request_fault::timed_out : request_fault::malformed);
    }
    return 0;
}

int http_server::implementation::init_connection(const mg_connection* connection, void** state) {
    auto fresh = std::make_unique<connection_state>();
    of(connection).add_connection(*fresh);
    *state = fresh.release();
    return 0;
}

void http_server::implementation::connection_closing(const mg_connection* connection) {
    const std::unique_ptr<connection_state> state(state_of(connection));
    if (state != nullptr) {
        of(connection).remove_connection(*state);
    }
}

void http_server::implementation::add_connection(connection_state& state) {
    state.idle_since = clock_.now();
    const std::lock_guard lock(mutex_);
    ++connection_count_;
    state.is_excess = connection_count_ > settings_.max_connections;
}

void http_server::implementation::find_descriptor(const mg_connection* connection,
                                                  connection_state& state) {
    if (state.descriptor != no_descriptor) {
        return;
    }
    const mg_request_info& info = *mg_get_request_info(connection);
    state.descriptor =
        find_connected_socket(info.remote_addr, static_cast<std::uint16_t>(info.remote_port),
                              static_cast<std::uint16_t>(info.server_port));
    const std::lock_guard lock(mutex_);
    descriptors_.push_back(state.descriptor);
}

void http_server::implementation::remove_connection(const connection_state& state) {
    const std::lock_guard lock(mutex_);
    --connection_count_;
    const auto found = std::find(descriptors_.begin(), descriptors_.end(), state.descriptor);
    if (found != descriptors_.end()) {
        descriptors_.erase(found);
    }
}

bool http_server::implementation::keeps_alive() const {
    const std::lock_guard lock(mutex_);
    return !stopping_ && 4 * connection_count_ <= keep_alive_quarters * settings_.max_connections;
}

void http_server::implementation::serve(mg_connection* connection) {
    connection_state& state = *state_of(connection);
    if (state.is_excess) {
        refuse(connection, request_fault::too_busy);
        return;
    }
    find_descriptor(connection, state);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(request, read_request(connection, settings_));
            answer_framing framing = framing_of(connection);
            framing.close = framing.close || !keeps_alive();
            run_exchange(connection, std::move(request), framing);
            return {};
        },
        [&](request_fault fault) { refuse(connection, fault); },
        [&] { refuse(connection, request_fault::malformed); });
    state.idle_since = clock_.now();
}

void http_server::implementation::refuse(mg_connection* connection, request_fault fault) {
    mg_disable_keep_alive(connection);
    answer_framing framing;
    framing.close = true;
    send_whole(connection, formatter_.format(fault), framing);
    const connection_state* const state = state_of(connection);
    if (state != nullptr && state->descriptor != no_descriptor) {
        drain(state->descriptor);
    }
}

/** Discards what still comes in: closing over unread bytes would reset the refusal away. */
void http_server::implementation::drain(int descriptor) const {
    ::shutdown(descriptor, SHUT_WR);
    const time_point deadline = clock_.now() + settings_.request_timeout;
    std::size_t left = drain_factor * settings_.max_body_bytes;
    std::array<char, drain_block_bytes> block{};
    for (time_point now = clock_.now(); left > 0 && now < deadline; now = clock_.now()) {
        pollfd watch{descriptor, POLLIN, 0};
        ::poll(&watch, 1, static_cast<int>((deadline - now).count()));
        const ssize_t got = ::recv(descriptor, block.data(), std::min(left, block.size()), 0);
        if (got <= 0) {
            return;
        }
        left -= static_cast<std::size_t>(got);
    }
}

void http_server::implementation::run_exchange(mg_connection* connection, http_request request,
                                               answer_framing framing) {
    exchange_id id;
    {
        const std::lock_guard lock(mutex_);
        id = exchange_id{++last_exchange_};
    }
    const auto answer = open_exchange(id, state_of(connection)->descriptor);
    handler_.on_request(id, std::move(request), make_exchange_writer(answer));
    const std::optional<caller_loss> loss = deliver(connection, *answer, framing);
    answer->finish();
    close_exchange(id);
    if (framing.close || loss) {
        mg_disable_keep_alive(connection);
    }
    if (loss) {
        handler_.on_caller_lost(id, *loss);
    }
}

/** Sends the parts of an answer as they come; returns why the caller missed some of it. */
std::optional<caller_loss> http_server::implementation::deliver(mg_connection* connection,
                                                                exchange& answer,
                                                                const answer_framing& framing) {
    for (;;) {
        auto next = answer.wait();
        if (const auto* loss = std::get_if<caller_loss>(&next)) {
            return *loss;
        }
        const response_part& part = std::get<response_part>(next);
        bool sent = true;
        if (const auto* whole = std::get_if<http_response>(&part)) {
            sent = send_whole(connection, *whole, framing);
        } else if (const auto* head = std::get_if<http_head>(&part)) {
            if (framing.is_http_10) {
                refuse(connection, request_fault::unsupported);
                return caller_loss::closed;
            }
            sent = send_stream_head(connection, *head, framing);
        } else if (const auto* chunk = std::get_if<http_chunk>(&part)) {
            sent = framing.without_body || send_stream_chunk(connection, chunk->bytes);
        } else if (std::holds_alternative<http_end>(part)) {
            sent = framing.without_body || send_stream_end(connection);
        } else {
            mg_disable_keep_alive(connection);
            return std::nullopt;
        }
        if (!sent) {
            return answer.loss().value_or(caller_loss::closed);
        }
        if (std::holds_alternative<http_response>(part) || std::holds_alternative<http_end>(part)) {
            return std::nullopt;
        }
    }
}

std::shared_ptr<exchange> http_server::implementation::open_exchange(exchange_id id,
                                                                     int descriptor) {
    auto opened = std::make_shared<exchange>(descriptor, settings_.max_pending_bytes);
    const std::lock_guard lock(mutex_);
    if (stopping_) {
        opened->lose(caller_loss::stopping);
    }
    exchanges_.emplace(id, opened);
    return opened;
}

void http_server::implementation::close_exchange(exchange_id id) {
    const std::lock_guard lock(mutex_);
    exchanges_.erase(id);
}

http_server::http_server(std::unique_ptr<implementation> started)
    : implementation_(std::move(started)) {}

http_server::~http_server() = default;

leaf::result<std::unique_ptr<http_server>> http_server::start(const http_server_settings& settings,
                                                              request_handler& handler,
                                                              const fault_formatter& formatter) {
    CAMPHOR_PRECONDITION(settings.max_connections > 0);
    auto started = std::make_unique<implementation>(settings, handler, formatter);
    if (!started->listen()) {
        return leaf::new_error(http_server_error::cannot_listen);
    }
    return std::unique_ptr<http_server>(new http_server(std::move(started)));
}

std::uint16_t http_server::bound_port() const noexcept {
    return implementation_->bound_port();
}

std::size_t http_server::open_exchanges() const {
    return implementation_->open_exchanges();
}

void http_server::stop() {
    implementation_->stop();
}

} // namespace camphorgrade
