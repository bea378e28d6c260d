#include <kernel/http_types.h>
#include <kernel/micro_kernel.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;

namespace {

/** Sets the next timer at each timer event, with a random id. */
class ticking_service final : public service {
public:
    std::string_view name() const noexcept override { return "ticking"; }

    void start(step& now) override { set_next_timer(now); }
    void on_timer(token /*id*/, step& now) override { set_next_timer(now); }

private:
    void set_next_timer(step& now) {
        now.emit(set_timer{"ticking", now.random().next(), now.time() + duration{10}});
    }
};

micro_kernel ticking_kernel() {
    micro_kernel kernel(node_id{"a"}, incarnation{1}, 5);
    kernel.add(std::make_unique<ticking_service>());
    return kernel;
}

} // namespace

TEST_CASE("the same seed and events give the same effects") {
    micro_kernel first = ticking_kernel();
    micro_kernel second = ticking_kernel();
    CHECK(first.start(time_point{}) == second.start(time_point{}));
    for (int i = 1; i < 5; ++i) {
        const time_point at{duration{i}};
        const event tick = timer_fired{"ticking", 0};
        const auto effects = first.handle(tick, at);
        CHECK(effects == second.handle(tick, at));
        REQUIRE(effects.size() == 1);
    }
}

TEST_CASE("an event for an unknown service is dropped") {
    micro_kernel kernel = ticking_kernel();
    kernel.start(time_point{});
    CHECK(kernel.handle(timer_fired{"absent", 1}, time_point{}).empty());
}

TEST_CASE("services are found by name and type") {
    micro_kernel kernel = ticking_kernel();
    CHECK(kernel.find<ticking_service>("ticking").name() == "ticking");
    CHECK_THROWS_AS(kernel.find<service>("absent"), contract_violation);
    CHECK_THROWS_AS(kernel.add(std::make_unique<ticking_service>()), contract_violation);
}

TEST_CASE("a kernel rejects an event before the time of the last one") {
    micro_kernel kernel = ticking_kernel();
    kernel.start(time_point{duration{5}});
    CHECK_THROWS_AS(kernel.handle(timer_fired{"ticking", 0}, time_point{duration{4}}),
                    contract_violation);
}

TEST_CASE("header names are compared without regard to case") {
    const http_headers headers{{"Content-Type", "a"}, {"content-type", "b"}};
    CHECK(find_header(headers, "CONTENT-TYPE") == "a");
    CHECK(count_headers(headers, "Content-type") == 2);
    CHECK(find_header(headers, "Accept") == std::nullopt);
}

TEST_CASE("the end of a prefix range comes after every key with that prefix") {
    CHECK(kv_prefix_end("a/") == "a0");
    CHECK(kv_prefix_end("a\xff") == "b");
    CHECK(kv_prefix_end("\xff") == std::string(1, '\0'));
}
