#include <serving/dispatcher.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

void dispatcher::retry_or_end(request_handle id, request& entry, attempt_outcome outcome,
                              time_point now) {
    const bool has_run = outcome == attempt_outcome::invalid_response ||
                         outcome == attempt_outcome::error_response ||
                         outcome == attempt_outcome::unproven_response;
    entry.may_have_run = entry.may_have_run || has_run;
    entry.refusals += has_run ? 0 : 1;
    entry.attempts -= has_run || entry.attempts == 0 ? 0 : 1;
    const auto reason = has_run ? end_reason::invalid_response : end_reason::refused;
    entry.excluded.insert(entry.backend_id);
    if (is_held(entry, now)) {
        end(id, entry, has_run ? end_reason::invalid_response : end_reason::quarantined,
            parts_.retry_after(entry.metadata.prompt_parts, now)
                .value_or(settings_.max_retry_after));
        return;
    }
    const auto decision = decide_retry(entry, now);
    record_retry_decision(id, entry, decision, now);
    if (decision == retry_decision::allowed) {
        entry.has_reserved_retry = true;
        place(id, entry, now);
    } else {
        end(id, entry, reason, with_jitter(settings_.placement_retry_interval));
    }
}

retry_decision dispatcher::decide_retry(const request& entry, time_point now) {
    const bool may_run_again =
        !entry.is_retry_forbidden && (!entry.may_have_run || entry.found_route->is_retryable());
    if (!may_run_again) {
        return retry_decision::may_have_run;
    }
    const bool has_attempts_left =
        entry.attempts < std::max<std::uint32_t>(entry.found_route->max_attempts, 1) &&
        entry.refusals <= settings_.max_refusals;
    if (!has_attempts_left) {
        return retry_decision::no_attempts_left;
    }
    if (now >= entry.deadline) {
        return retry_decision::deadline_passed;
    }
    if (crashes_.is_quarantined(entry.fingerprint, now)) {
        return retry_decision::quarantined;
    }
    return retries_.try_reserve(entry.service, now) ? retry_decision::allowed
                                                    : retry_decision::over_limit;
}

void dispatcher::record_retry_decision(request_handle id, const request& entry,
                                       retry_decision decision, time_point now) {
    retry_decisions_.push_back({id, decision, entry.service, retries_.usage(entry.service, now)});
}

bool dispatcher::may_send(request& entry, time_point now) {
    const bool is_retry = std::exchange(entry.has_reserved_retry, false);
    return !is_retry || retries_.try_send(entry.service, now);
}

void dispatcher::release_retry(request& entry) {
    if (std::exchange(entry.has_reserved_retry, false)) {
        retries_.release(entry.service);
    }
}

std::vector<retry_decided> dispatcher::take_retry_decisions() {
    return std::exchange(retry_decisions_, {});
}

} // namespace camphorgrade::serving
