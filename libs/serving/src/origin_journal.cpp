#include <serving/origin_journal.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

origin_journal::origin_journal(origin_journal_settings settings)
    : settings_(settings), retry_delay_(settings.min_retry_delay) {}

void origin_journal::add(const std::vector<origin_record>& begun) {
    pending_.insert(pending_.end(), begun.begin(), begun.end());
    if (pending_.size() > settings_.max_pending) {
        const auto excess = pending_.size() - settings_.max_pending;
        pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(excess));
    }
}

std::optional<journal_call> origin_journal::next_call(time_point now) {
    const bool has_news = !pending_.empty() || is_chunk_unwritten_;
    if (is_calling_ || !has_news || now < next_call_at_) {
        return std::nullopt;
    }
    is_calling_ = true;
    const bool is_lease_old = lease_ && now - lease_opened_ >= settings_.lease_interval;
    if (!lease_ || is_lease_old) {
        return journal_call{};
    }
    const bool is_full = chunk_size_ >= settings_.max_streams_per_chunk ||
                         (chunk_began_ && now - *chunk_began_ >= settings_.chunk_time);
    if (!chunk_began_ || (is_full && !is_chunk_unwritten_)) {
        begin_chunk(now);
    }
    const auto room =
        settings_.max_streams_per_chunk - std::min(settings_.max_streams_per_chunk, chunk_size_);
    const auto count = std::min(room, pending_.size());
    for (std::size_t i = 0; i < count; ++i) {
        chunk_[pending_[i].origin].push_back(pending_[i].stream);
    }
    pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(count));
    chunk_size_ += count;
    is_chunk_unwritten_ = true;
    return journal_call{journal_call::kind::write, chunk_number_, chunk_revision_, *lease_, chunk_};
}

void origin_journal::begin_chunk(time_point now) {
    chunk_.clear();
    chunk_size_ = 0;
    chunk_revision_ = 0;
    ++chunk_number_;
    chunk_began_ = now;
}

void origin_journal::on_lease(std::optional<std::uint64_t> lease, time_point now) {
    is_calling_ = false;
    if (!lease) {
        on_failure(now);
        return;
    }
    lease_ = lease;
    lease_opened_ = now;
}

void origin_journal::on_written(const write_result& result, time_point now) {
    is_calling_ = false;
    switch (result.outcome) {
    case write_outcome::done:
        chunk_revision_ = result.revision;
        is_chunk_unwritten_ = false;
        retry_delay_ = settings_.min_retry_delay;
        next_call_at_ = now + settings_.write_interval;
        return;
    case write_outcome::lease_over:
        lease_.reset();
        on_failure(now);
        return;
    case write_outcome::refused:
        on_failure(now);
        return;
    case write_outcome::conflict:
    case write_outcome::unknown:
        // The record's revision isn't known any more: its streams go into the next record.
        ++chunk_number_;
        chunk_revision_ = 0;
        on_failure(now);
        return;
    }
}

void origin_journal::on_failure(time_point now) {
    next_call_at_ = now + retry_delay_;
    retry_delay_ = std::min(retry_delay_ * 2, settings_.max_retry_delay);
}

} // namespace camphorgrade::serving
