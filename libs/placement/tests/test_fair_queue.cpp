#include <placement/fair_queue.h>
#include <placement/placement_weights.h>
#include <placement/popularity.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::placement;

namespace {

const auto any = [](const adapter_ref&) { return true; };

time_point at(std::int64_t ms) {
    return time_point{duration{ms}};
}

queued_request ask(std::uint64_t id, const std::string& account, std::uint64_t tokens,
                   std::int64_t ms, const std::string& adapter = "a") {
    queued_request request;
    request.id = id;
    request.client_account = account;
    request.adapter = {adapter, "1"};
    request.max_tokens = tokens;
    request.arrival = at(ms);
    return request;
}

} // namespace

TEST_CASE("accounts are served in turn by tokens, not by requests") {
    fair_queue queue({});
    for (std::uint64_t i = 0; i < 10; ++i) {
        REQUIRE_FALSE(queue.push(ask(i, "large", 400, 0), at(0)));
        REQUIRE_FALSE(queue.push(ask(100 + i, "small", 100, 0), at(0)));
    }
    std::map<std::string, std::uint64_t> served;
    for (int i = 0; i < 10; ++i) {
        const auto next = queue.take(any);
        served[next->client_account] += next->cost();
    }
    CHECK(served["large"] == 800);
    CHECK(served["small"] == 800);
}

TEST_CASE("an account cannot save up while idle") {
    fair_queue queue({});
    for (std::uint64_t i = 0; i < 20; ++i) {
        REQUIRE_FALSE(queue.push(ask(i, "busy", 100, 0), at(0)));
    }
    for (int i = 0; i < 10; ++i) {
        queue.take(any);
    }
    REQUIRE_FALSE(queue.push(ask(50, "back", 100, 10), at(10)));
    REQUIRE_FALSE(queue.push(ask(51, "back", 100, 10), at(10)));
    int of_back = 0;
    for (int i = 0; i < 4; ++i) {
        of_back += queue.take(any)->client_account == "back" ? 1 : 0;
    }
    CHECK(of_back == 2);
}

TEST_CASE("a short answer passes long drafts, but a draft is not passed for ever") {
    fair_queue queue({});
    queue.push(ask(1, "a", 500, 0), at(0));
    queue.push(ask(2, "a", 50, 1000), at(1000));
    queue.push(ask(3, "a", 50, 6000), at(6000));
    CHECK(queue.take(any)->id == 2);
    CHECK(queue.take(any)->id == 1);
    CHECK(queue.take(any)->id == 3);
}

TEST_CASE("a request whose adapter is missing does not block others") {
    fair_queue queue({});
    queue.push(ask(1, "a", 50, 0, "missing"), at(0));
    queue.push(ask(2, "a", 50, 0, "here"), at(0));
    const auto here = [](const adapter_ref& each) { return each.name == "here"; };
    CHECK(queue.take(here)->id == 2);
    CHECK_FALSE(queue.take(here));
    CHECK(queue.size() == 1);
}

TEST_CASE("the queue is bounded and one account cannot fill it") {
    fair_queue queue({.capacity_tokens = 1000});
    std::optional<refused_request> refused;
    std::uint64_t taken = 0;
    while (!(refused = queue.push(ask(taken, "greedy", 100, 0), at(0)))) {
        ++taken;
    }
    CHECK(taken == 5);
    CHECK(refused->reason == schedule_refusal::account_share_full);
    CHECK(refused->retry_after > duration{0});
    CHECK_FALSE(queue.push(ask(100, "other", 100, 0), at(0)));
    CHECK(queue.push(ask(101, "huge", 500, 0), at(0))->reason == schedule_refusal::queue_full);
}

TEST_CASE("a deadline that cannot be met is refused at once, a passed one later") {
    fair_queue queue({.engine_tokens_per_s = 100});
    queued_request patient = ask(1, "a", 300, 0);
    patient.deadline = at(5000);
    CHECK_FALSE(queue.push(patient, at(0)));
    queued_request hurried = ask(2, "b", 10, 0);
    hurried.deadline = at(2000);
    CHECK(queue.push(hurried, at(0))->reason == schedule_refusal::deadline_unreachable);
    CHECK(queue.expire(at(4999)).empty());
    CHECK(queue.expire(at(5000)).size() == 1);
    CHECK(queue.empty());
}

TEST_CASE("unused tokens are given back") {
    fair_queue queue({});
    queue.push(ask(1, "a", 300, 0), at(0));
    queue.take(any);
    queue.credit("a", 200);
    CHECK(queue.served("a") == 100);
}

TEST_CASE("backlogs sum up who waits for what") {
    fair_queue queue({});
    queue.push(ask(1, "a", 50, 7, "x"), at(7));
    queue.push(ask(2, "b", 50, 3, "x"), at(7));
    queue.push(ask(3, "b", 50, 5, "y"), at(7));
    const auto backlogs = queue.backlogs();
    REQUIRE(backlogs.size() == 2);
    CHECK(backlogs[0].callers == 2);
    CHECK(backlogs[0].oldest == at(3));
}

TEST_CASE("popularity follows a sudden shift and remembers slowly") {
    popularity asked(100);
    for (std::int64_t s = 0; s < 600; ++s) {
        asked.add(1, 10, at(s * 1000));
    }
    CHECK(asked.rate(1, at(600000)) == Approx(10).epsilon(0.35));
    for (std::int64_t s = 600; s < 620; ++s) {
        asked.add(2, 10, at(s * 1000));
    }
    CHECK(asked.rate(2, at(620000)) > 8);
    CHECK(asked.rate(1, at(620000)) > 5);
    for (std::uint64_t key = 10; key < 1000; ++key) {
        asked.add(key, 0.001, at(620000));
    }
    CHECK(asked.size() <= 300);
    CHECK(asked.rate(2, at(620000)) > 8);
}

TEST_CASE("the operators' word for the weighed measure") {
    CHECK(parse_weighed_measure("fairness") == weighed_measure::fairness);
    CHECK(parse_weighed_measure("load_stalls") == weighed_measure::load_stalls);
    CHECK_FALSE(parse_weighed_measure("speed"));
    CHECK(weights_for(weighed_measure::fairness).per_kilotoken_behind >
          weights_for(weighed_measure::load_stalls).per_kilotoken_behind);
}
