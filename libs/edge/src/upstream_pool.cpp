#include "upstream_connection.h"

#include <algorithm>

namespace camphorgrade::edge {

/** Cancels the call on its connection when it is destroyed. */
class upstream_pool::handle final : public upstream_call {
public:
    handle(std::weak_ptr<connection> owner, std::uint64_t number)
        : connection_(std::move(owner)), number_(number) {}

    ~handle() override {
        if (const auto connection = connection_.lock()) {
            connection->cancel(number_);
        }
    }

    void set_timeout(duration timeout) override {
        if (const auto connection = connection_.lock()) {
            connection->set_timeout(number_, timeout);
        }
    }

private:
    std::weak_ptr<connection> connection_;
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
    std::shared_ptr<connection> available;
    auto& idle = state_->idle[to];
    const auto now = state_->time_source.now();
    while (!idle.empty() && !available) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        if (candidate->is_usable(now)) {
            available = std::move(candidate);
        } else {
            candidate->close();
        }
    }
    if (!available) {
        available = std::make_shared<connection>(state_, to);
    }
    const auto number = available->start(request, sink);
    return std::make_unique<handle>(available, number);
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
