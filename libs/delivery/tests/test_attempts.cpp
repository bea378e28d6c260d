#include <delivery/agent_avoidance.h>
#include <delivery/attempt.h>
#include <delivery/attempt_register.h>
#include <delivery/backoff.h>
#include <delivery/drain.h>
#include <delivery/part_outbox.h>
#include <delivery/part_sequencer.h>
#include <delivery/retry_budget.h>
#include <delivery/stream_resume.h>
#include <kernel/check.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace camphorgrade;
using namespace camphorgrade::delivery;

namespace {

const std::vector<part> all_parts{part_accepted{}, part_head{{200, {}}}, part_chunk{"x"},
                                  part_end{1},     part_refused{},       part_broken{true},
                                  part_unknown{}};

time_point at(std::int64_t ms) {
    return time_point{duration{ms}};
}

} // namespace

TEST_CASE("not run is said only before sending and after a refusal that nothing contradicts") {
    rc::prop("attempt", [] {
        attempt tried;
        bool sent = false;
        bool started = false;
        const auto steps = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, 9)));
        for (const std::size_t each : steps) {
            if (tried.ended()) {
                break;
            }
            if (each == all_parts.size()) {
                tried.on_sent();
                sent = true;
            } else if (each > all_parts.size()) {
                tried.give_up();
            } else if (sent) {
                tried.on_part(all_parts[each]);
                const bool answers = each >= 1 && each <= 3;
                started = started || answers;
            }
            const bool refused = tried.state() == attempt_state::refused;
            RC_ASSERT((tried.run() == run_knowledge::not_run) == (!sent || (refused && !started)));
        }
    });
}

TEST_CASE("parts come out once and in order, whatever the network does") {
    rc::prop("sequencer", [] {
        const part_source source{node_id{"a"}, incarnation{3}};
        const auto count = *rc::gen::inRange<std::uint64_t>(1, 60);
        auto arrivals = *rc::gen::container<std::vector<std::uint64_t>>(
            rc::gen::inRange<std::uint64_t>(0, count));
        for (std::uint64_t i = 0; i < count; ++i) {
            arrivals.push_back(i);
        }
        part_sequencer sequencer(*rc::gen::element(source, part_source{node_id{"a"}, {}}));
        std::string text;
        std::string wanted;
        bool bound = sequencer.source().life != incarnation{};
        for (const std::uint64_t each : arrivals) {
            // An earlier life and another agent say something else, and first.
            const numbered_part wrong{each, part_chunk{"wrong"}};
            RC_ASSERT(sequencer.accept({node_id{"b"}, incarnation{3}}, wrong).empty());
            if (bound) {
                RC_ASSERT(sequencer.accept({node_id{"a"}, incarnation{2}}, wrong).empty());
            }
            const numbered_part next{each, part_chunk{std::to_string(each) + ","}};
            for (const part& due : sequencer.accept(source, next)) {
                text += std::get<part_chunk>(due).bytes;
            }
            bound = true;
        }
        for (std::uint64_t i = 0; i < count; ++i) {
            wanted += std::to_string(i) + ",";
        }
        RC_ASSERT(text == wanted);
        RC_ASSERT(!sequencer.gap());
    });
}

TEST_CASE("an outbox keeps parts until they are acknowledged") {
    part_outbox outbox(duration{100});
    outbox.add(part_accepted{}, at(0));
    outbox.add(part_refused{}, at(10));
    CHECK(outbox.due(at(99)).empty());
    CHECK(outbox.due(at(100)).size() == 1);
    CHECK(outbox.due(at(110)).size() == 1);
    CHECK(outbox.acknowledge(1));
    CHECK_FALSE(outbox.acknowledge(1));
    CHECK_FALSE(outbox.settled());
    CHECK(outbox.again(at(111)).front().sequence == 1);
    CHECK(outbox.acknowledge(2));
    CHECK(outbox.settled());
    CHECK_THROWS_AS(outbox.add(part_accepted{}, at(0)), contract_violation);
}

TEST_CASE("an agent takes each attempt once, also when it has forgotten it") {
    attempt_register seen(incarnation{4}, duration{1'000});
    const attempt_id first{node_id{"g"}, incarnation{2}, request_id{7}, 1};
    attempt_id cancelled = first;
    cancelled.number = 2;
    attempt_id later = first;
    later.request = request_id{8};
    CHECK(seen.arrive(first, incarnation{3}, at(0)) == arrival::wrong_life);
    CHECK(seen.arrive(first, incarnation{4}, at(0)) == arrival::fresh);
    CHECK(seen.arrive(first, incarnation{}, at(1)) == arrival::duplicate);
    seen.cancel(cancelled, at(2));
    CHECK(seen.arrive(cancelled, incarnation{4}, at(3)) == arrival::cancelled);
    CHECK(seen.arrive(later, incarnation{4}, at(1'001)) == arrival::fresh);
    CHECK(seen.size() == 2);
    CHECK(seen.arrive(first, incarnation{4}, at(1'002)) == arrival::stale);
    attempt_id restarted = first;
    restarted.gateway_life = incarnation{3};
    CHECK(seen.arrive(restarted, incarnation{4}, at(1'003)) == arrival::fresh);
    later.request = request_id{9};
    CHECK(seen.arrive(later, incarnation{4}, at(1'004)) == arrival::stale);
}

TEST_CASE("retries stay within the share of traffic") {
    rc::prop("budget", [] {
        const double share = *rc::gen::element(0.0, 0.1, 0.5);
        retry_budget budget({share, 5});
        double first = 0;
        double retries = 0;
        for (const bool retry :
             *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>())) {
            if (retry) {
                retries += budget.try_spend() ? 1 : 0;
            } else {
                budget.on_first_attempt();
                ++first;
            }
            RC_ASSERT(retries <= share * first + 5 + 1e-9);
        }
    });
}

TEST_CASE("backoff is drawn from the whole range up to its ceiling") {
    random_source random(5);
    const backoff_settings settings{duration{50}, duration{400}};
    for (const auto& [failures, ceiling] : {std::pair{0U, 50}, {2U, 200}, {9U, 400}}) {
        std::int64_t least = ceiling;
        std::int64_t most = 0;
        for (int i = 0; i < 5'000; ++i) {
            const auto drawn = draw_backoff(settings, failures, random).count();
            least = std::min<std::int64_t>(least, drawn);
            most = std::max<std::int64_t>(most, drawn);
        }
        CHECK(least == 0);
        CHECK(most == ceiling);
    }
}

TEST_CASE("a resumed answer continues only what the caller has") {
    stream_resume resume(10);
    CHECK(resume.admit("abcd") == "abcd");
    resume.begin_again();
    CHECK(resume.admit("ab") == "");
    CHECK_FALSE(resume.caught_up());
    CHECK(resume.admit("cdef") == "ef");
    resume.begin_again();
    CHECK(resume.admit("abX") == std::nullopt);
    stream_resume limited(3);
    limited.admit("abcd");
    CHECK_FALSE(limited.possible());
}

TEST_CASE("a graceful shutdown ends work, hands over and is bounded") {
    drain leaving({duration{10}, duration{100}, duration{60}, duration{20}});
    CHECK(leaving.accepts_new());
    leaving.begin(2, at(0));
    CHECK(leaving.accepts_new());
    leaving.on_time(at(10));
    CHECK(leaving.state() == drain_state::draining);
    CHECK_FALSE(leaving.accepts_new());
    leaving.on_running(0, at(50));
    CHECK(leaving.state() == drain_state::handing_over);
    leaving.on_handed_over();
    CHECK(leaving.state() == drain_state::handing_over);
    CHECK(leaving.next_wake() == at(60));
    leaving.on_time(at(60));
    CHECK(leaving.state() == drain_state::stopped);
    CHECK(leaving.cut() == 0);

    drain late({duration{0}, duration{100}, duration{0}, duration{20}});
    late.begin(3, at(0));
    late.on_time(at(99));
    CHECK(late.state() == drain_state::draining);
    late.on_time(late.next_wake());
    CHECK(late.cut() == 3);
    late.on_time(late.next_wake());
    CHECK(late.state() == drain_state::stopped);
}

TEST_CASE("a failing agent is avoided, tried by one request, and taken back") {
    random_source random(5);
    agent_avoidance avoidance({duration{200}, duration{5'000}});
    const node_id agent{"a"};
    CHECK_FALSE(avoidance.avoided(agent, at(0)));
    avoidance.on_failed(agent, at(0), random);
    CHECK(avoidance.avoided(agent, at(99)));
    CHECK_FALSE(avoidance.avoided(agent, at(301)));
    avoidance.on_chosen(agent, at(301));
    CHECK(avoidance.avoided(agent, at(302)));
    avoidance.on_failed(agent, at(303), random);
    CHECK(avoidance.avoided(agent, at(402)));
    avoidance.on_answered(agent);
    CHECK_FALSE(avoidance.avoided(agent, at(403)));
}
