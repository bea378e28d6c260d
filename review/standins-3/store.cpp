#include "store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace review {

namespace {

using json = nlohmann::json;

constexpr int status_history_gone = 410;
constexpr std::size_t max_items = 500;
constexpr std::size_t max_page_bytes = 1'000'000;
constexpr std::int64_t max_wait_ms = 30'000;

std::string decode_base64(const std::string& text) {
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const char each : text) {
        const auto digit = digits.find(each);
        if (digit == std::string_view::npos) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>(bits >> count & 255U);
        }
    }
    return out;
}

bool begins_with(const std::string& text, const std::string& prefix) {
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::shared_ptr<server> store::listen(const endpoint& at) {
    return server::start(at, [this](connection& caller, http_message& request) {
        return on_request(caller, request);
    });
}

void store::forget_history() {
    const std::lock_guard lock(mutex_);
    history_.clear();
    oldest_revision_ = revision_;
    changed_.notify_all();
}

void store::add(change added) {
    added.revision = ++revision_;
    if (added.is_removed) {
        items_.erase(added.key);
    } else {
        items_[added.key] = added;
    }
    history_.push_back(std::move(added));
    changed_.notify_all();
}

void store::put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    add({0, key, value, 0, false});
}

bool store::on_request(connection& caller, const http_message& request) {
    const auto path = request.path();
    int status = 200;
    std::string body;
    if (path == "/camphorgrade/kv-range") {
        body = range(request.query("path_prefix"), request.query("after"));
    } else if (path == "/camphorgrade/kv-watch") {
        const auto wait = std::atoll(request.query("wait_ms").c_str());
        body = watch(request.query("path_prefix"),
                     std::strtoull(request.query("after").c_str(), nullptr, 10),
                     std::min<std::int64_t>(wait, max_wait_ms), status);
    } else if (path == "/camphorgrade/kv-txn") {
        body = transact(request.body, status);
    } else if (path == "/camphorgrade/kv-lease") {
        const std::lock_guard lock(mutex_);
        const auto asked = json::parse(request.body).value("ttl_ms", 1'000);
        body = json{{"lease", ++next_lease_}, {"ttl_ms", asked}}.dump();
    } else if (path.find("/camphorgrade/kv-keep/") == 0 ||
               path.find("/camphorgrade/kv-lease-end/") == 0) {
        body = "{}";
    } else {
        status = 404;
    }
    return caller.write(response_text(status, {{"Content-Type", "application/json"}}, body));
}

std::string store::range(const std::string& prefix, const std::string& after) {
    const std::lock_guard lock(mutex_);
    json items = json::array();
    std::size_t bytes = 0;
    bool has_more = false;
    for (auto at = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
         at != items_.end() && begins_with(at->first, prefix); ++at) {
        if (items.size() >= max_items || bytes >= max_page_bytes) {
            has_more = true;
            break;
        }
        const auto& each = at->second;
        items.push_back({{"key", each.key},
                         {"value", encode_base64(each.value)},
                         {"revision", each.revision},
                         {"create_revision", each.revision},
                         {"lease", each.lease}});
        bytes += each.value.size();
    }
    return json{{"items", items}, {"has_more", has_more}, {"current_rev", revision_}}.dump();
}

std::string store::watch(const std::string& prefix, std::uint64_t after, std::int64_t wait_ms,
                         int& status) {
    std::unique_lock lock(mutex_);
    const auto is_wanted = [&](const change& each) {
        return each.revision > after && begins_with(each.key, prefix);
    };
    const auto has_events = [&] {
        return after < oldest_revision_ ||
               std::any_of(history_.rbegin(), history_.rend(), is_wanted);
    };
    changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), has_events);
    if (after < oldest_revision_) {
        status = status_history_gone;
        return json{{"current_rev", revision_}}.dump();
    }
    json events = json::array();
    auto reached = revision_;
    for (const auto& each : history_) {
        if (!is_wanted(each)) {
            continue;
        }
        if (events.size() >= max_items) {
            reached = events.back()["revision"].get<std::uint64_t>();
            break;
        }
        if (each.is_removed) {
            events.push_back({{"key", each.key}, {"revision", each.revision}, {"deleted", true}});
        } else {
            events.push_back({{"key", each.key},
                              {"value", encode_base64(each.value)},
                              {"revision", each.revision},
                              {"create_revision", each.revision},
                              {"lease", each.lease}});
        }
    }
    return json{{"events", events}, {"current_rev", reached}}.dump();
}

std::string store::transact(const std::string& body, int& status) {
    const std::lock_guard lock(mutex_);
    const auto asked = json::parse(body);
    json present = json::array();
    bool is_met = true;
    for (const auto& each : asked.at("expected")) {
        const auto key = each.at("key").get<std::string>();
        const auto found = items_.find(key);
        const auto revision = found == items_.end() ? 0 : found->second.revision;
        is_met = is_met && revision == each.at("revision").get<std::uint64_t>();
        if (found != items_.end()) {
            present.push_back({{"key", key},
                               {"value", encode_base64(found->second.value)},
                               {"revision", revision}});
        }
    }
    if (!is_met) {
        status = 412;
        return json{{"items", present}}.dump();
    }
    for (const auto& each : asked.at("puts")) {
        add({0, each.at("key").get<std::string>(),
             decode_base64(each.at("value").get<std::string>()), each.value("lease", 0ULL), false});
    }
    for (const auto& each : asked.at("remove")) {
        add({0, each.get<std::string>(), {}, 0, true});
    }
    return json{{"revision", revision_}}.dump();
}

} // namespace review
