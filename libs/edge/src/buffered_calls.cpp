#include <edge/buffered_calls.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace camphorgrade::edge {

class buffered_calls::call final : public upstream_sink, public buffer_holder {
public:
    call(buffered_calls& owner, std::uint64_t id, completion_handler callback)
        : owner_(owner), id_(id), callback_(std::move(callback)), timer_(owner.loop_),
          share_(owner.pool_.budget(), *this) {}

    void begin(const upstream_address& to, const upstream_request& request, duration timeout) {
        timer_.expires_after(timeout);
        timer_.async_wait([this, is_alive = std::weak_ptr<int>(liveness_)](
                              const boost::system::error_code& error) {
            if (!error && !is_alive.expired()) {
                finish(call_outcome::timed_out);
            }
        });
        handle_ = owner_.pool_.start(to, request, *this);
    }

    void on_head(const http_head& head, const upstream_framing& framing) override {
        static_cast<void>(framing);
        response_.head = head;
    }

    void on_body(std::string_view bytes) override {
        response_.body.append(bytes);
        const auto size = response_.body.size();
        share_.set(size > max_uncounted_bytes ? size : 0);
        if (response_.body.size() > max_body_bytes) {
            handle_.reset();
            finish(call_outcome::broken);
        }
    }

    bool release_buffers() override {
        if (is_ended_) {
            return false;
        }
        handle_.reset();
        response_.body = {};
        share_.set(0);
        finish(call_outcome::broken);
        return true;
    }

    void on_end() override { finish(call_outcome::answered); }

    void on_failure(upstream_failure failure) override {
        finish(failure == upstream_failure::not_connected ? call_outcome::not_connected
                                                          : call_outcome::broken);
    }

private:
    /** Pages of the store and of peers, which this process needs itself, are below this size. */
    static constexpr std::size_t max_uncounted_bytes = std::size_t{1} * 1024 * 1024;

    /**
     * Runs the callback and destroys this call from the event loop, since the pool may still be
     * using this call further up the stack.
     */
    void finish(call_outcome outcome) {
        if (is_ended_) {
            return;
        }
        is_ended_ = true;
        timer_.cancel();
        boost::asio::post(owner_.loop_, [owner = &owner_, id = id_, outcome,
                                         is_alive = std::weak_ptr<int>(liveness_)] {
            if (is_alive.expired()) {
                return;
            }
            const auto entry = owner->open_calls_.find(id);
            const auto self = std::move(entry->second);
            owner->open_calls_.erase(entry);
            self->handle_.reset();
            self->callback_(outcome, self->response_);
        });
    }

    buffered_calls& owner_;
    std::uint64_t id_;
    completion_handler callback_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<upstream_call> handle_;
    buffered_response response_;
    buffer_share share_;
    bool is_ended_ = false;
    /** Posted functions watch it to detect that this call was destroyed. */
    std::shared_ptr<int> liveness_ = std::make_shared<int>(0);
};

buffered_calls::buffered_calls(boost::asio::io_context& loop, upstream_pool& pool)
    : loop_(loop), pool_(pool) {}

buffered_calls::~buffered_calls() = default;

void buffered_calls::start(const upstream_address& to, const upstream_request& request,
                           duration timeout, completion_handler callback) {
    const auto id = next_id_++;
    auto& started = open_calls_[id];
    started = std::make_unique<call>(*this, id, std::move(callback));
    started->begin(to, request, timeout);
}

} // namespace camphorgrade::edge
