#include "fault_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace camphorgrade::soak {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t chunk_bytes = 16'384;

void close_with_reset(tcp::socket& socket) {
    error_code ignored; // a socket that is already closed needs no reset
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

/** State shared by all connections of a link. */
class fault_link::state : public std::enable_shared_from_this<state> {
public:
    state(boost::asio::io_context& event_loop, const clock& clock, const tcp::endpoint& listen,
          tcp::endpoint to)
        : loop(event_loop), time_source(clock), acceptor(event_loop, listen),
          target(std::move(to)) {}

    void accept();
    void prune();
    bool stalls(direction affected) const {
        return is_stalled &&
               (stalled_direction == affected || stalled_direction == direction::both);
    }
    bool is_faulty() const { return is_stalled || refuses_connections || delay > duration::zero(); }

    boost::asio::io_context& loop;
    const clock& time_source;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::vector<std::shared_ptr<session>> sessions;
    duration delay{};
    bool is_stalled = false;
    direction stalled_direction = direction::both;
    bool refuses_connections = false;
    time_point last_fault{};
};

/** One connection through the link. */
class fault_link::session : public std::enable_shared_from_this<session> {
public:
    session(std::shared_ptr<state> link, tcp::socket client)
        : link_(std::move(link)), client_(std::move(client)),
          server_(link_->loop), to_target_{client_, server_, direction::to_target,
                                           boost::asio::steady_timer(link_->loop)},
          from_target_{server_, client_, direction::from_target,
                       boost::asio::steady_timer(link_->loop)} {}

    void start() {
        server_.async_connect(link_->target, [self = shared_from_this()](const error_code& error) {
            if (error) {
                self->reset();
                return;
            }
            error_code ignored; // without this option the bytes only arrive later
            self->client_.set_option(tcp::no_delay(true), ignored);
            self->server_.set_option(tcp::no_delay(true), ignored);
            self->read(self->to_target_);
            self->read(self->from_target_);
        });
    }

    void blackhole() { is_blackholed_ = true; }

    void reset() {
        is_closed_ = true;
        close_with_reset(client_);
        close_with_reset(server_);
    }

    void resume() {
        resume(to_target_);
        resume(from_target_);
    }

    bool is_closed() const {
        return is_closed_ || (to_target_.is_finished && from_target_.is_finished);
    }

private:
    struct byte_flow {
        tcp::socket& from;
        tcp::socket& to;
        direction flow_direction;
        boost::asio::steady_timer timer;
        std::array<char, chunk_bytes> bytes{};
        std::size_t filled = 0;
        bool is_waiting = false; // holds bytes until the stall ends
        bool is_finished = false;
        bool sender_closed = false; // end of stream received
    };

    bool must_stall(const byte_flow& flow) const {
        return is_blackholed_ || link_->stalls(flow.flow_direction);
    }

    void read(byte_flow& flow) {
        flow.from.async_read_some(
            boost::asio::buffer(flow.bytes),
            [self = shared_from_this(), &flow](const error_code& error, std::size_t read) {
                flow.filled = read;
                flow.sender_closed = error == boost::asio::error::eof;
                if (error && !flow.sender_closed) {
                    self->reset();
                    return;
                }
                self->forward(flow);
            });
    }

    void forward(byte_flow& flow) {
        if (must_stall(flow)) {
            flow.is_waiting = true;
            return;
        }
        flow.timer.expires_after(link_->delay);
        flow.timer.async_wait([self = shared_from_this(), &flow](const error_code&) {
            if (self->must_stall(flow)) {
                flow.is_waiting = true;
            } else {
                self->write(flow);
            }
        });
    }

    void write(byte_flow& flow) {
        if (flow.sender_closed) {
            error_code ignored; // the peer may have closed the connection already
            flow.to.shutdown(tcp::socket::shutdown_send, ignored);
            flow.is_finished = true;
            return;
        }
        boost::asio::async_write(
            flow.to, boost::asio::buffer(flow.bytes.data(), flow.filled),
            [self = shared_from_this(), &flow](const error_code& error, std::size_t) {
                if (error) {
                    self->reset();
                } else {
                    self->read(flow);
                }
            });
    }

    void resume(byte_flow& flow) {
        if (flow.is_waiting && !must_stall(flow)) {
            flow.is_waiting = false;
            forward(flow);
        }
    }

    std::shared_ptr<state> link_;
    tcp::socket client_;
    tcp::socket server_;
    byte_flow to_target_;
    byte_flow from_target_;
    bool is_blackholed_ = false;
    bool is_closed_ = false;
};

void fault_link::state::prune() {
    std::erase_if(sessions, [](const auto& each) { return each->is_closed(); });
}

void fault_link::state::accept() {
    acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket client) {
        if (error) {
            return; // the link was destroyed
        }
        self->prune();
        if (self->refuses_connections) {
            close_with_reset(client);
        } else {
            self->sessions.push_back(std::make_shared<session>(self, std::move(client)));
            self->sessions.back()->start();
        }
        self->accept();
    });
}

fault_link::fault_link(boost::asio::io_context& loop, const clock& clock,
                       const tcp::endpoint& listen, const tcp::endpoint& target)
    : state_(std::make_shared<state>(loop, clock, listen, target)) {
    state_->accept();
}

fault_link::~fault_link() {
    error_code ignored; // the listener is no longer used
    state_->acceptor.close(ignored);
    reset_connections();
}

void fault_link::set_delay(duration delay) {
    state_->delay = delay;
}

void fault_link::stall(direction affected) {
    state_->is_stalled = true;
    state_->stalled_direction = affected;
}

void fault_link::blackhole_open_connections() {
    for (const auto& each : state_->sessions) {
        each->blackhole();
    }
    state_->last_fault = state_->time_source.now();
}

void fault_link::reset_connections() {
    for (const auto& each : state_->sessions) {
        each->reset();
    }
    state_->sessions.clear();
    state_->last_fault = state_->time_source.now();
}

void fault_link::refuse_connections() {
    state_->refuses_connections = true;
    reset_connections();
}

void fault_link::clear_faults() {
    if (state_->is_faulty()) {
        state_->last_fault = state_->time_source.now();
    }
    state_->delay = duration::zero();
    state_->is_stalled = false;
    state_->refuses_connections = false;
    for (const auto& each : state_->sessions) {
        each->resume();
    }
}

duration fault_link::fault_free_time(time_point now) const {
    return state_->is_faulty() ? duration::zero() : now - state_->last_fault;
}

} // namespace camphorgrade::soak
