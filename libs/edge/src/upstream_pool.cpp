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

std::shared_ptr<upstream_pool::connection>
upstream_pool::state::take_idle(const upstream_address& to, const upstream_request& request) {
    const auto found = idle.find(to);
    if (found == idle.end()) {
        return nullptr;
    }
    auto& candidates = found->second;
    const auto now = time_source.now();
    if (unframed.contains(to, now)) {
        return nullptr;
    }
    for (auto position = candidates.size(); position-- > 0;) {
        if (!candidates[position]->can_attribute(request)) {
            continue;
        }
        auto candidate = std::move(candidates[position]);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(position));
        --idle_connections;
        if (candidate->is_usable(now)) {
            return candidate;
        }
        candidate->close();
    }
    return nullptr;
}

upstream_pool::upstream_pool(boost::asio::io_context& loop, const clock& clock,
                             upstream_settings settings, buffer_budget* budget)
    : state_(std::make_shared<state>(loop, clock, settings)), budget_(budget) {}

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
    auto available = state_->take_idle(to, request);
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
    state_->idle_connections -= connections.size();
    for (const auto& each : connections) {
        each->close();
    }
}

} // namespace camphorgrade::edge
