#include <delivery/bucket_lease.h>

#include <kernel/check.h>

#include <utility>

namespace camphorgrade::delivery {

namespace {

constexpr std::int64_t ms_per_s = 1'000;

} // namespace

bucket_lease::bucket_lease(std::string service, token call, bucket_lease_settings settings)
    : service_(std::move(service)), call_(call), settings_(settings) {
    CAMPHOR_PRECONDITION(settings.retention > duration{0});
    CAMPHOR_PRECONDITION(settings.bucket > duration{0});
}

std::optional<std::int64_t> bucket_lease::usable(time_point now) const {
    const bool young = now < since_ + 2 * settings_.bucket;
    return young ? id_ : std::nullopt;
}

void bucket_lease::refresh(step& now) {
    const bool fresh = id_ && now.time() < since_ + settings_.bucket;
    if (fresh || asking_ || now.time() < next_try_) {
        return;
    }
    asking_ = true;
    asked_ = now.time();
    ++grants_;
    const duration life = settings_.retention + 2 * settings_.bucket;
    const std::int64_t ttl_s = (life.count() + ms_per_s - 1) / ms_per_s;
    now.emit(call_kv{service_, call_, kv_lease_grant{ttl_s}});
}

void bucket_lease::on_reply(const kv_reply& reply, step& now) {
    asking_ = false;
    const auto* granted = std::get_if<kv_lease_result>(&reply);
    if (granted == nullptr || granted->ttl_s <= 0) {
        next_try_ = now.time() + settings_.retry_after;
        return;
    }
    id_ = granted->lease;
    since_ = asked_;
}

} // namespace camphorgrade::delivery
