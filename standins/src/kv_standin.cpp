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

bool changes_store(const kv_request& request) {
    return !std::holds_alternative<kv_range>(request) && !std::holds_alternative<kv_watch>(request);
}

bool is_lease_request(const kv_request& request) {
    return std::holds_alternative<kv_lease_grant>(request) ||
           std::holds_alternative<kv_lease_keep_alive>(request) ||
           std::holds_alternative<kv_lease_revoke>(request);
}

http_response refusal(int status, const char* message) {
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
        answer_counts(call);
        return;
    }
    const auto request = decode(call);
    if (!request) {
        return;
    }
    count(*request);
    const auto delayed = std::make_shared<standin_call>(std::move(call));
    host_.loop().post([this, request, delayed] { carry_out(*request, std::move(*delayed)); },
                      faults_.delay);
}

void kv_standin::on_caller_lost(exchange_id id) {
    watchers_.erase(id);
}

void kv_standin::set_faults(standin_call call) {
    const json wanted = json_body(call.request);
    faults_.is_down = wanted.value("down", json(faults_.is_down)) == json(true);
    faults_.delay =
        duration(number_in(wanted, "delay_ms", static_cast<std::size_t>(faults_.delay.count())));
    faults_.lose_next_answers = number_in(wanted, "lose_next_answers", faults_.lose_next_answers);
    if (faults_.is_down) {
        watchers_.clear();
    }
    call.writer->respond(json_response(ok, {{"down", faults_.is_down},
                                            {"delay_ms", faults_.delay.count()},
                                            {"lose_next_answers", faults_.lose_next_answers}}));
}

void kv_standin::answer_counts(const standin_call& call) const {
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
            call.writer->respond(is_unknown ? refusal(not_found, "Not Found")
                                            : refusal(bad_request, "malformed request"));
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

void kv_standin::carry_out(const kv_request& request, standin_call call) {
    if (faults_.is_down) {
        return;
    }
    if (const auto* watch = std::get_if<kv_watch>(&request)) {
        begin_watch(*watch, std::move(call));
        return;
    }
    const kv_reply reply = store_.apply(request, host_.loop().now());
    notify_watchers();
    schedule_expiry();
    if (loses_answer(request)) {
        return;
    }
    if (std::holds_alternative<kv_failure>(reply)) {
        call.writer->respond(refusal(bad_request, "etcdserver: request refused"));
    } else {
        call.writer->respond(
            {{ok, {{"Content-Type", "application/json"}}}, encode_etcd_reply(request, reply)});
    }
}

bool kv_standin::loses_answer(const kv_request& request) {
    if (faults_.lose_next_answers == 0 || !changes_store(request)) {
        return false;
    }
    --faults_.lose_next_answers;
    return true;
}

void kv_standin::begin_watch(const kv_watch& watch, standin_call call) {
    watcher added{watch, std::move(call.writer)};
    if (added.watch.start_revision == 0) {
        added.watch.start_revision = store_.revision() + 1;
    }
    const bool is_open = added.writer->start({ok, {{"Content-Type", "application/json"}}}) &&
                         added.writer->chunk(encode_etcd_watch_created(store_.revision()) + "\n");
    if (is_open && notify(added)) {
        watchers_.emplace(call.id, std::move(added));
    }
}

void kv_standin::notify_watchers() {
    for (auto each = watchers_.begin(); each != watchers_.end();) {
        each = notify(each->second) ? std::next(each) : watchers_.erase(each);
    }
}

/** Sends what is new to one watcher; false when its watch is over. */
bool kv_standin::notify(watcher& notified) {
    kv_watch& watch = notified.watch;
    const kv_watch_result news =
        store_.changes_since(watch.key, watch.range_end, watch.start_revision);
    if (news.compacted) {
        notified.writer->chunk(encode_etcd_reply(watch, news) + "\n");
        notified.writer->end();
        return false;
    }
    watch.start_revision = std::max(watch.start_revision, news.revision + 1);
    return news.events.empty() || notified.writer->chunk(encode_etcd_reply(watch, news) + "\n");
}

void kv_standin::expire_leases() {
    expiry_scheduled_.reset();
    store_.expire(host_.loop().now());
    notify_watchers();
    schedule_expiry();
}

void kv_standin::schedule_expiry() {
    const auto next = store_.next_expiry();
    if (next && (!expiry_scheduled_ || *next < *expiry_scheduled_)) {
        expiry_scheduled_ = next;
        host_.loop().post([this] { expire_leases(); },
                          std::max(duration{0}, *next - host_.loop().now()));
    }
}

} // namespace camphorgrade::standins
