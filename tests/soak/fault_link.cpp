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
    error_code ignored; // a socket that is closed already needs no reset
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

/** What all connections of a link share. */
class fault_link::state : public std::enable_shared_from_this<state> {
public:
    state(boost::asio::io_context& own_loop, const clock& clock, const tcp::endpoint& listen,
          tcp::endpoint to)
        : loop(own_loop), time(clock), acceptor(own_loop, listen), target(std::move(to)) {}

    void accept();
    void prune();
    bool holds(direction which) const {
        return silenced && (held == which || held == direction::both);
    }
    bool is_faulty() const { return silenced || refuses || delay > duration::zero(); }

    boost::asio::io_context& loop;
    const clock& time;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::vector<std::shared_ptr<session>> sessions;
    duration delay{};
    bool silenced = false;
    direction held = direction::both;
    bool refuses = false;
    time_point disturbed{};
};

/** One connection through the link. */
class fault_link::session : public std::enable_shared_from_this<session> {
public:
    session(std::shared_ptr<state> link, tcp::socket near)
        : link_(std::move(link)), near_(std::move(near)),
          far_(link_->loop), up_{near_, far_, direction::to_target,
                                 boost::asio::steady_timer(link_->loop)},
          down_{far_, near_, direction::from_target, boost::asio::steady_timer(link_->loop)} {}

    void start() {
        far_.async_connect(link_->target, [self = shared_from_this()](const error_code& error) {
            if (error) {
                self->reset();
                return;
            }
            error_code ignored; // without it the bytes only arrive later
            self->near_.set_option(tcp::no_delay(true), ignored);
            self->far_.set_option(tcp::no_delay(true), ignored);
            self->read(self->up_);
            self->read(self->down_);
        });
    }

    void strand() { is_stranded_ = true; }

    void reset() {
        is_closed_ = true;
        close_with_reset(near_);
        close_with_reset(far_);
    }

    void resume() {
        resume(up_);
        resume(down_);
    }

    bool is_closed() const { return is_closed_ || (up_.is_over && down_.is_over); }

private:
    struct half {
        tcp::socket& from;
        tcp::socket& to;
        direction which;
        boost::asio::steady_timer timer;
        std::array<char, chunk_bytes> bytes{};
        std::size_t filled = 0;
        bool is_parked = false;
        bool is_over = false;
        bool has_ended = false; // the sender closed its side
    };

    bool is_held(const half& which) const { return is_stranded_ || link_->holds(which.which); }

    void read(half& which) {
        which.from.async_read_some(
            boost::asio::buffer(which.bytes),
            [self = shared_from_this(), &which](const error_code& error, std::size_t read) {
                which.filled = read;
                which.has_ended = error == boost::asio::error::eof;
                if (error && !which.has_ended) {
                    self->reset();
                    return;
                }
                self->pass(which);
            });
    }

    void pass(half& which) {
        if (is_held(which)) {
            which.is_parked = true;
            return;
        }
        which.timer.expires_after(link_->delay);
        which.timer.async_wait([self = shared_from_this(), &which](const error_code&) {
            if (self->is_held(which)) {
                which.is_parked = true;
            } else {
                self->write(which);
            }
        });
    }

    void write(half& which) {
        if (which.has_ended) {
            error_code ignored; // the other side may have closed meanwhile
            which.to.shutdown(tcp::socket::shutdown_send, ignored);
            which.is_over = true;
            return;
        }
        boost::asio::async_write(
            which.to, boost::asio::buffer(which.bytes.data(), which.filled),
            [self = shared_from_this(), &which](const error_code& error, std::size_t) {
                if (error) {
                    self->reset();
                } else {
                    self->read(which);
                }
            });
    }

    void resume(half& which) {
        if (which.is_parked && !is_held(which)) {
            which.is_parked = false;
            pass(which);
        }
    }

    std::shared_ptr<state> link_;
    tcp::socket near_;
    tcp::socket far_;
    half up_;
    half down_;
    bool is_stranded_ = false;
    bool is_closed_ = false;
};

void fault_link::state::prune() {
    std::erase_if(sessions, [](const auto& each) { return each->is_closed(); });
}

void fault_link::state::accept() {
    acceptor.async_accept([self = shared_from_this()](const error_code& error, tcp::socket near) {
        if (error) {
            return; // the link is gone
        }
        self->prune();
        if (self->refuses) {
            close_with_reset(near);
        } else {
            self->sessions.push_back(std::make_shared<session>(self, std::move(near)));
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
    error_code ignored; // nothing depends on the listener any more
    state_->acceptor.close(ignored);
    reset();
}

void fault_link::delay(duration by) {
    state_->delay = by;
}

void fault_link::silence(direction which) {
    state_->silenced = true;
    state_->held = which;
}

void fault_link::strand() {
    for (const auto& each : state_->sessions) {
        each->strand();
    }
    state_->disturbed = state_->time.now();
}

void fault_link::reset() {
    for (const auto& each : state_->sessions) {
        each->reset();
    }
    state_->sessions.clear();
    state_->disturbed = state_->time.now();
}

void fault_link::refuse() {
    state_->refuses = true;
    reset();
}

void fault_link::heal() {
    if (state_->is_faulty()) {
        state_->disturbed = state_->time.now();
    }
    state_->delay = duration::zero();
    state_->silenced = false;
    state_->refuses = false;
    for (const auto& each : state_->sessions) {
        each->resume();
    }
}

duration fault_link::calm_for(time_point now) const {
    return state_->is_faulty() ? duration::zero() : now - state_->disturbed;
}

} // namespace camphorgrade::soak
