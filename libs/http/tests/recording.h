#pragma once

#include <http/call_pool.h>
#include <http/http_call.h>
#include <http/request_handler.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::testing {

/** Collects one call. */
class recording_sink final : public call_sink {
public:
    void on_progress(call_progress progress) override {
        if (const auto* start = std::get_if<http_head>(&progress)) {
            head = *start;
        } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
            body += chunk->bytes;
            if (on_chunk) {
                on_chunk();
            }
        } else if (const auto* failed = std::get_if<call_failure>(&progress)) {
            failure = failed->kind;
            ++endings;
        } else {
            ++endings;
        }
    }

    bool is_whole() const { return endings == 1 && !failure; }

    std::optional<http_head> head;
    std::string body;
    std::optional<call_failure_kind> failure;
    int endings = 0;
    std::function<void()> on_chunk;
};

/** A value that threads wait for. */
template <typename Value>
class awaited {
public:
    void set(Value value) {
        const std::lock_guard lock(mutex_);
        value_ = std::move(value);
        changed_.notify_all();
    }

    Value take() {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return value_.has_value(); });
        Value value = std::move(*value_);
        value_.reset();
        return value;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<Value> value_;
};

struct received_request {
    exchange_id id;
    http_request request;
    std::unique_ptr<response_writer> writer;
};

/** Hands requests and losses to the test's thread. */
class recording_handler final : public request_handler {
public:
    void on_request(exchange_id id, http_request request,
                    std::unique_ptr<response_writer> writer) override {
        requests.set({id, std::move(request), std::move(writer)});
    }

    void on_caller_lost(exchange_id /*id*/, caller_loss why) override { losses.set(why); }

    awaited<received_request> requests;
    awaited<caller_loss> losses;
};

/** Answers every request at once with its path. */
class echo_handler final : public request_handler {
public:
    void on_request(exchange_id /*id*/, http_request request,
                    std::unique_ptr<response_writer> writer) override {
        writer->respond({{200, {{"X-Query", request.query}}}, request.path + "|" + request.body});
    }

    void on_caller_lost(exchange_id /*id*/, caller_loss /*why*/) override {}
};

/** Says the fault's status in its body. */
class plain_formatter final : public fault_formatter {
public:
    http_response format(request_fault fault) const override {
        const int status = http_status(fault);
        return {{status, {}}, "fault " + std::to_string(status)};
    }
};

} // namespace camphorgrade::testing
