#include <delivery/request_delivery.h>

#include <utility>

/** @file The part of request_delivery that takes the parts of an answer. */
namespace camphorgrade::delivery {

void request_delivery::take_part(const part& next, const context& at) {
    if (const auto* head = std::get_if<part_head>(&next)) {
        take_head(*head, at);
    } else if (const auto* chunk = std::get_if<part_chunk>(&next)) {
        take_chunk(*chunk, at);
    } else if (const auto* last = std::get_if<part_end>(&next)) {
        take_end(*last, at);
    } else if (const auto* refused = std::get_if<part_refused>(&next)) {
        take_refused(*refused, at);
    } else if (const auto* broken = std::get_if<part_broken>(&next)) {
        take_broken(*broken, at);
    } else if (const auto* unknown = std::get_if<part_unknown>(&next)) {
        take_unknown(*unknown, at);
    }
}

void request_delivery::take_head(const part_head& next, const context& at) {
    head_ = next.head;
    if (head_forwarded_) {
        if (head_forwarded_->status != next.head.status) {
            fail_attempt({.final = true}, at);
        }
        return;
    }
    if (!buffering_) {
        forward_head(*at.out);
    }
}

void request_delivery::forward_head(delivery_effects& out) {
    head_forwarded_ = head_;
    out.emplace_back(forward_to_caller{*head_});
}

bool request_delivery::forward(const std::string& bytes, delivery_effects& out) {
    std::optional<std::string> fresh = resume_.admit(bytes);
    if (!fresh) {
        return false;
    }
    if (!fresh->empty()) {
        out.emplace_back(forward_to_caller{http_chunk{std::move(*fresh)}});
    }
    return true;
}

bool request_delivery::release_buffer(delivery_effects& out) {
    buffering_ = false;
    forward_head(out);
    return std::all_of(buffer_.begin(), buffer_.end(),
                       [&](const std::string& bytes) { return forward(bytes, out); });
}

void request_delivery::take_chunk(const part_chunk& next, const context& at) {
    if (!head_) {
        fail_attempt({}, at);
        return;
    }
    if (buffering_) {
        buffer_.push_back(next.bytes);
        buffered_ += next.bytes.size();
        if (buffered_ > settings_.most_buffered) {
            release_buffer(*at.out);
        }
        return;
    }
    if (!forward(next.bytes, *at.out)) {
        fail_attempt({.final = true}, at);
    }
}

void request_delivery::take_end(const part_end& next, const context& at) {
    if (!head_ || !resume_.caught_up()) {
        fail_attempt({.final = head_forwarded_.has_value()}, at);
        return;
    }
    generated_ += next.generated_tokens;
    if (buffering_) {
        release_buffer(*at.out);
    }
    at.out->emplace_back(forward_to_caller{http_end{}});
    end(true, *at.out);
}

void request_delivery::take_refused(const part_refused& next, const context& at) {
    if (current_.state() != attempt_state::refused) {
        fail_attempt({}, at);
        return;
    }
    setback why{.type = next.type, .retry_after = next.retry_after};
    switch (next.type) {
    case refusal_type::leaving:
        why.free = true;
        break;
    case refusal_type::queue_full:
    case refusal_type::backend_down:
    case refusal_type::load_failed:
        break;
    default:
        why.final = true;
    }
    fail_attempt(why, at);
}

void request_delivery::take_broken(const part_broken& next, const context& at) {
    // Each request beside a killer is retried: a second death ends in quarantine, so this is
    // bounded.
    const bool first_death = next.death && !suspect_;
    suspect_ = suspect_ || next.death;
    // The record of a keyed request says "started" for good: asking again tells no more.
    const refusal_type type =
        next.death && !first_death ? refusal_type::quarantined : refusal_type::retries_exhausted;
    const bool keyed = request_.rule == repeat_rule::keyed;
    fail_attempt({.type = type, .free = first_death, .final = keyed}, at);
}

void request_delivery::take_unknown(const part_unknown& next, const context& at) {
    const bool keyed = request_.rule == repeat_rule::keyed;
    const refusal_type type =
        keyed ? refusal_type::outcome_unknown : refusal_type::retries_exhausted;
    const bool asked_wrong_life = next.retry_after == duration{0} && !keyed;
    fail_attempt({.type = type, .retry_after = next.retry_after, .final = !asked_wrong_life}, at);
}

} // namespace camphorgrade::delivery
