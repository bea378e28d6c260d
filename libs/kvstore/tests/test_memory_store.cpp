#include <kvstore/memory_store.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace camphorgrade;

namespace {

constexpr time_point start{};

kv_txn_result txn(memory_store& store, const kv_txn& request, time_point now = start) {
    return std::get<kv_txn_result>(store.apply(request, now));
}

std::int64_t put(memory_store& store, const std::string& key, const std::string& value,
                 std::int64_t lease = 0, time_point now = start) {
    return txn(store, {{}, {kv_put{key, value, lease}}, {}}, now).revision;
}

kv_range_result range(memory_store& store, const std::string& key, const std::string& end = "",
                      time_point now = start) {
    return std::get<kv_range_result>(store.apply(kv_range{key, end}, now));
}

std::int64_t grant(memory_store& store, std::int64_t ttl_s) {
    return std::get<kv_lease_result>(store.apply(kv_lease_grant{ttl_s}, start)).lease;
}

} // namespace

TEST_CASE("a put keeps the create revision and moves the modify revision") {
    memory_store store;
    CHECK(put(store, "a", "1") == 2);
    CHECK(put(store, "a", "2") == 3);
    CHECK(range(store, "a").entries == std::vector<kv_entry>{{"a", "2", 3, 2, 0}});
}

TEST_CASE("a compare on revision zero holds only while the key is absent") {
    memory_store store;
    const kv_txn create{{{"a", 0}}, {kv_put{"a", "1", 0}}, {kv_range{"a", ""}}};
    CHECK(txn(store, create).succeeded);
    const kv_txn_result second = txn(store, create);
    CHECK_FALSE(second.succeeded);
    CHECK(second.revision == 2);
    CHECK(second.ranges.at(0).entries.at(0).value == "1");
}

TEST_CASE("all writes of a transaction share one revision, and one without effect has none") {
    memory_store store;
    CHECK(txn(store, {{}, {kv_put{"a", "", 0}, kv_put{"b", "", 0}}, {}}).revision == 2);
    CHECK(txn(store, {{}, {kv_delete{"x", ""}}, {}}).revision == 2);
    const kv_watch_result seen = store.changes_since("a", kv_prefix_end(""), 2);
    CHECK(seen.events.size() == 2);
}

TEST_CASE("ranges see a prefix, one key, or all keys") {
    memory_store store;
    put(store, "a/1", "");
    put(store, "a/2", "");
    put(store, "b", "");
    CHECK(range(store, "a/", kv_prefix_end("a/")).entries.size() == 2);
    CHECK(range(store, "a/").entries.empty());
    CHECK(range(store, "a/2", std::string(1, '\0')).entries.size() == 2);
}

TEST_CASE("refused requests change nothing") {
    memory_store store;
    const kv_txn unknown_lease{{}, {kv_put{"a", "", 7}}, {}};
    const kv_txn twice{{}, {kv_put{"a", "1", 0}, kv_put{"a", "2", 0}}, {}};
    const kv_txn put_and_delete{{}, {kv_put{"a", "1", 0}, kv_delete{"a", ""}}, {}};
    const std::vector<kv_request> requests{unknown_lease, twice, put_and_delete, kv_lease_grant{0},
                                           kv_lease_grant{9'000'000'001}};
    for (const kv_request& request : requests) {
        const kv_reply reply = store.apply(request, start);
        CHECK(std::get<kv_failure>(reply).kind == kv_failure_kind::not_applied);
    }
    CHECK(store.revision() == 1);
}

TEST_CASE("a lease takes its keys with it when it runs out") {
    memory_store store;
    const std::int64_t lease = grant(store, 5);
    put(store, "a", "1", lease);
    put(store, "b", "1", lease);
    const time_point late = start + duration{4999};
    CHECK(range(store, "a", "", late).entries.size() == 1);
    store.expire(start + duration{5000});
    CHECK(range(store, "a", "c", start + duration{5000}).entries.empty());
    CHECK(store.revision() == 4);
    const kv_watch_result seen = store.changes_since("a", "c", 4);
    REQUIRE(seen.events.size() == 2);
    CHECK(seen.events.at(0).deleted);
    CHECK(seen.events.at(1).entry.mod_revision == 4);
}

TEST_CASE("a lease that is kept alive starts over, and a dead one says so") {
    memory_store store;
    const std::int64_t lease = grant(store, 5);
    const kv_reply kept = store.apply(kv_lease_keep_alive{lease}, start + duration{4000});
    CHECK(std::get<kv_lease_result>(kept).ttl_s == 5);
    CHECK(store.next_expiry() == start + duration{9000});
    const kv_reply late = store.apply(kv_lease_keep_alive{lease}, start + duration{9000});
    CHECK(std::get<kv_lease_result>(late).ttl_s == 0);
}

TEST_CASE("a key written without its lease outlives it") {
    memory_store store;
    const std::int64_t lease = grant(store, 5);
    put(store, "a", "1", lease);
    put(store, "a", "2");
    store.apply(kv_lease_revoke{lease}, start);
    CHECK(range(store, "a").entries.size() == 1);
}

TEST_CASE("a watch from before the kept history is told so") {
    memory_store store(memory_store_settings{2});
    for (int i = 0; i < 4; ++i) {
        put(store, "a", std::to_string(i));
    }
    CHECK(store.changes_since("a", "", 3).compacted);
    const kv_watch_result seen = store.changes_since("a", "", 4);
    CHECK_FALSE(seen.compacted);
    CHECK(seen.events.size() == 2);
    CHECK(store.changes_since("a", "", 0).events.empty());
}

TEST_CASE("no watch sees half a transaction, whatever the history holds") {
    memory_store store(memory_store_settings{3});
    txn(store, {{}, {kv_put{"a", "1", 0}, kv_put{"b", "1", 0}}, {}});
    txn(store, {{}, {kv_put{"a", "2", 0}, kv_put{"b", "2", 0}}, {}});
    CHECK(store.changes_since("a", "c", 2).compacted);
    CHECK(store.changes_since("a", "c", 3).events.size() == 2);
}

TEST_CASE("a watch that follows along rebuilds the store's content") {
    rc::prop("replayed changes equal a full range", [] {
        memory_store store;
        std::map<std::string, kv_entry> mirror;
        std::int64_t next = 1;
        time_point now = start;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        for (const int step : steps) {
            const std::string key(1, static_cast<char>('a' + step % 5));
            const std::int64_t lease = step % 7 == 0 ? grant(store, 1 + step % 3) : 0;
            now += duration{step * 20};
            store.expire(now);
            if (step % 4 == 3) {
                txn(store, {{}, {kv_delete{key, ""}}, {}}, now);
            } else if (lease == 0 || store.next_expiry().has_value()) {
                store.apply(kv_txn{{}, {kv_put{key, std::to_string(step), lease}}, {}}, now);
            }
            const kv_watch_result seen = store.changes_since("a", std::string(1, '\0'), next);
            for (const kv_watch_event& change : seen.events) {
                mirror.erase(change.entry.key);
                if (!change.deleted) {
                    mirror[change.entry.key] = change.entry;
                }
            }
            next = seen.revision + 1;
        }
        std::vector<kv_entry> entries;
        entries.reserve(mirror.size());
        for (const auto& [key, entry] : mirror) {
            entries.push_back(entry);
        }
        RC_ASSERT(range(store, "a", std::string(1, '\0'), now).entries == entries);
    });
}
