#include <kvstore/etcd_client.h>
#include <kvstore/etcd_json.h>

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace camphorgrade {

namespace leaf = boost::leaf;

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;
constexpr kv_failure not_applied{kv_failure_kind::not_applied};
constexpr kv_failure ambiguous{kv_failure_kind::ambiguous};

std::optional<kv_reply> decode(const kv_request& request, std::string_view body) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<kv_reply>> {
            BOOST_LEAF_AUTO(reply, decode_etcd_reply(request, body));
            return std::optional(std::move(reply));
        },
        [] { return std::optional<kv_reply>(); });
}

/** Collects a whole answer. */
class reply_sink final : public call_sink {
public:
    void on_progress(call_progress progress) override {
        if (const auto* head = std::get_if<http_head>(&progress)) {
            status_ = head->status;
        } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
            body_ += chunk->bytes;
        } else if (const auto* failure = std::get_if<call_failure>(&progress)) {
            failure_ = failure->kind;
        }
    }

    kv_reply reply_to(const kv_request& request) const {
        if (failure_) {
            return *failure_ == call_failure_kind::not_sent ? not_applied : ambiguous;
        }
        if (status_ == status_ok) {
            return decode(request, body_).value_or(ambiguous);
        }
        const auto* revoked = std::get_if<kv_lease_revoke>(&request);
        if (revoked != nullptr && status_ == status_not_found) {
            return kv_lease_result{revoked->lease, 0};
        }
        const bool is_refused = status_ >= first_client_error && status_ < first_server_error;
        return is_refused ? not_applied : ambiguous;
    }

private:
    int status_ = 0;
    std::string body_;
    std::optional<call_failure_kind> failure_;
};

/** Takes the lines of a watch's stream, and ends the call at the first that has news. */
class watch_sink final : public call_sink {
public:
    watch_sink(const kv_watch& request, call_cancellation& cancellation)
        : request_(request), cancellation_(cancellation) {}

    void on_progress(call_progress progress) override {
        if (const auto* head = std::get_if<http_head>(&progress)) {
            is_ok_ = head->status == status_ok;
        } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
            take(chunk->bytes);
        } else if (const auto* failure = std::get_if<call_failure>(&progress)) {
            is_unsent_ = failure->kind == call_failure_kind::not_sent;
        }
    }

    /** A watch changes nothing, so every failure of one is "not applied". */
    kv_reply reply() const {
        if (news_) {
            return *news_;
        }
        if (is_unsent_ || !is_created_ || is_malformed_) {
            return not_applied;
        }
        kv_watch_result nothing_yet;
        nothing_yet.revision =
            request_.start_revision > 0 ? request_.start_revision - 1 : created_revision_;
        return nothing_yet;
    }

private:
    void take(const std::string& bytes) {
        pending_ += bytes;
        for (std::size_t end = pending_.find('\n'); end != std::string::npos && !news_;
             end = pending_.find('\n')) {
            take_line(pending_.substr(0, end));
            pending_.erase(0, end + 1);
        }
    }

    void take_line(const std::string& line) {
        const auto reply = is_ok_ ? decode(request_, line) : std::nullopt;
        if (!reply) {
            is_malformed_ = true;
            cancellation_.cancel();
            return;
        }
        const auto& result = std::get<kv_watch_result>(*reply);
        if (!std::exchange(is_created_, true)) {
            created_revision_ = result.revision;
        }
        if (result.compacted || !result.events.empty()) {
            news_ = result;
            cancellation_.cancel();
        }
    }

    const kv_watch& request_;
    call_cancellation& cancellation_;
    std::string pending_;
    std::optional<kv_watch_result> news_;
    std::int64_t created_revision_ = 0;
    bool is_ok_ = false;
    bool is_created_ = false;
    bool is_malformed_ = false;
    bool is_unsent_ = false;
};

bool is_not_applied(const kv_reply& reply) {
    const auto* failure = std::get_if<kv_failure>(&reply);
    return failure != nullptr && failure->kind == kv_failure_kind::not_applied;
}

} // namespace

etcd_client::etcd_client(std::vector<http_endpoint> endpoints, etcd_client_settings settings)
    : endpoints_(std::move(endpoints)), settings_(std::move(settings)), client_(settings_.http) {}

kv_reply etcd_client::execute(const kv_request& request) const {
    kv_reply reply = not_applied;
    const std::size_t first = preferred_;
    for (std::size_t i = 0; i < endpoints_.size(); ++i) {
        const std::size_t chosen = (first + i) % endpoints_.size();
        reply = execute_at(endpoints_[chosen], request);
        if (!is_not_applied(reply)) {
            preferred_ = chosen;
            return reply;
        }
    }
    return reply;
}

void etcd_client::stop() {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
    for (call_cancellation* const each : under_way_) {
        each->cancel();
    }
}

kv_reply etcd_client::execute_at(const http_endpoint& endpoint, const kv_request& request) const {
    call_cancellation cancellation;
    if (const auto* watch = std::get_if<kv_watch>(&request)) {
        watch_sink sink(*watch, cancellation);
        return call(endpoint, request, settings_.watch_wait, sink, cancellation)
                   ? sink.reply()
                   : kv_reply(not_applied);
    }
    reply_sink sink;
    return call(endpoint, request, settings_.request_timeout, sink, cancellation)
               ? sink.reply_to(request)
               : kv_reply(not_applied);
}

bool etcd_client::call(const http_endpoint& endpoint, const kv_request& request, duration limit,
                       call_sink& sink, call_cancellation& cancellation) const {
    {
        const std::lock_guard lock(mutex_);
        if (is_stopped_) {
            return false;
        }
        under_way_.insert(&cancellation);
    }
    call_limits limits;
    limits.connect_timeout = settings_.connect_timeout;
    limits.total_timeout = limit;
    const http_request posted{"POST",
                              etcd_route(request),
                              "",
                              {{"Content-Type", "application/json"}},
                              encode_etcd_request(request)};
    client_.call(endpoint, posted, limits, sink, &cancellation);
    const std::lock_guard lock(mutex_);
    under_way_.erase(&cancellation);
    return true;
}

} // namespace camphorgrade
