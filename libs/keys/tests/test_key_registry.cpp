#include <keys/key_book.h>
#include <keys/key_registry.h>

#include <kvstore/memory_store.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::keys;

namespace {

/** The store in memory; loses the next answers, or refuses the next calls. */
class faulty_access final : public config::kv_access {
public:
    kv_reply execute(const kv_request& request) override {
        if (refuse > 0) {
            --refuse;
            return kv_failure{kv_failure_kind::not_applied};
        }
        kv_reply reply = store.apply(request, time_point{});
        if (lose > 0) {
            --lose;
            return kv_failure{kv_failure_kind::ambiguous};
        }
        return reply;
    }

    memory_store store;
    int refuse = 0;
    int lose = 0;
};

key_material material(std::uint8_t n) {
    key_material drawn;
    drawn.id.fill(n);
    drawn.secret.fill(n);
    drawn.salt.fill(n);
    return drawn;
}

template <typename F>
std::optional<registry_fault> fault_of(F call) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<registry_fault>> {
            auto result = call();
            if (!result) {
                return result.error();
            }
            return std::nullopt;
        },
        [](registry_fault fault) { return std::optional(fault); },
        [] { return std::optional<registry_fault>(registry_fault::damaged); });
}

} // namespace

TEST_CASE("keys are given, listed and withdrawn") {
    faulty_access access;
    key_registry registry(access);
    const auto key = registry.give("account", material(1));
    REQUIRE(key);
    CHECK(*registry.list() == std::vector<listed_key>{{key->id(), "account", false}});
    CHECK(registry.withdraw(key->id()));
    CHECK(registry.withdraw(key->id()));
    CHECK(*registry.list() == std::vector<listed_key>{{key->id(), "account", true}});
}

TEST_CASE("orders that can't be carried out have a typed fault") {
    faulty_access access;
    key_registry registry(access);
    registry.give("account", material(1));
    key_material same_id = material(1);
    same_id.salt.fill(9);
    CHECK(fault_of([&] { return registry.give("other", same_id); }) == registry_fault::id_taken);
    CHECK(fault_of([&] { return registry.withdraw("x"); }) == registry_fault::malformed_id);
    CHECK(fault_of([&] { return registry.withdraw("0123456789abcdef"); }) ==
          registry_fault::unknown_key);
    access.refuse = 3;
    CHECK(fault_of([&] { return registry.give("account", material(2)); }) ==
          registry_fault::unavailable);
    access.refuse = 3;
    CHECK(fault_of([&] { return registry.list(); }) == registry_fault::unavailable);
    access.lose = 3;
    CHECK(fault_of([&] { return registry.give("account", material(3)); }) ==
          registry_fault::outcome_unknown);
}

TEST_CASE("a key whose answer was lost is given once and works") {
    faulty_access access;
    key_registry registry(access);
    access.lose = 1;
    const auto key = registry.give("account", material(1));
    REQUIRE(key);
    CHECK(registry.list()->size() == 1);
    const std::string id = std::string(key_prefix) + key->id();
    const auto reply = access.store.apply(kv_range{id, ""}, time_point{});
    const auto& entry = std::get<kv_range_result>(reply).entries.at(0);
    key_book book;
    book.add(*decode_key_record(entry.value));
    CHECK(std::holds_alternative<key_accepted>(book.check(key->spell())));
    CHECK(entry.value.find(key->secret()) == std::string::npos);
}
