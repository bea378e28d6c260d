#include <edge/buffered_calls.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace camphorgrade::edge {

class buffered_calls::call final : public upstream_sink {
public:
    call(buffered_calls& owner, std::uint64_t id, completion_handler callback)
        : owner_(owner), id_(id), callback_(std::move(callback)), timer_(owner.loop_) {}

    void begin(const upstream_address& to, const upstream_request& request, duration timeout) {
        timer_.expires_after(timeout);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (!error) {
                end(call_outcome::timed_out);
            }
        });
        handle_ = owner_.pool_.start(to, request, *this);
    }

    void on_head(const http_head& head, const upstream_framing& framing) override {
        static_cast<void>(framing);
        answer_.head = head;
    }

    void on_body(std::string_view bytes) override {
        answer_.body.append(bytes);
        if (answer_.body.size() > max_body_bytes) {
            handle_.reset();
            end(call_outcome::broken);
        }
    }

    void on_end() override { end(call_outcome::answered); }

    void on_failure(upstream_failure why) override {
        end(why == upstream_failure::not_connected ? call_outcome::not_connected
                                                   : call_outcome::broken);
    }

private:
    /** Leaves the caller's stack first: the pool may still be using this call. */
    void end(call_outcome how) {
        if (is_ended_) {
            return;
        }
        is_ended_ = true;
        timer_.cancel();
        boost::asio::post(owner_.loop_,
                          [owner = &owner_, id = id_, how, alive = std::weak_ptr<int>(alive_)] {
                              if (alive.expired()) {
                                  return;
                              }
                              const auto found = owner->open_.find(id);
                              const auto self = std::move(found->second);
                              owner->open_.erase(found);
                              self->handle_.reset();
                              self->callback_(how, self->answer_);
                          });
    }

    buffered_calls& owner_;
    std::uint64_t id_;
    completion_handler callback_;
    boost::asio::steady_timer timer_;
    std::unique_ptr<upstream_call> handle_;
    buffered_response answer_;
    bool is_ended_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); // watched by what was posted
};

buffered_calls::buffered_calls(boost::asio::io_context& loop, upstream_pool& pool)
    : loop_(loop), pool_(pool) {}

buffered_calls::~buffered_calls() = default;

void buffered_calls::start(const upstream_address& to, const upstream_request& request,
                           duration timeout, completion_handler callback) {
    const auto id = next_++;
    auto& added = open_[id];
    added = std::make_unique<call>(*this, id, std::move(callback));
    added->begin(to, request, timeout);
}

} // namespace camphorgrade::edge
