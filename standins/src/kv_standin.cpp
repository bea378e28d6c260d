#include <standins/kv_standin.h>

#include <kvstore/etcd_json.h>

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorgrade::standins {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;

bool modifies_store(const kv_request& request) {
    return !std::holds_alternative<kv_range>(request) && !std::holds_alternative<kv_watch>(request);
}

bool is_lease_request(const kv_request& request) {
    return std::holds_alternative<kv_lease_grant>(request) ||
           std::holds_alternative<kv_lease_keep_alive>(request) ||
           std::holds_alternative<kv_lease_revoke>(request);
}

http_response error_response(int status, const char* message) {
    return json_response(status, {{"error", message}, {"message", message}});
}

} // namespace

kv_standin::kv_standin(kv_faults faults) : faults_(faults), host_(*this) {}

void kv_standin::handle(standin_call call) {
    if (call.request.path == "/control/faults") {
        set_faults(std::move(call));
        return;
    }
    if (call.request.path == "/control/counts") {
        respond_counts(call);
        return;
    }
    const auto request = decode(call);
    if (!request) {
        return;
    }
    count(*request);
    const auto pending = std::make_shared<standin_call>(std::move(call));
    host_.loop().post([this, request, pending] { execute(*request, std::move(*pending)); },
                      faults_.delay);
}

void kv_standin::on_caller_lost(exchange_id id) {
    watchers_.erase(id);
}

void kv_standin::set_faults(standin_call call) {
    const json requested = json_body(call.request);
    faults_.is_unavailable = requested.value("down", json(faults_.is_unavailable)) == json(true);
    faults_.delay = duration(
        unsigned_field(requested, "delay_ms", static_cast<std::size_t>(faults_.delay.count())));
    faults_.drop_next_responses =
        unsigned_field(requested, "lose_next_answers", faults_.drop_next_responses);
    if (faults_.is_unavailable) {
        watchers_.clear();
    }
    call.writer->respond(json_response(ok, {{"down", faults_.is_unavailable},
                                            {"delay_ms", faults_.delay.count()},
                                            {"lose_next_answers", faults_.drop_next_responses}}));
}

void kv_standin::respond_counts(const standin_call& call) const {
    const std::size_t calls = counts_.reads + counts_.writes + counts_.leases + counts_.watches;
    call.writer->respond(json_response(ok, {{"calls", calls},
                                            {"reads", counts_.reads},
                                            {"writes", counts_.writes},
                                            {"leases", counts_.leases},
                                            {"watches", counts_.watches},
                                            {"watching", watchers_.size()},
                                            {"revision", store_.revision()}}));
}

std::optional<kv_request> kv_standin::decode(const standin_call& call) const {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<kv_request>> {
            BOOST_LEAF_AUTO(request, decode_etcd_request(call.request.path, call.request.body));
            return std::optional(std::move(request));
        },
        [&](etcd_json_error error) {
            const bool is_unknown = error == etcd_json_error::unknown_route;
            call.writer->respond(is_unknown ? error_response(not_found, "Not Found")
                                            : error_response(bad_request, "malformed request"));
            return std::optional<kv_request>();
        },
        [] { return std::optional<kv_request>(); });
}

void kv_standin::count(const kv_request& request) {
    if (std::holds_alternative<kv_range>(request)) {
        ++counts_.reads;
    } else if (std::holds_alternative<kv_txn>(request)) {
        ++counts_.writes;
    } else if (is_lease_request(request)) {
        ++counts_.leases;
    } else {
        ++counts_.watches;
    }
}

void kv_standin::execute(const kv_request& request, standin_call call) {
    if (faults_.is_unavailable) {
        return;
    }
    if (const auto* watch = std::get_if<kv_watch>(&request)) {
        start_watch(*watch, std::move(call));
        return;
    }
    const kv_reply reply = store_.apply(request, host_.loop().now());
    notify_watchers();
    schedule_expiry();
    if (take_dropped_response(request)) {
        return;
    }
    if (std::holds_alternative<kv_failure>(reply)) {
        call.writer->respond(error_response(bad_request, "etcdserver: request refused"));
    } else {
        call.writer->respond(
            {{ok, {{"Content-Type", "application/json"}}}, encode_etcd_reply(request, reply)});
    }
}

bool kv_standin::take_dropped_response(const kv_request& request) {
    if (faults_.drop_next_responses == 0 || !modifies_store(request)) {
        return false;
    }
    --faults_.drop_next_responses;
    return true;
}

void kv_standin::start_watch(const kv_watch& watch, standin_call call) {
    watcher created{watch, std::move(call.writer)};
    if (created.watch.start_revision == 0) {
        created.watch.start_revision = store_.revision() + 1;
    }
    const bool is_open = created.writer->start({ok, {{"Content-Type", "application/json"}}}) &&
                         created.writer->chunk(encode_etcd_watch_created(store_.revision()) + "\n");
    if (is_open && send_changes(created)) {
        watchers_.emplace(call.id, std::move(created));
    }
}

void kv_standin::notify_watchers() {
    for (auto entry = watchers_.begin(); entry != watchers_.end();) {
        entry = send_changes(entry->second) ? std::next(entry) : watchers_.erase(entry);
    }
}

/** Sends the new changes to a watcher; returns false if its watch or its connection has ended. */
bool kv_standin::send_changes(watcher& target) {
    kv_watch& watch = target.watch;
    const kv_watch_result changes =
        store_.changes_since(watch.key, watch.range_end, watch.start_revision);
    if (changes.compacted) {
        target.writer->chunk(encode_etcd_reply(watch, changes) + "\n");
        target.writer->end();
        return false;
    }
    watch.start_revision = std::max(watch.start_revision, changes.revision + 1);
    return changes.events.empty() || target.writer->chunk(encode_etcd_reply(watch, changes) + "\n");
}

void kv_standin::expire_leases() {
    scheduled_expiry_.reset();
    store_.expire(host_.loop().now());
    notify_watchers();
    schedule_expiry();
}

void kv_standin::schedule_expiry() {
    const auto next = store_.next_expiry();
    if (next && (!scheduled_expiry_ || *next < *scheduled_expiry_)) {
        scheduled_expiry_ = next;
        host_.loop().post([this] { expire_leases(); },
                          std::max(duration{0}, *next - host_.loop().now()));
    }
}

} // namespace camphorgrade::standins
