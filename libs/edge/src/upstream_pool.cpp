#include "upstream_connection.h"

#include <algorithm>

namespace camphorgrade::edge {

/** Gives up its connection's call when it is destroyed. */
class upstream_pool::handle final : public upstream_call {
public:
    handle(std::weak_ptr<connection> on, std::uint64_t number)
        : on_(std::move(on)), number_(number) {}

    ~handle() override {
        if (const auto connection = on_.lock()) {
            connection->cancel(number_);
        }
    }

    void set_timeout(duration time) override {
        if (const auto connection = on_.lock()) {
            connection->set_timeout(number_, time);
        }
    }

private:
    std::weak_ptr<connection> on_;
    std::uint64_t number_;
};

upstream_pool::upstream_pool(boost::asio::io_context& loop, const clock& clock,
                             upstream_settings settings)
    : state_(std::make_shared<state>(loop, clock, settings)) {}

upstream_pool::~upstream_pool() {
    state_->is_closing = true;
    const auto idle = std::move(state_->idle);
    state_->idle.clear();
    for (const auto& [address, connections] : idle) {
        for (const auto& each : connections) {
            each->close();
        }
    }
}

std::unique_ptr<upstream_call> upstream_pool::start(const upstream_address& to,
                                                    const upstream_request& request,
                                                    upstream_sink& sink) {
    std::shared_ptr<connection> chosen;
    auto& idle = state_->idle[to];
    const auto now = state_->time.now();
    while (!idle.empty() && !chosen) {
        auto last = std::move(idle.back());
        idle.pop_back();
        if (last->is_usable(now)) {
            chosen = std::move(last);
        } else {
            last->close();
        }
    }
    if (!chosen) {
        chosen = std::make_shared<connection>(state_, to);
    }
    const auto number = chosen->start(request, sink);
    return std::make_unique<handle>(chosen, number);
}

void upstream_pool::close_idle(const upstream_address& address) {
    const auto found = state_->idle.find(address);
    if (found == state_->idle.end()) {
        return;
    }
    const auto connections = std::move(found->second);
    state_->idle.erase(found);
    for (const auto& each : connections) {
        each->close();
    }
}

} // namespace camphorgrade::edge
