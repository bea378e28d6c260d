#include "exchange.h"

#include <kernel/check.h>

#include <array>
#include <cstdint>
#include <utility>

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorgrade {

namespace {

constexpr int no_connection = -1;

std::size_t size_of(const response_part& part) {
    if (const auto* chunk = std::get_if<http_chunk>(&part)) {
        return chunk->bytes.size();
    }
    if (const auto* whole = std::get_if<http_response>(&part)) {
        return whole->body.size();
    }
    return 0;
}

/** Forwards to an exchange and checks the order of calls. */
class exchange_writer final : public response_writer {
public:
    explicit exchange_writer(std::shared_ptr<exchange> target) : target_(std::move(target)) {}

    ~exchange_writer() override {
        if (state_ != state::over) {
            target_->push(response_cut{});
        }
    }

    bool respond(http_response response) override {
        CAMPHOR_PRECONDITION(state_ == state::fresh);
        state_ = state::over;
        return target_->push(std::move(response));
    }

    bool start(http_head head) override {
        CAMPHOR_PRECONDITION(state_ == state::fresh);
        state_ = state::streaming;
        return target_->push(std::move(head));
    }

    bool chunk(std::string bytes) override {
        CAMPHOR_PRECONDITION(state_ == state::streaming);
        return target_->push(http_chunk{std::move(bytes)});
    }

    bool end() override {
        CAMPHOR_PRECONDITION(state_ == state::streaming);
        state_ = state::over;
        return target_->push(http_end{});
    }

private:
    enum class state { fresh, streaming, over };

    std::shared_ptr<exchange> target_;
    state state_ = state::fresh;
};

} // namespace

exchange::exchange(int connection, std::size_t max_pending_bytes)
    : max_pending_bytes_(max_pending_bytes), connection_(connection),
      wake_event_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

exchange::~exchange() {
    if (wake_event_ >= 0) {
        ::close(wake_event_);
    }
}

bool exchange::push(response_part part) {
    const std::lock_guard lock(mutex_);
    if (loss_) {
        return false;
    }
    const std::size_t size = size_of(part);
    if (!parts_.empty() && pending_bytes_ + size > max_pending_bytes_) {
        lose_locked(caller_loss::too_slow);
        return false;
    }
    pending_bytes_ += size;
    parts_.push_back(std::move(part));
    wake_locked();
    return true;
}

std::variant<response_part, caller_loss> exchange::wait() {
    for (;;) {
        int watched = no_connection;
        {
            const std::lock_guard lock(mutex_);
            is_waiting_ = !loss_ && parts_.empty();
            if (loss_) {
                return *loss_;
            }
            if (!parts_.empty()) {
                return take_locked();
            }
            watched = connection_;
        }
        sleep(watched);
    }
}

response_part exchange::take_locked() {
    response_part first = std::move(parts_.front());
    parts_.pop_front();
    pending_bytes_ -= size_of(first);
    auto* const chunk = std::get_if<http_chunk>(&first);
    while (chunk != nullptr && !parts_.empty()) {
        const auto* const next = std::get_if<http_chunk>(&parts_.front());
        if (next == nullptr) {
            break;
        }
        chunk->bytes += next->bytes;
        pending_bytes_ -= next->bytes.size();
        parts_.pop_front();
    }
    return first;
}

/** Until there is something to do, or the caller has hung up. */
void exchange::sleep(int watched) {
    std::array<pollfd, 2> watch{pollfd{wake_event_, POLLIN, 0}, pollfd{watched, POLLRDHUP, 0}};
    ::poll(watch.data(), watch.size(), -1);
    if (watch[0].revents != 0) {
        std::uint64_t wakes = 0;
        [[maybe_unused]] const auto drained = ::read(wake_event_, &wakes, sizeof wakes);
    } else if (watch[1].revents != 0) {
        lose(caller_loss::closed);
    }
}

void exchange::lose(caller_loss why) {
    const std::lock_guard lock(mutex_);
    lose_locked(why);
}

void exchange::finish() {
    const std::lock_guard lock(mutex_);
    connection_ = no_connection;
    if (!loss_) {
        loss_ = caller_loss::closed;
    }
}

std::optional<caller_loss> exchange::loss() const {
    const std::lock_guard lock(mutex_);
    return loss_;
}

void exchange::lose_locked(caller_loss why) {
    if (loss_) {
        return;
    }
    loss_ = why;
    parts_.clear();
    // Wakes the connection's thread out of a write that waits for the reader.
    if (connection_ != no_connection) {
        ::shutdown(connection_, SHUT_RDWR);
    }
    wake_locked();
}

void exchange::wake_locked() {
    if (!std::exchange(is_waiting_, false)) {
        return;
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(wake_event_, &one, sizeof one);
}

std::unique_ptr<response_writer> make_exchange_writer(std::shared_ptr<exchange> target) {
    return std::make_unique<exchange_writer>(std::move(target));
}

} // namespace camphorgrade
