#include "../../http/tests/loopback.h"

#include <kvstore/etcd_client.h>
#include <kvstore/etcd_json.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

const kv_txn one_write{{}, {kv_put{"k", "v", 0}}, {}};
const kv_reply written = kv_txn_result{true, 2, {}};

std::string answer(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A store that gives one answer to one call and closes. */
class scripted_store {
public:
    explicit scripted_store(std::string bytes)
        : answering_([this, bytes = std::move(bytes)] {
              raw_connection connection = peer_.accept();
              connection.read_until("}");
              connection.send(bytes);
          }) {}

    ~scripted_store() { answering_.join(); }
    scripted_store(const scripted_store&) = delete;
    scripted_store& operator=(const scripted_store&) = delete;

    http_endpoint endpoint() const { return {"127.0.0.1", peer_.port()}; }

private:
    raw_listener peer_;
    std::thread answering_;
};

http_endpoint closed_endpoint() {
    const raw_listener gone;
    return {"127.0.0.1", gone.port()};
}

kv_reply one_call(const std::string& bytes, const kv_request& request) {
    const scripted_store store(bytes);
    return etcd_client({store.endpoint()}).execute(request);
}

kv_failure_kind failure_of(const kv_reply& reply) {
    return std::get<kv_failure>(reply).kind;
}

} // namespace

TEST_CASE("a call goes on to the next endpoint while it provably was not applied") {
    const scripted_store store(answer(200, encode_etcd_reply(one_write, written)));
    const etcd_client client({closed_endpoint(), store.endpoint()});
    CHECK(client.execute(one_write) == written);
}

TEST_CASE("failures say whether a write can have taken effect") {
    CHECK(failure_of(etcd_client({closed_endpoint()}).execute(one_write)) ==
          kv_failure_kind::not_applied);
    CHECK(failure_of(etcd_client({}).execute(one_write)) == kv_failure_kind::not_applied);
    CHECK(failure_of(one_call(answer(400, "{}"), one_write)) == kv_failure_kind::not_applied);
    CHECK(failure_of(one_call(answer(503, "{}"), one_write)) == kv_failure_kind::ambiguous);
    CHECK(failure_of(one_call(answer(200, "{"), one_write)) == kv_failure_kind::ambiguous);
    CHECK(failure_of(one_call("", one_write)) == kv_failure_kind::ambiguous);
}

TEST_CASE("a write whose answer was lost is not sent again") {
    const scripted_store lossy("");
    const raw_listener second;
    const etcd_client client({lossy.endpoint(), {"127.0.0.1", second.port()}});
    CHECK(failure_of(client.execute(one_write)) == kv_failure_kind::ambiguous);
    CHECK_FALSE(second.has_caller());
}

TEST_CASE("revoking a lease that is gone succeeds") {
    CHECK(one_call(answer(404, "{}"), kv_lease_revoke{7}) == kv_reply(kv_lease_result{7, 0}));
}

TEST_CASE("a watch comes back with the first changes, across any split of its stream") {
    const kv_watch watch{"k", "", 2};
    const kv_watch_result news{2, false, {{false, {"k", "v", 2, 2, 0}}}};
    const std::string lines =
        encode_etcd_watch_created(1) + "\n" + encode_etcd_reply(watch, news) + "\n";
    std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char each : lines) {
        bytes += std::string("1\r\n") + each + "\r\n";
    }
    CHECK(one_call(bytes, watch) == kv_reply(news));
}

TEST_CASE("a watch without news says from where to go on") {
    raw_listener peer;
    etcd_client_settings settings;
    settings.watch_wait = duration{50};
    const etcd_client client({{"127.0.0.1", peer.port()}}, settings);
    std::thread answering([&] {
        for (int i = 0; i < 2; ++i) {
            raw_connection connection = peer.accept();
            connection.read_until("}}");
            const std::string line = encode_etcd_watch_created(9) + "\n";
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + line);
            connection.read_all();
        }
    });
    CHECK(client.execute(kv_watch{"k", "", 0}) == kv_reply(kv_watch_result{9, false, {}}));
    CHECK(client.execute(kv_watch{"k", "", 5}) == kv_reply(kv_watch_result{4, false, {}}));
    answering.join();
}

TEST_CASE("stopping ends a watch that waits, and refuses later calls") {
    raw_listener peer;
    etcd_client client({{"127.0.0.1", peer.port()}});
    std::thread watching([&] { client.execute(kv_watch{"k", "", 5}); });
    raw_connection connection = peer.accept();
    connection.read_until("}}");
    client.stop();
    watching.join();
    CHECK(failure_of(client.execute(one_write)) == kv_failure_kind::not_applied);
}
