#include <delivery/request_delivery.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::delivery;

namespace {

const node_id agent{"a"};
const incarnation life{3};

time_point at(std::int64_t ms) {
    return time_point{duration{ms}};
}

/** One delivery with what its caller sees. */
class bench {
public:
    explicit bench(repeat_rule rule, bool stream = true)
        : delivery({rule, stream, at(5'000)}, delivery_settings{}), budget_({0.1, 10}), random_(5) {
        take(delivery.start(at(0), budget_));
        choose();
    }

    void choose() { take(delivery.backend_chosen(agent, life, at(now_))); }

    void part_of(std::uint32_t attempt, std::uint64_t sequence, part content) {
        take(delivery.on_part(attempt, {agent, life}, {sequence, std::move(content)}, at(now_),
                              budget_, random_));
    }

    /** Lets time pass until another backend server is asked for. */
    void retry() {
        while (!awaits_choice && !delivery.ended()) {
            now_ += 10;
            take(delivery.on_timer(at(now_), budget_, random_));
        }
        choose();
    }

    request_delivery delivery;
    std::string bytes;
    bool whole = false;
    bool cut = false;
    bool awaits_choice = false;
    std::optional<refusal> refused;
    std::uint32_t sends = 0;

private:
    void take(const delivery_effects& effects) {
        awaits_choice = false;
        for (const delivery_effect& each : effects) {
            awaits_choice = awaits_choice || std::holds_alternative<choose_backend>(each);
            sends += std::holds_alternative<send_attempt>(each) ? 1 : 0;
            if (const auto* refusing = std::get_if<refuse_caller>(&each)) {
                refused = refusing->reason;
            } else if (const auto* forwarded = std::get_if<forward_to_caller>(&each)) {
                see(forwarded->progress);
            }
        }
    }

    void see(const call_progress& progress) {
        if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
            bytes += chunk->bytes;
        }
        whole = whole || std::holds_alternative<http_end>(progress);
        cut = cut || std::holds_alternative<call_failure>(progress);
    }

    std::int64_t now_ = 0;
    retry_budget budget_;
    random_source random_;
};

const part head = part_head{{200, {}}};

/** A stream that broke after "abcd", tried again. */
bench broken_stream() {
    bench caller(repeat_rule::repeatable);
    caller.part_of(1, 0, head);
    caller.part_of(1, 1, part_chunk{"abcd"});
    caller.part_of(1, 2, part_broken{});
    caller.retry();
    caller.part_of(2, 0, head);
    return caller;
}

void check_incomplete(const bench& caller) {
    CHECK(caller.bytes.starts_with("abcdevent: error\n"));
    CHECK(caller.bytes.find("\"incomplete\":true") != std::string::npos);
    CHECK_FALSE(caller.whole);
    CHECK(caller.cut);
}

} // namespace

TEST_CASE("a broken stream goes on where the caller is") {
    bench caller = broken_stream();
    caller.part_of(2, 1, part_chunk{"ab"});
    caller.part_of(2, 2, part_chunk{"cdef"});
    caller.part_of(2, 3, part_end{});
    CHECK(caller.bytes == "abcdef");
    CHECK(caller.whole);
}

TEST_CASE("a stream whose second answer differs or is shorter never looks whole") {
    bench differs = broken_stream();
    differs.part_of(2, 1, part_chunk{"abX"});
    check_incomplete(differs);
    bench shorter = broken_stream();
    shorter.part_of(2, 1, part_chunk{"abc"});
    shorter.part_of(2, 2, part_end{});
    check_incomplete(shorter);
}

TEST_CASE("parts of an earlier attempt cannot reach the caller") {
    bench caller = broken_stream();
    caller.part_of(1, 1, part_chunk{"late"});
    caller.part_of(2, 1, part_chunk{"abcd"});
    caller.part_of(1, 3, part_end{});
    CHECK(caller.bytes == "abcd");
    CHECK_FALSE(caller.whole);
}

TEST_CASE("an answer that is not a stream is held until it is whole") {
    bench caller(repeat_rule::repeatable, false);
    caller.part_of(1, 0, head);
    caller.part_of(1, 1, part_chunk{"half"});
    caller.part_of(1, 2, part_broken{});
    CHECK(caller.bytes.empty());
    caller.retry();
    caller.part_of(2, 0, head);
    caller.part_of(2, 1, part_chunk{"other"});
    caller.part_of(2, 2, part_end{});
    CHECK(caller.bytes == "other");
    CHECK(caller.whole);
}

TEST_CASE("what may not be repeated is sent to one agent") {
    bench refused(repeat_rule::once_only);
    refused.part_of(1, 0, part_refused{refusal_type::backend_down, {}});
    CHECK(refused.refused->run == run_knowledge::not_run);
    CHECK(refused.sends == 1);
    bench broken(repeat_rule::once_only);
    broken.part_of(1, 0, part_broken{});
    CHECK(broken.refused->type == refusal_type::outcome_unknown);
    CHECK(broken.refused->run != run_knowledge::not_run);
}

TEST_CASE("a suspect whose second attempt breaks is not tried again") {
    bench caller(repeat_rule::repeatable);
    caller.part_of(1, 0, part_broken{true});
    caller.retry();
    caller.part_of(2, 0, part_broken{true});
    CHECK(caller.refused->type == refusal_type::quarantined);
    CHECK(caller.delivery.ended());
    CHECK(caller.sends == 2);
}
