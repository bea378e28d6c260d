#include "store.h"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace camphorgrade::review {

namespace {

using json = nlohmann::json;

std::string encode_base64(const std::string& value) {
    namespace base64 = boost::beast::detail::base64;
    std::string out(base64::encoded_size(value.size()), '\0');
    out.resize(base64::encode(out.data(), value.data(), value.size()));
    return out;
}

json item_json(const store::change& from) {
    json out{{"key", from.key}, {"revision", from.revision}};
    if (from.is_removed) {
        out["deleted"] = true;
        return out;
    }
    out["value"] = encode_base64(from.value);
    out["create_revision"] = from.revision;
    out["lease"] = 0;
    return out;
}

} // namespace

store::store(const std::string& ip) : server_(ip, 0, [this](exchange& each) { handle(each); }) {}

std::uint64_t store::put(const std::string& key, const std::string& value) {
    return add({0, key, value, false});
}

std::uint64_t store::remove(const std::string& key) {
    return add({0, key, {}, true});
}

std::uint64_t store::revision() {
    const std::lock_guard lock(mutex_);
    return revision_;
}

std::uint64_t store::add(change added) {
    const std::lock_guard lock(mutex_);
    added.revision = ++revision_;
    if (added.is_removed) {
        items_.erase(added.key);
    } else {
        items_[added.key] = added;
    }
    history_.push_back(std::move(added));
    changed_.notify_all();
    return revision_;
}

void store::save_copy() {
    const std::lock_guard lock(mutex_);
    copied_items_ = items_;
    copied_history_ = history_;
    copied_revision_ = revision_;
}

void store::go_away() {
    server_.stop();
}

std::vector<store::change> store::restore_copy() {
    const std::lock_guard lock(mutex_);
    std::vector<change> lost;
    for (const auto& each : history_) {
        if (each.revision > copied_revision_) {
            lost.push_back(each);
        }
    }
    items_ = copied_items_;
    history_ = copied_history_;
    revision_ = copied_revision_;
    ++era_;
    changed_.notify_all();
    return lost;
}

void store::come_back() {
    server_.start();
}

headers store::era_header() {
    return {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}};
}

void store::handle(exchange& received) {
    const std::string target(received.request().target());
    if (target.find("/camphorgrade/kv-range") == 0) {
        answer_range(received);
    } else if (target.find("/camphorgrade/kv-watch") == 0) {
        answer_watch(received);
    } else {
        const std::lock_guard lock(mutex_);
        received.answer(404, era_header(), "{}");
    }
}

void store::answer_range(exchange& received) {
    const std::lock_guard lock(mutex_);
    const auto prefix = received.parameter("path_prefix");
    json out{{"items", json::array()}, {"has_more", false}, {"current_rev", revision_}};
    for (const auto& [key, item] : items_) {
        if (key.compare(0, prefix.size(), prefix) == 0) {
            out["items"].push_back(item_json(item));
        }
    }
    received.answer(200, era_header(), out.dump());
}

void store::answer_watch(exchange& received) {
    std::unique_lock lock(mutex_);
    const auto prefix = received.parameter("path_prefix");
    const auto after = std::stoull(received.parameter("after"));
    const auto wait = std::chrono::milliseconds(std::stoll(received.parameter("wait_ms")));
    const auto until = std::chrono::steady_clock::now() + wait;
    const auto era = era_;
    if (after > revision_) {
        received.answer(410, era_header(), "{}");
        return;
    }
    for (;;) {
        json events = json::array();
        for (const auto& each : history_) {
            if (each.revision > after && each.key.compare(0, prefix.size(), prefix) == 0) {
                events.push_back(item_json(each));
            }
        }
        const bool is_over = std::chrono::steady_clock::now() >= until;
        if (era != era_) {
            received.reset(); // a waiting watch is cut when the store goes away
            return;
        }
        if (!events.empty() || is_over) {
            const json out{{"events", events}, {"current_rev", revision_}};
            received.answer(200, era_header(), out.dump());
            return;
        }
        changed_.wait_until(lock, until);
    }
}

} // namespace camphorgrade::review
